// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/heathkeel/heathkeel/feed"
	"github.com/heathkeel/heathkeel/route"
	"github.com/heathkeel/heathkeel/sched"
)

// ownerFleet simulates hosts that share endpoints, with messages to slot owners that arrive after a delay, on simulated time. It joins the
// balancers of all hosts; the network, the hosts' clocks, the endpoints and the callers are simulated.
type ownerFleet struct {
	cfg       fleetConfig
	now       time.Duration
	rand      *rand.Rand
	hosts     []*ownerHost
	endpoints []*ownedEndpoint
	events    map[time.Duration][]func()
	totals    [][]int // by sample: running requests by endpoint, newest last
	carry     []float64
	stats     []*loadStats // by load
	// peak is the most requests that were at the endpoints at a time, and maxAt the most at one endpoint.
	peak, maxAt int
	busy        time.Duration // slot time used
	datagrams   int
	bytes       int
	split       bool          // the second half of the hosts takes other hosts for the owners
	slow        int           // a host whose messages arrive 0.3 s later, if not 0
	since       time.Duration // start of the measurement
	hostWait    time.Duration // of dispatched requests
	dispatched  int
}

// fleetConfig describes a simulated fleet.
type fleetConfig struct {
	hosts, endpoints, slots int
	minDelay, maxDelay      time.Duration // of a message
	age                     time.Duration // of peer state
	withoutOwners           bool
	plain                   bool // requests without an objective or tokens
	loads                   []load
	measureBytes            bool
	seed                    uint64
	speeds                  []float64 // of the endpoints, in turn; nil means that all have speed 1
	kinds                   []kind    // of requests; nil means that all are alike
	// surge is by how much more than their rate all loads send for the first half of each surgePeriod; they send as much less in the other.
	surge       float64
	surgePeriod time.Duration
}

// load is the demand of one workspace.
type load struct {
	rate    float64 // requests per second
	from    time.Duration
	until   time.Duration // 0 means the end
	rank    int
	service time.Duration // mean duration of a request
	retries int
	atOnce  bool // refused callers return at once
	// kind is the index of the requests' kind, and workspace that of the load with whose workspace they are sent, if there are kinds.
	kind, workspace int
}

// ownerHost is a simulated host.
type ownerHost struct {
	s         *Server
	waiting   []*simCall
	triggered bool
	waits     bool
	seq       uint32
	running   [][]int // by sample
	current   []int
	down      bool // answers and sends no messages
}

// ownedEndpoint runs a limited number of requests; others wait there in order of arrival.
type ownedEndpoint struct {
	name    string
	owner   int
	running int
	queue   []*simCall
}

// simCall is a request of a caller.
type simCall struct {
	call
	load    int
	tokens  int // of the answer
	host    int
	at      int // endpoint
	took    time.Duration
	retries int
	first   time.Duration // arrival of the first attempt
}

const (
	simStep      = time.Millisecond
	simObjective = time.Second
	simTokens    = 50
)

