// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package sched

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/settings"
)

// surge simulates requests with widely differing answer lengths and counts those served.
type surge struct {
	*hostFleet
	tokens    map[*Request]int // actual lengths of answers
	submitted map[string]int
	served    map[string]int // by the keys of tally
}

// surgeTokenTime is the time per token while all slots of an engine are taken.
const surgeTokenTime = 3500 * time.Microsecond

// newSurge returns six hosts that share 18 engines with 7 slots each.
func newSurge(disabled Rules, withLengths bool) *surge {
	s := &surge{
		hostFleet: newFleet(6, 18, 25*time.Millisecond, disabled),
		tokens:    make(map[*Request]int), submitted: make(map[string]int), served: make(map[string]int),
	}
	s.draw = func() *Request { return s.newRequest(withLengths) }
	s.duration = func(r *Request) time.Duration { return time.Duration(s.tokens[r]) * surgeTokenTime }
	s.onDecision = func(d Decision) {
		if d.Verdict == Run {
			s.tally(s.served, d.Request)
		}
	}
	return s
}

// newRequest returns a request whose answer has a log-normal length with a median of 150 tokens
// and sigma 1.4; the expected length has an error with sigma 0.5.
func (s *surge) newRequest(withLengths bool) *Request {
	n := int(min(3000, max(1, 150*math.Exp(1.4*s.rand.NormFloat64()))))
	rank := 1 + s.rand.IntN(2)
	r := &Request{
		Settings: &settings.Effective{
			Workspace: fmt.Sprint("w", s.rand.IntN(3)), Service: fmt.Sprint("tier", rank), Weight: 1, MaxQueued: 1000, Rank: rank,
		},
		Model: "m", PromptTokens: 100, MaxTokens: 3000, Arrived: s.now, Deadline: s.now + 30*time.Second,
		DispatchBy: s.now + 100*time.Millisecond, Objective: Objective{FirstToken: 500 * time.Millisecond},
	}
	if withLengths {
		r.ExpectedTokens = max(1, int(float64(n)*math.Exp(0.5*s.rand.NormFloat64())))
	}
	s.tokens[r] = n
	s.tally(s.submitted, r)
	return r
}

// tally counts a request by workspace, by tier, and by tier and length.
func (s *surge) tally(counts map[string]int, r *Request) {
	length := "long"
	if s.tokens[r] < 150 {
		length = "short"
	}
	for _, k := range []string{"all", r.Settings.Workspace, r.Settings.Service, r.Settings.Service + " " + length} {
		counts[k]++
	}
}

// run lets requests arrive at a multiple of the engines' capacity for a time.
func (s *surge) run(load float64, length time.Duration) {
	const mean = 150 * 2.3 // tokens, after clamping
	perStep := load * 7 * 18 * fleetStep.Seconds() / (mean * surgeTokenTime.Seconds())
	carry := 0.0
	for end := s.now + length; s.now < end; {
		carry += perStep
		n := int(carry)
		carry -= float64(n)
		s.step(n, time.Second)
	}
}

// servedShare returns the share of the counted requests that were served.
func (s *surge) servedShare(key string) float64 {
	return float64(s.served[key]) / float64(s.submitted[key])
}

// TestSurge simulates ten seconds of two to two and a half times the engines' capacity. It checks
// that more requests are served than without rations, that no workspace and no tier pays for
// another, that long answers do not starve, and that soon after the surge almost nothing is
// refused.
func TestSurge(t *testing.T) {
	cases := []struct {
		name        string
		load        float64
		withLengths bool
		minGain     float64 // least ratio of requests served with and without rations
	}{
		{"twice the capacity, expected lengths known", 2, true, 1.15},
		{"two and a half times the capacity, expected lengths known", 2.5, true, 1.2},
		{"twice the capacity, expected lengths unknown", 2, false, 0.95},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			with, without := newSurge(Rules{}, tc.withLengths), newSurge(Rules{Rationing: true}, tc.withLengths)
			for _, s := range []*surge{with, without} {
				s.run(0.5, 2*time.Second)
				clear(s.submitted)
				clear(s.served)
				s.run(tc.load, 10*time.Second)
				t.Logf("all %.3f, workspaces %.3f %.3f %.3f, tiers %.3f %.3f, long %.3f %.3f", s.servedShare("all"), s.servedShare("w0"), s.servedShare("w1"), s.servedShare("w2"),
					s.servedShare("tier1"), s.servedShare("tier2"), s.servedShare("tier1 long"), s.servedShare("tier2 long"))
			}
			must.GreaterEq(t, tc.minGain, with.servedShare("all")/without.servedShare("all"))
			must.GreaterEq(t, with.servedShare("tier2")-0.05, with.servedShare("tier1"))
			must.InDelta(t, with.servedShare("w0"), with.servedShare("w1"), 0.05)
			must.InDelta(t, with.servedShare("w0"), with.servedShare("w2"), 0.05)
			must.GreaterEq(t, 0.25*with.servedShare("tier1"), with.servedShare("tier1 long"))
			with.run(0.6, 4*time.Second)
			clear(with.submitted)
			clear(with.served)
			with.run(0.6, 3*time.Second)
			must.GreaterEq(t, 0.97, with.servedShare("all"))
		})
	}
}

