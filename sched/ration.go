// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package sched

import (
	"slices"
	"time"
)

// While places at engines are short, how long a request would hold one decides how many others
// are refused for it: expected lengths of one service's answers differ twentyfold, and their
// worth to callers hardly does. So of each tier that cannot be served whole, only a share
// is taken, those with the shortest expected answers of their service. The share follows what
// becomes of those taken: it falls with each that waited in vain and rises with each that got a
// place. Nothing is taken from a tier for a lower one, and no service or workspace for another.
//
// In ten seconds of twice what engines can do 0.634 of the requests are served, without rations
// 0.498; of two and a half times 0.567 and 0.368 (TestSurge).

// Figures of rations.
const (
	// rationGain is the part by which the share falls with a request that waited in vain: about a
	// second to halve it at 15 such requests a second. 0.025 and 0.1 made no difference in trials.
	rationGain = 0.05
	// unplacedShare is the part of the requests taken that may wait in vain. With fewer, hosts have none
	// waiting when a place gets free, and several see it free: engines hold more than their places for
	// 0.14 of the time with 0.1, for 0.06 with 0.3 (TestStaleHostsDoNotOverfill).
	unplacedShare = 0.3
	// minRation bounds the share from below: less than what is left to a tier in surges of 2.5 times.
	minRation = 0.15
	// exemptChance is the chance of a request beyond the share to be taken all the same, so that
	// long ones are not starved in a long shortage. It costs nothing that trials show.
	exemptChance = 0.05
	// spareFill is the part of the places that a tier may fill up to which a request beyond the share
	// is taken: there is no shortage then, or none any more. Without it requests were refused
	// for seconds after a surge; 0.65 and 0.95 did as well.
	spareFill = 0.8
	// maxRecentLengths is the number of the latest expected lengths of a service that a new one is
	// ranked among: enough for a rank within a tenth.
	maxRecentLengths = 64
	// maxRationRetryAfter bounds the time after which a request that is refused by a ration is told to
	// come back. Of requests that came back after 1.5 s and more 42 in 100 were served, of those after
	// less than half a second 28 (one traced surge of 2 times).
	maxRationRetryAfter = 4 * time.Second
)

// ration is the share of a tier's requests that are taken. The zero value takes all.
type ration struct {
	refusedShare float64       // the part that is not taken, 0 to 1-leastRation
	since        time.Duration // when the shortage began
}

// noteUnplaced notes a request that was taken and got no place.
func (x *ration) noteUnplaced(now time.Duration) {
	if x.refusedShare == 0 {
		x.since = now
	}
	x.refusedShare = 1 - max(minRation, (1-x.refusedShare)*(1-rationGain))
}

// noteDispatched notes a request that was taken and got one.
func (x *ration) noteDispatched() {
	x.refusedShare = max(0, 1-(1-x.refusedShare)*(1+rationGain*unplacedShare/(1-unplacedShare)))
}

// rationed reports whether a tier of a pool is not taken whole.
func (p *pool) rationed() bool {
	return slices.ContainsFunc(p.rations[:], func(x ration) bool { return x.refusedShare > 0 })
}

// recentLengths are the latest expected lengths of a service's answers.
type recentLengths struct {
	lengths [maxRecentLengths]int
	n       int
}

// quantile gives the part of the kept lengths that are shorter than one, with equal ones drawn by
// u in [0, 1), and keeps it.
func (g *recentLengths) quantile(tokens int, u float64) float64 {
	shorter, equal := 0, 1
	n := min(g.n, maxRecentLengths)
	for _, t := range g.lengths[:n] {
		switch {
		case t < tokens:
			shorter++
		case t == tokens:
			equal++
		}
	}
	g.lengths[g.n%maxRecentLengths] = tokens
	g.n++
	return (float64(shorter) + u*float64(equal)) / float64(n+1)
}

// maxLengthServices bounds the services remembered.
const maxLengthServices = 1 << 12

// setLengthQuantile sets how a request's expected answer compares with others of its service.
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
	r.rationExempt = s.Rand.Float64() < exemptChance
}

// beyondRation reports whether a request is beyond the share of its tier that is taken now.
func (s *Scheduler) beyondRation(r *Request) bool {
	return !r.rationExempt && r.lengthQuantile > 1-r.pool.rations[r.rank()].refusedShare
}

// rationRetryAfter is when a request that is refused by a ration is to come back: a shortage that has
// lasted for some time is taken to last as long again.
func (s *Scheduler) rationRetryAfter(now time.Duration, r *Request) time.Duration {
	return min(maxRationRetryAfter, max(s.estimateWait(now, r), now-r.pool.rations[r.rank()].since))
}

// noteUnplaced and notePlaced tell the ration of a request's tier what became of it.
func (s *Scheduler) noteUnplaced(now time.Duration, r *Request) {
	if r.lengthQuantile > 0 && !r.rationExempt {
		r.pool.rations[r.rank()].noteUnplaced(now)
	}
}

func (s *Scheduler) noteDispatched(r *Request) {
	if r.lengthQuantile > 0 && !r.rationExempt {
		r.pool.rations[r.rank()].noteDispatched()
	}
}
