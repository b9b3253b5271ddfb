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

// testScheduler is a scheduler with a few engines and a clock.
type testScheduler struct {
	*Scheduler
	now  time.Duration
	next int
}

// engine describes an engine of a testScheduler.
type engine struct {
	name    string
	slots   int
	running int
	step    time.Duration
}

// newTestScheduler returns a scheduler whose engines have reported.
func newTestScheduler(cfg Config, engines ...engine) *testScheduler {
	s := &testScheduler{Scheduler: &Scheduler{Config: cfg, Rand: rand.New(rand.NewPCG(1, 2)), SharingHosts: 1}, now: time.Second}
	s.Init()
	var list []Endpoint
	for _, e := range engines {
		list = append(list, Endpoint{Name: e.name, Engine: true, Slots: e.slots})
	}
	s.SetEndpoints(list)
	for _, e := range engines {
		s.report(e, s.now)
	}
	return s
}

// report applies a report of an engine.
func (s *testScheduler) report(e engine, at time.Duration) {
	step := e.step
	if step == 0 {
		step = 5 * time.Millisecond
	}
	s.ApplyReport(s.now, e.name, Report{At: at, Running: e.running, Slots: e.slots, Step: step, PrefillPerStep: 512, Model: "m", AcceptsPrompts: true})
}

// request returns a request of a workspace and tier.
func (s *testScheduler) request(ws string, rank int) *Request {
	s.next++
	return &Request{
		ID: fmt.Sprint(s.next), Model: "m", PromptTokens: 64, MaxTokens: 20, Arrived: s.now, Deadline: s.now + time.Minute,
		Settings: &settings.Effective{
			Workspace: ws, Service: "s", Rank: rank, Deadline: time.Minute, Weight: 1, MaxQueued: 100, Affinity: true, MaxTokens: 20, RetryBudget: 0.1,
		},
	}
}

// submit submits n requests and returns them and the last decision.
func (s *testScheduler) submit(n int, ws string, rank int) (rs []*Request, last Decision) {
	for range n {
		r := s.request(ws, rank)
		last = s.Submit(s.now, r)
		rs = append(rs, r)
	}
	return rs, last
}

// end ends dispatched requests.
func (s *testScheduler) end(rs ...*Request) {
	for _, r := range rs {
		s.FirstToken(s.now, r)
		s.Done(s.now, r, Completed, 10)
	}
}

func TestReserveForHigherTiers(t *testing.T) {
	s := newTestScheduler(Config{}, engine{name: "a", slots: 10})
	var ranks []int
	for rank := 2; rank >= 0; rank-- {
		n := 0
		for range 30 {
			if _, d := s.submit(1, "w", rank); d.Verdict == Run {
				n++
			}
		}
		ranks = append(ranks, n)
	}
	must.Eq(t, []int{8, 1, 6}, ranks)
}

func TestHigherTierGoesFirst(t *testing.T) {
	s := newTestScheduler(Config{}, engine{name: "a", slots: 4})
	running, _ := s.submit(3, "w", 2)
	s.submit(5, "w", 2)
	high, d := s.submit(20, "w", 1)
	must.Eq(t, Wait, d.Verdict)
	s.end(running...)
	for _, d := range s.Poll(s.now) {
		must.Eq(t, 1, d.Request.rank())
	}
	must.False(t, high[0].waiting)
}

func TestWorkspacesShareByWeight(t *testing.T) {
	s := newTestScheduler(Config{}, engine{name: "a", slots: 2})
	running, _ := s.submit(1, "x", 1)
	for range 60 {
		s.submit(1, "flood", 1)
	}
	for range 20 {
		s.submit(1, "small", 1)
	}
	served := map[string]int{}
	for range 30 {
		s.now += 10 * time.Millisecond
		s.end(running...)
		running = running[:0]
		for _, d := range s.Poll(s.now) {
			must.Eq(t, Run, d.Verdict)
			served[d.Request.Settings.Workspace]++
			running = append(running, d.Request)
		}
	}
	const tolerance = 2 // requests
	must.InDelta(t, served["flood"], served["small"], tolerance)
}

