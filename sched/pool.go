// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package sched

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/heathkeel/heathkeel/settings"
)

// pool is a set of endpoints that the same requests may go to, with the requests that wait for
// them.
type pool struct {
	key     uint64
	names   []string
	model   string
	members []*endpointState
	tiers   [maxRanks]tierQueue
	waiting int
	// arrivals is the rate of requests at this host; scarce says that a slot may be filled only
	// with a claim, a grant or a vacated slot; see DrawClaims.
	arrivals arrivals
	scarce   bool
	// drawnFor is the time for which claims have been drawn. claimsByRate says that claims do not
	// depend on peer state, which is older than most requests or was never received.
	drawnFor       time.Duration
	claimsByRate   bool
	silentActivity float64 // estimated probability that silent hosts still serve
	meanCost       float64 // of a request, in steps
	floor          floor
	rations        [maxRanks]ration
	// workspaceRations replaces rations where slot owners divide slots among workspaces.
	workspaceRations map[rationKey]*ration
	demands          [maxRanks]demands
	served           servedRate
	dirty            bool
	panicMode        bool // so many endpoints fail that ejections do not count
}

// poolCacheKey identifies a request's pool without hashing its endpoints.
type poolCacheKey struct {
	settings *settings.Effective
	model    string
}

// maxPoolCache limits the cache of pools.
const maxPoolCache = 1 << 15

// poolOf returns the pool of a request.
func (s *Scheduler) poolOf(r *Request) *pool {
	cacheKey := poolCacheKey{r.Settings, r.Model}
	if p, ok := s.poolCache[cacheKey]; ok {
		return p
	}
	if len(s.poolCache) >= maxPoolCache {
		clear(s.poolCache)
	}
	key := PoolKey(r.Settings.Endpoints, r.Model)
	p := s.pools[key]
	if p == nil {
		p = &pool{key: key, names: r.Settings.Endpoints, model: r.Model, scarce: s.SlotOwners && !s.cfg.Disabled.Claims, claimsByRate: s.SlotOwners}
		s.pools[key] = p
		s.setMembers(p)
	}
	s.poolCache[cacheKey] = p
	return p
}

// PoolKey returns the key that identifies a pool on every host: a hash of the permitted endpoints
// and the model.
func PoolKey(endpoints []string, model string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(model)
	for _, n := range endpoints {
		_, _ = d.WriteString("\x00" + n)
	}
	return d.Sum64()
}

// setMembers sets the members of a pool.
func (s *Scheduler) setMembers(p *pool) {
	p.members = p.members[:0]
	for _, e := range s.endpoints {
		if s.eligible(p, e) {
			p.members = append(p.members, e)
		}
	}
	p.dirty = true
}

// eligible reports whether an endpoint belongs to a pool.
func (s *Scheduler) eligible(p *pool, e *endpointState) bool {
	if !e.present || (len(p.names) > 0 && !slices.Contains(p.names, e.Name)) {
		return false
	}
	if p.model == "" {
		return !e.Engine && len(p.names) > 0
	}
	return e.Engine && e.report.Model == p.model && e.report.AcceptsPrompts
}

// refreshMembers sets the members of all pools after endpoints or their models have changed.
func (s *Scheduler) refreshMembers() {
	for _, p := range s.pools {
		s.setMembers(p)
	}
}
