// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/heathkeel/heathkeel/feed"
	"github.com/heathkeel/heathkeel/outlier"
	"github.com/heathkeel/heathkeel/peers"
	"github.com/heathkeel/heathkeel/places"
	"github.com/heathkeel/heathkeel/route"
	"github.com/heathkeel/heathkeel/sched"
	"github.com/heathkeel/heathkeel/settings"
)

// balancer joins the scheduler to what the host knows of endpoints: their list,
// its own requests, what other hosts tell, and the pace it has seen.
type balancer struct {
	zone string
	now  func() time.Duration

	mu      sync.Mutex
	sched   *sched.Scheduler
	targets map[string]*target // by life
	table   *route.Table
	prefill map[string]*sched.Quantile // by service: prompt tokens read in a step
	values  map[valueRef]*settings.Effective
	ranks   map[string][]rankOf // by service, sorted
	changed map[string]bool     // endpoints whose own load changed since it was told
	waited  bool                // something waited when it was told last
	owner   owner
	kick    func() // asks for places soon
}

// valueRef names the values in force for a workspace on a route.
type valueRef struct {
	workspace *route.Workspace
	route     *route.Route
	service   string
}

// mostWaiting bounds the requests of a workspace that wait on a host.
const mostWaiting = 500

// newBalancer returns a balancer without endpoints.
func newBalancer(zone string, cfg sched.Config, r *rand.Rand, now func() time.Duration) *balancer {
	s := &sched.Scheduler{Config: cfg, Rand: r, SharingHosts: 1}
	s.Init()
	return &balancer{
		zone: zone, now: now, sched: s, targets: make(map[string]*target),
		prefill: make(map[string]*sched.Quantile), values: make(map[valueRef]*settings.Effective), ranks: make(map[string][]rankOf), changed: make(map[string]bool),
		owner: owner{books: make(map[string]*places.Allocator), told: make(map[string]places.Request), returned: make(map[string]bool), rand: r}, kick: func() {},
	}
}

// setTable takes a new configuration.
func (b *balancer) setTable(t *route.Table) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.table = t
	clear(b.values)
	clear(b.ranks)
	for i := range t.Document.Routes {
		r := &t.Document.Routes[i]
		for _, to := range r.Targets {
			b.addRanks(to.Service, t.Document, r)
		}
	}
	for _, rs := range b.ranks {
		slices.SortFunc(rs, compareRanks)
	}
	b.setList(b.now())
}

// addRanks notes which ranks requests of a route to a service may have.
func (b *balancer) addRanks(service string, d *route.Document, r *route.Route) {
	add := func(k rankOf) {
		if !slices.Contains(b.ranks[service], k) {
			b.ranks[service] = append(b.ranks[service], k)
		}
	}
	if r.Public || len(d.Workspaces) == 0 {
		add(rank(nil, r))
		return
	}
	for i := range d.Workspaces {
		add(rank(&d.Workspaces[i], r))
	}
}

// compareRanks orders by workspace, then by route.
func compareRanks(a, b rankOf) int {
	if a.workspace != b.workspace {
		return a.workspace - b.workspace
	}
	return a.route - b.route
}

// value returns the values in force for a request; mu must be held.
func (b *balancer) value(c *call) *settings.Effective {
	ref := valueRef{c.workspace, c.route, c.service.Name}
	if v := b.values[ref]; v != nil {
		return v
	}
	name := ""
	if c.workspace != nil {
		name = c.workspace.Name
	}
	v := &settings.Effective{
		Workspace: name, Service: c.route.Name, Rank: max(0, slices.Index(b.ranks[c.service.Name], rank(c.workspace, c.route))),
		Weight: 1, MaxQueued: mostWaiting, Repeatable: c.route.MayRepeat(), Affinity: c.route.Sticky,
	}
	b.values[ref] = v
	return v
}

