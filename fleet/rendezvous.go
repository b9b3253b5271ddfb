// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package fleet

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// SelectHosts returns the k hosts that serve a workspace: those with the highest rendezvous
// hash of workspace and host name [Thaler and Ravishankar, "Using name-based mappings to
// increase hit rates", 1998], from region if it has any hosts, spread over as many zones as
// possible. When one of n hosts leaves, a workspace changes at most one member of its set,
// with probability k/n.
func SelectHosts(workspace, region string, live []Host, k int) []Host {
	prefix := workspace + "\x00"
	zones := bestPerZone(prefix, live, k, func(h *Host) bool { return h.Region == region })
	if len(zones) == 0 {
		zones = bestPerZone(prefix, live, k, func(*Host) bool { return true })
	}
	return interleave(zones, k)
}

// scoredHost is a host with its rendezvous hash for one workspace.
type scoredHost struct {
	score uint64
	host  *Host
}

// before reports whether a comes before b; the highest score comes first.
func (a scoredHost) before(b scoredHost) bool {
	if a.score != b.score {
		return a.score > b.score
	}
	return a.host.Incarnation < b.host.Incarnation
}

// bestPerZone returns, for each zone, its k best eligible hosts, the best first, in one
// pass over the hosts.
func bestPerZone(prefix string, live []Host, k int, eligible func(*Host) bool) [][]scoredHost {
	var zones [][]scoredHost
	var buf []byte
	for i := range live {
		h := &live[i]
		if !eligible(h) {
			continue
		}
		buf = append(append(buf[:0], prefix...), h.Name...)
		s := scoredHost{xxhash.Sum64(buf), h}
		z := slices.IndexFunc(zones, func(z []scoredHost) bool { return z[0].host.Zone == h.Zone })
		if z < 0 {
			zones = append(zones, append(make([]scoredHost, 0, k+1), s))
			continue
		}
		zones[z] = insert(zones[z], s, k)
	}
	return zones
}

// insert inserts s into a list of at most k hosts, the best first.
func insert(list []scoredHost, s scoredHost, k int) []scoredHost {
	i := len(list)
	for i > 0 && s.before(list[i-1]) {
		i--
	}
	if i >= k {
		return list
	}
	list = slices.Insert(list, i, s)
	return list[:min(k, len(list))]
}

// interleave returns k hosts: the best of each zone in order of their scores, then the
// second of each zone, and so on.
func interleave(zones [][]scoredHost, k int) []Host {
	out := make([]Host, 0, k)
	for round := 0; len(out) < k; round++ {
		var candidates []scoredHost
		for _, z := range zones {
			if round < len(z) {
				candidates = append(candidates, z[round])
			}
		}
		if len(candidates) == 0 {
			break
		}
		slices.SortFunc(candidates, func(a, b scoredHost) int { return btoi(b.before(a)) - btoi(a.before(b)) })
		for _, s := range candidates[:min(len(candidates), k-len(out))] {
			out = append(out, *s.host)
		}
	}
	return out
}

// OrderForZone reorders a set for one caller in place: hosts of the caller's zone come
// first, and the order within each group is random, so that callers spread over the set.
func OrderForZone(set []Host, zone string, rnd *rand.Rand) {
	rnd.Shuffle(len(set), func(i, j int) { set[i], set[j] = set[j], set[i] })
	slices.SortStableFunc(set, func(a, b Host) int {
		return cmp.Compare(btoi(a.Zone != zone), btoi(b.Zone != zone))
	})
}

// btoi returns 1 for true and 0 for false.
func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}