func TestFullHostShedsTheNewestOfTheLowestTier(t *testing.T) {
	s := newTestScheduler(Config{MaxWaiting: 4}, engine{name: "a", slots: 1})
	s.submit(1, "w", 0)
	s.submit(1, "w", 0)
	low, _ := s.submit(3, "w", 2)
	s.submit(1, "w", 1)
	must.Eq(t, 4, s.Waiting())
	high := s.request("w", 1)
	must.Eq(t, Wait, s.Submit(s.now, high).Verdict)
	decisions := s.Poll(s.now)
	must.Len(t, 1, decisions)
	must.Eq(t, low[2], decisions[0].Request)
	must.Eq(t, ReasonShed, decisions[0].Reason)
	_, d := s.submit(1, "w", 2)
	must.Eq(t, Refuse, d.Verdict)
}

func TestFloorRefusesLowerTiers(t *testing.T) {
	s := newTestScheduler(Config{}, engine{name: "a", slots: 10})
	must.Eq(t, Run, s.Submit(s.now, s.request("w", 2)).Verdict)
	s.SetFloor(s.now, FloorState{Pool: PoolKey(nil, "m"), Rank: 1, Age: 100 * time.Millisecond})
	must.Eq(t, ReasonFloor, s.Submit(s.now, s.request("w", 2)).Reason)
	must.Eq(t, Run, s.Submit(s.now, s.request("w", 1)).Verdict)
	must.Len(t, 1, s.Floors(s.now))
	s.now += 1200 * time.Millisecond
	must.Len(t, 0, s.Floors(s.now))
	must.Eq(t, Run, s.Submit(s.now, s.request("w", 2)).Verdict)
}

func TestRefusals(t *testing.T) {
	cases := []struct {
		name  string
		setup func(*testScheduler, *Request)
		want  Reason
	}{
		{"deadline shorter than any completion", func(_ *testScheduler, r *Request) { r.Deadline = r.Arrived + time.Millisecond }, ReasonDeadline},
		{"deadline shorter than the estimated wait", func(s *testScheduler, r *Request) {
			s.submit(100, "w", 1)
			r.Deadline = r.Arrived + 200*time.Millisecond
			r.Settings.Workspace = "w2"
			r.Settings.Weight = 0.01
			s.submit(1, "w2", 1)
		}, ReasonDeadline},
		{"workspace queue full", func(s *testScheduler, _ *Request) { s.submit(103, "w", 1) }, ReasonQueueFull},
		{"rate", func(s *testScheduler, r *Request) {
			for range 5 {
				q := s.request("w", 1)
				q.Settings.Rate, q.Settings.RateScope = 10, "w"
				s.Submit(s.now, q)
			}
			r.Settings.Rate, r.Settings.RateScope = 10, "w"
		}, ReasonRate},
		{"retry budget", func(s *testScheduler, r *Request) {
			for range budgetBurst {
				q := s.request("w", 1)
				q.Retry = true
				must.NotEq(t, ReasonRetryBudget, s.Submit(s.now, q).Reason)
			}
			r.Retry = true
		}, ReasonRetryBudget},
		{"no engine holds the model", func(_ *testScheduler, r *Request) { r.Model = "other" }, ReasonNoEndpoint},
		{"no plain service", func(_ *testScheduler, r *Request) { r.Model = "" }, ReasonNoEndpoint},
	}
	for _, c := range cases {
		s := newTestScheduler(Config{}, engine{name: "a", slots: 4})
		r := s.request("w", 1)
		c.setup(s, r)
		d := s.Submit(s.now, r)
		must.Eq(t, c.want, d.Reason, must.Sprint(c.name))
		must.GreaterEq(t, minRetryAfter, d.RetryAfter, must.Sprint(c.name))
	}
}

