// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package sched

import (
	"math"
	"time"
)

// Hosts that share endpoints learn of a free slot at about the same time, and some time after it
// became free. If each of them sent a request there, the endpoint would get one from every host,
// and more until updated peer state arrives. While free slots are scarce, a host therefore fills a
// slot only
//
//   - where one of its own requests ended recently, because the other hosts still count that
//     slot as used, or
//   - with a claim. Claims are drawn at random so that all hosts together take the free slots
//     of an endpoint within about two peer-state delays, each host in proportion to its
//     demand. If they took them faster, several hosts would take the same slot repeatedly.
//
// Slots are scarce when the free slots of all endpoints are fewer than a few times the requests
// that arrive at all hosts within one peer-state delay, or when few are free while a tier is
// rationed. Where requests take less time than the delay, as at plain services, peer state says
// nothing about the slots that are free now. Without slot owners no claims are drawn there. With
// owners, whose information is milliseconds old, slots are scarce by the same rule; at an endpoint
// whose owner does not answer, each host then claims its own share of the slots that become free.
// Where an endpoint has a slot owner that answers, its grants replace claims; see grant.go.

// Parameters of claims.
const (
	// claimDelays is the number of peer-state delays within which free slots are claimed. With 1,
	// engines are overfilled for twice as long in TestStaleHostsDoNotOverfill; simulated days show
	// no difference.
	claimDelays = 2
	// scarceFactor makes slots scarce when fewer are free than this many times the requests that
	// arrive at all hosts within one peer-state delay.
	scarceFactor = 4
	// scarceFreeShare is the share of all slots below which free slots are scarce while a tier is
	// rationed. Slots that a tier reserves for higher tiers count as free. If slots were scarce
	// regardless of how many are free, hosts would choose among the few engines that they have
	// claims on: 76 of 1,316 long requests were late instead of 61.
	scarceFreeShare = 0.25
	// freshPeerState is the peer-state delay up to which few hosts can have seen the same free
	// slot. A request then needs a claim only while its tier is rationed or while requests of its
	// tier or above wait at other hosts; without a ration its last chance needs no claim.
	freshPeerState = 50 * time.Millisecond
	// minOwnedService is the mean duration of requests from which slot owners grant the slots of a
	// pool whose peer state is older than that. A slot is idle from the end of a request until the
	// owner has learned of it and its grant was taken, about 15 ms with messages between zones, so
	// that shorter requests would leave an eighth of the slots idle or more. Plain requests of 15 ms
	// stay below it while they queue at their endpoints.
	minOwnedService = 120 * time.Millisecond
	// newPoolPeriod is the time for which a pool's slots count as scarce where slot owners grant
	// them: until then the arrival rate is underestimated and peer state shows no load. Without it,
	// a fleet that starts under load sends requests for 0.3 s without asking any owner.
	newPoolPeriod = time.Second
	// rateHalfLife is the half-life of arrivals in the arrival rate.
	rateHalfLife = time.Second
)

// PeerState is what a host knows of the requests at other hosts.
type PeerState struct {
	// Waiting counts the requests that wait at other hosts, by model and tier.
	Waiting map[string][]int
	// Age is the mean age of this information, the peer-state delay.
	Age time.Duration
}

// SetPeerState replaces the state of the other hosts.
func (s *Scheduler) SetPeerState(state PeerState) { s.peerState = state }

// DrawClaims draws the free slots that this host may take; call it about every 25 ms.
func (s *Scheduler) DrawClaims(now time.Duration) {
	dt := now - s.claimsDrawnAt
	s.claimsDrawnAt = now
	for _, p := range s.pools {
		p.arrivals.decay(dt)
		p.divideRations(now, dt)
		s.drawPoolClaims(now, dt, p)
	}
}