// setEndpoints takes a new list of endpoints. Sends to an earlier life of an endpoint that has started again are
// ended: nothing works on them any more, and the connection may not tell. It returns these lives, but for those that were leaving.
func (b *balancer) setEndpoints(now time.Duration, list []feed.Endpoint) (reborn []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	here := make(map[string]bool, len(list))
	born := make(map[string]int64, len(list))
	for _, e := range list {
		life := e.Incarnation()
		here[life], born[e.Instance] = true, e.StartedMS
		t := b.targets[life]
		if t == nil {
			t = &target{sends: make(map[*call]func())}
			b.targets[life] = t
		}
		t.Endpoint = e
	}
	for life, t := range b.targets {
		if here[life] {
			continue
		}
		if t.StartedMS < born[t.Instance] {
			t.endSends()
			if !t.Leaving {
				reborn = append(reborn, life)
			}
		}
		t.Leaving = true
		if t.own.Running == 0 {
			delete(b.targets, life)
		}
	}
	b.sweepBooks()
	b.setList(now)
	b.poll(now)
	return reborn
}

// leaving tells whether an endpoint leaves, or is not known any more.
func (b *balancer) leaving(life string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.targets[life]
	return t == nil || t.Leaving
}

// setList tells the scheduler of the endpoints; mu must be held.
func (b *balancer) setList(now time.Duration) {
	list := make([]sched.Endpoint, 0, len(b.targets))
	for _, t := range b.targets {
		list = append(list, sched.Endpoint{Name: t.Incarnation(), Engine: true, Slots: t.Slots, Leaving: t.Leaving, CrossZone: t.Zone != b.zone})
	}
	slices.SortFunc(list, func(x, y sched.Endpoint) int {
		if x.Name < y.Name {
			return -1
		}
		return 1
	})
	b.sched.SetEndpoints(list)
	b.report(now)
}

// report tells the scheduler what runs at the endpoints; mu must be held. An
// endpoint whose pace nobody has seen is taken to have the mean pace of its service.
func (b *balancer) report(now time.Duration) {
	mean := b.meanPace()
	for name, t := range b.targets {
		b.sched.ApplyReport(now, name, sched.Report{
			At: now, Running: t.own.Running + t.others.Running, PrefillTokens: t.own.Prefill + t.others.Prefill,
			Estimated: true, Slots: t.Slots, Step: cmp.Or(t.pace(), mean[t.Service]), PrefillPerStep: b.prefillOf(t.Service), Model: t.Service, AcceptsPrompts: true,
		})
	}
}

// setHosts tells the scheduler how many hosts share the endpoints.
func (b *balancer) setHosts(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sched.SharingHosts = max(1, n)
}

// setOthers takes what all other hosts together have running and waiting.
func (b *balancer) setOthers(now time.Duration, o peers.PeerLoads) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, t := range b.targets {
		l := o.Load[name]
		l.Step = cmp.Or(l.Step, t.others.Step) // it stays known
		t.others = l
		b.sched.ApplyPeerEvidence(now, name, t.evidence())
	}
	b.report(now)
	b.sched.SetSilentPeers(o.Unreported)
	b.sched.SetPeerState(sched.PeerState{Waiting: o.Waiting, Age: o.Age})
	b.poll(now)
}

// loads tells what this host has running and waiting.
func (b *balancer) loads() (map[string]peers.Load, map[string][]int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]peers.Load)
	now := b.now()
	for name, t := range b.targets {
		if l := t.load(b.sched.Evidence(now, name)); l.Running > 0 || l.Bad > 0 {
			out[name] = l
		}
	}
	return out, b.sched.OwnWaiting()
}

// changes tells the loads that changed since they were told last, and what waits; false if
// nothing changed.
func (b *balancer) changes() (map[string]peers.Load, map[string][]int, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	waiting := b.sched.OwnWaiting()
	if len(b.changed) == 0 && len(waiting) == 0 && !b.waited {
		return nil, nil, false
	}
	b.waited = len(waiting) > 0
	out := make(map[string]peers.Load, len(b.changed))
	for name := range b.changed {
		out[name] = peers.Load{}
		if t := b.targets[name]; t != nil {
			out[name] = t.load(b.sched.Evidence(b.now(), name))
		}
	}
	clear(b.changed)
	return out, waiting, true
}

// poll delivers decisions on waiting requests; mu must be held.
func (b *balancer) poll(now time.Duration) {
	for _, d := range b.sched.Poll(now) {
		b.deliver(d)
	}
}

// deliver hands a decision to the request that waits for it; mu must be held.
func (b *balancer) deliver(d sched.Decision) {
	b.note(d)
	d.Request.Data.(chan sched.Decision) <- d
}

