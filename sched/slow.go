// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package sched

import "time"

// Parameters of slowness detection.
const (
	// slowGain is the weight of a new observation.
	slowGain = 0.25
	// slowHalfLife is the time in which an observation loses half its weight, so that an endpoint
	// that gets no requests is tried again.
	slowHalfLife = 20 * time.Second
	// minSlowObservations is the number of observations required before an endpoint is throttled.
	minSlowObservations = 3
	// stuckFactor and stuckGrace define an overdue first token: its delay counts as an observation
	// once it exceeds stuckFactor times the predicted time plus stuckGrace.
	stuckFactor = 3
	// stuckGrace is the constant part of that threshold.
	stuckGrace = 100 * time.Millisecond
	// maxSlowRatio limits the ratio of one observation.
	maxSlowRatio = 50
)

// slowness returns the factor by which e is slower than it reports, at least 1.
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

// observeSlowness adds an observed ratio of actual to reported time.
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
	// A first token that is late only because of queueing does not show a slow engine, so it
	// counts only if it is very late.
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

// checkStuck learns from overdue first tokens.
func (s *Scheduler) checkStuck(now time.Duration, e *endpointState) {
	for _, r := range e.inflight {
		if r.progressAt != 0 {
			continue
		}
		elapsed := now - r.dispatchedAt
		if elapsed > stuckFactor*r.predicted+stuckGrace {
			s.observeSlowness(now, e, float64(elapsed)/float64(r.predicted+e.step()))
			return
		}
	}
}

// updateThrottling starts and ends the throttling of endpoints, at most MaxThrottledShare of a
// pool. A throttled endpoint gets at most one request of this host at a time, and none of the top
// tier.
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
