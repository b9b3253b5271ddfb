// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import (
	"sync/atomic"
	"time"

	"github.com/heathkeel/heathkeel/route"
)

// Timeouts for silent endpoints.
const (
	// minCallerTimeout, callerTimeoutObjectives and callerTimeoutPauses give the silence after which a caller abandons a stream: the
	// longest of the fixed time, that many first-event objectives and that many pause objectives.
	minCallerTimeout        = 2 * time.Second
	callerTimeoutObjectives = 4
	callerTimeoutPauses     = 8
	// silenceTimeoutShare is the share of that silence after which a stream is continued at another endpoint.
	silenceTimeoutShare = 0.5
	// plainTimeoutObjectives is the silence, in objectives, after which a repeatable plain request is sent to another endpoint.
	plainTimeoutObjectives = 2.5
	// closeStaleAfter applies to sends without any response that end by their deadline or their caller: after this time the other
	// connections to the endpoint are no longer trusted. It is many times the usual 15 to 30 ms of a plain service.
	closeStaleAfter = 500 * time.Millisecond
	// slowPrefillTokens is the prompt size, in tokens, above which the first event may take longer.
	slowPrefillTokens = 8000
)

// silenceTimer cancels a send whose endpoint is silent for too long.
type silenceTimer struct {
	limit time.Duration
	timer *time.Timer
	fired atomic.Bool
}

// newSilenceTimer starts a timer; a limit of 0 never fires.
func newSilenceTimer(limit time.Duration, cancel func()) *silenceTimer {
	t := &silenceTimer{limit: limit}
	if limit > 0 {
		t.timer = time.AfterFunc(limit, func() {
			t.fired.Store(true)
			cancel()
		})
	}
	return t
}

// reset restarts the timer.
func (t *silenceTimer) reset() {
	if t.timer != nil && t.timer.Stop() {
		t.timer.Reset(t.limit)
	}
}

// stop stops the timer and reports whether it had canceled the send.
func (t *silenceTimer) stop() bool {
	if t.timer != nil {
		t.timer.Stop()
	}
	return t.fired.Load()
}

// silenceTimeout returns the silence after which the request is better sent to another endpoint, or 0 where that is not allowed. A
// response that cannot be continued elsewhere is never canceled because its endpoint is silent.
func (c *call) silenceTimeout() time.Duration {
	r := c.route
	if !r.MayRepeat() || c.sends() >= r.Attempts || r.Objective <= 0 {
		return 0
	}
	if r.Kind != route.Stream {
		return time.Duration(plainTimeoutObjectives * float64(r.Objective))
	}
	if c.tokensIn > slowPrefillTokens && !c.stream.started {
		return 0
	}
	callerTimeout := max(minCallerTimeout, callerTimeoutObjectives*r.Objective, callerTimeoutPauses*r.PauseObjective)
	return time.Duration(silenceTimeoutShare * float64(callerTimeout))
}
