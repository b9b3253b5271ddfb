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

// Defaults of a Placer.
const (
	// DefaultSweepInterval is the time between readings of all engines of the zone.
	DefaultSweepInterval = 2 * time.Second
	// callTimeout bounds one call to an engine.
	callTimeout = 2 * time.Second
	// firstBackoff is the time after a failed load, doubled with each failure up
	// to maxBackoff.
	firstBackoff = 5 * time.Second
	maxBackoff   = 5 * time.Minute
	// parallel bounds the calls to engines at once.
	parallel = 16
)

// Placer orders the engines of one zone while it holds the zone's lease. Set the
// exported fields, then call Run.
type Placer struct {
	// Name identifies the process; it must be unique to this run of it.
	Name string
	// Zone is the availability zone.
	Zone string
	// KV and Weights are the platform's.
	KV      keyval.KV
	Weights keyval.WeightStore
	// Settings gives the settings in force, or nil.
	Settings func() *settings.Snapshot
	// Candidate says whether this host should try to hold the zone; nil means always.
	Candidate func() bool
	// Engine gives the means to reach an engine.
	Engine func(settings.Endpoint) endpoint.Engine
	// Limits bound what changes at once.
	Limits Limits
	// TTL and Sweep default to the constants above.
	TTL           time.Duration
	SweepInterval time.Duration
	// Clock is the host's clock; nil means one that counts suspensions.
	Clock *clock.Clock
	// Log takes changes of state.
	Log logr.Logger

	mu      sync.Mutex
	lease   Lease
	failed  map[string]failure
	loading map[string]*endpoint.ModelSpec
	drains  map[string]time.Duration // when an engine was first seen to drain
	demand  demands
	counts  Counts
}

// failure is what is remembered of the failed loads of a version.
type failure struct {
	backoff time.Duration
	until   time.Duration
}

// Counts are what a Placer did since its start.
type Counts struct {
	// Orders and Loads count orders sent and those that load weights.
	Orders int64 `json:"orders"`
	Loads  int64 `json:"loads"`
	// Stale counts orders refused for an older token, Failed loads that failed.
	Stale  int64 `json:"stale"`
	Failed int64 `json:"failed"`
	// Held says whether the zone's lease is held now.
	Held bool `json:"held"`
	// Token is its fencing token.
	Token uint64 `json:"token"`
	// Unplaced is the number of replicas missing at the last sweep.
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

// Run holds the lease and orders engines until ctx ends.
func (p *Placer) Run(ctx context.Context) {
	p.mu.Lock()
	if p.Clock == nil {
		p.Clock = clock.New()
	}
	p.failed = make(map[string]failure)
	p.loading = make(map[string]*endpoint.ModelSpec)
	p.drains = make(map[string]time.Duration)
	p.demand = make(demands)
	p.lease = Lease{KV: p.KV, Key: ShardKeyPrefix + p.Zone, Holder: p.Name, TTL: p.TTL, Clock: p.Clock}
	if p.SweepInterval == 0 {
		p.SweepInterval = DefaultSweepInterval
	}
	renew := p.lease.ttl() / renewals
	p.mu.Unlock()
	go p.sweeps(ctx)
	for ctx.Err() == nil {
		p.step(ctx, renew)
		select {
		case <-ctx.Done():
		case <-time.After(renew):
		}
	}
}

// step renews or acquires the lease. The call is made on a copy, so that sweeps
// are not held up by a slow key-value service.
func (p *Placer) step(ctx context.Context, timeout time.Duration) {
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
		// A claim taken up again counts from its first answered renewal.
		_ = l.RenewOrAcquire(ctx)
	}
	p.mu.Lock()
	if had && p.lease.token == 0 {
		// A sweep learnt meanwhile that another host holds a newer token.
		l.token = 0
	}
	p.lease = l
	p.mu.Unlock()
	if held != l.Held() {
		p.Log.Info("zone lease", "zone", p.Zone, "held", l.Held(), "token", l.Token())
	}
}

// sweeps reads and orders the engines again and again.
func (p *Placer) sweeps(ctx context.Context) {
	for ctx.Err() == nil {
		p.sweep(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(p.SweepInterval):
		}
	}
}

