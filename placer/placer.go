// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package placer

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/heathkeel/heathkeel/clock"
	"github.com/heathkeel/heathkeel/endpoint"
	"github.com/heathkeel/heathkeel/keyval"
	"github.com/heathkeel/heathkeel/settings"
)

// Defaults and limits of a Placer.
const (
	// DefaultSweepInterval is the time between two readings of all engines of the zone.
	DefaultSweepInterval = 2 * time.Second
	// callTimeout is the timeout of one call to an engine.
	callTimeout = 2 * time.Second
	// firstBackoff is the backoff after a failed load. It doubles with each failure up to
	// maxBackoff.
	firstBackoff = 5 * time.Second
	maxBackoff   = 5 * time.Minute
	// maxConcurrentCalls is the largest number of concurrent calls to engines.
	maxConcurrentCalls = 16
)

// Placer sends orders to the engines of one zone while it holds the zone's lease. Set the
// exported fields, then call Run.
type Placer struct {
	// Name identifies the process; it must be unique to each run of the process.
	Name string
	// Zone is the availability zone.
	Zone string
	// KV and Weights are services of the platform.
	KV      keyval.KV
	Weights keyval.WeightStore
	// Settings returns the settings in force, or nil.
	Settings func() *settings.Snapshot
	// Candidate reports whether this host should try to acquire the lease of the zone; nil
	// means always.
	Candidate func() bool
	// Engine returns the connection to an engine.
	Engine func(settings.Endpoint) endpoint.Engine
	// Limits are the limits of changes at once.
	Limits Limits
	// TTL and SweepInterval default to the constants of this package.
	TTL           time.Duration
	SweepInterval time.Duration
	// Clock is the host's clock; nil means one that counts suspensions of the host.
	Clock *clock.Clock
	// Log receives changes of state.
	Log logr.Logger

	mu           sync.Mutex
	lease        Lease
	loadFailures map[string]loadFailure
	orderedLoads map[string]*endpoint.ModelSpec
	drainStarts  map[string]time.Duration // time when an engine first reported that it drains
	demand       zoneDemand
	counts       Counts
}

// loadFailure holds the backoff after the failed loads of a model version.
type loadFailure struct {
	backoff time.Duration
	retryAt time.Duration
}

// Counts are the counters of a Placer since its start, and its state.
type Counts struct {
	// Orders counts the orders sent, Loads those among them that load weights.
	Orders int64 `json:"orders"`
	Loads  int64 `json:"loads"`
	// Stale counts the orders refused for a stale token, Failed the loads that failed.
	Stale  int64 `json:"stale"`
	Failed int64 `json:"failed"`
	// Held means that this host holds the zone's lease now.
	Held bool `json:"held"`
	// Token is the fencing token of the lease.
	Token uint64 `json:"token"`
	// Unplaced is the number of missing replicas at the last sweep.
	Unplaced int `json:"unplaced"`
}

// Counts returns the counts so far.
func (p *Placer) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.counts
	c.Held, c.Token = p.lease.Held(), p.lease.Token()
	return c
}

// Run maintains the lease and sends orders to engines until ctx ends.
func (p *Placer) Run(ctx context.Context) {
	p.mu.Lock()
	if p.Clock == nil {
		p.Clock = clock.New()
	}
	p.loadFailures = make(map[string]loadFailure)
	p.orderedLoads = make(map[string]*endpoint.ModelSpec)
	p.drainStarts = make(map[string]time.Duration)
	p.demand = make(zoneDemand)
	p.lease = Lease{KV: p.KV, Key: ShardKeyPrefix + p.Zone, Holder: p.Name, TTL: p.TTL, Clock: p.Clock}
	if p.SweepInterval == 0 {
		p.SweepInterval = DefaultSweepInterval
	}
	renew := p.lease.ttl() / renewalsPerTTL
	p.mu.Unlock()
	go p.sweepLoop(ctx)
	for ctx.Err() == nil {
		p.updateLease(ctx, renew)
		select {
		case <-ctx.Done():
		case <-time.After(renew):
		}
	}
}

