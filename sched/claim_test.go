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

// hostFleet is hosts that share engines and hear of each other with a delay.
type hostFleet struct {
	hosts    []*Scheduler
	now      time.Duration
	age      time.Duration
	running  []map[string]int   // by host: own requests by engine, now
	told     [][]map[string]int // by host: the same in the past, newest last
	ends     map[time.Duration][]running
	rand     *rand.Rand
	most     int // requests at one engine at a time
	overTime int // engine-steps in which more than slots were there
	steps    int
	served   int
	refused  int
	// ask draws a request and lasts is how long one takes; nil means all alike.
	ask   func() *Request
	lasts func(*Request) time.Duration
	// ended is called with each decision that ends a request or sends it; nil is allowed.
	ended func(Decision)
}

// running is a request at an engine.
type running struct {
	host int
	r    *Request
}

// fleetStep is the time between two steps, of the hosts' draws.
const fleetStep = 25 * time.Millisecond

// newFleet makes hosts that share engines of 7 slots and hear of each other after some time.
func newFleet(hosts, engines int, age time.Duration, off Rules) *hostFleet {
	off.Share, off.LongCap, off.Floor, off.Slow, off.PeerCorrection = true, true, true, true, true
	f := &hostFleet{age: age, ends: make(map[time.Duration][]running), rand: rand.New(rand.NewPCG(3, 3))}
	for h := range hosts {
		s := &Scheduler{Config: Config{Reserve: 0.05, Disabled: off}, Rand: rand.New(rand.NewPCG(uint64(h), 7)), SharingHosts: hosts}
		s.Init()
		var list []Endpoint
		for e := range engines {
			list = append(list, Endpoint{Name: fmt.Sprint("e", e), Engine: true, Slots: 7})
		}
		s.SetEndpoints(list)
		f.hosts = append(f.hosts, s)
		f.running = append(f.running, make(map[string]int))
	}
	f.told = make([][]map[string]int, hosts)
	return f
}

// step lets a step pass in which some requests come to hosts drawn at random; each takes
// some time at an engine once it is sent.
func (f *hostFleet) step(coming int, takes time.Duration) {
	f.now += fleetStep
	for _, x := range f.ends[f.now] {
		f.running[x.host][x.r.at.Name]--
		f.hosts[x.host].Done(f.now, x.r, Completed, 10)
	}
	delete(f.ends, f.now)
	past := int(f.age / fleetStep)
	for h, s := range f.hosts {
		f.tell(h, s, past)
	}
	for range coming {
		h := f.rand.IntN(len(f.hosts))
		r := f.request(takes)
		if f.ask != nil {
			r = f.ask()
		}
		f.take(h, takes, f.hosts[h].Submit(f.now, r))
	}
	for h, s := range f.hosts {
		s.DrawClaims(f.now)
		s.Wake()
		for _, d := range s.Poll(f.now) {
			f.take(h, takes, d)
		}
	}
	f.count(past)
}

