// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package sched

import "time"

// While a tier is rationed, its admitted share is divided among workspaces by weighted max-min fairness
// over their attempts, in large fleets without slot owners: a workspace whose callers send more than its
// part, or retry often, has more of its attempts refused. Expected lengths still decide which ones.
//
// Where slot owners divide the slots, each workspace has rations of its own, which follow what its owners
// grant it.
//
// At 32 hosts and twice the capacity, 0.82 of the callers of a workspace most of which retry at once
// are served in the end, and 0.78 of the others'. Without the division it is 0.84 and 0.81.

// rationKey identifies the requests of a workspace in a tier.
type rationKey struct {
	workspace string
	rank      int
}

// maxRations limits the rations of a pool; beyond it, all are dropped and start anew.
const maxRations = 1 << 10

// ration returns the ration of a request. Where slot owners divide slots fairly among workspaces, each
// workspace has rations of its own: with one for all of a tier, the requests of small workspaces that
// their owners would have served were refused for a large one (0.59 to 0.63 served instead of 0.99
// with one large and three small workspaces at 1.9 times the capacity and 6 hosts).
func (s *Scheduler) ration(r *Request) *ration {
	p := r.pool
	if !s.SlotOwners {
		return &p.rations[r.rank()]
	}
	key := rationKey{r.Settings.Workspace, r.rank()}
	x := p.workspaceRations[key]
	if x == nil {
		if p.workspaceRations == nil || len(p.workspaceRations) >= maxRations {
			p.workspaceRations = make(map[rationKey]*ration)
		}
		x = &ration{}
		p.workspaceRations[key] = x
	}
	return x
}

// demandsOf returns the demands of a request's tier.
func (r *Request) demandsOf() *demands { return &r.pool.demands[r.rank()] }

// divideRations ends the rations of workspaces that are over, updates the demands of a pool and divides the rations of its tiers.
func (p *pool) divideRations(now, dt time.Duration) {
	for _, x := range p.workspaceRations {
		x.expire(now)
	}
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
		return 1 - refused // the ration is the workspace's own
	}
	d := r.demandsOf().byWorkspace[r.Settings.Workspace]
	if refused == 0 || d == nil || s.cfg.Disabled.WorkspaceRations || !s.usesFleetState() {
		return 1 - refused
	}
	return d.admitted
}