// newOwnerFleet returns a fleet whose hosts know nothing of each other yet.
func newOwnerFleet(cfg fleetConfig) *ownerFleet {
	f := &ownerFleet{cfg: cfg, rand: rand.New(rand.NewPCG(cfg.seed, 9)), events: make(map[time.Duration][]func()), carry: make([]float64, len(cfg.loads))}
	doc := &route.Document{Services: []route.Service{{Name: "s", Engine: !cfg.plain}}}
	objective := simObjective
	if cfg.plain {
		objective = 150 * time.Millisecond
	}
	doc.Routes = []route.Route{{Name: "r", Objective: objective, Targets: []route.Target{{Service: "s", Weight: 1}}}}
	if cfg.kinds != nil {
		doc.Routes = routesOf(cfg.kinds)
	}
	for i, l := range cfg.loads {
		doc.Workspaces = append(doc.Workspaces, route.Workspace{Name: fmt.Sprint("w", i), Rank: l.rank})
		f.stats = append(f.stats, &loadStats{})
	}
	table := &route.Table{Document: doc}
	var list []feed.Endpoint
	for e := range cfg.endpoints {
		name := fmt.Sprint("e", e)
		list = append(list, feed.Endpoint{Instance: name, Service: "s", Slots: cfg.slots, Zone: "z"})
		f.endpoints = append(f.endpoints, &ownedEndpoint{name: name, owner: (e * 7) % cfg.hosts})
	}
	policy := sched.Config{Overcommit: 0.4, CrossZoneCost: 0.6, Disabled: sched.Rules{Floor: true, LongCap: true, Share: true, Slow: true, PeerCorrection: true, Reserve: true}}
	for i := range cfg.hosts {
		h := &ownerHost{current: make([]int, cfg.endpoints)}
		b := newBalancer("z", policy, rand.New(rand.NewPCG(uint64(i)+1000*cfg.seed, 1)), func() time.Duration { return f.now })
		b.requestSlots = func() { f.trigger(h) }
		b.setTable(table)
		b.setEndpoints(0, list, nil)
		h.s = &Server{balance: b}
		f.setHostCount(h)
		f.hosts = append(f.hosts, h)
	}
	return f
}

func (f *ownerFleet) setHostCount(h *ownerHost) {
	h.s.balance.setHostCount(f.cfg.hosts, !f.cfg.withoutOwners)
}

// at calls a function after a delay.
func (f *ownerFleet) at(delay time.Duration, do func()) {
	t := (f.now + max(delay, simStep)).Truncate(simStep)
	f.events[t] = append(f.events[t], do)
}

// index returns the number of a host.
func (f *ownerFleet) index(h *ownerHost) int {
	for i := range f.hosts {
		if f.hosts[i] == h {
			return i
		}
	}
	return -1
}

// arrive lets a request arrive at a random host.
func (f *ownerFleet) arrive(load, retries int, first time.Duration, tokens int) {
	i := f.rand.IntN(len(f.hosts))
	for f.hosts[i].down {
		i = f.rand.IntN(len(f.hosts))
	}
	h := f.hosts[i]
	l := &f.cfg.loads[load]
	doc := h.s.balance.table.Document
	x := &simCall{load: load, host: i, retries: retries, first: first, tokens: tokens}
	x.route, x.service, x.workspace, x.arrived = &doc.Routes[0], &doc.Services[0], &doc.Workspaces[load], f.now
	x.took = time.Duration((0.5 + f.rand.Float64()) * float64(l.service))
	x.req = &sched.Request{PromptTokens: 20, MaxTokens: simTokens, ExpectedTokens: simTokens/2 + f.rand.IntN(simTokens), Arrived: f.now, Deadline: f.now + 10*time.Second, DispatchBy: x.dispatchBy(f.now), Data: make(chan sched.Decision, 1)}
	x.req.Objective = sched.Objective{FirstToken: simObjective}
	if f.cfg.plain {
		x.req.MaxTokens, x.req.ExpectedTokens, x.req.PromptTokens, x.req.Objective = 1, 0, 0, sched.Objective{}
	}
	if f.cfg.kinds != nil {
		f.setKind(x)
	}
	f.stats[load].attempts++
	f.decided(x, h.s.balance.submit(&x.call))
	f.collect(h)
}

// collect takes the decisions on a host's waiting requests.
func (f *ownerFleet) collect(h *ownerHost) {
	kept := h.waiting[:0]
	var done []*simCall
	var decisions []sched.Decision
	for _, x := range h.waiting {
		select {
		case d := <-x.req.Data.(chan sched.Decision):
			done, decisions = append(done, x), append(decisions, d)
		default:
			kept = append(kept, x)
		}
	}
	h.waiting = kept
	for i, x := range done {
		f.decided(x, decisions[i])
	}
}

