// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package sched

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/heathkeel/heathkeel/settings"
)

// pool is a set of endpoints that the same requests may go to, with the
// requests that wait for it.
type pool struct {
	key     uint64
	names   []string
	model   string
	members []*endpointState
	tiers   [maxRanks]tierQueue
	waiting int
	// arrivals is the rate of requests of this host, and scarce says that places may be
	// filled by right only; see DrawClaims.
	arrivals arrivals
	scarce   bool
	doubt    float64 // how far unheard hosts are taken to serve on, 0 to 1
	mean     float64 // mean cost of a request, in steps
	floor    floor
	rations  [maxRanks]ration
	dirty    bool
	panics   bool // so many endpoints fail that ejections do not count
}

// poolRef finds the pool of a request quickly.
type poolRef struct {
	settings *settings.Effective
	model    string
}

// maxPoolRefs bounds the cache of poolRefs.
const maxPoolRefs = 1 << 15

// poolOf returns the pool of a request.
func (s *Scheduler) poolOf(r *Request) *pool {
	ref := poolRef{r.Settings, r.Model}
	if p, ok := s.poolRefs[ref]; ok {
		return p
	}
	if len(s.poolRefs) >= maxPoolRefs {
		clear(s.poolRefs)
	}
	key := PoolKey(r.Settings.Endpoints, r.Model)
	p := s.pools[key]
	if p == nil {
		p = &pool{key: key, names: r.Settings.Endpoints, model: r.Model}
		s.pools[key] = p
		s.fill(p)
	}
	s.poolRefs[ref] = p
	return p
}

// PoolKey identifies a pool on every host: the permitted endpoints and the model.
func PoolKey(endpoints []string, model string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(model)
	for _, n := range endpoints {
		_, _ = d.WriteString("\x00" + n)
	}
	return d.Sum64()
}

// fill sets the members of a pool.
func (s *Scheduler) fill(p *pool) {
	p.members = p.members[:0]
	for _, e := range s.endpoints {
		if s.fits(p, e) {
			p.members = append(p.members, e)
		}
	}
	p.dirty = true
}

// fits reports whether an endpoint belongs to a pool.
func (s *Scheduler) fits(p *pool, e *endpointState) bool {
	if !e.present || (len(p.names) > 0 && !slices.Contains(p.names, e.Name)) {
		return false
	}
	if p.model == "" {
		return !e.Engine && len(p.names) > 0
	}
	return e.Engine && e.report.Model == p.model && e.report.AcceptsPrompts
}

// refill sets the members of all pools, after endpoints or what they hold changed.
func (s *Scheduler) refill() {
	for _, p := range s.pools {
		s.fill(p)
	}
}
