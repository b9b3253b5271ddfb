// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package sched

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestLongAnswerIsNotRefusedForWaitBeyondQueueDeadline guards against long answers being refused at once in a surge, because the estimated
// wait is longer than any request waits.
func TestLongAnswerIsNotRefusedForWaitBeyondQueueDeadline(t *testing.T) {
	s := newTestScheduler(Config{Disabled: Rules{Rationing: true}}, engine{name: "a", slots: 1})
	s.submit(80, "w", 0)
	submit := func(dispatchBy time.Duration) (*Request, Decision) {
		r := s.request("w", 1)
		r.MaxTokens, r.ExpectedTokens = 3000, 3000
		r.pool = s.poolOf(r)
		s.estimate(r)
		r.Deadline, r.DispatchBy = s.now+s.minIdleCompletion(s.now, r)+time.Second, dispatchBy
		return r, s.Submit(s.now, r)
	}
	r, d := submit(0)
	must.Eq(t, ReasonDeadline, d.Reason) // it would wait for all that is before it
	must.Greater(t, time.Second, r.Estimates().Wait)
	_, d = submit(s.now + 200*time.Millisecond)
	must.Eq(t, Wait, d.Verdict)
}

// TestLongAnswerWaitsLongerForFastEndpoint guards against a lowest tier whose long answers get no slots, because those of the slow endpoints,
// which are most of what is left to it, are of no use to them.
func TestLongAnswerWaitsLongerForFastEndpoint(t *testing.T) {
	const wait = 200 * time.Millisecond
	s := newTestScheduler(Config{Disabled: Rules{Share: true}}, engine{name: "slow", slots: 4, running: 9, step: 50 * time.Millisecond}, engine{name: "fast", slots: 4, running: 9, step: 5 * time.Millisecond})
	begun := s.now
	submit := func(tokens int, continues bool) *Request {
		r := s.request("w", 1)
		r.Continues = continues
		r.MaxTokens, r.ExpectedTokens = 3000, tokens
		r.Deadline, r.DispatchBy = begun+10*time.Second, begun+wait
		must.EqOp(t, Wait, s.Submit(s.now, r).Verdict)
		return r
	}
	short, long, rest := submit(10, false), submit(1000, false), submit(1000, true)
	refusedAt := make(map[*Request]time.Duration)
	for s.now < begun+time.Second {
		s.now += 10 * time.Millisecond
		for _, d := range s.Poll(s.now) {
			must.EqOp(t, Refuse, d.Verdict)
			refusedAt[d.Request] = s.now - begun
		}
	}
	must.EqOp(t, wait, refusedAt[short])
	must.EqOp(t, wait, refusedAt[rest]) // its caller gives up soon
	must.EqOp(t, fastEndpointWait*wait, refusedAt[long])
}