// decided applies a decision.
func (f *ownerFleet) decided(x *simCall, d sched.Decision) {
	st := f.stats[x.load]
	switch d.Verdict {
	case sched.Wait:
		f.hosts[x.host].waiting = append(f.hosts[x.host].waiting, x)
	case sched.Run:
		_, _ = fmt.Sscanf(d.Endpoint, "e%d", &x.at)
		x.endpoint = feed.Endpoint{Instance: d.Endpoint}
		f.hosts[x.host].current[x.at]++
		f.hostWait += f.now - x.arrived
		st.longestWait = max(st.longestWait, f.now-x.arrived)
		f.dispatched++
		e := f.endpoints[x.at]
		e.queue = append(e.queue, x)
		f.start(e)
	case sched.Refuse:
		st.refused++
		l := &f.cfg.loads[x.load]
		if x.retries < l.retries {
			delay := d.RetryAfter
			if l.atOnce {
				delay = 2 * time.Millisecond
			}
			f.at(delay, func() { f.arrive(x.load, x.retries+1, x.first, x.tokens) })
			return
		}
		st.sizes.add(x, false)
	}
}

// start starts requests that wait at an endpoint.
func (f *ownerFleet) start(e *ownedEndpoint) {
	for e.running < f.cfg.slots && len(e.queue) > 0 {
		x := e.queue[0]
		e.queue = e.queue[1:]
		e.running++
		perToken, whole := f.setDuration(x)
		st := f.stats[x.load]
		st.ran++
		objective := simObjective
		if f.cfg.plain {
			objective = 150 * time.Millisecond
		}
		if f.now-x.arrived+perToken <= objective {
			st.served++
		}
		st.sizes.add(x, whole)
		st.slotTime += x.took
		f.busy += x.took
		h := f.hosts[x.host]
		f.at(perToken, func() {
			h.s.balance.observeStep(&x.call, perToken)
			h.s.balance.noteFirstOutput(&x.call, 0)
		})
		f.at(x.took, func() {
			e.running--
			h.current[x.at]--
			elapsed := time.Duration(0)
			if f.cfg.plain {
				elapsed = x.took
			}
			h.s.balance.endSend(&x.call, sched.Completed, x.tokens, elapsed)
			f.collect(h)
			f.start(e)
		})
	}
}

// run advances the simulation.
func (f *ownerFleet) run(d time.Duration) {
	const sample = 25 * time.Millisecond
	for end := f.now + d; f.now < end; {
		f.now += simStep
		for _, do := range f.events[f.now] {
			do()
		}
		delete(f.events, f.now)
		for i := range f.cfg.loads {
			l := &f.cfg.loads[i]
			if f.now < l.from || (l.until > 0 && f.now >= l.until) {
				continue
			}
			f.carry[i] += l.rate * f.surgeFactor() * simStep.Seconds()
			for ; f.carry[i] >= 1; f.carry[i]-- {
				f.stats[i].offered++
				f.arrive(i, 0, f.now, f.drawTokens(l))
			}
		}
		for i, h := range f.hosts {
			phase := f.now + time.Duration(i)*simStep
			if phase%sample == 0 {
				h.s.balance.claimSlots(f.now)
				f.collect(h)
			}
			if phase%(40*simStep) == 0 && h.waits && !f.cfg.withoutOwners {
				f.askOwners(h)
			}
			if phase%(200*simStep) == 0 {
				f.reportPeers(h)
				h.s.balance.tick(f.now)
				f.collect(h)
			}
		}
		if f.now%sample == 0 {
			f.record(int(f.cfg.age/sample) + 2)
		}
	}
}

// surgeFactor returns the factor by which loads differ from their mean rate now.
func (f *ownerFleet) surgeFactor() float64 {
	if f.cfg.surge == 0 {
		return 1
	}
	if f.now%f.cfg.surgePeriod < f.cfg.surgePeriod/2 {
		return 1 + f.cfg.surge
	}
	return 1 - f.cfg.surge
}

// stop makes a host silent; its callers use other hosts. The other hosts choose other owners for its endpoints after a while.
func (f *ownerFleet) stop(host int, noticedAfter time.Duration) {
	f.hosts[host].down = true
	f.at(noticedAfter, func() {
		for _, x := range f.endpoints {
			if x.owner == host {
				x.owner = (host + 1) % len(f.hosts)
			}
		}
	})
}
