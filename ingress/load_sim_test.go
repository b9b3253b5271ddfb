// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import (
	"cmp"
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/heathkeel/heathkeel/feed"
	"github.com/heathkeel/heathkeel/peers"
	"github.com/heathkeel/heathkeel/places"
	"github.com/heathkeel/heathkeel/route"
	"github.com/heathkeel/heathkeel/sched"
	"github.com/heathkeel/heathkeel/settings"
)

// loadSim plays hosts, slot owners and endpoints on a virtual clock. It has the balancers of hosts, but no sockets, heartbeats or
// callers' connections.
type loadSim struct {
	hosts, endpoints, slots int
	rate                    float64       // requests per second of all hosts
	work                    time.Duration // of a request at the usual speed
	slowBy                  float64
	slowShare               float64
	slowFor                 time.Duration
	length                  time.Duration
	disabled                bool
	// state returns what an endpoint states; nil states the truth.
	state func(m *loadSim, endpoint int) places.StatedLoad
	// peerAge is the age of peer loads, and claimedAge what the scheduler is told. It is less than the time of a request, so that slots
	// count as scarce and owners are asked for them.
	peerAge, claimedAge time.Duration

	now    time.Duration
	rand   *rand.Rand
	events simEvents
	seq    int
	nodes  []*simHost
	works  []*simEndpoint
	order  map[string]int
	result simResult
}

// simResult is what a simulation has counted.
type simResult struct {
	offered, served, late int
	sent, anySlow         int
	slow, whileSlow       int // requests sent to endpoints that had been slow for more than 0.5 s, and all sent at such times
	latencies             []time.Duration
	messages, bytes       int
	statedBytes           int
}

func (r *simResult) slowShare() float64    { return float64(r.slow) / float64(max(1, r.whileSlow)) }
func (r *simResult) anySlowShare() float64 { return float64(r.anySlow) / float64(max(1, r.sent)) }
func (r *simResult) servedShare() float64 {
	return float64(r.served) / float64(max(1, r.offered))
}
func (r *simResult) quantile(q float64) time.Duration {
	slices.Sort(r.latencies)
	return r.latencies[int(q*float64(len(r.latencies)-1))]
}

type simHost struct {
	*Server
	name      string
	decisions chan sched.Decision
	triggered bool
	waits     bool
	seq       uint32
}

type simEndpoint struct {
	name      string
	running   int
	queue     []func()
	slowSince time.Duration
	slow      bool
}

type simEvent struct {
	at  time.Duration
	seq int
	do  func()
}

type simEvents []simEvent

func (h simEvents) Len() int { return len(h) }
func (h simEvents) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].at, h[j].at), cmp.Compare(h[i].seq, h[j].seq)) < 0
}
func (h simEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *simEvents) Push(x any)   { *h = append(*h, x.(simEvent)) }
func (h *simEvents) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

func (m *loadSim) after(d time.Duration, do func()) {
	m.seq++
	heap.Push(&m.events, simEvent{m.now + d, m.seq, do})
}

func (m *loadSim) every(d time.Duration, do func()) {
	var again func()
	again = func() { do(); m.after(d, again) }
	m.after(time.Duration(m.rand.Int64N(int64(d))), again)
}

// delay returns the one-way time of a message: a few milliseconds, as between the hosts of three zones.
func (m *loadSim) delay() time.Duration {
	return time.Millisecond + time.Duration(m.rand.Int64N(int64(5*time.Millisecond)))
}

// run plays the simulation with a seed.
func (m *loadSim) run(seed uint64) *simResult {
	m.rand = rand.New(rand.NewPCG(seed, 1))
	m.order = make(map[string]int)
	for i := range m.endpoints {
		m.works = append(m.works, &simEndpoint{name: fmt.Sprintf("e%02d", i)})
		m.order[m.works[i].name] = i
	}
	for i := range m.hosts {
		m.addHost(fmt.Sprintf("h%02d", i))
	}
	m.every(m.slowFor, m.changeSlow)
	m.every(100*time.Millisecond, m.sharePeerLoads)
	var arrive func()
	arrive = func() {
		m.arrive(m.nodes[m.rand.IntN(m.hosts)])
		m.after(time.Duration(m.rand.ExpFloat64()/m.rate*float64(time.Second)), arrive)
	}
	arrive()
	for m.now < m.length {
		e := heap.Pop(&m.events).(simEvent)
		m.now = e.at
		e.do()
	}
	return &m.result
}

