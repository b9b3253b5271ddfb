// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package sched

import "time"

const (
	// slowSlotShare is the share of its slots, at least one slot, up to which the owner fills an endpoint that states to be slow while
	// others have room. Not zero, because an endpoint states its load only in responses.
	slowSlotShare = 0.125
	// roomShare is the share of the slots of the endpoints that are not slow that must be free for these to have room. At 0.1 slow endpoints got
	// 0.088 of the requests instead of 0.040, with 93 endpoints at 0.8 of their capacity.
	roomShare = 0.01
	// fullPreferenceShare is the share of these slots that is free from which on the owners of slow endpoints are asked last. With fewer free
	// the preference shrinks in proportion: with the full one, 0.888 instead of 0.911 were served at the endpoints' capacity, since slots of
	// slow ones stayed free.
	fullPreferenceShare = 0.05
)

// withoutSlow moves those of the first n candidates that do not state to be slow to the front, and returns their number, or n if there are
// none. Otherwise both candidates drawn would be slow in a ninth of all choices while a third of the endpoints is.
func (s *Scheduler) withoutSlow(n int) int {
	usual := 0
	for i := range s.cands[:n] {
		if s.cands[i].slowdown < notablySlow {
			s.cands[usual], s.cands[i] = s.cands[i], s.cands[usual]
			usual++
		}
	}
	if usual == 0 {
		return n
	}
	return usual
}

// avoidsSlow reports whether a request is kept from an endpoint that states to be slow, because others have room. A grant of
// the owner of the slots permits it, since the owner hears of each response.
func (s *Scheduler) avoidsSlow(now time.Duration, r *Request, e *endpointState) bool {
	if r.lastChance || s.statedSlowdown(now, e) < notablySlow || !s.othersHaveRoom(now, e) {
		return false
	}
	return !(s.ownerAnswers(now, e) && e.hasGrant(now))
}

// slowLoad returns by how much more loaded an endpoint counts in the choice of owners to ask because it states to be slow. A slow one is
// asked after those at the usual speed while these have room.
func (s *Scheduler) slowLoad(now time.Duration, e *endpointState) float64 {
	slowdown := s.statedSlowdown(now, e)
	if slowdown < notablySlow {
		return 0
	}
	return (slowdown - 1) * min(1, s.freeShare(now, e)/fullPreferenceShare)
}

// slowLimit returns the number of requests up to which the owner of an endpoint's slots fills it, which is less than limit while the
// endpoint states to be slow and others have room.
func (s *Scheduler) slowLimit(now time.Duration, e *endpointState, limit int) int {
	if s.statedSlowdown(now, e) < notablySlow || !s.othersHaveRoom(now, e) {
		return limit
	}
	return min(limit, max(1, int(slowSlotShare*float64(e.slots()))))
}

// modelRoom is the share of the slots that are free at the endpoints of a model that are not slow, at a time.
type modelRoom struct {
	at    time.Duration
	model string
	share float64
}

// freeShare returns the share of the slots that are free at the endpoints that are not slow and have the same model as one that is.
func (s *Scheduler) freeShare(now time.Duration, slow *endpointState) float64 {
	if model := slow.report.Model; s.room.at != now || s.room.model != model {
		free, slots := 0.0, 0.0
		for _, e := range s.endpoints {
			if e.report.Model == model && e.availableToOthers(now) && s.statedSlowdown(now, e) < notablySlow {
				free += max(0, s.freeSlots(now, e))
				slots += float64(e.slots())
			}
		}
		s.room = modelRoom{now, model, free / max(1, slots)}
	}
	return s.room.share
}

// othersHaveRoom reports whether the endpoints that are not slow and have the same model as one that is have free slots.
func (s *Scheduler) othersHaveRoom(now time.Duration, slow *endpointState) bool {
	return s.freeShare(now, slow) >= roomShare
}
