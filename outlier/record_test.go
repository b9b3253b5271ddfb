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

// fail lets n requests fail at a moment.
func fail(r *Record, at time.Duration, f Failure, n int) {
	for range n {
		r.Fail(at, at, f, 0)
	}
}

// TestState tells what an endpoint is taken for after some outcomes.
func TestState(t *testing.T) {
	cases := []struct {
		name string
		do   func(r *Record)
		at   time.Duration
		want State
	}{
		{"nothing known", func(*Record) {}, 0, Closed},
		{"a refused connection", func(r *Record) { fail(r, 0, Unreachable, 1) }, 0, Open},
		{"one answer that did not come", func(r *Record) { fail(r, 0, Unanswered, 1) }, 0, Closed},
		{"two in a row", func(r *Record) { fail(r, 0, Unanswered, 2) }, 0, Open},
		{"two with a sign of life between", func(r *Record) {
			fail(r, 0, Unanswered, 1)
			r.AnswerStarted()
			fail(r, 0, Unanswered, 1)
		}, 0, Closed},
		{"two answers that broke off", func(r *Record) { fail(r, 0, Broken, 2) }, 0, Closed},
		{"three, with signs of life between", func(r *Record) {
			for range 3 {
				r.AnswerStarted()
				fail(r, 0, Broken, 1)
			}
		}, 0, Open},
		{"four errors", func(r *Record) { fail(r, 0, Errored, 4) }, 0, Closed},
		{"five errors", func(r *Record) { fail(r, 0, Errored, 5) }, 0, Open},
		{"three times full", func(r *Record) { fail(r, 0, Rejected, 3) }, 0, Closed},
		{"four times full", func(r *Record) { fail(r, 0, Rejected, 4) }, 0, Open},
		{"failures among good answers", func(r *Record) {
			for range 20 {
				fail(r, 0, Unanswered, 1)
				r.Succeed(0)
			}
		}, 0, Closed},
		{"the time is over", func(r *Record) { fail(r, 0, Unanswered, 2) }, firstEjection, HalfOpen},
		{"answered again", func(r *Record) {
			fail(r, 0, Unanswered, 2)
			r.Succeed(firstEjection)
		}, firstEjection, Closed},
		{"it tells its load again", func(r *Record) {
			fail(r, 0, Unreachable, 1)
			r.NoteLoadReport()
		}, 0, HalfOpen},
		{"requests that were under way count once", func(r *Record) {
			fail(r, 0, Unreachable, 1)
			for range 9 {
				r.Fail(500*ms, -time.Second, Broken, 0)
			}
		}, firstEjection + 2*half, HalfOpen},
		{"a probe fails: twice as long", func(r *Record) {
			fail(r, 0, Unreachable, 1)
			fail(r, firstEjection, Unreachable, 1)
		}, 2*firstEjection + 900*ms, Open},
		{"never longer than the bound", func(r *Record) {
			for i := range 20 {
				fail(r, time.Duration(i)*time.Minute, Unreachable, 1)
			}
		}, 19*time.Minute + longestEjection, HalfOpen},
		{"other hosts saw it fail only", func(r *Record) { r.SetPeerEvidence(0, Evidence{Bad: 6}) }, 0, Open},
		{"one other host", func(r *Record) { r.SetPeerEvidence(0, Evidence{Bad: 9}.bounded()) }, 0, Closed},
		{"some saw it answer", func(r *Record) { r.SetPeerEvidence(0, Evidence{Bad: 6, Good: 6}) }, 0, Closed},
		{"it was a while ago", func(r *Record) { r.SetPeerEvidence(0, Evidence{Bad: 6}) }, firstEjection, HalfOpen},
		{"and one of them had an answer since", func(r *Record) {
			r.SetPeerEvidence(0, Evidence{Bad: 6})
			r.SetPeerEvidence(2*firstEjection, Evidence{Bad: 1, Good: 1})
		}, 2 * firstEjection, Closed},
		{"and it fails them still", func(r *Record) {
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

// TestAdmits tells which requests an endpoint gets.
func TestAdmits(t *testing.T) {
	type answer struct{ once, repeatable bool }
	half := func(r *Record) { fail(r, 0, Unreachable, 1) }
	cases := []struct {
		name string
		do   func(r *Record)
		at   time.Duration
		want answer
	}{
		{"sound", func(*Record) {}, 0, answer{true, true}},
		{"ejected", half, 500 * ms, answer{false, false}},
		{"half open", half, firstEjection + 100*ms, answer{false, true}},
		{"half open, and nothing that may be repeated came", half, firstEjection + probeWait + 100*ms, answer{true, true}},
		{"a probe is under way", func(r *Record) {
			half(r)
			r.Begin(firstEjection + 100*ms)
		}, firstEjection + 200*ms, answer{false, false}},
		{"the probe was given up", func(r *Record) {
			half(r)
			r.Begin(firstEjection + 100*ms)
			r.Inconclusive()
		}, firstEjection + 200*ms, answer{false, true}},
		{"half of it fails elsewhere", func(r *Record) { r.SetPeerEvidence(0, Evidence{Bad: 5, Good: 3}) }, 0, answer{false, true}},
		{"a third of it fails elsewhere", func(r *Record) { r.SetPeerEvidence(0, Evidence{Bad: 4, Good: 6}) }, 0, answer{true, true}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var r Record
			tc.do(&r)
			once, _ := r.Admits(tc.at, false)
			again, _ := r.Admits(tc.at, true)
			must.EqOp(t, tc.want, answer{once, again})
		})
	}
}

// TestTold bounds what one host tells, with the part that failed unchanged.
func TestTold(t *testing.T) {
	var r Record
	for range 30 {
		r.Fail(0, 0, Errored, 0)
		r.Succeed(0)
	}
	e := r.LocalEvidence(0)
	must.InDelta(t, mostTold, e.Good+e.Bad, 1e-9)
	must.InDelta(t, e.Good, e.Bad, 1e-9)
	must.Less(t, 0.1, r.LocalEvidence(20*time.Second).Bad)
}
