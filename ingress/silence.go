// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import (
	"sync/atomic"
	"time"

	"github.com/heathkeel/heathkeel/route"
)

// Figures of the patience with a silent endpoint.
const (
	// minCallerTimeout, leaveObjectives and leaveGaps give the silence after which a caller
	// leaves a stream: the longest of the three.
	minCallerTimeout        = 2 * time.Second
	callerTimeoutObjectives = 4
	callerTimeoutPauses     = 8
	// idleTimeoutShare is the part of that silence after which a stream goes on elsewhere.
	idleTimeoutShare = 0.5
	// plainTimeoutObjectives is the silence, in objectives, after which a plain request that
	// may be repeated is sent elsewhere.
	plainTimeoutObjectives = 2.5
	// closeStaleAfter is the time without any answer to a send, ended by its deadline or its caller, from which
	// the other connections to that endpoint are not trusted: many times a plain service's
	// usual 15 to 30 ms.
	closeStaleAfter = 500 * time.Millisecond
	// slowPrefillTokens is the prompt from which the first event may take longer.
	slowPrefillTokens = 8000
)

// idleTimer ends a send whose endpoint says nothing for too long.
type idleTimer struct {
	limit time.Duration
	timer *time.Timer
	fired atomic.Bool
}

// newIdleTimer begins to watch; a limit of 0 watches nothing.
func newIdleTimer(limit time.Duration, cancel func()) *idleTimer {
	s := &idleTimer{limit: limit}
	if limit > 0 {
		s.timer = time.AfterFunc(limit, func() {
			s.fired.Store(true)
			cancel()
		})
	}
	return s
}

// reset begins the silence anew.
func (s *idleTimer) reset() {
	if s.timer != nil && s.timer.Stop() {
		s.timer.Reset(s.limit)
	}
}

// stop ends the watch and tells whether the send was ended.
func (s *idleTimer) stop() bool {
	if s.timer != nil {
		s.timer.Stop()
	}
	return s.fired.Load()
}

// idleTimeout is the silence after which the request is better sent elsewhere, or 0
// where it may not be. The silence of an endpoint is never a reason to end an
// answer that cannot go on elsewhere.
func (c *call) idleTimeout() time.Duration {
	r := c.route
	if !r.MayRepeat() || c.tracker.Sends() >= r.Attempts || r.Objective <= 0 {
		return 0
	}
	if r.Kind != route.Stream {
		return time.Duration(plainTimeoutObjectives * float64(r.Objective))
	}
	if c.tokensIn > slowPrefillTokens && !c.stream.started {
		return 0
	}
	callerTimeout := max(minCallerTimeout, callerTimeoutObjectives*r.Objective, callerTimeoutPauses*r.PauseObjective)
	return time.Duration(idleTimeoutShare * float64(callerTimeout))
}
