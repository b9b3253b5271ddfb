// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package placer

import (
	"cmp"
	"slices"
	"time"

	"github.com/heathkeel/heathkeel/endpoint"
	"github.com/heathkeel/heathkeel/settings"
)

// RoleDrain is the role of an engine that takes no new requests, so that it can be reloaded
// when its requests are done.
const RoleDrain = "drain"

// Engine is the state of an engine that the planner uses.
type Engine struct {
	// Name is the name of the engine.
	Name string
	// Reachable means that the engine answered the last request for its report.
	Reachable bool
	// Leaving means that the engine gets no new work.
	Leaving bool
	// Loaded, Loading and Role are copied from the engine's report.
	Loaded, Loading *endpoint.ModelSpec
	Role            string
	// Busy is the number of requests running or waiting at the engine.
	Busy int
	// Slots is the number of requests that the engine runs at once.
	Slots int
	// Served and Errors count requests since the start of the engine.
	Served, Errors int64
	// DrainTime is the time for which the engine's reports have said that it drains.
	DrainTime time.Duration
}

// Order is the desired state of an engine.
type Order struct {
	// Engine is the name of the engine.
	Engine string
	// Want is the model that the engine must load, Role its role.
	Want *endpoint.ModelSpec
	Role string
	// Load means that the engine must load weights to obey the order.
	Load bool
}

// Limits are limits of what a plan changes at once. A field that is 0 means its default.
type Limits struct {
	// MaxLoads is the largest number of engines of a zone that load at once; default 2.
	MaxLoads int
	// MaxShare is the largest share of a model's engines that a new version takes out of
	// service at once; default 0.25. One engine is always allowed.
	MaxShare float64
	// A version is not placed any further if the share of failed requests at its engines
	// exceeds MaxErrorRatio and at least MinErrors requests failed; defaults 0.05 and 5.
	MaxErrorRatio float64
	MinErrors     int64
	// MinDrainTime is the time for which an engine must have drained before it is reloaded,
	// so that every host has read a report that says so; default 6 s.
	MinDrainTime time.Duration
}

// withDefaults sets the fields that are 0 to their defaults.
func (l Limits) withDefaults() Limits {
	l.MaxLoads = cmp.Or(l.MaxLoads, 2)
	l.MaxShare = cmp.Or(l.MaxShare, 0.25)
	l.MaxErrorRatio = cmp.Or(l.MaxErrorRatio, 0.05)
	l.MinErrors = cmp.Or(l.MinErrors, 5)
	l.MinDrainTime = cmp.Or(l.MinDrainTime, 6*time.Second)
	return l
}

// DesiredPlacement is a placement of one zone with its urgency.
type DesiredPlacement struct {
	settings.Placement
	// Rank is the rank of the highest tier that uses the model; 0 is the most urgent.
	Rank int
	// RetryAt is the time when the version may be loaded again after a load failed. A
	// version that fails at one engine is not loaded at any engine until then, so that it
	// cannot take all engines of a zone out of service.
	RetryAt time.Duration
}

// modelSpec returns the model that an engine of the placement holds.
func (pl *DesiredPlacement) modelSpec() *endpoint.ModelSpec {
	return &endpoint.ModelSpec{Model: pl.Model, Version: pl.Version, Adapters: pl.Adapters}
}

// sameModel reports whether a and b are the same model, version and adapters.
func sameModel(a, b *endpoint.ModelSpec) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.Model == b.Model && a.Version == b.Version && slices.Equal(a.Adapters, b.Adapters)
}

// planner holds the state of one call of Plan.
type planner struct {
	now        time.Duration
	limits     Limits
	placements []DesiredPlacement
	engines    []Engine
	assigned   map[string]int // index of the placement by name of the engine
	orders     []Order
	loads      int
}

// Plan returns the orders for the engines of one zone; equal inputs give equal orders.
// Engines that already match a placement stay as they are. Others are assigned to missing
// replicas, the most urgent model first: idle engines, then those with another version of
// the model, then those that no placement needs. An engine is drained before it is
// reloaded, and no order takes away the last engine that serves a model while a placement
// of that model exists.
func Plan(now time.Duration, placements []DesiredPlacement, engines []Engine, limits Limits) []Order {
	p := &planner{now: now, limits: limits.withDefaults(), placements: slices.Clone(placements), assigned: make(map[string]int)}
	slices.SortStableFunc(p.placements, func(a, b DesiredPlacement) int { return cmp.Or(a.Rank-b.Rank, cmp.Compare(a.Name, b.Name)) })
	for _, e := range engines {
		if e.Reachable && !e.Leaving {
			p.engines = append(p.engines, e)
		}
		if e.Loading != nil {
			p.loads++
		}
	}
	slices.SortFunc(p.engines, func(a, b Engine) int { return cmp.Compare(a.Name, b.Name) })
	p.assignCurrent()
	for i := range p.placements {
		p.assignMissing(i)
	}
	return p.orders
}

