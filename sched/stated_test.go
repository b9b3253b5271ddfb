// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/places"
)

// stateUsual makes an endpoint state its usual speed ten times a second until a time.
func stateUsual(d *slowdown, until time.Duration) {
	for at := 100 * time.Millisecond; at <= until; at += 100 * time.Millisecond {
		d.observe(at, 100)
	}
}

// TestSlowdownDecays guards against a statement that stays in force after the state that it told of, and against factors out of bounds.
func TestSlowdownDecays(t *testing.T) {
	var d slowdown
	must.EqOp(t, 1, d.now(0))
	stateUsual(&d, time.Second)
	must.True(t, d.observe(1100*time.Millisecond, 300))
	must.Between(t, 2.9, d.now(1100*time.Millisecond), 3)
	must.Between(t, 1.9, d.now(1100*time.Millisecond+defaultSlowHalfLife), 2.1)
	must.Less(t, 1.02, d.now(time.Minute))
	must.False(t, d.observe(time.Second, 100)) // out of order
	must.True(t, d.observe(1200*time.Millisecond, 1_000_000))
	must.LessEq(t, maxSlowdown, d.now(1200*time.Millisecond))
	d.observe(1300*time.Millisecond, 1)
	must.GreaterEq(t, minSlowdown, d.now(1300*time.Millisecond))
}

// TestSlowdownOfConstantStatement guards against endpoints that are avoided, or overloaded, because they always state the same false value.
func TestSlowdownOfConstantStatement(t *testing.T) {
	for _, stated := range []int{1, 25, 800, 1_000_000} {
		t.Run(fmt.Sprint(stated), func(t *testing.T) {
			var fromStart, later slowdown
			stateUsual(&later, 2*time.Second)
			for at := 2100 * time.Millisecond; at < 27*time.Second; at += 100 * time.Millisecond {
				fromStart.observe(at, stated)
				later.observe(at, stated)
				if at >= 3*time.Second {
					must.Between(t, 0.99, fromStart.now(at), 1.01)
				}
			}
			must.Between(t, 0.99, later.now(27*time.Second), 1.01)
		})
	}
}

// TestSlowdownHalfLife checks that the half-life follows the observed length of slow states.
func TestSlowdownHalfLife(t *testing.T) {
	for _, length := range []time.Duration{300 * time.Millisecond, 2 * time.Second} {
		t.Run(length.String(), func(t *testing.T) {
			var d slowdown
			for at := 50 * time.Millisecond; at < time.Minute; at += 50 * time.Millisecond {
				stated := 100
				if at%(6*time.Second) < length {
					stated = 250
				}
				d.observe(at, stated)
			}
			must.Between(t, length/2, d.currentHalfLife(), 2*length)
		})
	}
}

// TestStatedLoadDoubted guards against a host that believes an endpoint whose stated load leaves out requests that the host has there.
func TestStatedLoadDoubted(t *testing.T) {
	s := benchScheduler(1)
	var sent []*Request
	for i := range 4 {
		r := &Request{Settings: benchSettings("w"), Model: "m", PromptTokens: 10, MaxTokens: 10, Arrived: time.Second, Deadline: time.Hour}
		must.EqOp(t, Run, s.Submit(time.Second+time.Duration(i), r).Verdict)
		sent = append(sent, r)
	}
	observe := func(r *Request, running, waiting int) bool {
		believed, _ := s.ObserveStatedLoad(2*time.Second, "e0000", r, places.StatedLoad{Running: running, Waiting: waiting, Slots: 16, Slowdown: 300})
		return believed
	}
	must.False(t, observe(sent[3], 2, 0)) // three were sent before
	must.True(t, observe(sent[3], 1, 2))
	must.True(t, observe(sent[0], 0, 0)) // the others may not have arrived when it was answered
}

// slowScheduler returns a scheduler with engines of which the first states to be slow.
func slowScheduler(n int, now time.Duration) *Scheduler {
	s := benchScheduler(n)
	for _, e := range s.endpoints {
		stateUsual(&e.stated, now-time.Millisecond)
	}
	s.ObserveReportedLoad(now, "e0000", places.StatedLoad{Slots: 16, Slowdown: 300})
	return s
}

