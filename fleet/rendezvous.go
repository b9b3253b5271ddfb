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
	in := make([]Host, 0, len(live))
	for _, h := range live {
		if h.Region == region {
			in = append(in, h)
		}
	}
	if len(in) == 0 {
		in = slices.Clone(live)
	}
	score := func(h Host) uint64 { return xxhash.Sum64String(workspace + "\x00" + h.Name) }
	slices.SortFunc(in, func(a, b Host) int {
		return cmp.Or(cmp.Compare(score(b), score(a)), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return spreadZones(in, k)
}

// spreadZones takes k of the ranked hosts, each zone in turn before any zone twice.
func spreadZones(ranked []Host, k int) []Host {
	out := make([]Host, 0, k)
	left := ranked
	for len(out) < k && len(left) > 0 {
		var rest []Host
		var seen []string
		for _, h := range left {
			if len(out) == k || slices.Contains(seen, h.Zone) {
				rest = append(rest, h)
				continue
			}
			seen = append(seen, h.Zone)
			out = append(out, h)
		}
		left = rest
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
