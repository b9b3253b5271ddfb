// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package sched

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/heathkeel/heathkeel/outlier"
	"github.com/heathkeel/heathkeel/places"
)

// In large fleets one host owns the slots of an endpoint and grants them; see package places.
// While slots are scarce, a host then fills one only with a grant. Where the owner does not
// answer, the host falls back to claims.

const (
	// endpointsAskedPerRequest is the number of endpoints whose owners are asked for a slot for
	// each waiting request. With 1, a request waits for the next free slot of that endpoint;
	// with many, most granted slots are returned.
	endpointsAskedPerRequest = 6
	// maxAskedRequests limits the requests for which slots are requested at a time.
	maxAskedRequests = 3
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
	// sharedAskJitter replaces askJitter where owners grant all slots. Hosts then know loads only
	// 0.45 s late, and with 0.5 they ask the same few owners: with 300 hosts at 1.3 times the
	// capacity, endpoints are used for 0.90 of the time instead of 1.0.
	sharedAskJitter = 2.0
	// answeredFor is the time after an owner's answer in which a request does not start ownerTimeout:
	// unchanged requests are not sent again at once, and their owner does not answer then.
	answeredFor = 40 * time.Millisecond
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
	if e.unansweredSince == 0 && e.answeredAt > 0 && now-e.answeredAt < answeredFor {
		return
	}
	if e.unansweredSince == 0 || now-e.lastAskedAt > ownerTimeout {
		e.unansweredSince = max(now, 1)
	}
	e.lastAskedAt = now
}

// hasGrant reports whether this host has a grant for an endpoint that it may still use.
func (e *endpointState) hasGrant(now time.Duration) bool {
	return e.claims > 0 && now-e.claimedAt <= grantTTL
}

