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

// RoleDrain is the role of an engine that takes no new requests, so that it can be
// reloaded when those it has are done.
const RoleDrain = "drain"

// Engine is what the planner knows of an engine.
type Engine struct {
	// Name identifies it.
	Name string
	// Reachable says whether it reported of late.
	Reachable bool
	// Leaving says that it gets no new work.
	Leaving bool
	// Loaded and Loading are from its report; Role too.
	Loaded, Loading *endpoint.ModelSpec
	Role            string
	// Busy is the number of requests running or waiting there.
	Busy int
	// Slots is the number of requests that it runs at once.
	Slots int
	// Served and Errors count requests since it started.
	Served, Errors int64
	// DrainTime is how long its reports have said that it drains.
	DrainTime time.Duration
}

// Order is what an engine shall be.
type Order struct {
	// Engine is its name.
	Engine string
	// Want is what it shall hold and Role what it shall do.
	Want *endpoint.ModelSpec
	Role string
	// Load says that obeying it means loading weights.
	Load bool
}

// Limits bound what a plan changes at once; a zero field means the default named.
type Limits struct {
	// MaxLoads is the number of engines of a zone that load at once; default 2.
	MaxLoads int
	// MaxShare is the largest part of a model's engines that a new version takes out
	// at once; default 0.25, but one at least.
	MaxShare float64
	// MaxErrorRatio stops a version whose engines fail more than that part of their
	// requests; default 0.05, and ErrorLeast is the least number; default 5.
	MaxErrorRatio float64
	MinErrors     int64
	// MinDrainTime is how long an engine must have drained before it is reloaded: until
	// every host has read a report that says so; default 6 s.
	MinDrainTime time.Duration
}

// withDefaults fills in the fields that are zero.
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
	// Rank is that of the highest tier that uses the model, 0 the most urgent.
	Rank int
	// RetryAt is when a load may be tried again after one failed: a version that
	// fails at one engine is held back at all, so that it cannot empty a zone.
	RetryAt time.Duration
}

// holding is what an engine of the wish holds.
func (w *DesiredPlacement) holding() *endpoint.ModelSpec {
	return &endpoint.ModelSpec{Model: w.Model, Version: w.Version, Adapters: w.Adapters}
}

// same compares two holdings.
func same(a, b *endpoint.ModelSpec) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.Model == b.Model && a.Version == b.Version && slices.Equal(a.Adapters, b.Adapters)
}

// planner makes one plan.
type planner struct {
	now    time.Duration
	limits Limits
	wishes []DesiredPlacement
	list   []Engine
	taken  map[string]int // engine to index of its wish
	orders []Order
	loads  int
}

// Plan returns the orders for the engines of one zone, the same for the same
// input. Engines that already are what a wish needs stay; others are taken for
// missing replicas, the most urgent model first: idle ones, then those with
// another version, then those no wish needs. An engine is drained before it is
// reloaded, and no order takes a model's last serving engine while the model
// is wished for.
func Plan(now time.Duration, wishes []DesiredPlacement, engines []Engine, l Limits) []Order {
	p := &planner{now: now, limits: l.withDefaults(), wishes: slices.Clone(wishes), taken: make(map[string]int)}
	slices.SortStableFunc(p.wishes, func(a, b DesiredPlacement) int { return cmp.Or(a.Rank-b.Rank, cmp.Compare(a.Name, b.Name)) })
	for _, e := range engines {
		if e.Reachable && !e.Leaving {
			p.list = append(p.list, e)
		}
		if e.Loading != nil {
			p.loads++
		}
	}
	slices.SortFunc(p.list, func(a, b Engine) int { return cmp.Compare(a.Name, b.Name) })
	p.keep()
	for i := range p.wishes {
		p.fill(i)
	}
	return p.orders
}

