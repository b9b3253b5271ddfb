// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/heathkeel/heathkeel/places"
)

// In large fleets one host owns the places of an endpoint and gives them, see package places. While places are scarce a
// host then fills one only by a grant; where no owner answers, it goes on by claims.

const (
	// endpointsAskedPerRequest is the number of endpoints that are asked for a place for each request that waits: with one, a
	// request waits for that endpoint's next free place; with many, most places that are granted are given back.
	endpointsAskedPerRequest = 6
	// maxAskedRequests bounds the requests for which is asked at a time.
	maxAskedRequests = 4
	// ownerTTL is the time after an owner's answer in which a host relies on owners: several of its asks.
	ownerTTL = 300 * time.Millisecond
	// ownerTimeout is the time without an answer of an endpoint's owner after which the host goes on by claims there: three asks.
	// A host that has died is known to have after 0.7 s and more.
	ownerTimeout = 150 * time.Millisecond
	// grantTTL is the time in which a granted place may be taken, well within the time after which its owner gives it to
	// another host.
	grantTTL = 50 * time.Millisecond
	// ownerReportTTL is the time for which what an owner told of other hosts' requests is better than what comes by way of
	// relays.
	ownerReportTTL = 400 * time.Millisecond
	// askJitter is the part of an endpoint's places by which its load is blurred in the choice whom to ask, so that hosts with the
	// same news do not all ask the same.
	askJitter = 0.5
)

// ownerAnswers reports whether owners of places answer, and that of an endpoint does.
func (s *Scheduler) ownerAnswers(now time.Duration, e *endpointState) bool {
	if s.lastOwnerAnswer == 0 || now-s.lastOwnerAnswer >= ownerTTL {
		return false
	}
	return e.unansweredSince == 0 || now-e.unansweredSince < ownerTimeout
}

// recordAsk notes that the owner of an endpoint's places is asked, and since when without an answer.
func (e *endpointState) recordAsk(now time.Duration) {
	if e.unansweredSince == 0 || now-e.lastAskedAt > ownerTimeout {
		e.unansweredSince = max(now, 1)
	}
	e.lastAskedAt = now
}

// SlotRequests names the endpoints at which this host wants a place, and the highest tier for which.
func (s *Scheduler) SlotRequests(now time.Duration) map[string]int {
	out := make(map[string]int)
	for _, p := range s.pools {
		if p.waiting == 0 || !p.scarce {
			continue
		}
		rank := 0
		for rank < maxRanks-1 && p.tiers[rank].waiting == 0 {
			rank++
		}
		for _, e := range s.endpointsToAsk(now, p, endpointsAskedPerRequest*min(maxAskedRequests, p.waiting)) {
			out[e.Name] = rank
			e.recordAsk(now)
		}
	}
	return out
}

// endpointsToAsk picks the endpoints of a pool to ask: those with most room as far as is known, near ones first as in the choice.
// Without that, words between zones cost 0.011 of the worth of a day at 63 hosts.
func (s *Scheduler) endpointsToAsk(now time.Duration, p *pool, n int) []*endpointState {
	type ranked struct {
		e    *endpointState
		load float64
	}
	list := make([]ranked, 0, len(p.members))
	for _, e := range p.members {
		if p.usable(now, e) && (p.panicMode || e.health.Healthy(now)) {
			load := s.load(now, e)/float64(e.slots()) + askJitter*s.Rand.Float64()
			if e.CrossZone {
				load += s.cfg.CrossZoneCost
			}
			list = append(list, ranked{e, load})
		}
	}
	slices.SortFunc(list, func(a, b ranked) int { return cmp.Compare(a.load, b.load) })
	out := make([]*endpointState, 0, n)
	for _, x := range list[:min(n, len(list))] {
		out = append(out, x.e)
	}
	return out
}

// ApplyGrant takes what the owner of an endpoint's places answers, and reports whether a place that was granted is of use.
func (s *Scheduler) ApplyGrant(now time.Duration, name string, g places.Grant) bool {
	s.lastOwnerAnswer = max(now, 1)
	e := s.byName[name]
	if e == nil {
		return g.Slots == 0
	}
	e.others, e.ownerReportAt, e.unansweredSince = g.Running, max(now, 1), 0
	if g.Slots == 0 {
		return true
	}
	e.claims, e.claimedAt = g.Slots, now
	s.wake(e)
	for _, p := range s.pools {
		if p.waiting > 0 && slices.Contains(p.members, e) {
			return true
		}
	}
	return false
}

// TierLimit gives the number of requests up to which a tier may fill an endpoint.
func (s *Scheduler) TierLimit(now time.Duration, name string) func(rank int) int {
	e := s.byName[name]
	if e == nil || !e.available(now) {
		return func(int) int { return 0 }
	}
	return func(rank int) int { return int(s.slotLimit(rank, e)) }
}

// InFlight is the number of this host's requests at an endpoint.
func (s *Scheduler) InFlight(name string) int {
	if e := s.byName[name]; e != nil {
		return e.own
	}
	return 0
}
