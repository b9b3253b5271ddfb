// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package sched

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/heathkeel/heathkeel/places"
)

// In large fleets one host owns the slots of an endpoint and grants them; see package places.
// While slots are scarce, a host then fills one only with a grant. Where the owner does not
// answer, the host falls back to claims.

const (
	// endpointsAskedPerRequest is the number of endpoints whose owners are asked for a slot for
	// each waiting request. With one, a request waits for the next free slot of that endpoint;
	// with many, most granted slots are returned.
	endpointsAskedPerRequest = 6
	// maxAskedRequests limits the requests for which slots are requested at a time.
	maxAskedRequests = 4
	// requestedFor is the time for which a host keeps asking for slots of the same endpoint. Other
	// endpoints are chosen then, as their loads have changed.
	requestedFor = 200 * time.Millisecond
	// ownerTTL is the time after an owner's answer for which a host relies on owners: several
	// times the interval between its requests to them.
	ownerTTL = 300 * time.Millisecond
	// ownerTimeout is the time without an answer of an endpoint's owner after which the host falls
	// back to claims there: three requests. A failed host is detected only after 0.7 s or more.
	ownerTimeout = 150 * time.Millisecond
	// grantTTL is the time for which a granted slot may be taken. It is well below the time after
	// which the owner grants the slot to another host (grantTTL of package places).
	grantTTL = 50 * time.Millisecond
	// ownerReportTTL is the time for which an owner's count of other hosts' requests is preferred
	// to what arrives through relays.
	ownerReportTTL = 400 * time.Millisecond
	// askJitter is the random part of an endpoint's load in the choice of owners to ask, as a
	// share of its slots, so that hosts with the same information do not all ask the same owners.
	askJitter = 0.5
)

// ownerAnswers reports whether slot owners answer, and the owner of this endpoint does.
func (s *Scheduler) ownerAnswers(now time.Duration, e *endpointState) bool {
	if s.lastOwnerAnswer == 0 || now-s.lastOwnerAnswer >= ownerTTL {
		return false
	}
	return e.unansweredSince == 0 || now-e.unansweredSince < ownerTimeout
}

// recordAsk records a request to the owner of an endpoint's slots.
func (e *endpointState) recordAsk(now time.Duration) {
	if e.unansweredSince == 0 || now-e.lastAskedAt > ownerTimeout {
		e.unansweredSince = max(now, 1)
	}
	e.lastAskedAt = now
}

// hasGrant reports whether this host has a grant for an endpoint that it may still use.
func (e *endpointState) hasGrant(now time.Duration) bool {
	return e.claims > 0 && now-e.claimedAt <= grantTTL
}

// SlotRequests returns the endpoints at which this host wants a slot, each with the highest tier
// for which it wants one, and records that their owners are asked. Where hosts fill other slots
// without asking, grantsOnly leaves these out. Endpoints stay requested until a slot is granted, so
// that each trigger does not ask other owners.
func (s *Scheduler) SlotRequests(now time.Duration, grantsOnly bool) map[string]int {
	out := make(map[string]int)
	for _, p := range s.pools {
		if p.waiting == 0 {
			continue
		}
		ask := func(e *endpointState) bool { return e.grantsOnly() || (p.scarce && !grantsOnly) }
		rank := 0
		for rank < maxRanks-1 && p.tiers[rank].waiting == 0 {
			rank++
		}
		var list [places.MaxWants]places.Want
		wants := list[:0]
		for k := rank; k < maxRanks && len(wants) < places.MaxWants; k++ {
			wants = p.tiers[k].wants(k, wants)
		}
		for _, e := range s.endpointsToAsk(now, p, ask, endpointsAskedPerRequest*min(maxAskedRequests, p.waiting)) {
			out[e.Name] = rank
			e.wants = places.NewWants(wants...)
			e.recordAsk(now)
		}
	}
	return out
}

// Wants returns for which workspaces and tiers this host wants a slot of an endpoint, as of the last
// call of SlotRequests that named it.
func (s *Scheduler) Wants(name string) places.Wants {
	if e := s.byName[name]; e != nil {
		return e.wants
	}
	return places.Wants{}
}

