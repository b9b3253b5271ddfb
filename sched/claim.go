// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package sched

import (
	"math"
	"time"
)

// Hosts that share endpoints hear of a free place at about the same time, and some time
// after it got free. If each sent a request there, the endpoint would get one from every
// host, and more until the news of it comes back. So while free places are scarce, a host
// fills a place only
//
//   - where one of its own requests ended lately: the others take that place for filled; or
//   - by a claim. Claims are drawn so that all hosts together take the free places of an
//     endpoint in about twice the time that news takes, each in proportion to what it has
//     to place: faster, they would take the same places again and again.
//
// Places are scarce when those free at all endpoints are fewer than a few times the
// requests that come to all hosts until news of them is heard, or few while a tier is rationed. Where requests take less
// time than news, as at plain services, news tells nothing of the places that are free now,
// and none are claimed. Where a host owns an endpoint's places and answers, its grants take the place of claims; see grant.go.

// Figures of claims.
const (
	// claimDelays is the number of delays of news in which free places are claimed. With 1
	// engines are overfilled for twice as long in TestStaleHostsDoNotOverfill; played days
	// show no difference.
	claimDelays = 2
	// scarceFactor is how many times the requests that come in a delay may exceed the
	// free places before these are not scarce.
	scarceFactor = 4
	// scarceFreeShare is the part of all places up to which free ones are scarce while a tier is rationed: what
	// tiers leave to those above them counts as free, too. With all places scarce whatever is free, hosts
	// choose among the few engines that they have claims on, and 76 of 1,316 long requests were late in
	// place of 61.
	scarceFreeShare = 0.25
	// freshPeerState is the delay of news up to which few hosts can have seen the same place:
	// then a request needs a claim only while its tier is rationed or others wait elsewhere, and
	// without a ration none once it has waited as long as it may.
	freshPeerState = 50 * time.Millisecond
	// rateHalfLife is the time in which the rate of arrivals forgets half of what it saw.
	rateHalfLife = time.Second
)

// PeerState is what a host knows of the others' requests.
type PeerState struct {
	// Waiting counts the requests that wait at other hosts, by model and tier.
	Waiting map[string][]int
	// Age is the mean age of what is known of the others.
	Age time.Duration
}

// SetPeerState takes what was heard of the other hosts.
func (s *Scheduler) SetPeerState(state PeerState) { s.peerState = state }

// DrawClaims draws which free places this host may take; call it every 25 ms or so.
func (s *Scheduler) DrawClaims(now time.Duration) {
	dt := now - s.claimsDrawnAt
	s.claimsDrawnAt = now
	for _, p := range s.pools {
		p.arrivals.decay(dt)
		s.drawPoolClaims(now, dt, p)
	}
}

// drawPoolClaims draws the claims of one pool.
func (s *Scheduler) drawPoolClaims(now, dt time.Duration, p *pool) {
	free, slots, serviceSum, measured := 0.0, 0.0, time.Duration(0), 0
	for _, e := range p.members {
		if p.usable(now, e) {
			free += max(0, s.freeSlots(now, e))
			slots += float64(e.slots())
		}
		if e.meanService > 0 {
			serviceSum += e.meanService
			measured++
		}
	}
	peerStateUseful := measured == 0 || serviceSum/time.Duration(measured) > s.peerState.Age
	// What comes to this host, and to all, in the delay of the news.
	arriving := p.arrivals.rate() * s.peerState.Age.Seconds()
	scarceBelow := scarceFactor * arriving * float64(s.SharingHosts)
	if p.rationed() {
		scarceBelow = max(scarceBelow, scarceFreeShare*slots)
	}
	p.scarce = peerStateUseful && s.SharingHosts > 1 && !s.cfg.Disabled.Claims && free < scarceBelow
	if !p.scarce {
		return
	}
	others := arriving * float64(s.SharingHosts-1)
	for _, n := range s.peerState.Waiting[p.model] {
		others += float64(n)
	}
	own := arriving + float64(max(1, p.waiting))
	period := claimDelays * s.peerState.Age
	share := own / (own + others) * min(1, dt.Seconds()/period.Seconds())
	for _, e := range p.members {
		s.drawEndpointClaims(now, e, share)
	}
}

// drawEndpointClaims draws the claims on one endpoint, of which this host is to take a part of
// the free places. Claims that were not used are given up after some time.
func (s *Scheduler) drawEndpointClaims(now time.Duration, e *endpointState, share float64) {
	if s.ownerAnswers(now, e) {
		if now-e.claimedAt > grantTTL {
			e.claims = 0
		}
		e.vacated = 0
		return
	}
	free := s.freeSlots(now, e)
	if free <= 0 || now-e.claimedAt > claimDelays*s.peerState.Age {
		e.claims = 0
	}
	if now-e.vacatedAt > s.peerState.Age {
		e.vacated = 0
	}
	mean := max(0, free) * share
	n := int(mean)
	if s.Rand.Float64() < mean-float64(n) {
		n++
	}
	if n > 0 {
		e.claims = min(e.claims+n, max(1, int(free)))
		e.claimedAt = now
	}
}

// freeSlots is the number of places of an endpoint that nobody is known to have.
func (s *Scheduler) freeSlots(now time.Duration, e *endpointState) float64 {
	return float64(e.slots()) - float64(e.own) - s.reportWeight(now, e)*float64(e.others)
}

// mayTakeSlot reports whether a request may take a place of an endpoint.
func (s *Scheduler) mayTakeSlot(now time.Duration, r *Request, e *endpointState) bool {
	if !r.pool.scarce || e.claims > 0 {
		return true
	}
	if s.ownerAnswers(now, e) {
		return false
	}
	if e.vacated > 0 {
		return true
	}
	rationed := r.pool.rations[r.rank()].refusedShare > 0
	return s.peerState.Age <= freshPeerState && !rationed && (r.lastChance || !s.contended(r))
}

// takeSlot counts a place as taken.
func (e *endpointState) takeSlot() {
	if e.vacated > 0 {
		e.vacated--
		return
	}
	e.claims = max(0, e.claims-1)
}

// arrivals follows the rate of requests that come to a pool at this host. The zero value
// has seen none.
type arrivals struct{ sum float64 }

// add counts a request.
func (a *arrivals) add() { a.sum++ }

// decay lets time pass.
func (a *arrivals) decay(dt time.Duration) {
	a.sum *= math.Exp2(-dt.Seconds() / rateHalfLife.Seconds())
}

// rate is in requests a second: a sum that halves in a time T rests at rate·T/ln 2.
func (a *arrivals) rate() float64 { return a.sum * math.Ln2 / rateHalfLife.Seconds() }

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

// contended reports whether other hosts have requests waiting that go before r or beside it.
func (s *Scheduler) contended(r *Request) bool {
	waiting := s.peerState.Waiting[r.pool.model]
	for _, n := range waiting[:min(len(waiting), r.rank()+1)] {
		if n > 0 {
			return true
		}
	}
	return false
}
