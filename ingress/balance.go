// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/heathkeel/heathkeel/feed"
	"github.com/heathkeel/heathkeel/peers"
	"github.com/heathkeel/heathkeel/places"
	"github.com/heathkeel/heathkeel/rollout"
	"github.com/heathkeel/heathkeel/route"
	"github.com/heathkeel/heathkeel/sched"
	"github.com/heathkeel/heathkeel/settings"
)

// balancer feeds the scheduler with what the host knows of endpoints: the endpoint list, the host's own requests, the loads that
// other hosts report and the step times observed.
type balancer struct {
	zone string
	now  func() time.Duration

	mu        sync.Mutex
	sched     *sched.Scheduler
	targets   map[string]*target // by incarnation
	leavers   leavers
	evacuated map[string]bool // availability zones whose endpoints get no new requests
	rollouts  rollout.Book
	recorded  recordedVersions
	rand      *rand.Rand
	fleet     places.Fleet // all hosts
	// coldTolerance is by how much the hosts may exceed the rate of a cold endpoint.
	coldTolerance    ColdTolerance
	limitsCold       atomic.Bool // the configuration limits the requests to cold endpoints of some service
	table            *route.Table
	prefillRates     map[string]*sched.Quantile // by service: prompt tokens read in a step
	effective        map[settingsKey]*settings.Effective
	ranks            map[string][]rankPair // by service, sorted
	changedLoads     map[string]bool       // endpoints whose own load changed since it was last reported
	busy             map[string]*target    // endpoints with requests of this host, and some that had any at the last tick
	hadWaiting       bool                  // requests were waiting at the last report
	slots            slotOwner
	requestSlots     func() // triggers a request to the slot owners
	notifyPeers      func() // triggers a heartbeat to the other hosts
	owners           owners
	zones            zones
	stating          map[string]*target // endpoints that stated a limit, by incarnation
	anyStating       atomic.Bool        // stating is not empty
	ownLimited       []*target          // those with a limit in force whose slots this host owns
	rejectLimitDelay time.Duration      // from the first statement of a limit on rejections until it is in force
}

// settingsKey identifies the effective settings of a workspace on a route.
type settingsKey struct {
	workspace *route.Workspace
	route     *route.Route
	service   string
}

// maxWaiting limits the requests of a workspace that wait on one host.
const maxWaiting = 500

// newBalancer returns a balancer without endpoints.
func newBalancer(zone string, cfg sched.Config, r *rand.Rand, now func() time.Duration) *balancer {
	s := &sched.Scheduler{Config: cfg, Rand: r, SharingHosts: 1}
	s.Init()
	return &balancer{
		rand: r, zone: zone, now: now, sched: s, targets: make(map[string]*target),
		prefillRates: make(map[string]*sched.Quantile), effective: make(map[settingsKey]*settings.Effective), ranks: make(map[string][]rankPair), changedLoads: make(map[string]bool), busy: make(map[string]*target),
		slots: slotOwner{allocators: make(map[string]*places.Allocator), sentRequests: make(map[string]places.Request), usage: make(map[string]*WorkspaceSlots), wantSentAt: make(map[string]time.Duration), returned: make(map[string]bool), rand: r}, requestSlots: func() {}, notifyPeers: func() {}, stating: make(map[string]*target), owners: owners{share: 1}, zones: newZones(zone),
	}
}

// setTable puts a new configuration in force.
func (b *balancer) setTable(t *route.Table) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.table = t
	b.limitsCold.Store(slices.ContainsFunc(t.Document.Services, func(s route.Service) bool { return s.ColdRate > 0 }))
	clear(b.effective)
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
	b.syncEndpoints(b.now())
}

// service returns a service of the configuration, or nil; mu must be held.
func (b *balancer) service(name string) *route.Service {
	if b.table == nil {
		return nil
	}
	return b.table.Service(name)
}

// addRanks adds the ranks that requests of a route to a service may have.
func (b *balancer) addRanks(service string, d *route.Document, r *route.Route) {
	add := func(k rankPair) {
		if !slices.Contains(b.ranks[service], k) {
			b.ranks[service] = append(b.ranks[service], k)
		}
	}
	if r.Public || len(d.Workspaces) == 0 {
		add(rankFor(nil, r))
		return
	}
	for i := range d.Workspaces {
		add(rankFor(&d.Workspaces[i], r))
	}
}

