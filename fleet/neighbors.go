// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package fleet

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/heathkeel/heathkeel/once"
)

// DefaultFanout is the number of peers that a host sends heartbeats to.
const DefaultFanout = 4

// Neighbors returns the peers that self sends heartbeats to, at most fanout of
// them: two successors on a ring in hash order, so that everybody is watched
// and the graph is connected, and the best by rendezvous hashing of the pair,
// half of them in other zones, so that its diameter is logarithmic. Of hosts
// with one address only the first is taken. The result does not alias hosts.
func Neighbors(self Host, hosts []Host, fanout int) []Host {
	others := make([]Host, 0, len(hosts))
	for _, h := range hosts {
		if h.Incarnation != self.Incarnation && !h.Gone {
			others = append(others, h)
		}
	}
	if len(others) <= fanout {
		return others
	}
	ring := ringOrder(self, others)
	out := slices.Clone(ring[:min(fanout/2, len(ring))])
	byPair := slices.Clone(ring[len(out):])
	slices.SortFunc(byPair, func(a, b Host) int {
		return cmp.Compare(pairHash(self.Incarnation, b.Incarnation), pairHash(self.Incarnation, a.Incarnation))
	})
	out = appendFirst(out, byPair, fanout-1, func(h Host) bool { return h.Zone != self.Zone })
	return appendFirst(out, byPair, fanout, func(h Host) bool {
		return !slices.ContainsFunc(out, func(o Host) bool { return o.Incarnation == h.Incarnation })
	})
}

// ringOrder returns the hosts in ring order, starting after self.
func ringOrder(self Host, hosts []Host) []Host {
	at := xxhash.Sum64String(self.Incarnation.String())
	pos := func(h Host) uint64 { return xxhash.Sum64String(h.Incarnation.String()) - at }
	out := slices.Clone(hosts)
	slices.SortFunc(out, func(a, b Host) int { return cmp.Compare(pos(a), pos(b)) })
	return out
}

// appendFirst appends hosts that fit until out has n.
func appendFirst(out, from []Host, n int, fits func(Host) bool) []Host {
	for _, h := range from {
		if len(out) >= n {
			break
		}
		if fits(h) {
			out = append(out, h)
		}
	}
	return out
}

// pairHash hashes an unordered pair, so that both ends rank each other alike.
func pairHash(a, b once.Incarnation) uint64 {
	if a > b {
		a, b = b, a
	}
	return xxhash.Sum64String(a.String() + b.String())
}
