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

// SelectHosts returns the k hosts that serve a workspace: the highest by rendezvous
// hashing of workspace and host name [Thaler and Ravishankar, "Using
// name-based mappings to increase hit rates", 1998], taken from region if it
// has any, and in as many zones as there are. When one of n hosts leaves, a
// workspace changes at most one member of its set, with probability k/n.
func SelectHosts(workspace, region string, live []Host, k int) []Host {
	prefix := workspace + "\x00"
	zones := bestOfZones(prefix, live, k, func(h *Host) bool { return h.Region == region })
	if len(zones) == 0 {
		zones = bestOfZones(prefix, live, k, func(*Host) bool { return true })
	}
	return inTurn(zones, k)
}

// scored is a host with its rendezvous score for one workspace.
type scored struct {
	score uint64
	host  *Host
}

// before orders scores, the highest first.
func (a scored) before(b scored) bool {
	if a.score != b.score {
		return a.score > b.score
	}
	return a.host.Incarnation < b.host.Incarnation
}

// bestOfZones returns, for each zone, its k best hosts of those that fit, the
// best first. One pass over the hosts is enough.
func bestOfZones(prefix string, live []Host, k int, fits func(*Host) bool) [][]scored {
	var zones [][]scored
	var buf []byte
	for i := range live {
		h := &live[i]
		if !fits(h) {
			continue
		}
		buf = append(append(buf[:0], prefix...), h.Name...)
		s := scored{xxhash.Sum64(buf), h}
		z := slices.IndexFunc(zones, func(z []scored) bool { return z[0].host.Zone == h.Zone })
		if z < 0 {
			zones = append(zones, append(make([]scored, 0, k+1), s))
			continue
		}
		zones[z] = insert(zones[z], s, k)
	}
	return zones
}

// insert puts s into a list of at most k, the best first.
func insert(list []scored, s scored, k int) []scored {
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

// inTurn takes k hosts: the best of each zone in order of their scores, then the
// second of each, and so on.
func inTurn(zones [][]scored, k int) []Host {
	out := make([]Host, 0, k)
	for round := 0; len(out) < k; round++ {
		var row []scored
		for _, z := range zones {
			if round < len(z) {
				row = append(row, z[round])
			}
		}
		if len(row) == 0 {
			break
		}
		slices.SortFunc(row, func(a, b scored) int { return btoi(b.before(a)) - btoi(a.before(b)) })
		for _, s := range row[:min(len(row), k-len(out))] {
			out = append(out, *s.host)
		}
	}
	return out
}

// OrderForZone arranges a set for one caller in place: hosts in the caller's zone
// first, and random within each group, so that callers spread over the set.
func OrderForZone(set []Host, zone string, rnd *rand.Rand) {
	rnd.Shuffle(len(set), func(i, j int) { set[i], set[j] = set[j], set[i] })
	slices.SortStableFunc(set, func(a, b Host) int {
		return cmp.Compare(btoi(a.Zone != zone), btoi(b.Zone != zone))
	})
}

// btoi gives 1 for true.
func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}