func (m *loadSim) addHost(name string) {
	h := &simHost{Server: &Server{Host: name}, name: name, decisions: make(chan sched.Decision, 4096)}
	policy := sched.Config{Overcommit: 0.4, Disabled: sched.Rules{Floor: true, LongCap: true, Share: true, Slow: true, PeerCorrection: true, Reserve: true, StatedLoad: m.disabled}}
	b := newBalancer("z", policy, rand.New(rand.NewPCG(m.rand.Uint64(), 2)), func() time.Duration { return m.now })
	h.balance = b
	b.setTable(&route.Table{Document: &route.Document{Services: []route.Service{{Name: "s", Engine: true}}}})
	var list []feed.Endpoint
	for _, w := range m.works {
		list = append(list, feed.Endpoint{Instance: w.name, Service: "s", Slots: m.slots, Zone: "z"})
	}
	b.setEndpoints(0, list, nil)
	b.setHostCount(m.hosts, false)
	for _, t := range b.targets {
		t.step.Observe(float64(m.work)/100, stepQuantile)
	}
	b.reportLoads(0)
	b.requestSlots = func() {
		if !h.triggered {
			h.triggered = true
			m.after(3*time.Millisecond, func() { h.triggered = false; m.sendSlotRequests(h) })
		}
	}
	m.nodes = append(m.nodes, h)
	m.every(25*time.Millisecond, func() { b.claimSlots(m.now); m.drain(h) })
	m.every(50*time.Millisecond, func() { b.tick(m.now); m.drain(h) })
	m.every(40*time.Millisecond, func() {
		if h.waits {
			m.sendSlotRequests(h)
		}
	})
}

// changeSlow makes another set of endpoints slow: none of the present ones, if there are enough others.
func (m *loadSim) changeSlow() {
	var others []*simEndpoint
	for _, w := range m.works {
		if !w.slow {
			others = append(others, w)
		}
		w.slow = false
	}
	m.rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for _, w := range others[:min(len(others), int(m.slowShare*float64(m.endpoints)+0.5))] {
		w.slow, w.slowSince = true, m.now
	}
}

// sharePeerLoads gives each host the loads that the fleet had one age ago.
func (m *loadSim) sharePeerLoads() {
	sum := make(map[string]int)
	own := make([]map[string]int, len(m.nodes))
	waiting := make([]int, 8)
	for i, h := range m.nodes {
		loads, w := h.balance.loads()
		own[i] = make(map[string]int)
		for name, l := range loads {
			own[i][name] = l.Running
			sum[name] += l.Running
		}
		for rank, n := range w["s"] {
			if rank < len(waiting) {
				waiting[rank] += n
			}
		}
	}
	m.after(m.peerAge, func() {
		for i, h := range m.nodes {
			loads := peers.PeerLoads{Load: make(map[string]peers.Load), Waiting: map[string][]int{"s": waiting}, Age: m.claimedAge}
			for name, n := range sum {
				loads.Load[name] = peers.Load{Running: n - own[i][name]}
			}
			h.balance.setPeerLoads(m.now, loads)
			m.drain(h)
		}
	})
}

var simSettings = &settings.Effective{Workspace: "w", Service: "s", Weight: 1, MaxQueued: maxWaiting, Rank: 1}

func (m *loadSim) arrive(h *simHost) {
	m.result.offered++
	r := &sched.Request{
		Settings: simSettings, Model: "s", PromptTokens: 20, MaxTokens: 100, ExpectedTokens: 100, Arrived: m.now, Deadline: m.now + 4*time.Second,
		DispatchBy: m.now + 2*time.Second, Objective: sched.Objective{FirstToken: time.Second}, Data: h.decisions,
	}
	b := h.balance
	d := b.sched.Submit(m.now, r)
	b.noteDispatch(d)
	if d.Verdict == sched.Wait {
		b.requestSlots()
	}
	m.decided(h, d)
	b.poll(m.now)
	m.drain(h)
}

func (m *loadSim) drain(h *simHost) {
	for {
		select {
		case d := <-h.decisions:
			m.decided(h, d)
		default:
			return
		}
	}
}