func TestConcurrencyIsSharedByScope(t *testing.T) {
	s := newTestScheduler(Config{}, engine{name: "a", slots: 50})
	var rs []*Request
	for range 5 {
		r := s.request("w", 1)
		r.Settings.Concurrency, r.Settings.ConcurrencyScope = 3, "workspaces/w"
		s.Submit(s.now, r)
		rs = append(rs, r)
	}
	must.Eq(t, 2, s.Waiting())
	s.end(rs[0])
	must.Len(t, 1, s.Poll(s.now))
}

func TestDeadlinePassesWhileWaiting(t *testing.T) {
	s := newTestScheduler(Config{}, engine{name: "a", slots: 1})
	s.submit(2, "w", 0)
	_, d := s.submit(1, "w", 1)
	must.Eq(t, Wait, d.Verdict)
	s.now += time.Minute
	decisions := s.Poll(s.now)
	must.Len(t, 1, decisions)
	must.Eq(t, ReasonDeadline, decisions[0].Reason)
	must.Zero(t, s.Waiting())
}

func TestRequestsWaitForFirstReport(t *testing.T) {
	s := newTestScheduler(Config{}, engine{name: "a", slots: 4})
	s.SetEndpoints([]Endpoint{{Name: "new", Engine: true}})
	_, d := s.submit(1, "w", 0)
	must.Eq(t, Wait, d.Verdict)
	s.report(engine{name: "new", slots: 4}, s.now)
	must.Len(t, 1, s.Poll(s.now))
}

func TestReportsAreCorrectedByOwnDispatches(t *testing.T) {
	s := newTestScheduler(Config{Disabled: Rules{RandomTies: true}}, engine{name: "a", slots: 10, running: 2}, engine{name: "b", slots: 10, running: 2})
	seen := map[string]int{}
	for range 8 {
		_, d := s.submit(1, "w", 1)
		seen[d.Endpoint]++
	}
	must.Eq(t, 4, seen["a"])
	// A delayed report that includes own requests does not count them twice.
	s.now += time.Second
	s.report(engine{name: "a", slots: 10, running: 6}, s.now)
	must.Eq(t, 2, s.byName["a"].others)
	// An older report changes nothing.
	s.report(engine{name: "a", slots: 10, running: 9}, s.now-time.Second)
	must.Eq(t, 2, s.byName["a"].others)
}

func TestPrefixAffinityAndTransfer(t *testing.T) {
	cfg := Config{Disabled: Rules{RandomTies: true}}
	s := newTestScheduler(cfg, engine{name: "a", slots: 10}, engine{name: "b", slots: 10})
	blocks := Blocks(string(make([]byte, 64*BlockTokens*TokenBytes)))
	must.Len(t, 64, blocks)
	for _, b := range blocks {
		s.ApplyCacheEvent("b", b, false)
	}
	long := func() *Request {
		r := s.request("w", 1)
		r.Blocks, r.PromptTokens = blocks, 64*BlockTokens
		return r
	}
	d := s.Submit(s.now, long())
	must.Eq(t, "b", d.Endpoint)
	must.Eq(t, "", d.ImportFrom)
	s.SetLeaving("b", true)
	d = s.Submit(s.now, long())
	must.Eq(t, "a", d.Endpoint)
	must.Eq(t, "b", d.ImportFrom)
	for _, b := range blocks {
		s.ApplyCacheEvent("b", b, true)
	}
	must.Eq(t, "", s.Submit(s.now, long()).ImportFrom)
	must.Eq(t, d.Endpoint, s.Explain(d.Request.ID)[0].Endpoint)
}