// keep leaves engines that are, or are becoming, what a wish needs.
func (p *planner) keep() {
	for i := range p.wishes {
		w := &p.wishes[i]
		left := w.Replicas
		for _, loading := range []bool{false, true} {
			for _, e := range p.list {
				h := e.Loaded
				if loading {
					h = e.Loading
				}
				if _, used := p.taken[e.Name]; used || left == 0 || !same(h, w.holding()) {
					continue
				}
				left--
				p.taken[e.Name] = i
				if !loading && e.Role != w.Role {
					p.orders = append(p.orders, Order{Engine: e.Name, Want: w.holding(), Role: w.Role})
				}
			}
		}
	}
}

// have counts the engines taken for a wish.
func (p *planner) have(i int) int {
	n := 0
	for _, w := range p.taken {
		if w == i {
			n++
		}
	}
	return n
}

// fill takes engines for the missing replicas of a wish.
func (p *planner) fill(i int) {
	w := &p.wishes[i]
	if p.now < w.RetryAt || p.failing(w) {
		return
	}
	missing := w.Replicas - p.have(i)
	allowed := p.rolling(w)
	for _, e := range p.candidates(w) {
		if missing <= 0 || p.loads >= p.limits.MaxLoads {
			return
		}
		older := e.Loaded != nil && e.Loaded.Model == w.Model
		if p.lastServing(e) || (older && allowed <= 0) {
			continue
		}
		p.taken[e.Name] = i
		missing--
		if older {
			allowed--
		}
		p.change(e, w)
	}
}

// change drains an engine or, once it is idle, orders the load.
func (p *planner) change(e Engine, w *DesiredPlacement) {
	p.loads++
	if e.Loaded != nil && (e.Busy > 0 || e.Role != RoleDrain || e.DrainTime < p.limits.MinDrainTime) {
		p.orders = append(p.orders, Order{Engine: e.Name, Want: e.Loaded, Role: RoleDrain})
		return
	}
	p.orders = append(p.orders, Order{Engine: e.Name, Want: w.holding(), Role: w.Role, Load: true})
}

// candidates are the engines that may be taken for a wish, the best first:
// draining ones go on, idle ones cost nothing, an older version of the model
// is to be replaced, and what no wish needs comes last.
func (p *planner) candidates(w *DesiredPlacement) []Engine {
	var out []Engine
	for _, e := range p.list {
		if _, used := p.taken[e.Name]; used || e.Loading != nil {
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
		case e.Loaded.Model == w.Model:
			return 2
		}
		return 3
	}
	slices.SortStableFunc(out, func(a, b Engine) int { return cmp.Or(rank(a)-rank(b), a.Busy-b.Busy) })
	return out
}

// lastServing reports whether an engine is the only one that serves a model
// which a wish needs; an engine that drains already serves no more.
func (p *planner) lastServing(e Engine) bool {
	if e.Loaded == nil || e.Role == RoleDrain {
		return false
	}
	wanted := slices.ContainsFunc(p.wishes, func(w DesiredPlacement) bool { return w.Model == e.Loaded.Model && w.Replicas > 0 })
	if !wanted {
		return false
	}
	for _, o := range p.list {
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

// rolling is how many serving engines of a wish's model may be taken out now.
func (p *planner) rolling(w *DesiredPlacement) int {
	n, out := 0, 0
	for _, e := range p.list {
		if e.Loading != nil && e.Loading.Model == w.Model {
			out++
		}
		if e.Loaded != nil && e.Loaded.Model == w.Model {
			n++
		}
	}
	return max(1, int(p.limits.MaxShare*float64(n+out))) - out
}

// failing reports whether the engines that hold a wish's version fail too much.
func (p *planner) failing(w *DesiredPlacement) bool {
	var served, failed int64
	for _, e := range p.list {
		if same(e.Loaded, w.holding()) {
			served += e.Served
			failed += e.Errors
		}
	}
	return failed >= p.limits.MinErrors && float64(failed) > p.limits.MaxErrorRatio*float64(served+failed)
}