func (m *loadSim) decided(h *simHost, d sched.Decision) {
	if d.Verdict == sched.Run {
		m.after(m.delay(), func() { m.reach(h, d.Request, m.works[m.order[d.Endpoint]]) })
	}
}

// reach handles a request at an endpoint, which runs it when it has a slot.
func (m *loadSim) reach(h *simHost, r *sched.Request, w *simEndpoint) {
	m.result.sent++
	if w.slow {
		m.result.anySlow++
	}
	for _, o := range m.works {
		if o.slow && m.now-o.slowSince > 500*time.Millisecond {
			m.result.whileSlow++
			break
		}
	}
	if w.slow && m.now-w.slowSince > 500*time.Millisecond {
		m.result.slow++
	}
	run := func() {
		w.running++
		m.after(time.Duration(float64(m.work)*(0.7+0.6*m.rand.Float64())*m.factor(w)), func() { m.finish(h, r, w) })
	}
	if w.running < m.slots {
		run()
	} else {
		w.queue = append(w.queue, run)
	}
}

// factor returns how much longer than usual work takes at an endpoint.
func (m *loadSim) factor(w *simEndpoint) float64 {
	if w.slow {
		return m.slowBy
	}
	return 1
}

// finish ends a request at its endpoint, and at its host a little later.
func (m *loadSim) finish(h *simHost, r *sched.Request, w *simEndpoint) {
	l := places.StatedLoad{Running: w.running, Waiting: len(w.queue), Slots: m.slots, Slowdown: int(100 * m.factor(w))}
	if m.state != nil {
		l = m.state(m, m.order[w.name])
	}
	w.running--
	if len(w.queue) > 0 {
		next := w.queue[0]
		w.queue = w.queue[1:]
		next()
	}
	m.after(m.delay(), func() {
		b := h.balance
		if l.Valid() {
			b.noteLoad(w.name, r, l)
		}
		c := &call{endpoint: feed.Endpoint{Instance: w.name}, req: r}
		b.sched.FirstToken(m.now, r)
		b.endSend(c, sched.Completed, 100, 0)
		m.drain(h)
		if took := m.now - r.Arrived; m.now <= r.Deadline {
			m.result.served++
			m.result.latencies = append(m.result.latencies, took)
			if took > time.Second {
				m.result.late++
			}
		}
	})
}

// usesOwners reports whether hosts ask slot owners: in fleets without relays they tell each other their loads directly.
func (m *loadSim) usesOwners() bool { return m.hosts > 9 }

func (m *loadSim) sendSlotRequests(h *simHost) {
	requests, waits := h.SlotRequests(!m.usesOwners())
	h.waits = waits
	if len(requests) == 0 {
		return
	}
	h.seq++
	byOwner := make(map[*simHost]map[string]places.Request)
	for name, r := range requests {
		owner := m.nodes[(m.order[name]*7)%m.hosts]
		if byOwner[owner] == nil {
			byOwner[owner] = make(map[string]places.Request)
		}
		byOwner[owner][name] = r
	}
	seq := h.seq
	for _, owner := range m.nodes { // in a fixed order
		part := byOwner[owner]
		if part == nil {
			continue
		}
		delay := m.delay()
		if owner == h {
			delay = 0
		} else {
			m.count(part)
		}
		m.after(delay, func() {
			grants := owner.HandleSlotRequests(h.name, 1, seq, part)
			for _, to := range m.nodes {
				part := grants[to.name]
				if part == nil {
					continue
				}
				delay := m.delay()
				if to == owner {
					delay = 0
				} else {
					m.count(part)
				}
				m.after(delay, func() { to.HandleGrants(part); m.drain(to) })
			}
		})
	}
}

// count counts a message, and in it the bytes of stated loads.
func (m *loadSim) count(v any) {
	m.result.messages++
	whole, _ := json.Marshal(v)
	m.result.bytes += len(whole)
	switch part := v.(type) {
	case map[string]places.Request:
		for _, r := range part {
			if r.Stated != nil {
				s, _ := json.Marshal(r.Stated)
				m.result.statedBytes += len(s) + len(`,"l":`)
			}
		}
	case map[string]places.Grant:
		for _, g := range part {
			if g.Slow != 0 {
				m.result.statedBytes += len(fmt.Sprintf(`,"x":%d`, g.Slow))
			}
		}
	}
}
