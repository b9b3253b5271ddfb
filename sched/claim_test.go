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

// hostFleet simulates hosts that share engines and learn of each other's requests with a delay.
type hostFleet struct {
	hosts         []*Scheduler
	now           time.Duration
	age           time.Duration
	running       []map[string]int   // by host: own requests by engine, now
	history       [][]map[string]int // by host: the same in the past, newest last
	ends          map[time.Duration][]running
	rand          *rand.Rand
	maxRunning    int // most requests at one engine at a time
	overfullSteps int // engine-steps with more requests than slots
	engineSteps   int
	served        int
	refused       int
	// draw returns a random request and duration the time that it takes; if nil, all are alike.
	draw     func() *Request
	duration func(*Request) time.Duration
	// onDecision is called with each decision to run or refuse a request; it may be nil.
	onDecision func(Decision)
}

// running is a request at an engine.
type running struct {
	host int
	r    *Request
}

// fleetStep is the time between two steps, and between two calls of DrawClaims.
const fleetStep = 25 * time.Millisecond

// newFleet returns hosts that share engines of 7 slots and see each other's state after age.
func newFleet(hosts, engines int, age time.Duration, disabled Rules) *hostFleet {
	disabled.Share, disabled.LongCap, disabled.Floor, disabled.Slow, disabled.PeerCorrection = true, true, true, true, true
	f := &hostFleet{age: age, ends: make(map[time.Duration][]running), rand: rand.New(rand.NewPCG(3, 3))}
	for h := range hosts {
		s := &Scheduler{Config: Config{Reserve: 0.05, Disabled: disabled}, Rand: rand.New(rand.NewPCG(uint64(h), 7)), SharingHosts: hosts}
		s.Init()
		var list []Endpoint
		for e := range engines {
			list = append(list, Endpoint{Name: fmt.Sprint("e", e), Engine: true, Slots: 7})
		}
		s.SetEndpoints(list)
		f.hosts = append(f.hosts, s)
		f.running = append(f.running, make(map[string]int))
	}
	f.history = make([][]map[string]int, hosts)
	return f
}

// step advances the time by one step, in which requests arrive at random hosts; each takes about
// the service time at an engine once it is dispatched.
func (f *hostFleet) step(arriving int, service time.Duration) {
	f.now += fleetStep
	for _, x := range f.ends[f.now] {
		f.running[x.host][x.r.dispatchedTo.Name]--
		f.hosts[x.host].Done(f.now, x.r, Completed, 10)
	}
	delete(f.ends, f.now)
	delaySteps := int(f.age / fleetStep)
	for h, s := range f.hosts {
		f.report(h, s, delaySteps)
	}
	for range arriving {
		h := f.rand.IntN(len(f.hosts))
		r := f.request(service)
		if f.draw != nil {
			r = f.draw()
		}
		f.apply(h, service, f.hosts[h].Submit(f.now, r))
	}
	for h, s := range f.hosts {
		s.DrawClaims(f.now)
		s.Wake()
		for _, d := range s.Poll(f.now) {
			f.apply(h, service, d)
		}
	}
	f.record(delaySteps)
}

// report gives a host the requests that the others had some steps ago.
func (f *hostFleet) report(h int, s *Scheduler, delaySteps int) {
	for _, e := range s.endpoints {
		others := 0
		for o := range f.hosts {
			if o != h && len(f.history[o]) > delaySteps {
				others += f.history[o][len(f.history[o])-1-delaySteps][e.Name]
			}
		}
		s.ApplyReport(f.now, e.Name, Report{
			At: f.now, Running: e.own + others, Slots: 7, Step: 3 * time.Millisecond, PrefillPerStep: 200, Model: "m", AcceptsPrompts: true,
		})
	}
	waiting := map[string][]int{"m": {0}}
	for o, other := range f.hosts {
		if o != h {
			for _, n := range other.OwnWaiting()["m"] {
				waiting["m"][0] += n
			}
		}
	}
	s.SetPeerState(PeerState{Waiting: waiting, Age: f.age})
}

// request returns a request that may wait for 0.2 s.
func (f *hostFleet) request(service time.Duration) *Request {
	return &Request{
		Settings: &settings.Effective{Workspace: "w", Service: "s", Weight: 1, MaxQueued: 1000, Rank: 1}, Model: "m", PromptTokens: 100,
		MaxTokens: 100, ExpectedTokens: 100, Arrived: f.now, Deadline: f.now + 20*service, DispatchBy: f.now + 200*time.Millisecond,
		Objective: Objective{FirstToken: time.Second},
	}
}

// apply applies a decision.
func (f *hostFleet) apply(h int, service time.Duration, d Decision) {
	if f.onDecision != nil && d.Verdict != Wait {
		f.onDecision(d)
	}
	switch d.Verdict {
	case Run:
		f.served++
		f.running[h][d.Endpoint]++
		f.hosts[h].FirstToken(f.now, d.Request)
		endsAt := f.now + service/2 + time.Duration(f.rand.IntN(int(service/fleetStep)))*fleetStep
		if f.duration != nil {
			endsAt = f.now + fleetStep + f.duration(d.Request)
		}
		endsAt -= endsAt % fleetStep
		f.ends[endsAt] = append(f.ends[endsAt], running{h, d.Request})
	case Refuse:
		f.refused++
	}
}

