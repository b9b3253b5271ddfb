// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package sched

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Behavior of the callers of a surge.
const (
	callerTimeout    = 8 * time.Second
	immediateRetries = 4
)

// caller is a caller of a surge. It retries once after the retry time, at most a third of its
// remaining time, or immediately several times.
type caller struct {
	*Request
	immediate bool
	inSurge   bool
	attempts  int
}

// callerCounts counts callers by what they got.
type callerCounts struct {
	callers, first, later, refused, attempts int
	refusals                                 int
	held                                     time.Duration // until the refusals
}

// add adds the counts of another surge.
func (n *callerCounts) add(o *callerCounts) {
	n.callers += o.callers
	n.first += o.first
	n.later += o.later
	n.refused += o.refused
	n.attempts += o.attempts
	n.refusals += o.refusals
	n.held += o.held
}

// served returns the share that was served at any attempt.
func (n *callerCounts) served() float64 { return share(n.first+n.later, n.callers) }

func share(n, of int) float64 { return float64(n) / float64(max(1, of)) }

// String implements fmt.Stringer.
func (n *callerCounts) String() string {
	return fmt.Sprintf("first %.3f later %.3f refused %.3f, %.2f attempts, held %v", share(n.first, n.callers), share(n.later, n.callers),
		share(n.refused, n.callers), share(n.attempts, n.callers), (n.held / time.Duration(max(1, n.refusals))).Round(time.Millisecond))
}

// callerSurge is a surge with callers that try again.
type callerSurge struct {
	*surge
	engines    int
	share0     float64 // of workspace w0 in all callers
	immediate0 float64 // share of its callers that retry immediately
	due        map[time.Duration][]*caller
	callers    map[*Request]*caller
	inSurge    bool // whether new callers are counted
	patient    callerCounts
	immediate  callerCounts
	workspaces [3]callerCounts
}

// newCallerSurge returns hosts that share engines with 7 slots each.
func newCallerSurge(hosts, engines int, age time.Duration, disabled Rules, seed uint64) *callerSurge {
	s := &callerSurge{
		surge: newSurge(disabled, true), engines: engines, share0: 1.0 / 3, immediate0: 0.75,
		due: make(map[time.Duration][]*caller), callers: make(map[*Request]*caller),
	}
	s.hostFleet = newFleet(hosts, engines, age, disabled)
	s.rand = rand.New(rand.NewPCG(seed, 3))
	s.duration = func(r *Request) time.Duration { return time.Duration(s.tokens[r]) * surgeTokenTime }
	s.draw, s.onDecision = s.next, s.decided
	return s
}

// next returns the next request: of a caller that returns now, or of a new one.
func (s *callerSurge) next() *Request {
	var c *caller
	if list := s.due[s.now]; len(list) > 0 {
		c, s.due[s.now] = list[0], list[1:]
		again := &Request{
			Settings: c.Settings, Model: c.Model, PromptTokens: c.PromptTokens, MaxTokens: c.MaxTokens, ExpectedTokens: c.ExpectedTokens,
			Arrived: s.now, Deadline: c.Deadline, DispatchBy: s.now + 100*time.Millisecond, Objective: c.Objective,
		}
		s.tokens[again] = s.tokens[c.Request]
		c.Request = again
	} else {
		c = &caller{Request: s.newRequest(true), inSurge: s.inSurge}
		c.Deadline = s.now + callerTimeout
		own := *c.Settings
		own.Workspace = fmt.Sprint("w", 1+s.rand.IntN(2))
		if s.rand.Float64() < s.share0 {
			own.Workspace, c.immediate = "w0", s.rand.Float64() < s.immediate0
		}
		c.Settings = &own
		s.count(c, callerCounts{callers: 1})
	}
	c.attempts++
	s.count(c, callerCounts{attempts: 1})
	s.callers[c.Request] = c
	return c.Request
}

// count adds to the counts of a caller of the surge.
func (s *callerSurge) count(c *caller, n callerCounts) {
	if !c.inSurge {
		return
	}
	of := &s.patient
	if c.immediate {
		of = &s.immediate
	}
	of.add(&n)
	s.workspaces[c.Settings.Workspace[1]-'0'].add(&n)
}

