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

// DefaultFanout is the number of peers that a host sends heartbeats to. On average as many
// send to it, so that the graph has degree 4.
const DefaultFanout = 2

// Neighbors returns the peers that self sends heartbeats to, at most fanout of them. Half
// are its successors on a ring in hash order, so that every host is monitored and the graph
// is connected. The others rank highest by rendezvous hashing of the pair, those in other
// zones first, so that the diameter is logarithmic. The result does not alias hosts.
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
	byPairHash := slices.Clone(ring[len(out):])
	slices.SortFunc(byPairHash, func(a, b Host) int {
		return cmp.Compare(pairHash(self.Incarnation, b.Incarnation), pairHash(self.Incarnation, a.Incarnation))
	})
	out = appendMatching(out, byPairHash, fanout, func(h Host) bool { return h.Zone != self.Zone })
	return appendMatching(out, byPairHash, fanout, func(h Host) bool {
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

// appendMatching appends matching hosts until out has n.
func appendMatching(out, from []Host, n int, match func(Host) bool) []Host {
	for _, h := range from {
		if len(out) >= n {
			break
		}
		if match(h) {
			out = append(out, h)
		}
	}
	return out
}

// pairHash hashes an unordered pair, so that both hosts compute the same value.
func pairHash(a, b once.Incarnation) uint64 {
	if a > b {
		a, b = b, a
	}
	return xxhash.Sum64String(a.String() + b.String())
}
