// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package outlier

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const ms = time.Millisecond

// fail records n failures at the same time.
func fail(r *Record, at time.Duration, f Failure, n int) {
	for range n {
		r.Fail(at, at, f, 0)
	}
}

// TestState checks the circuit breaker state after sequences of outcomes.
func TestState(t *testing.T) {
	cases := []struct {
		name string
		do   func(r *Record)
		at   time.Duration
		want State
	}{
		{"no outcomes", func(*Record) {}, 0, Closed},
		{"a refused connection", func(r *Record) { fail(r, 0, Unreachable, 1) }, 0, Open},
		{"one unanswered request", func(r *Record) { fail(r, 0, Unanswered, 1) }, 0, Closed},
		{"two consecutive unanswered requests", func(r *Record) { fail(r, 0, Unanswered, 2) }, 0, Open},
		{"two with the start of an answer in between", func(r *Record) {
			fail(r, 0, Unanswered, 1)
			r.AnswerStarted()
			fail(r, 0, Unanswered, 1)
		}, 0, Closed},
		{"two broken answers", func(r *Record) { fail(r, 0, Broken, 2) }, 0, Closed},
		{"three broken answers, each started", func(r *Record) {
			for range 3 {
				r.AnswerStarted()
				fail(r, 0, Broken, 1)
			}
		}, 0, Open},
		{"four errors", func(r *Record) { fail(r, 0, Errored, 4) }, 0, Closed},
		{"five errors", func(r *Record) { fail(r, 0, Errored, 5) }, 0, Open},
		{"three rejections", func(r *Record) { fail(r, 0, Rejected, 3) }, 0, Closed},
		{"four rejections", func(r *Record) { fail(r, 0, Rejected, 4) }, 0, Open},
		{"failures among successes", func(r *Record) {
			for range 20 {
				fail(r, 0, Unanswered, 1)
				r.Succeed(0)
			}
		}, 0, Closed},
		{"ejection time has passed", func(r *Record) { fail(r, 0, Unanswered, 2) }, firstEjection, HalfOpen},
		{"success after the ejection", func(r *Record) {
			fail(r, 0, Unanswered, 2)
			r.Succeed(firstEjection)
		}, firstEjection, Closed},
		{"load report during the ejection", func(r *Record) {
			fail(r, 0, Unreachable, 1)
			r.NoteLoadReport()
		}, 0, HalfOpen},
		{"requests in flight at the ejection do not extend it", func(r *Record) {
			fail(r, 0, Unreachable, 1)
			for range 9 {
				r.Fail(500*ms, -time.Second, Broken, 0)
			}
		}, firstEjection + 2*evidenceHalfLife, HalfOpen},
		{"a failed probe doubles the ejection time", func(r *Record) {
			fail(r, 0, Unreachable, 1)
			fail(r, firstEjection, Unreachable, 1)
		}, 2*firstEjection + 900*ms, Open},
		{"ejection time is limited", func(r *Record) {
			for i := range 20 {
				fail(r, time.Duration(i)*time.Minute, Unreachable, 1)
			}
		}, 19*time.Minute + maxEjection, HalfOpen},
		{"other hosts saw only failures", func(r *Record) { r.SetPeerEvidence(0, Evidence{Bad: 6}) }, 0, Open},
		{"one other host saw only failures", func(r *Record) { r.SetPeerEvidence(0, Evidence{Bad: 9}.capped()) }, 0, Closed},
		{"other hosts saw failures and successes", func(r *Record) { r.SetPeerEvidence(0, Evidence{Bad: 6, Good: 6}) }, 0, Closed},
		{"ejected by other hosts, time has passed", func(r *Record) { r.SetPeerEvidence(0, Evidence{Bad: 6}) }, firstEjection, HalfOpen},
		{"ejected by other hosts, then one had a success", func(r *Record) {
			r.SetPeerEvidence(0, Evidence{Bad: 6})
			r.SetPeerEvidence(2*firstEjection, Evidence{Bad: 1, Good: 1})
		}, 2 * firstEjection, Closed},
		{"ejected by other hosts, still fails", func(r *Record) {
			r.SetPeerEvidence(0, Evidence{Bad: 6})
			r.SetPeerEvidence(2*firstEjection, Evidence{Bad: 6})
		}, 2*firstEjection + 1900*ms, Open},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var r Record
			tc.do(&r)
			must.EqOp(t, tc.want, r.State(tc.at))
		})
	}
}

// TestAdmits checks which requests an endpoint gets in each state.
func TestAdmits(t *testing.T) {
	type admitted struct{ nonRepeatable, repeatable bool }
	halfOpen := func(r *Record) { fail(r, 0, Unreachable, 1) }
	cases := []struct {
		name string
		do   func(r *Record)
		at   time.Duration
		want admitted
	}{
		{"healthy", func(*Record) {}, 0, admitted{true, true}},
		{"ejected", halfOpen, 500 * ms, admitted{false, false}},
		{"half-open circuit", halfOpen, firstEjection + 100*ms, admitted{false, true}},
		{"half-open, and no repeatable request came", halfOpen, firstEjection + probeWait + 100*ms, admitted{true, true}},
		{"a probe is in flight", func(r *Record) {
			halfOpen(r)
			r.Begin(firstEjection + 100*ms)
		}, firstEjection + 200*ms, admitted{false, false}},
		{"the probe was inconclusive", func(r *Record) {
			halfOpen(r)
			r.Begin(firstEjection + 100*ms)
			r.Inconclusive()
		}, firstEjection + 200*ms, admitted{false, true}},
		{"half of the requests of other hosts fail", func(r *Record) { r.SetPeerEvidence(0, Evidence{Bad: 5, Good: 3}) }, 0, admitted{false, true}},
		{"a third of the requests of other hosts fails", func(r *Record) { r.SetPeerEvidence(0, Evidence{Bad: 4, Good: 6}) }, 0, admitted{true, true}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var r Record
			tc.do(&r)
			nonRepeatable, _ := r.Admits(tc.at, false)
			repeatable, _ := r.Admits(tc.at, true)
			must.EqOp(t, tc.want, admitted{nonRepeatable, repeatable})
		})
	}
}

// TestLocalEvidence checks that the weight that one host reports is limited, with the failure ratio unchanged.
func TestLocalEvidence(t *testing.T) {
	var r Record
	for range 30 {
		r.Fail(0, 0, Errored, 0)
		r.Succeed(0)
	}
	e := r.LocalEvidence(0)
	must.InDelta(t, maxSharedWeight, e.Good+e.Bad, 1e-9)
	must.InDelta(t, e.Good, e.Bad, 1e-9)
	must.Less(t, 0.1, r.LocalEvidence(20*time.Second).Bad)
}
