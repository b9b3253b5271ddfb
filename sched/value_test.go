// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package sched

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/settings"
)

// newObjectiveScheduler returns a scheduler with engines of the given step times, prompt tokens
// and running requests.
func newObjectiveScheduler(steps []time.Duration, prefill, running []int) *Scheduler {
	s := &Scheduler{Rand: rand.New(rand.NewPCG(1, 2)), SharingHosts: 6}
	s.Init()
	var list []Endpoint
	for i := range steps {
		list = append(list, Endpoint{Name: fmt.Sprint(i), Engine: true, Slots: 10})
	}
	s.SetEndpoints(list)
	for i, step := range steps {
		s.ApplyReport(0, fmt.Sprint(i), Report{
			Running: running[i], PrefillTokens: prefill[i], Slots: 10, Step: step, PrefillPerStep: 200, Model: "m", AcceptsPrompts: true,
		})
	}
	return s
}

func TestChooseByValue(t *testing.T) {
	fast, slow := 3*time.Millisecond, 14*time.Millisecond
	cases := []struct {
		name             string
		steps            []time.Duration
		prefill, running []int
		prompt, out      int
		want             string // endpoint, or "" to wait
	}{
		{"a long prompt goes to the fast engine", []time.Duration{slow, fast}, []int{0, 0}, []int{0, 4}, 30000, 100, "1"},
		{"a long answer goes to the fast engine", []time.Duration{slow, fast}, []int{0, 0}, []int{0, 4}, 500, 1500, "1"},
		{"a short prompt avoids an engine with prompts to compute", []time.Duration{fast, fast}, []int{60000, 0}, []int{1, 5}, 500, 50, "1"},
		{"the less loaded of two equal engines", []time.Duration{fast, fast}, []int{0, 0}, []int{8, 1}, 500, 50, "1"},
		{"all engines full", []time.Duration{fast, fast}, []int{0, 0}, []int{16, 16}, 500, 50, ""},
		{"no engine meets the deadline", []time.Duration{slow}, []int{0}, []int{0}, 500, 100000, ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := newObjectiveScheduler(tc.steps, tc.prefill, tc.running)
			s.cfg.Disabled.Share = true
			s.Config.Disabled.Share = true
			for range 20 { // the choice is random
				r := &Request{
					Settings: &settings.Effective{Workspace: "w", Service: "s", Weight: 1, MaxQueued: 10}, Model: "m", PromptTokens: tc.prompt,
					MaxTokens: tc.out, ExpectedTokens: tc.out, Deadline: 15 * time.Second, DispatchBy: 200 * time.Millisecond,
					Objective: Objective{FirstToken: 800 * time.Millisecond, EventGap: 400 * time.Millisecond, EventTokens: 5},
				}
				d := s.Submit(0, r)
				must.EqOp(t, tc.want, d.Endpoint)
				if d.Verdict == Run {
					s.Done(0, r, Canceled, 0)
				}
				if d.Verdict == Wait {
					s.Withdraw(r)
				}
			}
		})
	}
}

// TestLastChanceWithNegativeValue checks a request with a negative value at every endpoint,
// because the cost of its prompt to other streams exceeds the value of its answer: at its queue
// deadline it is dispatched anyway, since endpoints have room.
func TestLastChanceWithNegativeValue(t *testing.T) {
	s := newObjectiveScheduler([]time.Duration{12 * time.Millisecond, 12 * time.Millisecond}, []int{40000, 40000}, []int{8, 8})
	r := &Request{
		Settings: &settings.Effective{Workspace: "w", Service: "s", Weight: 1, MaxQueued: 10}, Model: "m", PromptTokens: 60000,
		MaxTokens: 100, ExpectedTokens: 100, Deadline: 20 * time.Second, DispatchBy: 200 * time.Millisecond,
		Objective: Objective{FirstToken: 800 * time.Millisecond, EventGap: 250 * time.Millisecond, EventTokens: 6},
	}
	must.EqOp(t, Wait, s.Submit(0, r).Verdict)
	decisions := s.Poll(r.DispatchBy)
	must.Len(t, 1, decisions)
	must.EqOp(t, Run, decisions[0].Verdict)
}

// TestStalls compares the gap caused by computing prompts with the wanted one.
func TestStalls(t *testing.T) {
	cases := []struct {
		name        string
		step        time.Duration
		gap         time.Duration
		eventTokens int
		prompt      int
		want        bool
	}{
		{"fast engine, long prompt", 3 * time.Millisecond, 400 * time.Millisecond, 5, 50000, false},
		{"slow engine, long prompt", 14 * time.Millisecond, 400 * time.Millisecond, 5, 50000, true},
		{"slow engine, short prompt", 14 * time.Millisecond, 400 * time.Millisecond, 5, 3000, false},
		{"slow engine, medium prompt", 14 * time.Millisecond, 400 * time.Millisecond, 5, 5000, true},
		{"slow engine, short prompt, longer events", 14 * time.Millisecond, 400 * time.Millisecond, 20, 3000, true},
		{"no gap objective", 14 * time.Millisecond, 0, 5, 50000, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := newObjectiveScheduler([]time.Duration{tc.step}, []int{0}, []int{0})
			r := &Request{Objective: Objective{FirstToken: time.Second, EventGap: tc.gap, EventTokens: tc.eventTokens}}
			must.EqOp(t, tc.want, s.stalls(r, s.byName["0"], tc.step, tc.prompt))
		})
	}
}

