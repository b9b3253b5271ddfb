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
)

// plannedStop are the times of a planned stop.
type plannedStop struct {
	takeUntil time.Duration // when the last request may be taken, and be sent to an endpoint for the first time
}

// Stop begins a planned stop of a host whose process ends after left: responses close their connections, and no request is taken late.
func (s *Server) Stop(left time.Duration) {
	takeTime := min(maxTakeTime, time.Duration(takeShare*float64(left)))
	s.stop.CompareAndSwap(nil, &plannedStop{takeUntil: s.Now() + takeTime})
}

// EndAll ends all requests, because the process ends: callers that got no part of a response are told what is known of their requests.
func (s *Server) EndAll() {
	s.ended.Store(true)
	s.deadlines.endAll()
}

// stopping reports whether a planned stop has begun.
func (s *Server) stopping() bool { return s.stop.Load() != nil }

// checkStop refuses a request for which it is too late in a planned stop. One that may have run already, or of which another send is in
// flight, is not refused: it would not run elsewhere either.
func (c *call) checkStop() *refusal {
	stop := c.s.stop.Load()
	if stop == nil || c.s.Now() <= stop.takeUntil || c.tracker.MayHaveRun() || c.hedging {
		return nil
	}
	c.s.Count.Stopping.Add(1)
	return &refusal{status: http.StatusServiceUnavailable, why: "this host is stopping; use another"}
}