// endpointsToAsk returns the n endpoints of a pool with the lowest known load whose owners are to be
// asked, where endpoints in other zones count as more loaded, as in the choice of an endpoint.
// Without that, messages between zones cost 0.011 of the value of a simulated day at 63 hosts.
func (s *Scheduler) endpointsToAsk(now time.Duration, p *pool, ask func(*endpointState) bool, n int) []*endpointState {
	type ranked struct {
		e    *endpointState
		load float64
	}
	list := make([]ranked, 0, len(p.members))
	zones := s.zoneRuleFor(now, p, nil)
	for _, e := range p.members {
		zoneCost, ok := zones.cost(e)
		if ok && ask(e) && p.usable(now, e) && (p.panicMode || e.health.Healthy(now)) {
			load := s.load(now, e)/float64(e.slots()) + askJitter*s.Rand.Float64() + zoneCost + s.slowLoad(now, e)
			if now-e.requestedAt <= requestedFor && e.requestedAt > 0 {
				load = math.Inf(-1)
			}
			list = append(list, ranked{e, load})
		}
	}
	slices.SortFunc(list, func(a, b ranked) int { return cmp.Compare(a.load, b.load) })
	out := make([]*endpointState, 0, n)
	for _, x := range list[:min(n, len(list))] {
		if x.e.requestedAt == 0 || now-x.e.requestedAt > requestedFor {
			x.e.requestedAt = max(now, 1)
		}
		out = append(out, x.e)
	}
	return out
}

// ApplyGrant applies an answer of the owner of an endpoint's slots. It reports whether a granted
// slot is useful; if not, it is to be returned.
func (s *Scheduler) ApplyGrant(now time.Duration, name string, g places.Grant) bool {
	e := s.byName[name]
	if e == nil || !e.grantsOnly() {
		s.lastOwnerAnswer = max(now, 1)
	}
	if e == nil {
		return g.Slots == 0
	}
	if !e.grantsOnly() {
		e.others, e.ownerReportAt = g.Running, max(now, 1)
	}
	e.unansweredSince = 0
	e.stated.applyOwner(now, g.Slow)
	if g.Slots == 0 {
		return true
	}
	e.requestedAt = 0
	e.grant(now, g.Slots)
	useful := false
	for _, p := range s.pools {
		if p.waiting > 0 && slices.Contains(p.members, e) {
			useful = true
			s.dispatchGranted(now, p, g.Workspace)
		}
	}
	s.wake(e)
	return useful
}

// dispatchGranted dispatches the next request of the workspace for which a slot was granted, if one
// waits; its decision is returned by the next Poll. If none waits, the slot is for any other request.
func (s *Scheduler) dispatchGranted(now time.Duration, p *pool, workspace string) {
	for rank := range p.tiers {
		f := p.tiers[rank].flows[workspace]
		if f == nil || f.waiting == 0 {
			continue
		}
		r := f.next()
		if p.floor.excludes(now, rank) || s.outwaitsRest(now, r) || s.tooLate(now, r) {
			return // Poll refuses it
		}
		if d, ok := s.dispatch(now, r); ok {
			s.unqueue(r)
			s.pending = append(s.pending, d)
		}
		return
	}
}

// grant records granted slots. Where each request needs a grant, they are added to those not used
// yet: each of them was taken from the endpoint's rate.
func (e *endpointState) grant(now time.Duration, n int) {
	if e.grantsOnly() && e.hasGrant(now) {
		n += e.claims
	}
	e.claims, e.claimedAt = n, now
}

// Grants returns the number of this host's grants for an endpoint that it may still use.
func (s *Scheduler) Grants(now time.Duration, name string) int {
	if e := s.byName[name]; e != nil && e.hasGrant(now) {
		return e.claims
	}
	return 0
}

// HoldGrant gives this host, as the owner of an endpoint's slots, a grant in advance.
func (s *Scheduler) HoldGrant(now time.Duration, name string) {
	if e := s.byName[name]; e != nil {
		e.grant(now, 1)
		s.wake(e)
	}
}

// RenewGrant extends a grant given by HoldGrant and reports whether there is one that was not used.
func (s *Scheduler) RenewGrant(now time.Duration, name string) bool {
	e := s.byName[name]
	if e == nil || !e.hasGrant(now) {
		return false
	}
	e.claimedAt = now
	return true
}

// DropGrants takes back the grants for an endpoint that were not used, and returns their number.
func (s *Scheduler) DropGrants(now time.Duration, name string) int {
	e := s.byName[name]
	if e == nil || !e.hasGrant(now) {
		return 0
	}
	n := e.claims
	e.claims = 0
	return n
}

// TierLimit returns a function that gives the number of requests up to which a tier may fill an
// endpoint. A rest that this host was asked for does not bind the others.
func (s *Scheduler) TierLimit(now time.Duration, name string) func(rank int) int {
	e := s.byName[name]
	if e == nil || !e.availableToOthers(now) {
		return func(int) int { return 0 }
	}
	return func(rank int) int { return s.slowLimit(now, e, int(s.slotLimit(now, rank, e))) }
}

// InFlight returns the number of this host's requests at an endpoint.
func (s *Scheduler) InFlight(name string) int {
	if e := s.byName[name]; e != nil {
		return e.own
	}
	return 0
}