// TestSlowEndpointIsLeft guards against requests and grants for an endpoint that states to be slow while others have room, against losing
// its slots while they have none, and against a switch that does not switch off.
func TestSlowEndpointIsLeft(t *testing.T) {
	now := time.Second
	s := slowScheduler(3, now)
	must.Between(t, 290, s.Slowdown(now, "e0000"), 300)
	must.EqOp(t, 1, s.StatedSlow(now))
	must.EqOp(t, 2, s.TierLimit(now, "e0000")(0))
	must.Greater(t, 10, s.TierLimit(now, "e0001")(0))
	for i := range 8 {
		r := &Request{Settings: benchSettings("w"), Model: "m", PromptTokens: 10, MaxTokens: 10, Arrived: now, Deadline: time.Hour, Objective: Objective{FirstToken: time.Second}}
		d := s.Submit(now+time.Duration(i), r)
		must.EqOp(t, Run, d.Verdict)
		must.NotEqOp(t, "e0000", d.Endpoint)
	}
	for _, name := range []string{"e0001", "e0002"} {
		s.ApplyReport(now, name, Report{At: now, Running: 16, Slots: 16, Step: 4 * time.Millisecond, Model: "m", AcceptsPrompts: true})
	}
	must.Greater(t, 10, s.TierLimit(now+time.Millisecond, "e0000")(0))
	s.cfg.Disabled.StatedLoad = true
	must.EqOp(t, 0, s.Slowdown(now, "e0000"))
	must.EqOp(t, 0, s.StatedSlow(now))
}

// TestSlowGrant checks that a host takes the slowdown over from the owner, and keeps one that it read itself for a while.
func TestSlowGrant(t *testing.T) {
	s := benchScheduler(1)
	s.ApplyGrant(time.Second, "e0000", places.Grant{Slow: 250})
	must.EqOp(t, 250, s.Slowdown(time.Second, "e0000"))
	s.ApplyGrant(time.Second+ownStatementTTL, "e0000", places.Grant{})
	must.Greater(t, 200, s.Slowdown(time.Second+ownStatementTTL, "e0000"))
	s.ApplyGrant(time.Second+2*ownStatementTTL, "e0000", places.Grant{})
	must.EqOp(t, 0, s.Slowdown(time.Second+2*ownStatementTTL, "e0000"))
	s.ApplyGrant(2*time.Second, "e0000", places.Grant{Slow: -5})
	must.EqOp(t, 0, s.Slowdown(2*time.Second, "e0000"))
	s.ApplyGrant(2*time.Second, "e0000", places.Grant{Slow: 1 << 30})
	must.EqOp(t, 800, s.Slowdown(2*time.Second, "e0000"))
}

// BenchmarkStatedLoad measures a statement, and the decision on a request and its end, where every sixth endpoint states to be slow.
func BenchmarkStatedLoad(b *testing.B) {
	for _, tc := range []struct {
		endpoints int
		off       bool
	}{{22, false}, {140, true}, {140, false}} {
		n := tc.endpoints
		b.Run(fmt.Sprintf("endpoints=%d/off=%v", n, tc.off), func(b *testing.B) {
			now := 2 * time.Second
			s := slowScheduler(n, now)
			s.cfg.Disabled.StatedLoad = tc.off
			eff := benchSettings("w")
			r := &Request{}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now += time.Millisecond
				e := s.endpoints[i%n]
				slow := 100
				if i%6 == 0 {
					slow = 250
				}
				s.ObserveReportedLoad(now, e.Name, places.StatedLoad{Running: 3, Slots: 16, Slowdown: slow})
				*r = Request{Settings: eff, Model: "m", PromptTokens: 100, MaxTokens: 100, Arrived: now, Deadline: now + time.Hour, Objective: Objective{FirstToken: time.Second}}
				if d := s.Submit(now, r); d.Verdict != Run {
					b.Fatal(d)
				}
				s.FirstToken(now, r)
				s.Done(now, r, Completed, 100)
			}
		})
	}
}