// drawPoolClaims decides whether the slots of a pool are scarce and draws its claims.
func (s *Scheduler) drawPoolClaims(now, dt time.Duration, p *pool) {
	free, slots, serviceSum, measured := 0.0, 0.0, time.Duration(0), 0
	for _, e := range p.members {
		if p.usable(now, e) && !e.grantsOnly() {
			free += max(0, s.freeSlots(now, e))
			slots += float64(e.slots())
		}
		if e.meanService > 0 {
			serviceSum += e.meanService
			measured++
		}
	}
	peerStateUseful := measured == 0 || serviceSum/time.Duration(measured) > s.peerState.Age
	owned := s.SlotOwners && (measured == 0 || serviceSum/time.Duration(measured) > minOwnedService)
	// The requests that arrive at this host, and at all hosts, within one peer-state delay.
	arriving := p.arrivals.rate() * s.peerState.Age.Seconds()
	scarceBelow := scarceFactor * arriving * float64(s.SharingHosts)
	if p.rationed() {
		scarceBelow = max(scarceBelow, scarceFreeShare*slots)
	}
	p.drawnFor += dt
	scarce := free < scarceBelow || (owned && p.drawnFor < newPoolPeriod)
	p.scarce = (peerStateUseful || owned) && s.SharingHosts > 1 && !s.cfg.Disabled.Claims && scarce
	p.claimsByRate = owned && (!peerStateUseful || measured == 0 || s.peerState.Age == 0)
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
		if p.claimsByRate {
			s.drawRateClaims(now, dt, e)
		} else {
			s.drawEndpointClaims(now, e, share)
		}
	}
}

// drawRateClaims draws the claims on one endpoint whose owner does not answer, where peer state does
// not tell which slots are free: this host's own share of the slots at first, and then of those that
// become free within dt. Unused claims expire after the time of a request.
func (s *Scheduler) drawRateClaims(now, dt time.Duration, e *endpointState) {
	e.vacated = 0
	service := s.serviceTime(e)
	switch {
	case e.grantsOnly():
		return
	case s.ownerAnswers(now, e):
		if now-e.claimedAt > grantTTL {
			e.claims = 0
		}
		return
	case now-e.claimedAt > service:
		e.claims = 0
	}
	turnover := 1.0 // share of the slots that become free
	if e.rateClaims {
		turnover = min(1, dt.Seconds()/service.Seconds())
	}
	e.rateClaims = true
	mean := float64(e.slots()) / float64(s.SharingHosts) * turnover
	n := int(mean)
	if s.Rand.Float64() < mean-float64(n) {
		n++
	}
	if n > 0 {
		e.claims, e.claimedAt = e.claims+n, now
	}
}

// drawEndpointClaims draws the claims on one endpoint, of whose free slots this host takes the
// given share. Unused claims expire.
func (s *Scheduler) drawEndpointClaims(now time.Duration, e *endpointState, share float64) {
	if e.grantsOnly() {
		return
	}
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

// freeSlots estimates the number of an endpoint's slots that no known request uses.
func (s *Scheduler) freeSlots(now time.Duration, e *endpointState) float64 {
	return float64(e.slots()) - float64(e.own) - s.reportWeight(now, e)*float64(e.others)
}

// mayTakeSlot reports whether a request may take a slot of an endpoint.
func (s *Scheduler) mayTakeSlot(now time.Duration, r *Request, e *endpointState) bool {
	if e.grantsOnly() {
		return e.hasGrant(now)
	}
	if !r.pool.scarce || e.claims > 0 {
		return true
	}
	if s.ownerAnswers(now, e) || r.pool.claimsByRate {
		return false
	}
	if e.vacated > 0 {
		return true
	}
	rationed := s.ration(r).refusedShare > 0
	return s.peerState.Age <= freshPeerState && !rationed && (r.lastChance || !s.contended(r))
}

// takeSlot uses up a vacated slot or a claim.
func (e *endpointState) takeSlot() {
	if e.vacated > 0 && !e.grantsOnly() {
		e.vacated--
		return
	}
	e.claims = max(0, e.claims-1)
}

// arrivals estimates the rate of requests that arrive for a pool at this host. The zero value has
// seen none.
type arrivals struct{ sum float64 }

// add counts a request.
func (a *arrivals) add() { a.sum++ }

// decay reduces the weight of past arrivals by the time that has passed.
func (a *arrivals) decay(dt time.Duration) {
	a.sum *= math.Exp2(-dt.Seconds() / rateHalfLife.Seconds())
}

// rate returns the rate in requests per second: at a constant rate, a sum with half-life T settles
// at rate·T/ln 2.
func (a *arrivals) rate() float64 { return a.sum * math.Ln2 / rateHalfLife.Seconds() }

// OwnWaiting returns the number of requests that wait at this host, by model and tier; models
// without waiting requests are left out.
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

// contended reports whether requests of r's tier or a higher one wait at other hosts.
func (s *Scheduler) contended(r *Request) bool {
	waiting := s.peerState.Waiting[r.pool.model]
	for _, n := range waiting[:min(len(waiting), r.rank()+1)] {
		if n > 0 {
			return true
		}
	}
	return false
}
