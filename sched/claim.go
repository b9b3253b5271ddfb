// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package sched

import "time"

// Hosts that share endpoints hear of a free place at about the same time. If each sent a
// waiting request there, the endpoint would get one from every host. So while requests of
// the same or a higher tier wait at other hosts, a host fills a place only
//
//   - where one of its own requests has just ended, which leaves the number there as it was, or
//   - by a claim: at each news of the others it draws for every endpoint how many of the free
//     places it may take, on average its share of all that waits, so that about one host
//     takes each place.

// SetOthersWaiting takes the number of requests that wait at the other hosts, by model and
// tier, and draws the claims anew.
func (s *Scheduler) SetOthersWaiting(now time.Duration, waiting map[string][]int) {
	s.othersWaiting = waiting
	for _, p := range s.pools {
		s.drawClaims(now, p)
	}
}

// drawClaims draws how many free places of each endpoint of a pool this host may take.
func (s *Scheduler) drawClaims(now time.Duration, p *pool) {
	others := 0
	for _, n := range s.othersWaiting[p.model] {
		others += n
	}
	if others == 0 {
		return // nobody contends; claims are not looked at
	}
	own := max(1, p.waiting) // a request that comes before the next draw has a share too
	share := float64(own) / float64(own+others)
	for _, e := range p.members {
		free := max(0, float64(e.slots())-s.load(now, e))
		mean := free * share
		e.claims = int(mean)
		if s.Rand.Float64() < mean-float64(e.claims) {
			e.claims++
		}
		e.vacated = 0
	}
}

// contended reports whether other hosts have requests waiting that go before r or beside it.
func (s *Scheduler) contended(r *Request) bool {
	waiting := s.othersWaiting[r.pool.model]
	for _, n := range waiting[:min(len(waiting), r.rank()+1)] {
		if n > 0 {
			return true
		}
	}
	return false
}

// mayFill reports whether a request may take a place of an endpoint beside the requests
// that wait at other hosts. One that has waited as long as it may does not hold back.
func (s *Scheduler) mayFill(r *Request, e *endpointState) bool {
	return r.last || s.cfg.Off.Claims || e.vacated > 0 || e.claims > 0 || !s.contended(r)
}

// fill counts a place as taken.
func (e *endpointState) fill() {
	if e.vacated > 0 {
		e.vacated--
		return
	}
	e.claims = max(0, e.claims-1)
}

// OwnWaiting gives the number of requests that wait at this host, by model and tier; models
// for which none waits are left out.
func (s *Scheduler) OwnWaiting() map[string][]int {
	out := make(map[string][]int)
	for _, p := range s.pools {
		if p.waiting == 0 {
			continue
		}
		if out[p.model] == nil {
			out[p.model] = make([]int, maxRanks)
		}
		for k := range p.tiers {
			out[p.model][k] += p.tiers[k].waiting
		}
	}
	return out
}
