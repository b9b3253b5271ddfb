// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import (
	"context"
	"sync"
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
	// silenceTimeoutShare is the share of that silence after which another endpoint is asked to continue a stream.
	silenceTimeoutShare = 0.5
	// plainTimeoutObjectives is the silence, in objectives, after which a repeatable plain request is sent to another endpoint as well.
	plainTimeoutObjectives = 2.5
	// closeStaleAfter applies to sends without any response that end by their deadline or their caller: after this time the other
	// connections to the endpoint are no longer trusted. It is many times the usual 15 to 30 ms of a plain service.
	closeStaleAfter = 500 * time.Millisecond
	// slowPrefillTokens is the prompt size, in tokens, above which the first event may take longer.
	slowPrefillTokens = 8000
)

// silenceTimer starts a replacement for a send whose endpoint is silent for too long. The silent send stays open: it ends only when
// another endpoint has taken over. The goroutine of the send calls arm before, and stop after, each wait for the endpoint.
type silenceTimer struct {
	// limit is the silence after which a replacement is tried; 0 means never.
	limit time.Duration
	// ctx ends with the request.
	ctx context.Context
	// replace tries to get a replacement until tries ends, and abandons it when ctx ends. It reports whether the replacement has taken over.
	// The goroutine of the send changes nothing of the call between arm and stop.
	replace func(ctx, tries context.Context) bool

	timer    *time.Timer
	armed    bool
	result   chan bool // of replace
	mu       sync.Mutex
	ended    bool // no replacement is wanted any more
	cancel   context.CancelFunc
	endTries context.CancelFunc
}

// arm starts the timer.
func (t *silenceTimer) arm() {
	t.armed = t.limit > 0
	switch {
	case !t.armed:
	case t.timer != nil:
		t.timer.Reset(t.limit)
	default:
		t.result = make(chan bool, 1)
		t.timer = time.AfterFunc(t.limit, t.fire)
	}
}

// fire runs when the endpoint was silent for too long.
func (t *silenceTimer) fire() {
	ctx, cancel := context.WithCancel(t.ctx)
	defer cancel()
	tries, endTries := context.WithCancel(ctx)
	defer endTries()
	t.mu.Lock()
	ended := t.ended
	t.cancel, t.endTries = cancel, endTries
	t.mu.Unlock()
	t.result <- !ended && t.replace(ctx, tries)
}

// stop stops the timer after a wait for the endpoint, and returns true if a replacement has taken over. A replacement that is being tried
// is abandoned if the wait brought something that can be forwarded. After an error, stop waits for the present try.
func (t *silenceTimer) stop(err error) (replaced bool) {
	if !t.armed {
		return false
	}
	t.armed = false
	if t.timer.Stop() {
		return false
	}
	t.mu.Lock()
	t.ended = true
	switch {
	case t.cancel == nil: // it has fired and not begun
	case err != nil:
		t.endTries()
	default:
		t.cancel()
	}
	t.mu.Unlock()
	replaced = <-t.result
	t.ended, t.cancel, t.endTries = false, nil, nil
	return replaced
}

// silenceTimeout returns the silence after which the request is sent to another endpoint as well, or 0 where that is not allowed.
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
