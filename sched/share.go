// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package sched

// rationKey identifies the requests of a workspace in a tier.
type rationKey struct {
	workspace string
	rank      int
}

// maxRations limits the rations of a pool.
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