// updateLease renews or acquires the lease. It calls the key-value service on a copy of the
// lease, so that a slow service does not block sweeps.
func (p *Placer) updateLease(ctx context.Context, timeout time.Duration) {
	p.mu.Lock()
	l := p.lease
	p.mu.Unlock()
	if l.token == 0 && p.Candidate != nil && !p.Candidate() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	held, had := l.Held(), l.token != 0
	err := l.RenewOrAcquire(ctx)
	if err == nil && !l.Held() {
		// A recovered lease counts as held only from its first answered renewal.
		_ = l.RenewOrAcquire(ctx)
	}
	p.mu.Lock()
	if had && p.lease.token == 0 {
		// A sweep has learned in the meantime that another host holds a newer token.
		l.token = 0
	}
	p.lease = l
	p.mu.Unlock()
	if held != l.Held() {
		p.Log.Info("zone lease changed", "zone", p.Zone, "held", l.Held(), "token", l.Token())
	}
}

// sweepLoop does a sweep every SweepInterval until ctx ends.
func (p *Placer) sweepLoop(ctx context.Context) {
	for ctx.Err() == nil {
		p.sweep(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(p.SweepInterval):
		}
	}
}

// sweep reads all engines of the zone, makes a plan and sends its orders.
func (p *Placer) sweep(ctx context.Context) {
	p.mu.Lock()
	held := p.lease.Held()
	p.mu.Unlock()
	snap := p.Settings()
	if !held || snap == nil {
		return
	}
	endpoints := zoneEngines(snap, p.Zone)
	engines := p.readEngines(ctx, endpoints)
	placements := DesiredPlacements(snap, p.Zone)
	p.setRetryTimes(placements)
	p.demand.noteReports(placements, engines)
	orders := Plan(p.Clock.Now(), append(placements, p.demand.extraPlacements(placements)...), engines, p.Limits)
	p.countUnplaced(placements, engines)
	for _, o := range orders {
		i := slices.IndexFunc(endpoints, func(e settings.Endpoint) bool { return e.Name == o.Engine })
		p.sendOrder(ctx, endpoints[i], o)
	}
}

// zoneEngines returns the declared engines of a zone.
func zoneEngines(s *settings.Snapshot, zone string) []settings.Endpoint {
	var out []settings.Endpoint
	for _, e := range s.Fleet.Endpoints {
		if e.Engine && e.Zone == zone {
			out = append(out, e)
		}
	}
	return out
}

// DesiredPlacements returns the placements of a zone. Each has the rank of the highest tier
// that may use its model.
func DesiredPlacements(s *settings.Snapshot, zone string) []DesiredPlacement {
	ranks := make(map[string]int)
	for _, ws := range s.Workspaces() {
		for _, ref := range s.Refs(ws) {
			e, _ := s.Resolve(ref)
			models := e.Models
			if len(models) == 0 && len(e.Endpoints) == 0 {
				models = s.Fleet.Models
			}
			for _, m := range models {
				if r, ok := ranks[m]; !ok || e.Rank < r {
					ranks[m] = e.Rank
				}
			}
		}
	}
	var out []DesiredPlacement
	for _, pl := range s.Fleet.Placements {
		if pl.Zone != "" && pl.Zone != zone {
			continue
		}
		r, ok := ranks[pl.Model]
		if !ok {
			r = len(s.Fleet.Tiers)
		}
		out = append(out, DesiredPlacement{Placement: pl, Rank: r})
	}
	return out
}

// readEngines reads the reports of all engines.
func (p *Placer) readEngines(ctx context.Context, endpoints []settings.Endpoint) []Engine {
	out := make([]Engine, len(endpoints))
	var wg sync.WaitGroup
	sem := make(chan struct{}, maxConcurrentCalls)
	for i, e := range endpoints {
		wg.Add(1)
		sem <- struct{}{}
		go func() {
			defer wg.Done()
			out[i] = p.readEngine(ctx, e)
			<-sem
		}()
	}
	wg.Wait()
	return out
}

// noCacheEvents as the first event of a report asks for no cache events, because no event
// has so high a number.
const noCacheEvents = 1 << 62

