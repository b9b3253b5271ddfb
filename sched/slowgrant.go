// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package sched

import "time"

const (
	// slowSlotShare is the share of its slots up to which the owner fills an endpoint that states to be slow, at least one, while others
	// have room. One request at a time keeps the statements coming.
	slowSlotShare = 0.125
	// roomShare is the share of the slots of the endpoints that are not slow which has to be free for that.
	roomShare = 0.1
)

// slowLimit returns the number of requests up to which the owner of an endpoint's slots fills it, which is less than limit while the
// endpoint states to be slow and others have room.
func (s *Scheduler) slowLimit(now time.Duration, e *endpointState, limit int) int {
	if s.statedSlowdown(now, e) < notablySlow || !s.othersHaveRoom(now, e) {
		return limit
	}
	return min(limit, max(1, int(slowSlotShare*float64(e.slots()))))
}

// othersHaveRoom reports whether the other endpoints with the same model that are not slow have free slots.
func (s *Scheduler) othersHaveRoom(now time.Duration, e *endpointState) bool {
	free, slots := 0.0, 0.0
	for _, o := range s.endpoints {
		if o == e || !o.present || o.report.Model != e.report.Model || !o.availableToOthers(now) || s.statedSlowdown(now, o) >= notablySlow {
			continue
		}
		free += max(0, s.freeSlots(now, o))
		slots += float64(o.slots())
	}
	return slots > 0 && free >= roomShare*slots
}
