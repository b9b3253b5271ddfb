// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package sched

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// restEnd returns a time by which a rest of d asked for at now is over, whatever its random part.
func restEnd(now, d time.Duration) time.Duration { return now + d + maxRestSpread }

// TestRestBindsWhileOthersFail checks that an endpoint at rest gets nothing while so many others fail that ejections do not count, nor
// as the last chance of a request.
func TestRestBindsWhileOthersFail(t *testing.T) {
	s := newTestScheduler(Config{}, engine{name: "a", slots: 4}, engine{name: "b", slots: 4})
	s.Rest(s.now, "a", 3*time.Second)
	s.byName["a"].claims, s.byName["a"].claimedAt = 3, s.now // granted before
	for _, p := range s.pools {
		p.panicMode = true
	}
	for range 40 {
		r := s.request("w", 0)
		r.lastChance, r.rationExempt = true, true
		if d := s.Submit(s.now, r); d.Verdict == Run {
			must.EqOp(t, "b", d.Endpoint)
		}
	}
	must.Zero(t, s.InFlight("a"))
	must.EqOp(t, 1, s.Resting(s.now))
	must.False(t, s.Rests(restEnd(s.now, 3*time.Second), "a"))
}

// TestOneRequestFollowsRest checks that one request at a time goes to an endpoint after its rest until one is answered.
func TestOneRequestFollowsRest(t *testing.T) {
	s := newTestScheduler(Config{}, engine{name: "a", slots: 8})
	s.Rest(s.now, "a", time.Second)
	s.now = restEnd(s.now, time.Second)
	rs, _ := s.submit(3, "w", 0)
	must.EqOp(t, 1, s.InFlight("a"))
	s.Done(s.now, rs[0], Canceled, 0) // says nothing
	must.SliceLen(t, 1, s.Poll(s.now))
	must.EqOp(t, 1, s.InFlight("a"))
	s.FirstToken(s.now, rs[1])
	s.Wake()
	must.SliceLen(t, 1, s.Poll(s.now))
	s.submit(2, "w", 0)
	must.EqOp(t, 4, s.InFlight("a"))
}

// TestAnswerDoesNotEndLaterRest checks that the answer to the first request after a rest does not end a rest that was asked for since.
func TestAnswerDoesNotEndLaterRest(t *testing.T) {
	s := newTestScheduler(Config{}, engine{name: "a", slots: 8})
	s.Rest(s.now, "a", time.Second)
	s.now = restEnd(s.now, time.Second)
	rs, _ := s.submit(1, "w", 0)
	s.Rest(s.now, "a", 5*time.Second)
	s.FirstToken(s.now, rs[0])
	must.True(t, s.Rests(s.now+4*time.Second, "a"))
	s.Rest(s.now, "a", time.Second) // the longer one holds
	must.True(t, s.Rests(s.now+4*time.Second, "a"))
}

// TestRetryAfterNamesEndOfRest checks that a request is refused at once if all endpoints rest for longer than it may wait, with the time
// until the first rest ends, and that it waits if the rest ends before.
func TestRetryAfterNamesEndOfRest(t *testing.T) {
	s := newTestScheduler(Config{}, engine{name: "a", slots: 8}, engine{name: "b", slots: 8})
	s.Rest(s.now, "a", 3*time.Second)
	s.Rest(s.now, "b", 5*time.Second)
	r := s.request("w", 0)
	r.DispatchBy = s.now + time.Second
	d := s.Submit(s.now, r)
	must.EqOp(t, Refuse, d.Verdict)
	must.EqOp(t, ReasonRest, d.Reason)
	must.Between(t, 3*time.Second, d.RetryAfter, 3*time.Second+maxRestSpread)

	_, d = s.submit(1, "w", 0)
	must.EqOp(t, Wait, d.Verdict)
	must.SliceEmpty(t, s.Poll(s.now+3*time.Second-time.Millisecond))
	s.now = restEnd(s.now, 3*time.Second)
	s.Tick(s.now)
	out := s.Poll(s.now)
	must.SliceLen(t, 1, out)
	must.EqOp(t, "a", out[0].Endpoint)
}

// TestWaitingRequestIsToldOfRest checks that a request that waits is refused once all endpoints rest for longer than it may wait.
func TestWaitingRequestIsToldOfRest(t *testing.T) {
	s := newTestScheduler(Config{}, engine{name: "a", slots: 1})
	s.submit(1, "w", 0)
	r := s.request("w", 1)
	r.DispatchBy = s.now + time.Second
	must.EqOp(t, Wait, s.Submit(s.now, r).Verdict)
	s.Rest(s.now, "a", 2*time.Second)
	out := s.Poll(s.now)
	must.SliceLen(t, 1, out)
	must.EqOp(t, ReasonRest, out[0].Reason)
	must.GreaterEq(t, 2*time.Second, out[0].RetryAfter)
}

// TestRestBindsOneHost checks that the owner of an endpoint's slots grants them to other hosts while it rests itself.
func TestRestBindsOneHost(t *testing.T) {
	s := newTestScheduler(Config{}, engine{name: "a", slots: 8})
	s.Rest(s.now, "a", 3*time.Second)
	must.Positive(t, s.TierLimit(s.now, "a")(0))
}

// TestEndpointThatAskedForRestIsNotOverfilled checks that an endpoint gets no more requests than it has slots for a minute after it asked
// for rest.
func TestEndpointThatAskedForRestIsNotOverfilled(t *testing.T) {
	const slots = 8
	s := newTestScheduler(Config{Overcommit: 0.25}, engine{name: "a", slots: slots})
	s.SharingHosts = 2
	must.Greater(t, slots, s.TierLimit(s.now, "a")(0))
	s.Rest(s.now, "a", time.Second)
	must.EqOp(t, slots, s.TierLimit(s.now, "a")(0))
	s.now += restMemory
	must.Greater(t, slots, s.TierLimit(s.now, "a")(0))
}