// record counts the requests at the engines and stores those of each host for later reports.
func (f *hostFleet) record(delaySteps int) {
	for _, e := range f.hosts[0].endpoints {
		n := 0
		for h := range f.hosts {
			n += f.running[h][e.Name]
		}
		f.maxRunning = max(f.maxRunning, n)
		f.engineSteps++
		if n > 7 {
			f.overfullSteps++
		}
	}
	for h := range f.hosts {
		snapshot := make(map[string]int, len(f.running[h]))
		for name, n := range f.running[h] {
			snapshot[name] = n
		}
		f.history[h] = append(f.history[h], snapshot)
		if len(f.history[h]) > delaySteps+1 {
			f.history[h] = f.history[h][1:]
		}
	}
}

// TestStaleHostsDoNotOverfill checks how far engines are overfilled, and how much of their
// capacity is used, by hosts with stale peer state at twice the capacity. Without claims, all
// hosts fill the same free slots.
func TestStaleHostsDoNotOverfill(t *testing.T) {
	const service = 1200 * time.Millisecond
	cases := []struct {
		name                   string
		hosts, engines         int
		age                    time.Duration
		disabled               Rules
		minRunning, maxRunning int     // requests at the fullest engine of 7 slots
		maxOverfull            float64 // share of the time in which an engine has more requests than slots
		minServed              float64 // share of the capacity of engines with 7 slots
	}{
		{"few hosts, fresh peer state", 6, 18, 25 * time.Millisecond, Rules{}, 7, 12, 0.1, 0.85},
		{"many hosts, stale peer state", 40, 45, 450 * time.Millisecond, Rules{}, 7, 17, 0.3, 0.85},
		{"many hosts, stale peer state, no claims", 40, 45, 450 * time.Millisecond, Rules{Claims: true}, 50, 1000, 1, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFleet(tc.hosts, tc.engines, tc.age, tc.disabled)
			perStep := float64(7*tc.engines) * fleetStep.Seconds() / service.Seconds()
			carry := 0.0
			steps := int(10 * time.Second / fleetStep)
			for range steps {
				carry += 2 * perStep
				n := int(carry)
				carry -= float64(n)
				f.step(n, service)
			}
			overfull, served := float64(f.overfullSteps)/float64(f.engineSteps), float64(f.served)/(perStep*float64(steps))
			t.Logf("max running %d, overfull %.2f, served %.2f, refused %d", f.maxRunning, overfull, served, f.refused)
			must.Between(t, tc.minRunning, f.maxRunning, tc.maxRunning)
			must.LessEq(t, tc.maxOverfull, overfull)
			must.GreaterEq(t, tc.minServed, served)
		})
	}
}

// TestShortRequestsNeedNoClaims checks that no claims are needed where requests end long before
// other hosts learn of them.
func TestShortRequestsNeedNoClaims(t *testing.T) {
	f := newFleet(20, 3, 450*time.Millisecond, Rules{})
	for range 80 {
		f.step(8, 50*time.Millisecond)
	}
	must.EqOp(t, 0, f.refused)
}

// TestClaimRules checks when a request may take a slot.
func TestClaimRules(t *testing.T) {
	stale := 450 * time.Millisecond
	cases := []struct {
		name       string
		scarce     bool
		vacated    int
		claims     int
		lastChance bool
		age        time.Duration
		others     []int // waiting at other hosts, by tier; the request is of tier 1
		want       bool
	}{
		{"slots not scarce", false, 0, 0, false, stale, []int{9}, true},
		{"slots scarce", true, 0, 0, false, stale, nil, false},
		{"an own request ended", true, 1, 0, false, stale, []int{9}, true},
		{"a claim was drawn", true, 0, 1, false, stale, []int{9}, true},
		{"last chance, stale peer state", true, 0, 0, true, stale, nil, false},
		{"last chance, fresh peer state", true, 0, 0, true, freshPeerState, []int{9}, true},
		{"fresh peer state, no requests wait elsewhere", true, 0, 0, false, freshPeerState, nil, true},
		{"fresh peer state, lower tiers wait elsewhere", true, 0, 0, false, freshPeerState, []int{0, 0, 9}, true},
		{"fresh peer state, the same tier waits elsewhere", true, 0, 0, false, freshPeerState, []int{0, 9}, false},
		{"fresh peer state, a higher tier waits elsewhere", true, 0, 0, false, freshPeerState, []int{9}, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := newFleet(2, 1, tc.age, Rules{}).hosts[0]
			s.SetPeerState(PeerState{Age: tc.age, Waiting: map[string][]int{"m": tc.others}})
			r := &Request{Settings: &settings.Effective{Rank: 1}, Model: "m", lastChance: tc.lastChance}
			s.ApplyReport(0, "e0", Report{Slots: 7, Model: "m", AcceptsPrompts: true})
			r.pool = s.poolOf(r)
			r.pool.scarce = tc.scarce
			e := s.byName["e0"]
			e.vacated, e.claims = tc.vacated, tc.claims
			must.EqOp(t, tc.want, s.mayTakeSlot(0, r, e))
		})
	}
}

// TestSingleHostNeedsNoClaims checks that a host without others fills the free slots.
func TestSingleHostNeedsNoClaims(t *testing.T) {
	f := newFleet(1, 2, 0, Rules{})
	for range 40 {
		f.step(1, 2*time.Second)
	}
	must.EqOp(t, 12, f.running[0]["e0"]+f.running[0]["e1"]) // one slot of 7 is reserved for the tier above
}

// TestOwnWaiting checks the counts of waiting requests that a host reports.
func TestOwnWaiting(t *testing.T) {
	f := newFleet(1, 1, 0, Rules{})
	must.MapEmpty(t, f.hosts[0].OwnWaiting())
	f.step(9, 2*time.Second)
	must.EqOp(t, 3, f.hosts[0].OwnWaiting()["m"][1])
}