// decided counts a decision, and lets a refused caller return.
func (s *callerSurge) decided(d Decision) {
	c := s.callers[d.Request]
	delete(s.callers, d.Request)
	if d.Verdict == Run {
		switch {
		case s.now+s.duration(d.Request) > c.Deadline:
		case c.attempts == 1:
			s.count(c, callerCounts{first: 1})
		default:
			s.count(c, callerCounts{later: 1})
		}
		return
	}
	s.count(c, callerCounts{refusals: 1, held: s.now - c.Arrived})
	wait := min(d.RetryAfter, (c.Deadline-s.now)/3)
	if c.immediate {
		wait = fleetStep
	}
	if (c.immediate && c.attempts > immediateRetries) || (!c.immediate && c.attempts > 1) {
		s.count(c, callerCounts{refused: 1})
		return
	}
	at := s.now + max(fleetStep, (wait+fleetStep-1)/fleetStep*fleetStep)
	s.due[at] = append(s.due[at], c)
}

// run lets new callers arrive at a multiple of the engines' capacity for a time.
func (s *callerSurge) run(load float64, length time.Duration) {
	const mean = 150 * 2.3 // tokens, after clamping
	perStep := load * 7 * float64(s.engines) * fleetStep.Seconds() / (mean * surgeTokenTime.Seconds())
	carry := 0.0
	for end := s.now + length; s.now < end; {
		carry += perStep
		n := int(carry)
		carry -= float64(n)
		s.step(n+len(s.due[s.now+fleetStep]), time.Second)
		delete(s.due, s.now)
	}
}

// play plays a surge of 5 s between quiet times.
func (s *callerSurge) play(load float64) {
	s.run(0.5, 2*time.Second)
	s.inSurge = true
	s.run(load, 5*time.Second)
	s.inSurge = false
	s.run(0.5, 8*time.Second)
}

// playSurges plays surges with the given number of seeds and returns the sum of their counts.
func playSurges(f surgeFleet, disabled Rules, load float64, seeds int) *callerSurge {
	sum := &callerSurge{}
	for seed := range seeds {
		s := newCallerSurge(f.hosts, f.engines, f.age, disabled, uint64(seed))
		s.play(load)
		sum.patient.add(&s.patient)
		sum.immediate.add(&s.immediate)
		for w := range s.workspaces {
			sum.workspaces[w].add(&s.workspaces[w])
		}
	}
	return sum
}

// surgeFleet is the size of a fleet and the age of what its hosts know of each other.
type surgeFleet struct {
	hosts, engines int
	age            time.Duration
}

// all returns the counts of all callers.
func (s *callerSurge) all() *callerCounts {
	n := s.patient
	n.add(&s.immediate)
	return &n
}

// workspaceGain returns by how much the share served of the workspace whose callers retry at once
// exceeds that of another.
func (s *callerSurge) workspaceGain() float64 {
	return s.workspaces[0].served() - s.workspaces[1].served()
}

// TestCallerSurge plays surges in which refused callers return. It guards against retry times that
// bring callers back into the shortage, and against callers that gain by retrying immediately.
// HEATHKEEL_SURGE=1 plays all sizes and loads with three seeds, as in docs/design/retries.md.
func TestCallerSurge(t *testing.T) {
	small, large := surgeFleet{12, 24, 25 * time.Millisecond}, surgeFleet{32, 36, 200 * time.Millisecond}
	own := Rules{FleetRetry: true, WorkspaceRations: true, EarlyBacklog: true} // the host's own estimates
	cases := []struct {
		fleet surgeFleet
		load  float64
		seeds int
		long  bool // played with HEATHKEEL_SURGE only
		// maxRefused is the largest ratio of patient callers refused twice, and minServed the least
		// difference in the share of all callers served, to those with the host's own estimates.
		maxRefused, minServed float64
	}{
		{small, 1.5, 3, false, 0.65, 0.02},
		{small, 2, 3, false, 0.85, 0},
		{small, 2.5, 3, false, 0.9, 0},
		{large, 1.5, 3, true, 0.8, 0.02},
		{large, 2, 3, true, 0.95, 0},
		{large, 2.5, 3, true, 1, -0.02},
	}
	for _, tc := range cases {
		t.Run(fmt.Sprintf("%d hosts, %.1f times the capacity", tc.fleet.hosts, tc.load), func(t *testing.T) {
			if tc.long && os.Getenv("HEATHKEEL_SURGE") == "" {
				t.Skip("takes 10 s; set HEATHKEEL_SURGE")
			}
			before, now := playSurges(tc.fleet, own, tc.load, tc.seeds), playSurges(tc.fleet, Rules{}, tc.load, tc.seeds)
			for _, s := range []*callerSurge{before, now} {
				t.Logf("all: %v; patient: %v; immediate: %v; workspaces %.3f %.3f %.3f", s.all(), &s.patient, &s.immediate, s.workspaces[0].served(), s.workspaces[1].served(), s.workspaces[2].served())
			}
			must.LessEq(t, tc.maxRefused*share(before.patient.refused, before.patient.callers), share(now.patient.refused, now.patient.callers))
			must.GreaterEq(t, before.all().served()+tc.minServed, now.all().served())
			must.LessEq(t, 0.6*before.workspaceGain(), now.workspaceGain())
		})
	}
}

