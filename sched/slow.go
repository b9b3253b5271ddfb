// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package sched

import "time"

// Figures of the learning of speed.
const (
	// slowGain is the weight of a new observation.
	slowGain = 0.25
	// slowHalfLife is the time in which an old observation loses half its weight,
	// so that an endpoint that gets no work is tried again.
	slowHalfLife = 20 * time.Second
	// minSlowObservations is the number of observations before an endpoint is eased out.
	minSlowObservations = 3
	// stuckFactor is how many predicted times a first token may be late before
	// the delay itself counts as an observation.
	stuckFactor = 3
	// stuckGrace is added to it.
	stuckGrace = 100 * time.Millisecond
	// maxSlowRatio bounds one observation.
	maxSlowRatio = 50
)

// slowness is the factor by which e is slower than it says, 1 if it keeps its word.
func (s *Scheduler) slowness(now time.Duration, e *endpointState) float64 {
	if s.cfg.Disabled.Slow || e.slowFactor <= 1 {
		return 1
	}
	halves := float64(now-e.slowUpdatedAt) / float64(slowHalfLife)
	if halves >= 8 {
		return 1
	}
	return 1 + (e.slowFactor-1)/(1+halves)
}

// observeSlowness takes one ratio of observed to claimed time.
func (s *Scheduler) observeSlowness(now time.Duration, e *endpointState, ratio float64) {
	current := s.slowness(now, e)
	e.slowFactor = current + slowGain*(min(ratio, maxSlowRatio)-current)
	e.slowUpdatedAt = now
	e.observations++
}

// observeFirst learns from a first token.
func (s *Scheduler) observeFirst(now time.Duration, r *Request) {
	if r.predicted <= 0 {
		return
	}
	ratio := float64(now-r.dispatchedAt) / float64(r.predicted) * s.slowness(now, r.dispatchedTo)
	// A first token that is late by queueing only is no sign of a slow engine,
	// so this evidence counts only when it is gross.
	if ratio > s.cfg.SlowThreshold {
		s.observeSlowness(now, r.dispatchedTo, ratio)
	}
}

// observeTokens learns from the time that n tokens took.
func (s *Scheduler) observeTokens(now time.Duration, e *endpointState, n int, took time.Duration) {
	if n > 0 {
		s.observeSlowness(now, e, float64(took)/(float64(n)*float64(e.step())))
	}
}

// checkStuck learns from first tokens that are overdue.
func (s *Scheduler) checkStuck(now time.Duration, e *endpointState) {
	for _, r := range e.inflight {
		if r.progressAt != 0 {
			continue
		}
		late := now - r.dispatchedAt
		if late > stuckFactor*r.predicted+stuckGrace {
			s.observeSlowness(now, e, float64(late)/float64(r.predicted+e.step()))
			return
		}
	}
}

// updateThrottling sets or clears the easing out of endpoints of a pool, a bounded share at a time.
func (s *Scheduler) updateThrottling(now time.Duration, p *pool) {
	if s.cfg.Disabled.Slow {
		return
	}
	limit := int(s.cfg.MaxThrottledShare * float64(len(p.members)))
	throttled := 0
	for _, e := range p.members {
		if e.throttled && s.slowness(now, e) < s.cfg.RecoveryThreshold {
			e.throttled = false
		}
		if e.throttled {
			throttled++
		}
	}
	for _, e := range p.members {
		if throttled < limit && !e.throttled && e.observations >= minSlowObservations && s.slowness(now, e) > s.cfg.SlowThreshold {
			e.throttled = true
			throttled++
		}
	}
}
