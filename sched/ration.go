// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package sched

import (
	"slices"
	"time"
)

// While slots of engines are scarce, the time for which a request holds one determines how many
// others are refused. The expected lengths of one service's answers differ by a factor of twenty,
// while their value to callers hardly differs. Of each tier that cannot be served completely, a
// ration therefore admits only a share of the requests: all of those with the shortest expected
// answers of their service, and a part of the others. The share is adjusted by the outcome of
// admitted requests: it falls with each that gets no slot and rises with each that is dispatched.
// No tier gives way to a lower one, and no service or workspace to another.
//
// At twice the engines' capacity for ten seconds, 0.577 of the requests are served, against 0.498
// without rations; at two and a half times, 0.504 against 0.368 (TestSurge).

// Parameters of rations.
const (
	// rationGain is the relative decrease of the share for an admitted request that gets no slot:
	// 15 such requests per second halve the share in about a second. The result is insensitive to
	// it: 0.025 and 0.1 made no difference.
	rationGain = 0.05
	// unplacedShare is the share of admitted requests that may get no slot. With a smaller value,
	// hosts have no request waiting when a slot becomes free, and several hosts see it free:
	// engines hold more requests than slots for 0.14 of the time with 0.1, and for 0.06 with 0.3
	// (TestStaleHostsDoNotOverfill).
	unplacedShare = 0.3
	// minRation is the smallest share: less than what remains for a tier in surges of 2.5 times
	// the capacity.
	minRation = 0.15
	// exemptChance is the probability that a request is exempt from the ration, so that long ones
	// do not starve in a long shortage. It has no measurable cost.
	exemptChance = 0.05
	// minLongShare is the share of the longer requests that a ration admits, over the share of all
	// that it admits. Together with the exempt ones it is a little more than the half that is promised.
	minLongShare = 0.47
	// longShare is the probability that a longer request is admitted all the same where slot owners
	// divide slots: they leave few slots to the lowest tier, whose longest tenth would otherwise be
	// served less than half as often as the tier.
	longShare = 0.75
	// rationTTL is the time after the last admitted request that got no slot at which the ration of a
	// workspace ends. Where few of its requests come, as at one of many hosts, their dispatches alone
	// would end it minutes after the shortage.
	rationTTL = 2 * time.Second
	// spareFill is the share of its slot limit up to which a tier still accepts requests beyond
	// the ration: at a lower load there is no shortage, or it is over. Without this rule requests
	// were refused for seconds after a surge; 0.65 and 0.95 have the same effect.
	spareFill = 0.8
	// maxRecentLengths is the number of the latest expected lengths of a service with which a new
	// one is compared; it gives quantiles to within 0.1.
	maxRecentLengths = 64
	// maxRationRetryAfter limits the retry time of requests refused by a ration. In one surge
	// of twice the capacity, 42 % of the requests that came back after 1.5 s or more were served, and
	// 28 % of those that came back within half a second.
	maxRationRetryAfter = 4 * time.Second
)

// ration is the share of a tier's requests that is admitted. The zero value admits all.
type ration struct {
	refusedShare float64       // 0 to 1-minRation
	since        time.Duration // start of the shortage
	unplacedAt   time.Duration // when an admitted request last got no slot
}

// noteUnplaced records an admitted request that got no slot.
func (x *ration) noteUnplaced(now time.Duration) {
	if x.refusedShare == 0 {
		x.since = now
	}
	x.unplacedAt = now
	x.refusedShare = 1 - max(minRation, (1-x.refusedShare)*(1-rationGain))
}

// expire ends the ration if it is over.
func (x *ration) expire(now time.Duration) {
	if now-x.unplacedAt >= rationTTL {
		x.refusedShare = 0
	}
}

// noteDispatched records an admitted request that was dispatched.
func (x *ration) noteDispatched() {
	x.refusedShare = max(0, 1-(1-x.refusedShare)*(1+rationGain*unplacedShare/(1-unplacedShare)))
}

// rationed reports whether any tier of a pool is rationed.
func (p *pool) rationed() bool {
	for _, x := range p.workspaceRations {
		if x.refusedShare > 0 {
			return true
		}
	}
	return slices.ContainsFunc(p.rations[:], func(x ration) bool { return x.refusedShare > 0 })
}

// recentLengths holds the latest expected lengths of a service's answers.
type recentLengths struct {
	lengths [maxRecentLengths]int
	n       int
}

// quantile returns the share of the stored lengths that are shorter than tokens, and stores
// tokens. Equal lengths count with the share u, in [0, 1).
func (x *recentLengths) quantile(tokens int, u float64) float64 {
	shorter, equal := 0, 1
	n := min(x.n, maxRecentLengths)
	for _, t := range x.lengths[:n] {
		switch {
		case t < tokens:
			shorter++
		case t == tokens:
			equal++
		}
	}
	x.lengths[x.n%maxRecentLengths] = tokens
	x.n++
	return (float64(shorter) + u*float64(equal)) / float64(n+1)
}

// maxLengthServices limits the services kept.
const maxLengthServices = 1 << 12

// setLengthQuantile compares a request's expected length with others of its service, and draws
// whether it is exempt from rations.
func (s *Scheduler) setLengthQuantile(r *Request) {
	if s.cfg.Disabled.Rationing || r.MaxTokens <= 1 {
		return
	}
	recent := s.recentLengths[r.Settings.Service]
	if recent == nil {
		if len(s.recentLengths) >= maxLengthServices {
			clear(s.recentLengths)
		}
		recent = &recentLengths{}
		s.recentLengths[r.Settings.Service] = recent
	}
	r.lengthQuantile = recent.quantile(r.expectedOutput, s.Rand.Float64())
	r.rationDraw = s.Rand.Float64()
	r.rationExempt = r.rationDraw < exemptChance || r.Continues
	if s.SlotOwners {
		r.longDraw = s.Rand.Float64()
	}
}

// beyondRation reports whether a request is beyond the share of its tier that is admitted now.
func (s *Scheduler) beyondRation(r *Request) bool {
	admitted := s.admittedShare(r)
	r.estimates.LengthRank, r.estimates.Admitted = r.lengthQuantile, admitted
	switch {
	case r.rationExempt:
		return false
	case s.SlotOwners:
		return r.lengthQuantile > admitted && r.longDraw >= longShare
	case s.SharingHosts > directHosts:
		return r.lengthQuantile > admitted
	}
	return r.lengthQuantile > shortestShare(admitted) && r.rationDraw >= exemptChance+minLongShare*admitted
}

// shortestShare returns the share of a service's requests, the shortest, that a ration always admits
// if it admits the given share of all, and minLongShare of that share of the longer ones.
func shortestShare(admitted float64) float64 {
	return admitted * (1 - minLongShare) / (1 - minLongShare*admitted)
}

// rationRetryAfter returns the retry time of a request refused by a ration: a shortage is assumed
// to last as long again as it has lasted.
func (s *Scheduler) rationRetryAfter(now time.Duration, r *Request) time.Duration {
	return min(maxRationRetryAfter, max(s.estimateWait(now, r), now-s.ration(r).since))
}

// noteUnplaced and noteDispatched report a request's outcome to the ration of its tier.
func (s *Scheduler) noteUnplaced(now time.Duration, r *Request) {
	if r.lengthQuantile > 0 && !r.rationExempt {
		s.ration(r).noteUnplaced(now)
	}
}

func (s *Scheduler) noteDispatched(r *Request) {
	if r.lengthQuantile > 0 && !r.rationExempt {
		s.ration(r).noteDispatched()
	}
}