func TestLengthQuantile(t *testing.T) {
	var recent recentLengths
	must.EqOp(t, 0.5, recent.quantile(10, 0.5)) // no lengths to compare with
	for range 9 {
		recent.quantile(10, 0)
	}
	cases := []struct {
		name   string
		tokens int
		u      float64
		want   float64
	}{
		{"shorter than all", 1, 0, 0},
		{"longer than all", 100, 0, 11.0 / 12},
		{"equal to the others", 10, 0.5, 0.5},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) { must.InDelta(t, tc.want, recent.quantile(tc.tokens, tc.u), 0.1) })
	}
	for range 2 * maxRecentLengths {
		recent.quantile(1000, 0)
	}
	must.EqOp(t, 0, recent.quantile(999, 0)) // old lengths are dropped
}

func TestRation(t *testing.T) {
	var x ration
	for i := range 1000 {
		x.noteUnplaced(time.Duration(i))
	}
	must.InDelta(t, 1-minRation, x.refusedShare, 1e-9)
	must.EqOp(t, 0, x.since)
	for range 1000 {
		x.noteDispatched()
	}
	must.EqOp(t, 0, x.refusedShare)
	x.noteUnplaced(time.Hour)
	must.EqOp(t, time.Hour, x.since)
	// The share is stable where unplacedShare of the requests get no slot.
	x = ration{refusedShare: 0.5}
	for range 100 {
		for range int(math.Round(10 * unplacedShare)) {
			x.noteUnplaced(0)
		}
		for range int(math.Round(10 * (1 - unplacedShare))) {
			x.noteDispatched()
		}
	}
	must.Between(t, 0.4, x.refusedShare, 0.75)
}

// TestRationExemptsRedispatches checks that a request whose endpoint did not run it is not refused
// by a ration: its caller has waited, and its slot is free again.
func TestRationExemptsRedispatches(t *testing.T) {
	fleet := newFleet(1, 2, 0, Rules{})
	s := fleet.hosts[0]
	for range maxRecentLengths {
		s.Submit(0, &Request{Settings: &settings.Effective{Service: "s", Rank: 1}, Model: "none", MaxTokens: 100, ExpectedTokens: 1})
	}
	fleet.step(0, time.Second)
	r := fleet.request(time.Second)
	d := s.Submit(fleet.now, r)
	must.EqOp(t, Run, d.Verdict)
	for range 1000 {
		r.pool.rations[1].noteUnplaced(fleet.now)
	}
	for range 6 { // fill the other endpoint
		s.byName["e0"].own++
		s.byName["e1"].own++
	}
	must.EqOp(t, ReasonLength, s.Submit(fleet.now, fleet.request(time.Second)).Reason)
	must.NotEq(t, ReasonLength, s.Redispatch(fleet.now, r).Reason)
	continued := fleet.request(time.Second)
	continued.Continues = true
	must.NotEq(t, ReasonLength, s.Submit(fleet.now, continued).Reason)
}

// TestRationOfWorkspaceEndsWithShortage guards against a ration of past requests in vain that stays in force in calm times, since too few
// requests of its workspace come to end it.
func TestRationOfWorkspaceEndsWithShortage(t *testing.T) {
	s := newFleet(1, 2, 0, Rules{}).hosts[0]
	s.SlotOwners = true
	now := time.Second
	r := (&hostFleet{now: now}).request(time.Second)
	r.pool = s.poolOf(r)
	s.ration(r).noteUnplaced(now)
	for _, tc := range []struct {
		after    time.Duration
		rationed bool
	}{{0, true}, {rationTTL - time.Millisecond, true}, {rationTTL, false}} {
		s.DrawClaims(now + tc.after)
		must.EqOp(t, tc.rationed, r.pool.rationed(), must.Sprint(tc.after, " after the last request in vain"))
	}
}

// TestRationAdmitsLongAnswers guards against a ration that admits the longest answers of a service less than half as often as all of them.
func TestRationAdmitsLongAnswers(t *testing.T) {
	const n = 20000
	for _, admitted := range []float64{0.15, 0.3, 0.5, 0.7, 0.9, 1} {
		t.Run(fmt.Sprint(admitted), func(t *testing.T) {
			s := newFleet(6, 2, 0, Rules{}).hosts[0]
			r := (&hostFleet{}).request(time.Second)
			r.pool = s.poolOf(r)
			s.ration(r).refusedShare = 1 - admitted
			all, longest := 0, 0
			for i := range n {
				r.lengthQuantile, r.rationDraw = (float64(i)+0.5)/n, s.Rand.Float64()
				r.rationExempt = r.rationDraw < exemptChance
				if s.beyondRation(r) {
					continue
				}
				all++
				if r.lengthQuantile > 0.9 {
					longest++
				}
			}
			must.InDelta(t, admitted, float64(all)/n, 0.05)
			must.GreaterEq(t, 0.5*float64(all)/n, float64(longest)/(0.1*n))
		})
	}
}