// TestRefusedEarly guards against requests that are held until their queue deadline although more
// wait before them than are served by then.
func TestRefusedEarly(t *testing.T) {
	fleet := surgeFleet{12, 24, 25 * time.Millisecond}
	held, early := playSurges(fleet, Rules{Rationing: true, EarlyBacklog: true}, 2, 3), playSurges(fleet, Rules{Rationing: true}, 2, 3)
	t.Logf("held: %v; refused early: %v", held.all(), early.all())
	meanHeld := func(n *callerCounts) time.Duration { return n.held / time.Duration(n.refusals) }
	must.LessEq(t, meanHeld(held.all())*3/4, meanHeld(early.all()))
	must.GreaterEq(t, held.all().served()-0.02, early.all().served())
}

func TestDrawRetryAfter(t *testing.T) {
	cases := []struct {
		name             string
		expected, limit  time.Duration
		earliest, latest time.Duration
	}{
		{"within the limit", 900 * time.Millisecond, 4 * time.Second, 900 * time.Millisecond, 1200 * time.Millisecond},
		{"no backlog", 0, 4 * time.Second, minRetryAfter, minRetryAfter * 4 / 3},
		{"no end in sight", maxRationRetryAfter, maxRationRetryAfter, 3 * time.Second, maxRationRetryAfter},
		{"caller's time is short", maxRationRetryAfter, 800 * time.Millisecond, 600 * time.Millisecond, 800 * time.Millisecond},
		{"caller's time is over", maxRationRetryAfter, -time.Second, minRetryAfter, minRetryAfter * 4 / 3},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			const drawn = 1000
			inTenth := make(map[int]int) // of the interval
			for i := range drawn {
				d := drawRetryAfter(tc.expected, tc.limit, float64(i)/drawn)
				must.Between(t, tc.earliest-time.Microsecond, d, tc.latest)
				inTenth[int(10*float64(d-tc.earliest)/float64(tc.latest-tc.earliest+time.Microsecond))]++
			}
			for _, n := range inTenth { // no crowd, in particular at the end
				must.LessEq(t, drawn/10+2, n)
			}
		})
	}
}

// TestRetryAfterUsesFleet checks which estimate a refused request gets: that of the fleet only in
// large fleets whose hosts are heard.
func TestRetryAfterUsesFleet(t *testing.T) {
	const own = 700 * time.Millisecond
	cases := []struct {
		name    string
		hosts   int
		age     time.Duration
		silent  int
		waiting []int // at other hosts
		refused float64
		fleet   bool
		least   time.Duration
	}{
		{"small fleet", 9, 25 * time.Millisecond, 0, []int{0, 500}, 0, false, own},
		{"peers are unknown", 30, 0, 0, nil, 0, false, own},
		{"half of the hosts are silent", 30, 25 * time.Millisecond, 15, []int{0, 500}, 0, false, own},
		{"nothing waits", 30, 25 * time.Millisecond, 0, nil, 0, true, own},
		{"lower tiers wait", 30, 25 * time.Millisecond, 0, []int{0, 0, 500}, 0, true, own},
		// 36 engines with 7 slots serve 334 requests of 0.756 s in a second.
		{"own tier waits", 30, 25 * time.Millisecond, 0, []int{0, 500}, 0, true, 1500 * time.Millisecond},
		{"tier is rationed", 30, 25 * time.Millisecond, 0, nil, 0.2, true, 3 * time.Second},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFleet(1, 36, tc.age, Rules{})
			f.step(0, time.Second)
			s, r := f.hosts[0], f.request(time.Second)
			r.pool = s.poolOf(r)
			for _, e := range s.endpoints {
				e.meanService = 756 * time.Millisecond
			}
			s.SharingHosts = tc.hosts
			s.SetSilentPeers(tc.silent)
			s.SetPeerState(PeerState{Waiting: map[string][]int{"m": tc.waiting}, Age: tc.age})
			r.pool.rations[1].refusedShare = tc.refused
			for range 100 {
				got := s.RetryAfter(f.now, r, own)
				if !tc.fleet {
					must.EqOp(t, own, got)
					continue
				}
				must.Between(t, tc.least, got, min(maxRationRetryAfter, tc.least*4/3+50*time.Millisecond))
			}
		})
	}
}