// granted reports whether this host has a grant of an endpoint's owner, so that the load there does not
// count: owners also grant slots that are about to become free.
func (s *Scheduler) granted(now time.Duration, e *endpointState) bool {
	return s.SlotOwners && !e.grantsOnly() && e.hasGrant(now) && s.ownerAnswers(now, e)
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

// rankedEndpoint is an endpoint in the order in which owners are asked.
type rankedEndpoint struct {
	e    *endpointState
	load float64
}

// endpointsToAsk returns the n endpoints of a pool with the lowest known load whose owners are to be
// asked, where endpoints in other zones count as more loaded, as in the choice of an endpoint.
// Without that, messages between zones cost 0.011 of the value of a simulated day at 63 hosts.
func (s *Scheduler) endpointsToAsk(now time.Duration, p *pool, ask func(*endpointState) bool, n int) []*endpointState {
	jitter := askJitter
	if s.SlotOwners {
		jitter = sharedAskJitter
	}
	zones := s.zoneRuleFor(now, p, nil)
	list := s.askOrder[:0]
	for _, e := range p.members {
		zoneCost, ok := zones.cost(e)
		if ok && ask(e) && p.usable(now, e) && (p.panicMode || e.health.Healthy(now) || s.mayAskToProbe(now, e)) {
			load := s.load(now, e)/float64(e.slots()) + jitter*s.Rand.Float64() + zoneCost + s.slowLoad(now, e)
			if now-e.requestedAt <= requestedFor && e.requestedAt > 0 {
				load = math.Inf(-1)
			}
			list = append(list, rankedEndpoint{e, load})
		}
	}
	s.askOrder = list
	slices.SortFunc(list, func(a, b rankedEndpoint) int { return cmp.Compare(a.load, b.load) })
	out := make([]*endpointState, 0, n)
	for _, x := range list[:min(n, len(list))] {
		if x.e.requestedAt == 0 || now-x.e.requestedAt > requestedFor {
			x.e.requestedAt = max(now, 1)
		}
		out = append(out, x.e)
	}
	return out
}

// mayAskToProbe reports whether the owner of a half-open endpoint is asked for a slot. Where each request needs a grant, no host but
// the owner could probe the endpoint otherwise, and it would get no requests until the owner's own probe succeeded.
func (s *Scheduler) mayAskToProbe(now time.Duration, e *endpointState) bool {
	if !e.grantsOnly() || e.health.State(now) != outlier.HalfOpen {
		return false
	}
	ok, _ := e.health.Admits(now, true)
	return ok && s.Rand.Float64()*float64(s.SharingHosts) < maxProbers
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
	e.unansweredSince, e.answeredAt = 0, max(now, 1)
	e.stated.applyOwner(now, g.Slow)
	if g.Slots == 0 {
		return true
	}
	e.requestedAt = 0
	e.grant(now, g.Slots)
	if s.SlotOwners && !e.grantsOnly() {
		return s.useGrant(now, e, g.Workspace)
	}
	s.wake(e)
	for _, p := range s.pools {
		if p.waiting > 0 && slices.Contains(p.members, e) {
			return true
		}
	}
	return false
}

// useGrant dispatches the next request of the workspace for which a slot was granted, and reports
// whether one was dispatched; the next Poll returns the decision. Otherwise the slot is returned at
// once: a request asks several owners, and if another workspace used the grants that are left over,
// it would get them at the expense of the one that is charged. A higher tier that wanted 0.94 of the
// capacity at 64 hosts then got 0.86 of it, and a lower one the rest.
func (s *Scheduler) useGrant(now time.Duration, e *endpointState, workspace string) bool {
	defer func() { e.claims = 0 }()
	for _, p := range s.pools {
		if p.waiting == 0 || !slices.Contains(p.members, e) {
			continue
		}
		for rank := range p.tiers {
			q := &p.tiers[rank]
			f := q.flows[workspace]
			if q.waiting == 0 || p.floor.excludes(now, rank) || (workspace != "" && (f == nil || f.waiting == 0)) {
				continue
			}
			if workspace == "" {
				f = nil // of an earlier version, for any workspace
			}
			if d, ok := s.dispatchGranted(now, q, f, e); ok {
				s.pending = append(s.pending, d)
				return true
			}
		}
	}
	return false
}

// dispatchGranted dispatches a request of a tier to an endpoint that granted a slot: the next one of a flow, or of the tier if f is nil, or
// else the first one behind it for which the endpoint is fast enough.
func (s *Scheduler) dispatchGranted(now time.Duration, q *tierQueue, f *flow, e *endpointState) (Decision, bool) {
	next := q.head()
	if f != nil {
		next = f.next()
	}
	if d, ok := s.dispatchGrantedTo(now, next, e); ok {
		return d, true
	}
	n := 0
	for at := q.arrival.Front(); at != nil && n < maxPassing; at = at.Next() {
		r := at.Value.(*Request)
		if r == next || (f != nil && r.flow != f) {
			continue
		}
		n++
		if d, ok := s.dispatchGrantedTo(now, r, e); ok {
			return d, true
		}
	}
	return Decision{}, false
}

// dispatchGrantedTo dispatches a waiting request to an endpoint that granted a slot.
func (s *Scheduler) dispatchGrantedTo(now time.Duration, r *Request, e *endpointState) (Decision, bool) {
	if s.outwaitsRest(now, r) || s.tooLate(now, r) {
		return Decision{}, false // Poll refuses it
	}
	d, ok := s.dispatchChosen(now, r, func(now time.Duration, r *Request) *candidate { return s.chooseGranted(now, r, e) })
	if ok {
		s.unqueue(r)
	}
	return d, ok
}

// chooseGranted returns an endpoint that granted a slot as the candidate for a request, or nil if it
// does not admit the request or gives less than minValueShare of the best possible value: a long answer
// does not end in time at an endpoint that is much slower than others.
func (s *Scheduler) chooseGranted(now time.Duration, r *Request, e *endpointState) *candidate {
	s.matchPrefix(r)
	s.cands = s.cands[:0]
	load := s.load(now, e)
	zones := s.zoneRuleFor(now, r.pool, r)
	if _, ok := zones.cost(e); !ok {
		return nil
	}
	if !e.available(now) || !r.accepts(e) || r.avoids(e) || !s.admits(now, r, e, load) {
		return nil
	}
	c := candidate{e: e, cached: s.cachedTokens(e), load: load}
	c.firstToken = s.predictFirstToken(now, r, e, load, c.cached)
	if r.Objective.FirstToken > 0 {
		target := s.firstTokenTarget(now, r)
		c.value = s.expectedValue(now, r, e, load, c.firstToken, target)
		if c.value < minValueShare*s.idealValue(now, r, target) {
			return nil
		}
	}
	s.cands = append(s.cands, c)
	return &s.cands[0]
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
// endpoint. A rest (see rest.go) binds only the host that the endpoint asked for it.
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
