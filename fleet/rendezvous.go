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

// Set returns the k hosts that serve a workspace: the highest by rendezvous
// hashing of workspace and host name [Thaler and Ravishankar, "Using
// name-based mappings to increase hit rates", 1998], taken from region if it
// has any, and in as many zones as there are. When one of n hosts leaves, a
// workspace changes at most one member of its set, with probability k/n.
func Set(workspace, region string, live []Host, k int) []Host {
	ranked := make([]scored, 0, len(live))
	prefix := workspace + "\x00"
	for i := range live {
		if live[i].Region == region {
			ranked = append(ranked, scored{xxhash.Sum64String(prefix + live[i].Name), &live[i]})
		}
	}
	if len(ranked) == 0 {
		for i := range live {
			ranked = append(ranked, scored{xxhash.Sum64String(prefix + live[i].Name), &live[i]})
		}
	}
	slices.SortFunc(ranked, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.host.Incarnation, b.host.Incarnation))
	})
	return spreadZones(ranked, k)
}

// scored is a host with its rendezvous score for one workspace.
type scored struct {
	score uint64
	host  *Host
}

// spreadZones takes k of the ranked hosts, each zone in turn before any zone twice.
func spreadZones(ranked []scored, k int) []Host {
	k = min(k, len(ranked))
	out := make([]Host, 0, k)
	used := make([]bool, len(ranked))
	for len(out) < k {
		var seen []string
		for i, s := range ranked {
			if len(out) == k {
				break
			}
			if !used[i] && !slices.Contains(seen, s.host.Zone) {
				used[i] = true
				seen = append(seen, s.host.Zone)
				out = append(out, *s.host)
			}
		}
	}
	return out
}

// Order arranges a set for one caller in place: hosts in the caller's zone
// first, and random within each group, so that callers spread over the set.
func Order(set []Host, zone string, rnd *rand.Rand) {
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
