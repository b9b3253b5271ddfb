// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package sched

import "time"

// Parameters of the estimate for silent hosts.
const (
	// silentGain is the weight of a new observation.
	silentGain = 0.1
	// silentLateness is the delay of a first token beyond its prediction, as a share of the
	// objective, from which the request is assumed to have waited behind unknown requests.
	silentLateness = 0.25
)

// SetSilentPeers sets the number of hosts that may be serving but send no heartbeats to this host.
//
// A host that receives heartbeats of only some of the others, or of none, would consider endpoints
// idle that the silent hosts fill. It cannot know whether they still serve. It therefore assumes
// that each of them has as many requests as it has itself, spread evenly over the endpoints of a
// pool. At first this estimate has its full weight; later the weight follows the host's own first
// tokens. First tokens that arrive as predicted without the silent hosts lower it, and late ones
// raise it.
func (s *Scheduler) SetSilentPeers(n int) {
	if n > s.silentPeers {
		for _, p := range s.pools {
			p.silentActivity = 1
		}
	}
	s.silentPeers = n
}

// silentLoad returns the assumed number of requests of silent hosts at each endpoint of a pool.
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

// observeSilentPeers updates from a first token the estimate of whether silent hosts still serve.
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