// assignCurrent assigns engines that hold or are loading what a placement needs.
func (p *planner) assignCurrent() {
	for i := range p.placements {
		pl := &p.placements[i]
		missing := pl.Replicas
		for _, loading := range []bool{false, true} {
			for _, e := range p.engines {
				h := e.Loaded
				if loading {
					h = e.Loading
				}
				if _, used := p.assigned[e.Name]; used || missing == 0 || !sameModel(h, pl.modelSpec()) {
					continue
				}
				missing--
				p.assigned[e.Name] = i
				if !loading && e.Role != pl.Role {
					p.orders = append(p.orders, Order{Engine: e.Name, Want: pl.modelSpec(), Role: pl.Role})
				}
			}
		}
	}
}

// countAssigned counts the engines assigned to a placement.
func (p *planner) countAssigned(i int) int {
	n := 0
	for _, assigned := range p.assigned {
		if assigned == i {
			n++
		}
	}
	return n
}

// assignMissing assigns engines to the missing replicas of a placement.
func (p *planner) assignMissing(i int) {
	pl := &p.placements[i]
	if p.now < pl.RetryAt || p.tooManyErrors(pl) {
		return
	}
	missing := pl.Replicas - p.countAssigned(i)
	allowed := p.replaceable(pl)
	for _, e := range p.candidates(pl) {
		if missing <= 0 || p.loads >= p.limits.MaxLoads {
			return
		}
		older := e.Loaded != nil && e.Loaded.Model == pl.Model
		if p.lastServing(e) || (older && allowed <= 0) {
			continue
		}
		p.assigned[e.Name] = i
		missing--
		if older {
			allowed--
		}
		p.drainOrLoad(e, pl)
	}
}

// drainOrLoad orders an engine to drain or, once it is idle and drained for long enough, to
// load.
func (p *planner) drainOrLoad(e Engine, pl *DesiredPlacement) {
	p.loads++
	if e.Loaded != nil && (e.Busy > 0 || e.Role != RoleDrain || e.DrainTime < p.limits.MinDrainTime) {
		p.orders = append(p.orders, Order{Engine: e.Name, Want: e.Loaded, Role: RoleDrain})
		return
	}
	p.orders = append(p.orders, Order{Engine: e.Name, Want: pl.modelSpec(), Role: pl.Role, Load: true})
}

// candidates returns the engines that may be assigned to a placement, the best first:
// engines that drain already, then empty ones, which cost nothing, then those with another
// version of the model, which is to be replaced, then the others.
func (p *planner) candidates(pl *DesiredPlacement) []Engine {
	var out []Engine
	for _, e := range p.engines {
		if _, used := p.assigned[e.Name]; used || e.Loading != nil {
			continue
		}
		out = append(out, e)
	}
	rank := func(e Engine) int {
		switch {
		case e.Loaded != nil && e.Role == RoleDrain:
			return 0
		case e.Loaded == nil:
			return 1
		case e.Loaded.Model == pl.Model:
			return 2
		}
		return 3
	}
	slices.SortStableFunc(out, func(a, b Engine) int { return cmp.Or(rank(a)-rank(b), a.Busy-b.Busy) })
	return out
}

// lastServing reports whether an engine is the only one that serves a model that a
// placement needs. An engine that drains does not serve.
func (p *planner) lastServing(e Engine) bool {
	if e.Loaded == nil || e.Role == RoleDrain {
		return false
	}
	wanted := slices.ContainsFunc(p.placements, func(pl DesiredPlacement) bool { return pl.Model == e.Loaded.Model && pl.Replicas > 0 })
	if !wanted {
		return false
	}
	for _, o := range p.engines {
		if o.Name != e.Name && o.Loaded != nil && o.Loaded.Model == e.Loaded.Model && o.Role != RoleDrain && !p.draining(o.Name) {
			return false
		}
	}
	return true
}

// draining reports whether this plan drains or reloads an engine.
func (p *planner) draining(name string) bool {
	return slices.ContainsFunc(p.orders, func(o Order) bool { return o.Engine == name && (o.Role == RoleDrain || o.Load) })
}

// replaceable returns how many more engines that serve a placement's model may be taken out
// of service now.
func (p *planner) replaceable(pl *DesiredPlacement) int {
	n, out := 0, 0
	for _, e := range p.engines {
		if e.Loading != nil && e.Loading.Model == pl.Model {
			out++
		}
		if e.Loaded != nil && e.Loaded.Model == pl.Model {
			n++
		}
	}
	return max(1, int(p.limits.MaxShare*float64(n+out))) - out
}

// tooManyErrors reports whether the engines that hold a placement's version fail more
// requests than the limits allow.
func (p *planner) tooManyErrors(pl *DesiredPlacement) bool {
	var served, failed int64
	for _, e := range p.engines {
		if sameModel(e.Loaded, pl.modelSpec()) {
			served += e.Served
			failed += e.Errors
		}
	}
	return failed >= p.limits.MinErrors && float64(failed) > p.limits.MaxErrorRatio*float64(served+failed)
}