// TestLastChance checks that a request with too little value at every endpoint is dispatched at
// its queue deadline.
func TestLastChance(t *testing.T) {
	s := newObjectiveScheduler([]time.Duration{14 * time.Millisecond}, []int{200000}, []int{1})
	request := func(prompt int) *Request {
		return &Request{
			Settings: &settings.Effective{Workspace: "w", Service: "s", Weight: 1, MaxQueued: 10}, Model: "m", PromptTokens: prompt, MaxTokens: 900,
			ExpectedTokens: 900, Deadline: 14 * time.Second, DispatchBy: 200 * time.Millisecond,
			Objective: Objective{FirstToken: 800 * time.Millisecond, EventGap: 400 * time.Millisecond, EventTokens: 5},
		}
	}
	r := request(20000)
	must.EqOp(t, Wait, s.Submit(0, r).Verdict)
	out := s.Poll(201 * time.Millisecond)
	must.Len(t, 1, out)
	must.EqOp(t, Run, out[0].Verdict)
}

// TestLastChanceWithoutObjective checks that a request without an objective is dispatched as well
// if an endpoint is available again at its queue deadline.
func TestLastChanceWithoutObjective(t *testing.T) {
	cases := []struct {
		name string
		poll time.Duration
		want Verdict
	}{
		{"the endpoint is available again", 100 * time.Millisecond, Run},
		{"it is still backed off", 59 * time.Millisecond, Refuse},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := &Scheduler{Rand: rand.New(rand.NewPCG(1, 2)), SharingHosts: 1}
			s.Init()
			s.SetEndpoints([]Endpoint{{Name: "a", Engine: true, Slots: 1}})
			s.ApplyReport(0, "a", Report{Slots: 1, Step: 20 * time.Millisecond, Model: "m", AcceptsPrompts: true})
			request := func(start time.Duration) *Request {
				e := &settings.Effective{Workspace: "w", Service: "s", Weight: 1, MaxQueued: 10}
				return &Request{Settings: e, Model: "m", MaxTokens: 1, Deadline: time.Second, DispatchBy: start}
			}
			first := request(time.Second)
			must.EqOp(t, Run, s.Submit(0, first).Verdict)
			s.BackOff(0, first, 60*time.Millisecond)
			must.EqOp(t, Wait, s.Redispatch(0, first).Verdict) // its endpoint is backed off
			s.Withdraw(first)
			must.EqOp(t, Wait, s.Submit(0, request(min(66*time.Millisecond, tc.poll))).Verdict)
			out := s.Poll(tc.poll)
			must.Len(t, 1, out)
			must.EqOp(t, tc.want, out[0].Verdict)
		})
	}
}

// TestSameZoneFirst checks that an endpoint in the same zone is chosen unless it has much less
// room, however many endpoints other zones have.
func TestSameZoneFirst(t *testing.T) {
	const n = 12 // the first is in the same zone
	cases := []struct {
		name            string
		sameZoneRunning int
		low, high       int // of 100 requests, those that go to the same zone
	}{
		{"equal load", 0, 100, 100},
		{"slightly higher load", 3, 100, 100},
		{"much higher load", 8, 0, 0},
		{"none", 10, 0, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := &Scheduler{Config: Config{CrossZoneCost: 0.6, Disabled: Rules{Share: true}}, Rand: rand.New(rand.NewPCG(1, 2)), SharingHosts: 1}
			s.Init()
			var list []Endpoint
			for i := range n {
				list = append(list, Endpoint{Name: fmt.Sprint(i), Engine: true, Slots: 10, CrossZone: i > 0})
			}
			s.SetEndpoints(list)
			for i := range n {
				rep := Report{Slots: 10, Step: 3 * time.Millisecond, PrefillPerStep: 200, Model: "m", AcceptsPrompts: true}
				if i == 0 {
					rep.Running = tc.sameZoneRunning
				}
				s.ApplyReport(0, fmt.Sprint(i), rep)
			}
			sameZone := 0
			for range 100 {
				r := &Request{
					Settings: &settings.Effective{Workspace: "w", Service: "s", Weight: 1, MaxQueued: 10}, Model: "m", PromptTokens: 500,
					MaxTokens: 100, ExpectedTokens: 100, Deadline: 15 * time.Second, Objective: Objective{FirstToken: time.Second, EventGap: time.Second, EventTokens: 5},
				}
				d := s.Submit(0, r)
				must.EqOp(t, Run, d.Verdict)
				if d.Endpoint == "0" {
					sameZone++
				}
				s.Done(0, r, Canceled, 0)
			}
			must.Between(t, tc.low, sameZone, tc.high)
		})
	}
}

func BenchmarkChooseByValue(b *testing.B) {
	for _, n := range []int{22, 100, 930} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			steps, prefill, running := make([]time.Duration, n), make([]int, n), make([]int, n)
			for i := range n {
				steps[i], running[i] = time.Duration(2+i%12)*time.Millisecond, i%5
			}
			s := newObjectiveScheduler(steps, prefill, running)
			e := &settings.Effective{Workspace: "w", Service: "s", Weight: 1, MaxQueued: 10}
			b.ReportAllocs()
			for b.Loop() {
				r := Request{
					Settings: e, Model: "m", PromptTokens: 600, MaxTokens: 300, ExpectedTokens: 300, Deadline: 15 * time.Second,
					Objective: Objective{FirstToken: 800 * time.Millisecond, EventGap: 400 * time.Millisecond, EventTokens: 5},
				}
				if s.Submit(0, &r).Verdict == Run {
					s.Done(0, &r, Canceled, 0)
				}
			}
		})
	}
}
