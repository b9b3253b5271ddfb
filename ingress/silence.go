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
	// leaveAfter, leaveObjectives and leaveGaps give the silence after which a caller
	// leaves a stream: the longest of the three.
	leaveAfter      = 2 * time.Second
	leaveObjectives = 4
	leaveGaps       = 8
	// patienceShare is the part of that silence after which a stream goes on elsewhere.
	patienceShare = 0.5
	// plainObjectives is the silence, in objectives, after which a plain request that
	// may be repeated is sent elsewhere.
	plainObjectives = 2.5
	// silentFor is the time without any answer to a send, ended by its deadline or its caller, from which
	// the other connections to that endpoint are not trusted: many times a plain service's
	// usual 15 to 30 ms.
	silentFor = 500 * time.Millisecond
	// longRead is the prompt from which the first event may take longer.
	longRead = 8000
)

// silence ends a send whose endpoint says nothing for too long.
type silence struct {
	limit time.Duration
	timer *time.Timer
	fired atomic.Bool
}

// newSilence begins to watch; a limit of 0 watches nothing.
func newSilence(limit time.Duration, end func()) *silence {
	s := &silence{limit: limit}
	if limit > 0 {
		s.timer = time.AfterFunc(limit, func() {
			s.fired.Store(true)
			end()
		})
	}
	return s
}

// heard begins the silence anew.
func (s *silence) heard() {
	if s.timer != nil && s.timer.Stop() {
		s.timer.Reset(s.limit)
	}
}

// stop ends the watch and tells whether the send was ended.
func (s *silence) stop() bool {
	if s.timer != nil {
		s.timer.Stop()
	}
	return s.fired.Load()
}

// patience is the silence after which the request is better sent elsewhere, or 0
// where it may not be. The silence of an endpoint is never a reason to end an
// answer that cannot go on elsewhere.
func (c *call) patience() time.Duration {
	r := c.route
	if !r.MayRepeat() || c.account.Sends() >= r.Attempts || r.Objective <= 0 {
		return 0
	}
	if r.Kind != route.Stream {
		return time.Duration(plainObjectives * float64(r.Objective))
	}
	if c.tokensIn > longRead && !c.stream.begun {
		return 0
	}
	leave := max(leaveAfter, leaveObjectives*r.Objective, leaveGaps*r.PauseObjective)
	return time.Duration(patienceShare * float64(leave))
}