func TestSlowEngineIsThrottledAndRestored(t *testing.T) {
	s := newTestScheduler(Config{}, engine{name: "a", slots: 8}, engine{name: "b", slots: 8}, engine{name: "c", slots: 8})
	first, _ := s.submit(1, "w", 0)
	s.end(first...)
	slow := s.byName["a"]
	for range 4 {
		s.observeTokens(s.now, slow, 10, 10*10*slow.step())
	}
	s.Tick(s.now)
	must.True(t, slow.throttled)
	seen := map[string]int{}
	for range 12 {
		r := s.request("w", 1)
		seen[s.Submit(s.now, r).Endpoint]++
	}
	must.LessEq(t, 1, seen["a"])
	// At most a third is throttled, however slow the others become.
	for range 4 {
		s.observeTokens(s.now, s.byName["b"], 10, 10*10*slow.step())
	}
	s.Tick(s.now)
	must.False(t, s.byName["b"].throttled)
	for range 12 {
		s.observeTokens(s.now, slow, 10, 10*slow.step())
	}
	s.Tick(s.now)
	must.False(t, slow.throttled)
}

func TestStuckEngineIsDetectedWithoutFirstToken(t *testing.T) {
	s := newTestScheduler(Config{}, engine{name: "a", slots: 8})
	s.submit(1, "w", 0)
	for range 20 {
		s.now += 100 * time.Millisecond
		s.Tick(s.now)
	}
	must.Greater(t, s.cfg.SlowThreshold, s.slowness(s.now, s.byName["a"]))
}

// TestGapIsExcluded checks that a time in which this process did not run makes no engine look slow
// and does not count as service time.
func TestGapIsExcluded(t *testing.T) {
	for _, noted := range []bool{false, true} {
		s := newTestScheduler(Config{}, engine{name: "a", slots: 8})
		rs, _ := s.submit(2, "w", 0)
		s.now += 20 * time.Millisecond
		s.FirstToken(s.now, rs[0])
		gap := 8 * time.Second
		s.now += gap
		if noted {
			s.NoteGap(gap)
		}
		s.Tick(s.now)
		s.end(rs...)
		e := s.byName["a"]
		must.EqOp(t, !noted, s.slowness(s.now, e) > s.cfg.SlowThreshold)
		must.EqOp(t, !noted, e.meanService > time.Second)
	}
}

func TestRedispatchUnsentAvoidsEndpoint(t *testing.T) {
	s := newTestScheduler(Config{}, engine{name: "a", slots: 8}, engine{name: "b", slots: 8})
	r := s.request("w", 0)
	first := s.Submit(s.now, r)
	second := s.RedispatchUnsent(s.now, r)
	must.Eq(t, Run, second.Verdict)
	must.NotEq(t, first.Endpoint, second.Endpoint)
	must.Zero(t, s.byName[first.Endpoint].own)
	must.Eq(t, 1, s.byName[second.Endpoint].own)
}

func TestLongRequestsLeaveRoomForShortOnes(t *testing.T) {
	s := newTestScheduler(Config{}, engine{name: "a", slots: 8})
	short, _ := s.submit(1, "w", 1)
	s.end(short...)
	long := func() Decision {
		r := s.request("w", 2)
		r.Settings.Service, r.MaxTokens, r.PromptTokens = "long", 64, 16000
		return s.Submit(s.now, r)
	}
	n := 0
	for range 8 {
		if long().Verdict == Run {
			n++
		}
	}
	must.Eq(t, 4, n)
	_, d := s.submit(1, "w", 1)
	must.Eq(t, Run, d.Verdict)
}

func TestBlocksMatchEqualPrefixes(t *testing.T) {
	a := make([]byte, 10*BlockTokens*TokenBytes)
	b := append([]byte(nil), a...)
	b[5*BlockTokens*TokenBytes] = 1
	x, y := Blocks(string(a)), Blocks(string(b))
	for i := range x {
		must.Eq(t, i < 5, x[i] == y[i], must.Sprint(i))
	}
	must.Len(t, 0, Blocks("short"))
}
