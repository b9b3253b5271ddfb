// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package sched

import "time"

// Figures of the learning of speed.
const (
	// slowGain is the weight of a new observation.
	slowGain = 0.25
	// slowHalf is the time in which an old observation loses half its weight,
	// so that an endpoint that gets no work is tried again.
	slowHalf = 20 * time.Second
	// slowMin is the number of observations before an endpoint is eased out.
	slowMin = 3
	// stuckFactor is how many predicted times a first token may be late before
	// the delay itself counts as an observation.
	stuckFactor = 3
	// stuckGrace is added to it.
	stuckGrace = 100 * time.Millisecond
	// slowMost bounds one observation.
	slowMost = 50
)

// slowness is the factor by which e is slower than it says, 1 if it keeps its word.
func (s *Scheduler) slowness(now time.Duration, e *endpointState) float64 {
	if s.cfg.Disabled.Slow || e.slow <= 1 {
		return 1
	}
	halves := float64(now-e.slowAt) / float64(slowHalf)
	if halves >= 8 {
		return 1
	}
	return 1 + (e.slow-1)/(1+halves)
}

// observe takes one ratio of observed to claimed time.
func (s *Scheduler) observe(now time.Duration, e *endpointState, ratio float64) {
	cur := s.slowness(now, e)
	e.slow = cur + slowGain*(min(ratio, slowMost)-cur)
	e.slowAt = now
	e.observed++
}

// observeFirst learns from a first token.
func (s *Scheduler) observeFirst(now time.Duration, r *Request) {
	if r.predicted <= 0 {
		return
	}
	ratio := float64(now-r.sentAt) / float64(r.predicted) * s.slowness(now, r.at)
	// A first token that is late by queueing only is no sign of a slow engine,
	// so this evidence counts only when it is gross.
	if ratio > s.cfg.SlowThreshold {
		s.observe(now, r.at, ratio)
	}
}

// observeTokens learns from the time that n tokens took.
func (s *Scheduler) observeTokens(now time.Duration, e *endpointState, n int, took time.Duration) {
	if n > 0 {
		s.observe(now, e, float64(took)/(float64(n)*float64(e.step())))
	}
}

// checkStuck learns from first tokens that are overdue.
func (s *Scheduler) checkStuck(now time.Duration, e *endpointState) {
	for _, r := range e.inflight {
		if r.firstAt != 0 {
			continue
		}
		late := now - r.sentAt
		if late > stuckFactor*r.predicted+stuckGrace {
			s.observe(now, e, float64(late)/float64(r.predicted+e.step()))
			return
		}
	}
}

// ease sets or clears the easing out of endpoints of a pool, a bounded share at a time.
func (s *Scheduler) ease(now time.Duration, p *pool) {
	if s.cfg.Disabled.Slow {
		return
	}
	most := int(s.cfg.MaxThrottledShare * float64(len(p.members)))
	n := 0
	for _, e := range p.members {
		if e.eased && s.slowness(now, e) < s.cfg.RecoveryThreshold {
			e.eased = false
		}
		if e.eased {
			n++
		}
	}
	for _, e := range p.members {
		if n < most && !e.eased && e.observed >= slowMin && s.slowness(now, e) > s.cfg.SlowThreshold {
			e.eased = true
			n++
		}
	}
}
