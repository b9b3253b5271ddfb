// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import (
	"net/http"
	"time"
)

// Times of a planned stop.
const (
	// maxTakeTime is the longest time for which a host that stops takes requests: callers may have older address answers.
	maxTakeTime = 3 * time.Second
	// takeShare limits that time to a share of what is left to the process. The rest is for the requests that were taken.
	takeShare = 0.5
	// durationMargin is the factor by which requests may take longer than estimated.
	durationMargin = 1.1
)

// plannedStop are the times of a planned stop.
type plannedStop struct {
	takeUntil time.Duration // when the last request may be taken, and be sent to an endpoint for the first time
	end       time.Duration // when the process ends
}

// Stop begins a planned stop of a host whose process ends after left: responses close their connections, and no request is taken late.
func (s *Server) Stop(left time.Duration) {
	now, takeTime := s.Now(), min(maxTakeTime, time.Duration(takeShare*float64(left)))
	s.stop.CompareAndSwap(nil, &plannedStop{takeUntil: now + takeTime, end: now + left})
}

// EndAll ends all requests, because the process ends: callers that got no part of a response are told what is known of their requests.
func (s *Server) EndAll() {
	s.ended.Store(true)
	s.deadlines.endAll()
}

// stopping reports whether a planned stop has begun.
func (s *Server) stopping() bool { return s.stop.Load() != nil }

// checkStop refuses a request for which it is too late in a planned stop, and one that will not be over at its end, provided that another
// host takes requests. One that may have run already, or of which another send is in flight, is not refused: it would not run elsewhere
// either.
func (c *call) checkStop() *refusal {
	stop, now := c.s.stop.Load(), c.s.Now()
	if stop == nil || c.tracker.MayHaveRun() || c.hedging {
		return nil
	}
	if now <= stop.takeUntil && (c.endsBy(stop.end, now) || len(c.s.relayTargets()) == 0) {
		return nil
	}
	c.s.Count.Stopping.Add(1)
	return &refusal{status: http.StatusServiceUnavailable, why: "this host is stopping; use another"}
}

// endsBy reports whether the request is probably over by a time, be it by its deadline. Where nothing is known of its route, it is not.
func (c *call) endsBy(end, now time.Duration) bool {
	if c.route == nil || c.deadline <= end { // it was not read yet, or ends in any case
		return true
	}
	c.s.durationsMu.Lock()
	defer c.s.durationsMu.Unlock()
	took, known := c.s.durations.Estimate(c.route.Name, c.expectedTokens())
	return known && now+time.Duration(durationMargin*float64(took)) <= end
}

// expectedTokens returns the expected length of the response in tokens, or of the rest that the caller does not have.
func (c *call) expectedTokens() int {
	if c.lengthHint > 0 {
		return max(0, c.lengthHint-c.tokensMade())
	}
	return max(0, c.tokensOut-c.tokensMade())
}

// noteDuration records how long a request took that was served.
func (c *call) noteDuration() {
	if !c.succeeded || c.s.Watch.GapSince(c.arrived) {
		return
	}
	c.s.durationsMu.Lock()
	defer c.s.durationsMu.Unlock()
	c.s.durations.Observe(c.route.Name, c.expectedTokens(), c.s.Now()-c.arrived)
}