// compareRanks orders by workspace, then by route.
func compareRanks(a, b rankPair) int {
	if a.workspace != b.workspace {
		return a.workspace - b.workspace
	}
	return a.route - b.route
}

// effectiveSettings returns the settings in force for a request; mu must be held.
func (b *balancer) effectiveSettings(c *call) *settings.Effective {
	key := settingsKey{c.workspace, c.route, c.service.Name}
	if v := b.effective[key]; v != nil {
		return v
	}
	name := ""
	if c.workspace != nil {
		name = c.workspace.Name
	}
	v := &settings.Effective{
		Workspace: name, Service: c.route.Name, Rank: max(0, slices.Index(b.ranks[c.service.Name], rankFor(c.workspace, c.route))),
		Weight: 1, MaxQueued: maxWaiting, Repeatable: c.route.MayRepeat(), Affinity: c.route.Sticky,
	}
	b.effective[key] = v
	return v
}

// setEndpoints applies a new endpoint list. Sends to an earlier incarnation of an endpoint that has restarted are canceled:
// nothing works on them any more, and their connections may not show it. onRecord are the versions at which resumable streams may
// begin. It returns these incarnations, except those that were leaving.
func (b *balancer) setEndpoints(now time.Duration, list []feed.Endpoint, onRecord map[serviceVersion]bool) (restarted []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.recorded.onRecord = onRecord
	listed := make(map[string]bool, len(list))
	newestStartMS := make(map[string]int64, len(list))
	for _, e := range list {
		incarnation := e.Incarnation()
		listed[incarnation], newestStartMS[e.Instance] = true, e.StartedMS
		t := b.targets[incarnation]
		if t == nil {
			t = &target{sends: make(map[*call]*targetSend), saidLeaving: b.leavers.has(incarnation)}
			b.targets[incarnation] = t
		}
		t.update(now, e)
	}
	for incarnation, t := range b.targets {
		if listed[incarnation] {
			continue
		}
		if t.StartedMS < newestStartMS[t.Instance] {
			t.cancelSends()
			if !t.leaves() {
				restarted = append(restarted, incarnation)
			}
		}
		t.Leaving = true
		if t.ownLoad.Running == 0 {
			delete(b.targets, incarnation)
		}
	}
	b.dropAllocators()
	b.syncEndpoints(now)
	b.poll(now)
	return restarted
}

// setEvacuated sets the availability zones whose endpoints get no new requests. Requests that run there
// end by themselves.
func (b *balancer) setEvacuated(now time.Duration, zones []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	before := b.evacuated
	b.evacuated = make(map[string]bool, len(zones))
	for _, z := range zones {
		b.evacuated[z] = true
	}
	b.markCold(now, before)
	b.syncEndpoints(now)
	b.poll(now)
}

// getsRequests reports whether an endpoint gets new requests; mu must be held.
func (b *balancer) getsRequests(t *target) bool {
	return !t.leaves() && !t.replaced && !b.evacuated[t.Zone] && !b.rollouts.Excludes(t.Service, t.Version)
}

// isLeaving reports whether an endpoint is leaving or no longer known.
func (b *balancer) isLeaving(incarnation string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.targets[incarnation]
	return t == nil || t.leaves()
}

// syncEndpoints passes the endpoints to the scheduler; mu must be held.
func (b *balancer) syncEndpoints(now time.Duration) {
	list := make([]sched.Endpoint, 0, len(b.targets))
	b.updateHolds(now)
	for _, t := range b.targets {
		list = append(list, sched.Endpoint{Name: t.Incarnation(), Engine: true, Version: versionOf(&t.Endpoint), Unrecorded: b.recorded.isHeld(t.Service, versionOf(&t.Endpoint)), Slots: t.Slots, Leaving: !b.getsRequests(t), CrossZone: t.Zone != b.zone, Zone: t.Zone, Cold: b.coldLimit(now, t), RateLimited: t.inForce.rateLimited, Rate: t.inForce.rate, RejectLimited: t.inForce.rejectLimited})
	}
	slices.SortFunc(list, func(x, y sched.Endpoint) int {
		if x.Name < y.Name {
			return -1
		}
		return 1
	})
	b.sched.SetEndpoints(list)
	b.reportLoads(now)
}

