// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package places

import (
	"math/rand/v2"
	"time"
)

// Allocation is a slot granted to a host for a workspace.
type Allocation struct {
	Host, Workspace string
	Rank            int // tier, 0 the highest
}

// maxInTransit limits the grants beyond an endpoint's slots, as a share of these.
const maxInTransit = 1.0

// inTransit returns the number of slots beyond the limit that may be granted because messages take time: a slot counts as used from its
// grant until the message about the end of its request arrives, which for short requests is much longer than it is used. Without this,
// plain endpoints with requests of 20 ms and messages of 4 to 15 ms are used for 0.64 of the time.
func (a *Allocator) inTransit(limit int) int {
	if !a.GrantAhead || a.shares.mean <= 0 {
		return 0
	}
	return int(float64(limit) * min(maxInTransit, a.shares.takeDelay.Seconds()/a.shares.mean.Seconds()))
}

// nextShare returns the host and flow that get the next slot: the highest tier, the flow with the least start tag in it, and a random host
// among those that want a slot for it.
func (a *Allocator) nextShare(now time.Duration, r *rand.Rand) (*hostState, *flow) {
	var host *hostState
	var best *flow
	start, ties := 0.0, 0
	for _, h := range a.order {
		if !h.wantsSlot(now) {
			continue
		}
		for _, f := range h.wants[:h.n] {
			if f == best {
				ties++
				if r.IntN(ties) == 0 {
					host = h
				}
				continue
			}
			if best != nil && f.rank > best.rank {
				continue
			}
			at := a.shares.start(f)
			if best == nil || f.rank < best.rank || at < start || (at == start && f.workspace < best.workspace) {
				host, best, start, ties = h, f, at, 1
			}
		}
	}
	return host, best
}

// notePassed counts the flows of the same tier that want the slot that was granted to another one because they have received more.
func (a *Allocator) notePassed(now time.Duration, granted *flow) {
	for _, h := range a.order {
		if !h.wantsSlot(now) {
			continue
		}
		for _, f := range h.wants[:h.n] {
			if f != granted && f.rank == granted.rank && f.tag > granted.tag {
				f.passed++
			}
		}
	}
}