// sweep reads all engines of the zone, plans and sends the orders.
func (p *Placer) sweep(ctx context.Context) {
	p.mu.Lock()
	held := p.lease.Held()
	p.mu.Unlock()
	snap := p.Settings()
	if !held || snap == nil {
		return
	}
	specs := zoneEngines(snap, p.Zone)
	states := p.read(ctx, specs)
	wishes := DesiredPlacements(snap, p.Zone)
	p.holdBack(wishes)
	p.demand.note(wishes, states)
	orders := Plan(p.Clock.Now(), append(wishes, p.demand.extras(wishes)...), states, p.Limits)
	p.noteUnplaced(wishes, states)
	for _, o := range orders {
		i := slices.IndexFunc(specs, func(e settings.Endpoint) bool { return e.Name == o.Engine })
		p.send(ctx, specs[i], o)
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

// DesiredPlacements returns the placements of a zone, each with the rank of the highest tier
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

// read asks all engines for their reports.
func (p *Placer) read(ctx context.Context, specs []settings.Endpoint) []Engine {
	out := make([]Engine, len(specs))
	var wg sync.WaitGroup
	slots := make(chan struct{}, parallel)
	for i, e := range specs {
		wg.Add(1)
		slots <- struct{}{}
		go func() {
			defer wg.Done()
			out[i] = p.readOne(ctx, e)
			<-slots
		}()
	}
	wg.Wait()
	return out
}

// noEvents asks for no cache events: none has so high a number.
const noEvents = 1 << 62

// readOne asks one engine for its report.
func (p *Placer) readOne(ctx context.Context, e settings.Endpoint) Engine {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rep, err := p.Engine(e).Report(ctx, noEvents)
	st := Engine{Name: e.Name, Reachable: err == nil, Leaving: e.Leaving}
	if err != nil {
		return st
	}
	st.Loaded, st.Loading, st.Role = rep.Loaded, rep.Loading, rep.Role
	st.Busy, st.Slots = rep.Running+rep.Waiting, rep.Slots
	st.Served, st.Errors = rep.Served, rep.Errors
	p.noteLoad(e.Name, rep)
	st.DrainTime = p.noteDrain(e.Name, rep.Role == RoleDrain)
	return st
}

// noteDrain returns how long an engine has been seen to drain. A new holder
// begins to count anew, which only delays a reload.
func (p *Placer) noteDrain(name string, drains bool) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !drains {
		delete(p.drains, name)
		return 0
	}
	now := p.Clock.Now()
	if _, known := p.drains[name]; !known {
		p.drains[name] = now
	}
	return now - p.drains[name]
}

// noteLoad compares a report with the load ordered before. A failed load holds
// the version back at all engines for a time that doubles.
func (p *Placer) noteLoad(name string, rep endpoint.Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	want := p.loading[name]
	if want == nil {
		return
	}
	key := want.Model + "@" + want.Version
	now := p.Clock.Now()
	switch {
	case same(rep.Loaded, want):
		delete(p.loading, name)
		delete(p.failed, key)
	case rep.Loading == nil:
		delete(p.loading, name)
		p.counts.Failed++
		f := p.failed[key]
		if now < f.until {
			return // one of several that failed together
		}
		f.backoff = min(max(2*f.backoff, firstBackoff), maxBackoff)
		f.until = now + f.backoff
		p.failed[key] = f
		p.Log.Info("load failed", "endpoint", name, "model", want.Model, "version", want.Version, "again_after", f.backoff.String())
	}
}

// holdBack sets when the wishes whose loads failed may be tried again.
func (p *Placer) holdBack(wishes []DesiredPlacement) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range wishes {
		wishes[i].RetryAt = p.failed[wishes[i].Model+"@"+wishes[i].Version].until
	}
}

// noteUnplaced counts the replicas that are missing.
func (p *Placer) noteUnplaced(wishes []DesiredPlacement, states []Engine) {
	n := 0
	for i := range wishes {
		w := &wishes[i]
		have := 0
		for _, e := range states {
			if e.Reachable && same(e.Loaded, w.holding()) && e.Role == w.Role {
				have++
			}
		}
		n += max(0, w.Replicas-have)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if n != p.counts.Unplaced {
		p.Log.Info("replicas missing", "zone", p.Zone, "missing", n)
	}
	p.counts.Unplaced = n
}

// send sends one order, if the lease still allows it.
func (p *Placer) send(ctx context.Context, e settings.Endpoint, o Order) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	eo := endpoint.Order{Want: o.Want, Role: o.Role}
	if o.Load {
		w, err := p.Weights.Describe(ctx, o.Want.Model, o.Want.Version)
		if err != nil {
			return
		}
		eo.Digest = w.Digest
	}
	p.mu.Lock()
	may := p.lease.MayOrder(e.Fenced)
	eo.Token = p.lease.Token()
	p.mu.Unlock()
	if !may {
		return
	}
	err := p.Engine(e).Order(ctx, eo)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Orders++
	if o.Load {
		p.counts.Loads++
		p.loading[o.Engine] = o.Want
	}
	if err == endpoint.ErrStaleToken {
		p.counts.Stale++
		p.lease.token = 0
		p.Log.Info("order refused for an older token", "zone", p.Zone, "endpoint", o.Engine)
	}
}
