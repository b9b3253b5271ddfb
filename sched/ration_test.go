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

// surge is a load of requests whose lengths differ as those of drafts do, and what became of it.
type surge struct {
	*hostFleet
	tokens map[*Request]int // how long the answers are
	asked  map[string]int
	served map[string]int // by the keys of count
}

// surgeStep is the time of a token where all places of an engine are taken.
const surgeStep = 3500 * time.Microsecond

// newSurge makes six hosts before 18 engines with 7 places each.
func newSurge(off Rules, guessed bool) *surge {
	s := &surge{
		hostFleet: newFleet(6, 18, 25*time.Millisecond, off),
		tokens:    make(map[*Request]int), asked: make(map[string]int), served: make(map[string]int),
	}
	s.ask = func() *Request { return s.draw(guessed) }
	s.lasts = func(r *Request) time.Duration { return time.Duration(s.tokens[r]) * surgeStep }
	s.ended = func(d Decision) {
		if d.Verdict == Run {
			s.count(s.served, d.Request)
		}
	}
	return s
}

// draw makes a request: an answer of 150 tokens in the median, with a standard deviation of its
// logarithm of 1.4, guessed with one of 0.5.
func (s *surge) draw(guessed bool) *Request {
	n := int(min(3000, max(1, 150*math.Exp(1.4*s.rand.NormFloat64()))))
	rank := 1 + s.rand.IntN(2)
	r := &Request{
		Settings: &settings.Effective{
			Workspace: fmt.Sprint("w", s.rand.IntN(3)), Service: fmt.Sprint("tier", rank), Weight: 1, MaxQueued: 1000, Rank: rank,
		},
		Model: "m", PromptTokens: 100, MaxTokens: 3000, Arrived: s.now, Deadline: s.now + 30*time.Second,
		DispatchBy: s.now + 100*time.Millisecond, Objective: Objective{FirstToken: 500 * time.Millisecond},
	}
	if guessed {
		r.ExpectedTokens = max(1, int(float64(n)*math.Exp(0.5*s.rand.NormFloat64())))
	}
	s.tokens[r] = n
	s.count(s.asked, r)
	return r
}

// count counts a request under its workspace, its tier, and in its tier by length.
func (s *surge) count(in map[string]int, r *Request) {
	length := "long"
	if s.tokens[r] < 150 {
		length = "short"
	}
	for _, k := range []string{"all", r.Settings.Workspace, r.Settings.Service, r.Settings.Service + " " + length} {
		in[k]++
	}
}

// play lets requests come at so many times what the engines can do, for a time.
func (s *surge) play(times float64, length time.Duration) {
	const mean = 150 * 2.3 // tokens, of the lengths as they are cut
	perStep := times * 7 * 18 * fleetStep.Seconds() / (mean * surgeStep.Seconds())
	owed := 0.0
	for end := s.now + length; s.now < end; {
		owed += perStep
		n := int(owed)
		owed -= float64(n)
		s.step(n, time.Second)
	}
}

// share is the part of some requests that were served.
func (s *surge) share(key string) float64 { return float64(s.served[key]) / float64(s.asked[key]) }

// TestSurge plays ten seconds of twice to two and a half times what engines can do and holds what callers get: more are
// answered than without rations, no workspace and no tier pays for another, long answers are not
// starved, and nothing is refused any more soon after the surge.
func TestSurge(t *testing.T) {
	cases := []struct {
		name    string
		times   float64
		guessed bool
		gain    float64 // least ratio of served requests to those without rations
	}{
		{"twice, lengths guessed", 2, true, 1.15},
		{"two and a half times, lengths guessed", 2.5, true, 1.2},
		{"twice, lengths unknown", 2, false, 0.95},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			with, without := newSurge(Rules{}, tc.guessed), newSurge(Rules{Rationing: true}, tc.guessed)
			for _, s := range []*surge{with, without} {
				s.play(0.5, 2*time.Second)
				clear(s.asked)
				clear(s.served)
				s.play(tc.times, 10*time.Second)
				t.Logf("all %.3f, workspaces %.3f %.3f %.3f, tiers %.3f %.3f, long %.3f %.3f", s.share("all"), s.share("w0"), s.share("w1"), s.share("w2"),
					s.share("tier1"), s.share("tier2"), s.share("tier1 long"), s.share("tier2 long"))
			}
			must.GreaterEq(t, tc.gain, with.share("all")/without.share("all"))
			must.GreaterEq(t, with.share("tier2")-0.05, with.share("tier1"))
			must.InDelta(t, with.share("w0"), with.share("w1"), 0.05)
			must.InDelta(t, with.share("w0"), with.share("w2"), 0.05)
			must.GreaterEq(t, 0.25*with.share("tier1"), with.share("tier1 long"))
			with.play(0.6, 4*time.Second)
			clear(with.asked)
			clear(with.served)
			with.play(0.6, 3*time.Second)
			must.GreaterEq(t, 0.97, with.share("all"))
		})
	}
}

func TestRankLength(t *testing.T) {
	var g guesses
	must.EqOp(t, 0.5, g.rank(10, 0.5)) // nothing to compare with
	for range 9 {
		g.rank(10, 0)
	}
	cases := []struct {
		name   string
		tokens int
		u      float64
		want   float64
	}{
		{"shorter than all", 1, 0, 0},
		{"longer than all", 100, 0, 11.0 / 12},
		{"equal ones are drawn", 10, 0.5, 0.5},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) { must.InDelta(t, tc.want, g.rank(tc.tokens, tc.u), 0.1) })
	}
	for range 2 * guessesKept {
		g.rank(1000, 0)
	}
	must.EqOp(t, 0, g.rank(999, 0)) // old lengths are forgotten
}

func TestRation(t *testing.T) {
	var x ration
	for i := range 1000 {
		x.vain(time.Duration(i))
	}
	must.InDelta(t, 1-leastRation, x.cut, 1e-9)
	must.EqOp(t, 0, x.since)
	for range 1000 {
		x.placed()
	}
	must.EqOp(t, 0, x.cut)
	x.vain(time.Hour)
	must.EqOp(t, time.Hour, x.since)
	// It rests where the share of those in vain is the one allowed.
	x = ration{cut: 0.5}
	for range 100 {
		for range int(math.Round(10 * vainShare)) {
			x.vain(0)
		}
		for range int(math.Round(10 * (1 - vainShare))) {
			x.placed()
		}
	}
	must.Between(t, 0.4, x.cut, 0.75)
}

// TestRationSparesRepeats holds that a request whose endpoint did not run it is not given up for
// its length: its caller has waited, and its place is free again.
func TestRationSparesRepeats(t *testing.T) {
	f := newFleet(1, 2, 0, Rules{})
	s := f.hosts[0]
	for range guessesKept {
		s.Submit(0, &Request{Settings: &settings.Effective{Service: "s", Rank: 1}, Model: "none", MaxTokens: 100, ExpectedTokens: 1})
	}
	f.step(0, time.Second)
	r := f.request(time.Second)
	d := s.Submit(f.now, r)
	must.EqOp(t, Run, d.Verdict)
	for range 1000 {
		r.pool.rations[1].vain(f.now)
	}
	for range 6 { // fill the other endpoint
		s.byName["e0"].own++
		s.byName["e1"].own++
	}
	must.EqOp(t, ReasonLength, s.Submit(f.now, f.request(time.Second)).Reason)
	must.NotEq(t, ReasonLength, s.Redispatch(f.now, r).Reason)
}
