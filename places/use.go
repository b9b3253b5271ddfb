// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package places

import "time"

// use is the use of one slot.
type use struct {
	flow      *flow         // nil if the slot was taken without a grant
	charged   time.Duration // charged to the flow at the grant
	grantedAt time.Duration
	takenAt   time.Duration // when the owner learned that the slot was taken
}

// shareState is the part of a host's state that concerns workspaces.
type shareState struct {
	wants  [MaxWants]*flow
	n      int
	grants []use // granted and not taken, oldest first
	uses   []use // of the host's running requests, oldest first
}

// setWants sets the flows for which a host wants slots.
func (h *hostState) setWants(s *shares, req *Request) {
	h.n = 0
	if req.Rank < 0 {
		return
	}
	wants := req.Wants.All()
	if len(wants) == 0 {
		wants = []Want{{Rank: req.Rank, N: 1}}
	}
	for _, w := range wants {
		h.wants[h.n] = s.flow(w)
		h.n++
	}
}

// take records that a host has n more running requests. Grants that were not taken yet are used up, oldest first.
func (h *hostState) take(now time.Duration, s *shares, n int) {
	for range max(0, min(n, maxUses-len(h.uses))) {
		u := use{takenAt: now}
		if len(h.grants) > 0 {
			u = h.grants[0]
			u.takenAt = now
			s.takeDelay += time.Duration(useGain * float64(now-u.grantedAt-s.takeDelay))
			h.grants = append(h.grants[:0], h.grants[1:]...)
		}
		h.uses = append(h.uses, u)
	}
}

// end records that n running requests of a host have ended. Which of them is not known; the oldest are assumed.
func (h *hostState) end(now time.Duration, s *shares, n int) {
	n = min(max(0, n), len(h.uses))
	for _, u := range h.uses[:n] {
		if u.flow != nil {
			s.settle(u.flow, u.charged, now-u.takenAt)
			s.observe(u.flow, now-u.takenAt)
		}
	}
	h.uses = append(h.uses[:0], h.uses[n:]...)
}

// dropGrants takes back the grants of a host that were not taken, and the charges for them.
func (h *hostState) dropGrants(s *shares) {
	h.dropOldest(s, len(h.grants))
	h.granted = 0
}

// dropOldest takes back the n oldest grants of a host that were not taken.
func (h *hostState) dropOldest(s *shares, n int) {
	n = min(max(0, n), len(h.grants))
	for _, u := range h.grants[:n] {
		s.settle(u.flow, u.charged, 0)
	}
	h.grants = append(h.grants[:0], h.grants[n:]...)
}
