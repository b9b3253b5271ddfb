// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package sched

import "time"

// Figures of the doubt about hosts that are not heard.
const (
	// silentGain is the weight of an observation.
	silentGain = 0.1
	// silentLateness is the delay of a first token against its prediction, as a part of the
	// aim, from which it is taken to have waited behind requests that were not known.
	silentLateness = 0.25
)

// SetSilentPeers takes the number of hosts that may be serving and are not heard.
//
// A host that hears only some of the others, or none, would take endpoints for idle that
// those fill. It cannot know whether they serve on. So it takes each of them to have as many
// requests as it has itself, evenly over the endpoints of a service, at first surely,
// and then as far as its own first tokens bear that out: those that come as fast as was
// predicted without the unheard hosts speak against them, those that wait speak for them.
func (s *Scheduler) SetSilentPeers(n int) {
	if n > s.silentPeers {
		for _, p := range s.pools {
			p.silentActivity = 1
		}
	}
	s.silentPeers = n
}

// silentLoad is the number of requests that the hosts which are not heard are taken to have at
// each endpoint of a pool.
func (s *Scheduler) silentLoad(p *pool) float64 {
	if s.silentPeers == 0 || s.cfg.Disabled.SilentPeers || len(p.members) == 0 {
		return 0
	}
	own := 0
	for _, e := range p.members {
		own += e.own
	}
	return p.silentActivity * float64(s.silentPeers) * float64(own) / float64(len(p.members))
}

// observeSilentPeers learns from a first token whether the hosts that are not heard serve on.
func (s *Scheduler) observeSilentPeers(now time.Duration, r *Request) {
	if s.silentPeers == 0 || r.Objective.FirstToken <= 0 {
		return
	}
	late := now-r.dispatchedAt-r.predicted > time.Duration(silentLateness*float64(r.Objective.FirstToken))
	p := r.pool
	p.silentActivity -= silentGain * p.silentActivity
	if late {
		p.silentActivity += silentGain
	}
}
