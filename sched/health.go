// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package sched

import (
	"time"

	"github.com/heathkeel/heathkeel/outlier"
)

// Endpoints that fail their requests are left alone for a time, see package outlier: a failure that comes at once makes
// an endpoint look idle, so that it would draw more requests than any other. What of that holds for a pool as a
// whole is decided here.

const (
	// panicThreshold is the part of a pool's endpoints that must be sound for ejections to count: if half of them fail, what
	// fails is probably not the endpoints, and the others could not carry the load.
	panicThreshold = 0.5
	// maxProbers is the number of hosts that together may send a request to an endpoint that others have found failing, at
	// about the same moment: each does so with a chance of this number over that of the hosts.
	maxProbers = 4
)

// Failed notes that the endpoint of a dispatched request failed it; call it before Done or Again.
func (s *Scheduler) Failed(now time.Duration, r *Request, f outlier.Failure) {
	if r.dispatchedTo == nil {
		return
	}
	if r.dispatchedTo.health.Fail(now, r.dispatchedAt, f, s.Rand.Float64()) {
		s.ejections++
	}
	s.updatePanicMode(now)
}

// Answered notes the first sign of an answer to a dispatched request.
func (s *Scheduler) Answered(r *Request) {
	if r.dispatchedTo != nil {
		r.dispatchedTo.health.AnswerStarted()
	}
}

// BackOff leaves the endpoint of a dispatched request alone for a time in which it is known to be of no use.
func (s *Scheduler) BackOff(now time.Duration, r *Request, hold time.Duration) {
	if r.dispatchedTo != nil {
		r.dispatchedTo.downUntil = max(r.dispatchedTo.downUntil, now+hold)
	}
}

// Evidence is what this host tells others of an endpoint's latest outcomes.
func (s *Scheduler) Evidence(now time.Duration, name string) outlier.Evidence {
	if e := s.byName[name]; e != nil {
		return e.health.LocalEvidence(now)
	}
	return outlier.Evidence{}
}

// ApplyPeerEvidence takes the sum of what other hosts tell of an endpoint.
func (s *Scheduler) ApplyPeerEvidence(now time.Duration, name string, ev outlier.Evidence) {
	if e := s.byName[name]; e != nil {
		e.health.SetPeerEvidence(now, ev)
	}
}

// Ejections counts the times at which this host ejected an endpoint for failures of its own requests.
func (s *Scheduler) Ejections() int { return s.ejections }

// Ejected counts the endpoints that get no work now because they fail.
func (s *Scheduler) Ejected(now time.Duration) int {
	n := 0
	for _, e := range s.endpoints {
		if e.present && !e.Leaving && e.health.State(now) == outlier.Open {
			n++
		}
	}
	return n
}

// updatePanicMode looks in which pools too few endpoints are left for ejections to count.
func (s *Scheduler) updatePanicMode(now time.Duration) {
	for _, p := range s.pools {
		total, healthy := 0, 0
		for _, e := range p.members {
			if !e.present || e.Leaving {
				continue
			}
			total++
			if e.health.Healthy(now) {
				healthy++
			}
		}
		p.panicMode = float64(healthy) < panicThreshold*float64(total)
	}
}

// available reports whether an endpoint takes new work, as far as is known from all but its failures.
func (e *endpointState) available(now time.Duration) bool {
	return e.present && !e.Leaving && now >= e.downUntil
}

// usable reports whether an endpoint of a pool may get new work now.
func (p *pool) usable(now time.Duration, e *endpointState) bool {
	return e.available(now) && (p.panicMode || e.health.State(now) != outlier.Open)
}

// risk is the part of its worth that a request is expected to lose at an endpoint that fails some. A probe of one that is
// half open is to be sent while others have room, too, or it would not be used again until they have none.
func (s *Scheduler) risk(now time.Duration, r *Request, e *endpointState) float64 {
	if r.Settings.Repeatable && e.health.State(now) == outlier.HalfOpen && !r.pool.panicMode {
		return 0
	}
	return e.health.FailureRatio(now)
}

// healthAdmits reports whether a request may be risked at an endpoint that may have failed others lately. One that has run
// and for which nothing better has come is: its caller has an answer in part, or has waited for one.
func (s *Scheduler) healthAdmits(now time.Duration, r *Request, e *endpointState) bool {
	if r.pool.panicMode || (r.lastChance && r.rationExempt) {
		return e.available(now)
	}
	if !r.pool.usable(now, e) {
		return false
	}
	ok, probe := e.health.Admits(now, r.Settings.Repeatable)
	if ok && probe {
		return s.Rand.Float64()*float64(s.SharingHosts) < maxProbers
	}
	return ok
}
