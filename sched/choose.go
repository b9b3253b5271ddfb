// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package sched

import "time"

// candidate is an endpoint considered for a request, with its predictions.
type candidate struct {
	e            *endpointState
	cached       int // prompt tokens in the endpoint's cache
	load         float64
	firstToken   time.Duration
	completion   time.Duration
	value        float64 // see chooseByValue
	relativeLoad float64
	slowdown     float64 // stated
}

// maxCandidates limits the candidates kept for Explain.
const maxCandidates = 8

// slotLimit returns the number of requests up to which a tier may fill an endpoint.
func (s *Scheduler) slotLimit(now time.Duration, rank int, e *endpointState) float64 {
	n := float64(e.slots())
	if s.cfg.Disabled.LateBinding {
		return 1e9
	}
	if rank == 0 && (e.RejectLimited || now < e.rest.fillUntil) {
		return n
	}
	if rank == 0 {
		return n * (1 + s.cfg.Overcommit)
	}
	if s.cfg.Disabled.Reserve {
		return n
	}
	return max(1, n-max(1, n*s.cfg.Reserve*float64(rank)))
}

// admits reports whether an endpoint may take a request now.
func (s *Scheduler) admits(now time.Duration, r *Request, e *endpointState, load float64) bool {
	limit := s.slotLimit(now, r.rank(), e)
	if r.spareOnly {
		limit *= spareFill
	}
	if !s.healthAdmits(now, r, e) || (load >= limit && !s.withinShare(e, limit) && (r.spareOnly || !s.granted(now, e))) {
		return false
	}
	if !s.mayTakeSlot(now, r, e) {
		return false
	}
	if s.avoidsSlow(now, r, e) {
		return false
	}
	if e.throttled && (e.own > 0 || r.rank() == 0) {
		return false
	}
	if r.long && !s.cfg.Disabled.LongCap && !s.cfg.Disabled.LateBinding {
		return float64(e.ownLong) < max(1, s.cfg.LongShare*float64(e.slots())/float64(max(1, s.SharingHosts)))
	}
	return true
}

// withinShare reports whether this host uses less than its own share of an endpoint. The own share
// needs no report: a completion frees it at once, so the endpoint does not stay idle until a
// report shows the free slot.
func (s *Scheduler) withinShare(e *endpointState, limit float64) bool {
	return !s.cfg.Disabled.Share && float64(e.own) < limit/float64(max(1, s.SharingHosts))
}

// minSuccess is the lower bound of the assumed success rate of an endpoint.
const minSuccess = 0.05

// choose returns the endpoint with the shortest predicted time to the end of the answer, or nil if
// no endpoint has room. It picks at random among near-equal endpoints, so that hosts with the same
// stale reports do not all choose the same one.
func (s *Scheduler) choose(now time.Duration, r *Request) *candidate {
	s.matchPrefix(r)
	s.cands = s.cands[:0]
	best, zones := time.Duration(1<<63-1), s.zoneRuleFor(now, r.pool, r)
	for _, e := range r.pool.members {
		load := s.load(now, e)
		zoneCost, ok := zones.cost(e)
		if !ok || r.avoids(e) || !r.accepts(e) || !s.admits(now, r, e, load) {
			continue
		}
		c := candidate{e: e, cached: s.cachedTokens(e), load: load}
		c.firstToken = s.predictFirstToken(now, r, e, load, c.cached)
		c.completion = s.predictCompletion(now, r, e, c.firstToken)
		c.completion += time.Duration(zoneCost * float64(c.completion))
		// A failure costs at least one more attempt.
		c.completion = time.Duration(float64(c.completion) / max(minSuccess, 1-s.risk(now, r, e)))
		best = min(best, c.completion)
		s.cands = append(s.cands, c)
	}
	return s.randomNearBest(best)
}

// randomNearBest returns a random candidate whose completion is within the tolerance of best.
func (s *Scheduler) randomNearBest(best time.Duration) *candidate {
	limit := best + time.Duration(s.cfg.TieTolerance*float64(best))
	if s.cfg.Disabled.RandomTies {
		limit = best
	}
	var picked *candidate
	n := 0
	for i := range s.cands {
		if s.cands[i].completion > limit {
			continue
		}
		n++
		if n == 1 || s.Rand.IntN(n) == 0 {
			picked = &s.cands[i]
		}
	}
	return picked
}

// matchPrefix finds the endpoints that hold leading blocks of a request's prompt.
func (s *Scheduler) matchPrefix(r *Request) {
	s.matched = 0
	if !s.cfg.Disabled.Affinity && r.Settings.Affinity && len(r.Blocks) > 0 {
		s.matched = s.prefixes.lookup(r.Blocks, &s.matches)
	}
}

// cachedTokens returns the prompt tokens that an endpoint holds according to the last call of
// matchPrefix.
func (s *Scheduler) cachedTokens(e *endpointState) int {
	for _, m := range s.matches[:s.matched] {
		if int(m.index) == e.index+1 {
			return m.blocks * BlockTokens
		}
	}
	return 0
}

// importFrom returns the endpoint whose KV cache is to be transferred to the chosen endpoint, or
// "" if no transfer takes less time than computing the tokens again.
func (s *Scheduler) importFrom(now time.Duration, c *candidate) string {
	if s.cfg.Disabled.Transfer {
		return ""
	}
	bestBlocks, from := c.cached/BlockTokens, ""
	for _, m := range s.matches[:s.matched] {
		holder := s.endpoints[m.index-1]
		if holder == c.e || m.blocks <= bestBlocks || !holder.present || now < holder.downUntil || holder.report.Model != c.e.report.Model {
			continue
		}
		saved := c.e.prefillTime((m.blocks - c.cached/BlockTokens) * BlockTokens)
		cost := s.cfg.TransferFixed + time.Duration(m.blocks)*s.cfg.TransferBlock
		if saved > cost {
			bestBlocks, from = m.blocks, holder.Name
		}
	}
	return from
}