// tell tells a host what the others had running some steps ago.
func (f *hostFleet) tell(h int, s *Scheduler, past int) {
	for _, e := range s.endpoints {
		others := 0
		for o := range f.hosts {
			if o != h && len(f.told[o]) > past {
				others += f.told[o][len(f.told[o])-1-past][e.Name]
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

// request makes a request that may wait for 0.2 s.
func (f *hostFleet) request(takes time.Duration) *Request {
	return &Request{
		Settings: &settings.Effective{Workspace: "w", Service: "s", Weight: 1, MaxQueued: 1000, Rank: 1}, Model: "m", PromptTokens: 100,
		MaxTokens: 100, ExpectedTokens: 100, Arrived: f.now, Deadline: f.now + 20*takes, DispatchBy: f.now + 200*time.Millisecond,
		Objective: Objective{FirstToken: time.Second},
	}
}

// take notes a decision.
func (f *hostFleet) take(h int, takes time.Duration, d Decision) {
	if f.ended != nil && d.Verdict != Wait {
		f.ended(d)
	}
	switch d.Verdict {
	case Run:
		f.served++
		f.running[h][d.Endpoint]++
		f.hosts[h].FirstToken(f.now, d.Request)
		at := f.now + takes/2 + time.Duration(f.rand.IntN(int(takes/fleetStep)))*fleetStep
		if f.lasts != nil {
			at = f.now + fleetStep + f.lasts(d.Request)
		}
		at -= at % fleetStep
		f.ends[at] = append(f.ends[at], running{h, d.Request})
	case Refuse:
		f.refused++
	}
}

// count notes how full the engines are, and what hosts will tell.
func (f *hostFleet) count(past int) {
	for _, e := range f.hosts[0].endpoints {
		n := 0
		for h := range f.hosts {
			n += f.running[h][e.Name]
		}
		f.most = max(f.most, n)
		f.steps++
		if n > 7 {
			f.overTime++
		}
	}
	for h := range f.hosts {
		now := make(map[string]int, len(f.running[h]))
		for name, n := range f.running[h] {
			now[name] = n
		}
		f.told[h] = append(f.told[h], now)
		if len(f.told[h]) > past+1 {
			f.told[h] = f.told[h][1:]
		}
	}
}

// TestStaleHostsDoNotOverfill lets hosts that hear of each other late share engines at
// twice what these can do, and holds how far the engines are overfilled, and how much of
// what they can do is done. Without claims all hosts fill the same free places.
func TestStaleHostsDoNotOverfill(t *testing.T) {
	const takes = 1200 * time.Millisecond
	cases := []struct {
		name           string
		hosts, engines int
		age            time.Duration
		off            Rules
		least, most    int     // requests at the fullest engine of 7 slots
		over           float64 // part of the time in which an engine has more than slots
		served         float64 // part of what engines of 7 slots can do
	}{
		{"few hosts, fresh news", 6, 18, 25 * time.Millisecond, Rules{}, 7, 12, 0.1, 0.85},
		{"many hosts, old news", 40, 45, 450 * time.Millisecond, Rules{}, 7, 17, 0.3, 0.85},
		{"many hosts, old news, no claims", 40, 45, 450 * time.Millisecond, Rules{Claims: true}, 50, 1000, 1, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFleet(tc.hosts, tc.engines, tc.age, tc.off)
			perStep := float64(7*tc.engines) * fleetStep.Seconds() / takes.Seconds()
			owed := 0.0
			steps := int(10 * time.Second / fleetStep)
			for range steps {
				owed += 2 * perStep
				n := int(owed)
				owed -= float64(n)
				f.step(n, takes)
			}
			over, served := float64(f.overTime)/float64(f.steps), float64(f.served)/(perStep*float64(steps))
			t.Logf("most %d, over %.2f, served %.2f, refused %d", f.most, over, served, f.refused)
			must.Between(t, tc.least, f.most, tc.most)
			must.LessEq(t, tc.over, over)
			must.GreaterEq(t, tc.served, served)
		})
	}
}

// TestShortRequestsNeedNoClaims checks that places are not claimed where requests end long
// before news of them is heard.
func TestShortRequestsNeedNoClaims(t *testing.T) {
	f := newFleet(20, 3, 450*time.Millisecond, Rules{})
	for range 80 {
		f.step(8, 50*time.Millisecond)
	}
	must.EqOp(t, 0, f.refused)
}

// TestClaimRules holds when a request may fill a place.
func TestClaimRules(t *testing.T) {
	old := 450 * time.Millisecond
	cases := []struct {
		name    string
		scarce  bool
		vacated int
		claims  int
		last    bool
		age     time.Duration
		others  []int // that wait at other hosts, by tier; the request is of tier 1
		want    bool
	}{
		{"plenty", false, 0, 0, false, old, []int{9}, true},
		{"scarce", true, 0, 0, false, old, nil, false},
		{"an own request ended there", true, 1, 0, false, old, []int{9}, true},
		{"a claim was drawn", true, 0, 1, false, old, []int{9}, true},
		{"last chance, old news", true, 0, 0, true, old, nil, false},
		{"last chance, fresh news", true, 0, 0, true, freshNews, []int{9}, true},
		{"fresh news, nobody waits elsewhere", true, 0, 0, false, freshNews, nil, true},
		{"fresh news, lower tiers wait elsewhere", true, 0, 0, false, freshNews, []int{0, 0, 9}, true},
		{"fresh news, the same tier waits elsewhere", true, 0, 0, false, freshNews, []int{0, 9}, false},
		{"fresh news, a higher tier waits elsewhere", true, 0, 0, false, freshNews, []int{9}, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := newFleet(2, 1, tc.age, Rules{}).hosts[0]
			s.SetPeerState(PeerState{Age: tc.age, Waiting: map[string][]int{"m": tc.others}})
			r := &Request{Settings: &settings.Effective{Rank: 1}, Model: "m", last: tc.last}
			s.ApplyReport(0, "e0", Report{Slots: 7, Model: "m", AcceptsPrompts: true})
			r.pool = s.poolOf(r)
			r.pool.scarce = tc.scarce
			e := s.byName["e0"]
			e.vacated, e.claims = tc.vacated, tc.claims
			must.EqOp(t, tc.want, s.mayFill(0, r, e))
		})
	}
}

// TestAloneNeedsNoClaims checks that a host without others fills what is free.
func TestAloneNeedsNoClaims(t *testing.T) {
	f := newFleet(1, 2, 0, Rules{})
	for range 40 {
		f.step(1, 2*time.Second)
	}
	must.EqOp(t, 12, f.running[0]["e0"]+f.running[0]["e1"]) // one place of 7 is reserved for the tier above
}

// TestOwnWaiting checks what a host tells of its waiting requests.
func TestOwnWaiting(t *testing.T) {
	f := newFleet(1, 1, 0, Rules{})
	must.MapEmpty(t, f.hosts[0].OwnWaiting())
	f.step(9, 2*time.Second)
	must.EqOp(t, 3, f.hosts[0].OwnWaiting()["m"][1])
}