// readEngine reads the report of one engine.
func (p *Placer) readEngine(ctx context.Context, e settings.Endpoint) Engine {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	report, err := p.Engine(e).Report(ctx, noCacheEvents)
	state := Engine{Name: e.Name, Reachable: err == nil, Leaving: e.Leaving}
	if err != nil {
		return state
	}
	state.Loaded, state.Loading, state.Role = report.Loaded, report.Loading, report.Role
	state.Busy, state.Slots = report.Running+report.Waiting, report.Slots
	state.Served, state.Errors = report.Served, report.Errors
	p.noteLoad(e.Name, report)
	state.DrainTime = p.noteDrain(e.Name, report.Role == RoleDrain)
	return state
}

// noteDrain returns for how long an engine has reported that it drains. A new lease holder
// counts from 0 again, which only delays a reload.
func (p *Placer) noteDrain(name string, draining bool) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !draining {
		delete(p.drainStarts, name)
		return 0
	}
	now := p.Clock.Now()
	if _, known := p.drainStarts[name]; !known {
		p.drainStarts[name] = now
	}
	return now - p.drainStarts[name]
}

// noteLoad compares a report with the load that was ordered. After a failed load no engine
// loads the version for a backoff that doubles with each failure.
func (p *Placer) noteLoad(name string, report endpoint.Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	want := p.orderedLoads[name]
	if want == nil {
		return
	}
	key := want.Model + "@" + want.Version
	now := p.Clock.Now()
	switch {
	case sameModel(report.Loaded, want):
		delete(p.orderedLoads, name)
		delete(p.loadFailures, key)
	case report.Loading == nil:
		delete(p.orderedLoads, name)
		p.counts.Failed++
		f := p.loadFailures[key]
		if now < f.retryAt {
			return // one of several loads that failed at the same time
		}
		f.backoff = min(max(2*f.backoff, firstBackoff), maxBackoff)
		f.retryAt = now + f.backoff
		p.loadFailures[key] = f
		p.Log.Info("load failed", "endpoint", name, "model", want.Model, "version", want.Version, "again_after", f.backoff.String())
	}
}

// setRetryTimes sets the time when placements whose loads failed may be tried again.
func (p *Placer) setRetryTimes(placements []DesiredPlacement) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range placements {
		placements[i].RetryAt = p.loadFailures[placements[i].Model+"@"+placements[i].Version].retryAt
	}
}

// countUnplaced counts the missing replicas.
func (p *Placer) countUnplaced(placements []DesiredPlacement, engines []Engine) {
	n := 0
	for i := range placements {
		pl := &placements[i]
		have := 0
		for _, e := range engines {
			if e.Reachable && sameModel(e.Loaded, pl.modelSpec()) && e.Role == pl.Role {
				have++
			}
		}
		n += max(0, pl.Replicas-have)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if n != p.counts.Unplaced {
		p.Log.Info("replicas missing", "zone", p.Zone, "missing", n)
	}
	p.counts.Unplaced = n
}

// sendOrder sends one order if the lease still allows it.
func (p *Placer) sendOrder(ctx context.Context, e settings.Endpoint, o Order) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	engineOrder := endpoint.Order{Want: o.Want, Role: o.Role}
	if o.Load {
		w, err := p.Weights.Describe(ctx, o.Want.Model, o.Want.Version)
		if err != nil {
			return
		}
		engineOrder.Digest = w.Digest
	}
	p.mu.Lock()
	allowed := p.lease.MayOrder(e.Fenced)
	engineOrder.Token = p.lease.Token()
	p.mu.Unlock()
	if !allowed {
		return
	}
	err := p.Engine(e).Order(ctx, engineOrder)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Orders++
	if o.Load {
		p.counts.Loads++
		p.orderedLoads[o.Engine] = o.Want
	}
	if err == endpoint.ErrStaleToken {
		p.counts.Stale++
		p.lease.token = 0
		p.Log.Info("order refused for a stale fencing token", "zone", p.Zone, "endpoint", o.Engine)
	}
}