// reportLoads reports the load of each endpoint to the scheduler; mu must be held. An endpoint whose step time was observed by
// no host is assumed to have the mean step time of its service.
func (b *balancer) reportLoads(now time.Duration) {
	mean := b.meanStepTime()
	for incarnation, t := range b.targets {
		b.sched.ApplyReport(now, incarnation, sched.Report{
			At: now, Running: t.ownLoad.Running + t.peerLoad.Running, PrefillTokens: t.ownLoad.Prefill + t.peerLoad.Prefill,
			Estimated: true, Slots: t.Slots, Step: cmp.Or(t.stepTime(), mean[t.Service]), PrefillPerStep: b.prefillRate(t.Service), Model: b.poolOf(t.Service, t.Version), AcceptsPrompts: true,
		})
	}
}

// setHostCount tells the scheduler how many hosts share the endpoints, and whether slot owners grant the slots of all endpoints.
func (b *balancer) setHostCount(n int, slotOwners bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sched.SharingHosts, b.sched.SlotOwners = max(1, n), slotOwners
}

// setPeerLoads applies the running and waiting requests of all other hosts together.
func (b *balancer) setPeerLoads(now time.Duration, loads peers.PeerLoads) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for incarnation, t := range b.targets {
		l := loads.Load[incarnation]
		l.Step = cmp.Or(l.Step, t.peerLoad.Step) // the last known value is kept
		t.peerLoad = l
		b.sched.ApplyPeerEvidence(now, incarnation, t.peerEvidence())
	}
	b.reportLoads(now)
	b.sched.SetSilentPeers(loads.Unreported)
	b.sched.SetPeerState(sched.PeerState{Waiting: loads.Waiting, Age: loads.Age})
	b.planZones(now, &loads)
	b.poll(now)
}

// loads returns this host's load by endpoint, and its waiting requests.
func (b *balancer) loads() (map[string]peers.Load, map[string][]int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]peers.Load)
	now := b.now()
	for incarnation, t := range b.targets {
		if l := t.load(b.sched.Evidence(now, incarnation)); l.Running > 0 || l.Bad > 0 {
			out[incarnation] = l
		}
	}
	return out, b.sched.OwnWaiting()
}

// takeChangedLoads returns the loads that changed since its last call, and the waiting requests. It returns false if nothing changed.
func (b *balancer) takeChangedLoads() (map[string]peers.Load, map[string][]int, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	waiting := b.sched.OwnWaiting()
	if len(b.changedLoads) == 0 && len(waiting) == 0 && !b.hadWaiting {
		return nil, nil, false
	}
	b.hadWaiting = len(waiting) > 0
	out := make(map[string]peers.Load, len(b.changedLoads))
	for incarnation := range b.changedLoads {
		out[incarnation] = peers.Load{}
		if t := b.targets[incarnation]; t != nil {
			out[incarnation] = t.load(b.sched.Evidence(b.now(), incarnation))
		}
	}
	clear(b.changedLoads)
	return out, waiting, true
}

// poll delivers the scheduler's decisions on waiting requests; mu must be held.
func (b *balancer) poll(now time.Duration) {
	b.holdGrants(now)
	for _, d := range b.sched.Poll(now) {
		b.deliver(d)
	}
}

// deliver sends a decision to the request that waits for it; mu must be held.
func (b *balancer) deliver(d sched.Decision) {
	b.noteDispatch(d)
	d.Request.Data.(chan sched.Decision) <- d
}

// noteDispatch adds a dispatch to the host's own load; mu must be held.
func (b *balancer) noteDispatch(d sched.Decision) {
	if d.Verdict != sched.Run {
		return
	}
	if t := b.targets[d.Endpoint]; t != nil {
		if t.ownLoad.Running == 0 {
			t.busySince = b.now()
		}
		t.ownLoad.Running++
		b.busy[d.Endpoint] = t
		b.zones.noteDispatch(d.Request, t.Zone)
		t.ownLoad.Prefill += d.Request.PromptTokens
		b.changedLoads[d.Endpoint] = true
		b.requestSlots()
	}
}

// claimSlots draws the slots that this host may fill, and fills them.
func (b *balancer) claimSlots(now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sched.DrawClaims(now)
	b.sched.Wake()
	b.poll(now)
}

// tick runs the scheduler's periodic work.
func (b *balancer) tick(now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.updateRollouts(now)
	b.updateLimits(now)
	b.endHolds(now)
	b.noteSilence(now)
	b.sched.Tick(now)
	b.poll(now)
}
