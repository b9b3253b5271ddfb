// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package sched

import (
	"cmp"
	"slices"
	"time"
)

// While a tier is rationed, its admitted share is divided among workspaces by weighted max-min
// fairness over their attempts: a workspace whose callers send more than its part, or retry often,
// has more of its attempts refused. Expected lengths still decide which ones.
//
// At 32 hosts and twice the capacity, 0.82 of the callers of a workspace most of which retry at once
// are served in the end, and 0.78 of the others'. Without the division it is 0.84 and 0.81.

// maxDemands is the number of workspaces of a tier at which those without recent attempts are dropped.
const maxDemands = 64

// minDemand is the decayed number of attempts below which a workspace is dropped.
const minDemand = 0.01

// demand holds the recent attempts of a workspace in one tier of a pool.
type demand struct {
	arrivals
	weight float64
	// admitted is the share of its attempts that the tier's ration admits.
	admitted float64
}

// demands holds the demands of the workspaces of a tier.
type demands struct {
	byWorkspace map[string]*demand
	order       []*demand // scratch of divide
}

// add counts an attempt.
func (x *demands) add(workspace string, weight float64) {
	d := x.byWorkspace[workspace]
	if d == nil {
		if x.byWorkspace == nil {
			x.byWorkspace = make(map[string]*demand)
		}
		d = &demand{admitted: 1}
		x.byWorkspace[workspace] = d
	}
	d.arrivals.add()
	d.weight = max(weight, minWeight)
}

// rate returns the rate of all attempts at this host, per second.
func (x *demands) rate() float64 {
	sum := 0.0
	for _, d := range x.byWorkspace {
		sum += d.rate()
	}
	return sum
}

// minWeight bounds weights from below, so that a workspace without a weight is served.
const minWeight = 1e-3

// decay reduces the weight of past attempts.
func (x *demands) decay(dt time.Duration) {
	for name, d := range x.byWorkspace {
		d.arrivals.decay(dt)
		if len(x.byWorkspace) > maxDemands && d.sum < minDemand {
			delete(x.byWorkspace, name)
		}
	}
}

// divide divides the admitted share of all attempts among the workspaces.
func (x *demands) divide(share float64) {
	x.order = x.order[:0]
	left, weight := 0.0, 0.0
	for _, d := range x.byWorkspace {
		x.order = append(x.order, d)
		left += d.sum
		weight += d.weight
	}
	left *= share
	slices.SortFunc(x.order, func(a, b *demand) int { return cmp.Compare(a.sum/a.weight, b.sum/b.weight) })
	for _, d := range x.order {
		part := min(d.sum, left*d.weight/weight)
		left -= part
		weight -= d.weight
		d.admitted = 1
		if d.sum > 0 {
			d.admitted = part / d.sum
		}
	}
}

// demandsOf returns the demands of a request's tier.
func (r *Request) demandsOf() *demands { return &r.pool.demands[r.rank()] }

// divideRations updates the demands of a pool and divides its rations.
func (p *pool) divideRations(dt time.Duration) {
	for k := range p.demands {
		p.demands[k].decay(dt)
		if x := &p.rations[k]; x.refusedShare > 0 {
			p.demands[k].divide(1 - x.refusedShare)
		}
	}
}

// admittedShare returns the share of the attempts of r's workspace and tier that is admitted.
func (s *Scheduler) admittedShare(r *Request) float64 {
	refused := s.ration(r).refusedShare
	if s.SlotOwners {
		return 1 - refused // each workspace has rations of its own
	}
	d := r.demandsOf().byWorkspace[r.Settings.Workspace]
	if refused == 0 || d == nil || s.cfg.Disabled.WorkspaceRations || !s.usesFleetState() {
		return 1 - refused
	}
	return d.admitted
}