// note counts a dispatch among the host's own; mu must be held.
func (b *balancer) note(d sched.Decision) {
	if d.Verdict != sched.Run {
		return
	}
	if t := b.targets[d.Endpoint]; t != nil {
		t.own.Running++
		t.own.Prefill += d.Request.PromptTokens
		b.changed[d.Endpoint] = true
		b.kick()
	}
}

// draw draws which places may be filled, and fills them.
func (b *balancer) draw(now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sched.DrawClaims(now)
	b.sched.Wake()
	b.poll(now)
}

// tick lets time pass.
func (b *balancer) tick(now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sched.Tick(now)
	b.poll(now)
}

// submit asks for a place.
func (b *balancer) submit(c *call) sched.Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	c.req.Settings = b.value(c)
	d := b.sched.Submit(b.now(), c.req)
	b.note(d)
	if d.Verdict == sched.Wait {
		b.kick()
	}
	b.poll(b.now())
	return d
}

// again asks for another place after a send that ended without an answer.
func (b *balancer) again(c *call) sched.Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	b.left(c)
	c.req.DispatchBy = c.latestStart(now)
	d := b.sched.Redispatch(now, c.req)
	b.note(d)
	b.poll(now)
	return d
}

// failed notes that an endpoint failed what was sent.
func (b *balancer) failed(c *call, f outlier.Failure) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sched.Failed(b.now(), c.req, f)
	b.changed[c.at.Incarnation()] = true
}

// hold leaves the endpoint of a send alone for a time.
func (b *balancer) hold(c *call, d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sched.BackOff(b.now(), c.req, d)
}

// left counts a send out of the host's own; mu must be held.
func (b *balancer) left(c *call) {
	t := b.targets[c.at.Incarnation()]
	if t == nil {
		return
	}
	b.changed[c.at.Incarnation()] = true
	b.kick()
	t.own.Running--
	if !c.firstSeen {
		t.own.Prefill -= c.req.PromptTokens
	}
	c.firstSeen = false
}

// count is the number of endpoints that may get work.
func (b *balancer) count() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.targets)
}

// beside counts the other requests that are known to be at a call's endpoint, those of other hosts included.
func (b *balancer) beside(c *call) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if t := b.targets[c.at.Incarnation()]; t != nil {
		return max(0, t.own.Running+t.others.Running-1)
	}
	return 0
}

// sending notes that a request is at its endpoint, and what ends that; it returns what is to be called once it
// is over, and false if the endpoint has left or started again since it was chosen: a connection may take most of a second to open, and
// a process may wait for the processor between any two steps.
func (b *balancer) sending(c *call, end func()) (over func(), ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.targets[c.at.Incarnation()]
	if t == nil || t.ended || t.Leaving {
		return func() {}, false
	}
	t.sends[c] = end
	return func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		delete(t.sends, c)
	}, true
}

// first notes the first sign of an answer, and the time that it took or 0 if that tells nothing.
func (b *balancer) first(c *call, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.firstSeen {
		return
	}
	c.firstSeen = true
	if t := b.targets[c.at.Incarnation()]; t != nil {
		t.own.Prefill -= c.req.PromptTokens
		b.changed[c.at.Incarnation()] = true
		b.learnPrefill(t, c.req.PromptTokens, took)
	}
	b.sched.FirstToken(b.now(), c.req)
}

// done ends a send for good. took is the time of a request at a plain service, or 0 if none is known.
func (b *balancer) done(c *call, res sched.Result, tokens int, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	b.left(c)
	if t := b.targets[c.at.Incarnation()]; t != nil {
		t.step.Observe(float64(took), plainShare)
	}
	b.sched.Done(now, c.req, res, tokens)
	b.poll(now)
}

// withdraw takes a waiting request back; it returns false if a decision is on its way.
func (b *balancer) withdraw(c *call) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sched.Withdraw(c.req)
}

// endpoint returns a copy of an endpoint.
func (b *balancer) endpoint(name string) feed.Endpoint {
	b.mu.Lock()
	defer b.mu.Unlock()
	if t := b.targets[name]; t != nil {
		return t.Endpoint
	}
	return feed.Endpoint{}
}
