// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package sched

import (
	"time"

	"github.com/heathkeel/heathkeel/outlier"
)

// Endpoints that fail requests get no new ones for some time; see package outlier. An endpoint
// that fails immediately looks idle, so it would otherwise attract more requests than any other.
// The rules here are those that concern a pool as a whole.

const (
	// panicThreshold is the share of a pool's endpoints that must be healthy for ejections to
	// count. If fewer are, the cause is probably not the endpoints, and the remaining ones could
	// not carry the load.
	panicThreshold = 0.5
	// maxProbers is the expected number of hosts that probe an endpoint that others have found
	// failing at about the same moment: each host probes with a probability of maxProbers over the
	// number of hosts.
	maxProbers = 4
)

// Failed records that the endpoint of a dispatched request failed; call it before Done or
// Redispatch.
func (s *Scheduler) Failed(now time.Duration, r *Request, f outlier.Failure) {
	if r.dispatchedTo == nil {
		return
	}
	if r.dispatchedTo.health.Fail(now, r.dispatchedAt, f, s.Rand.Float64()) {
		s.ejections++
	}
	s.updatePanicMode(now)
}

// ForgetFailures forgets what this host observed of the failures of all endpoints.
func (s *Scheduler) ForgetFailures() {
	for _, e := range s.endpoints {
		e.health, e.downUntil = outlier.Record{}, 0
	}
	s.Wake()
}

// Answered records the first sign of an answer to a dispatched request.
func (s *Scheduler) Answered(r *Request) {
	if r.dispatchedTo != nil {
		r.dispatchedTo.health.AnswerStarted()
		r.dispatchedTo.noteRestAnswer(r)
	}
}

// BackOff sends no new requests to the endpoint of a dispatched request for the given time, in
// which it is known to be unavailable.
func (s *Scheduler) BackOff(now time.Duration, r *Request, backoff time.Duration) {
	if r.dispatchedTo != nil {
		r.dispatchedTo.downUntil = max(r.dispatchedTo.downUntil, now+backoff)
	}
}

// Evidence returns what this host reports to others about an endpoint's recent outcomes.
func (s *Scheduler) Evidence(now time.Duration, name string) outlier.Evidence {
	if e := s.byName[name]; e != nil {
		return e.health.LocalEvidence(now)
	}
	return outlier.Evidence{}
}

// ApplyPeerEvidence applies the sum of what other hosts report about an endpoint.
func (s *Scheduler) ApplyPeerEvidence(now time.Duration, name string, ev outlier.Evidence) {
	if e := s.byName[name]; e != nil {
		e.health.SetPeerEvidence(now, ev)
	}
}

// Ejections returns how often this host has ejected an endpoint for failures of its own requests.
func (s *Scheduler) Ejections() int { return s.ejections }

// Ejected returns the number of endpoints that are ejected now.
func (s *Scheduler) Ejected(now time.Duration) int {
	n := 0
	for _, e := range s.endpoints {
		if e.present && !e.Leaving && e.health.State(now) == outlier.Open {
			n++
		}
	}
	return n
}

// updatePanicMode determines the pools in which too few endpoints are healthy for ejections to
// count.
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

// available reports whether an endpoint accepts new requests of this host, regardless of its failures.
func (e *endpointState) available(now time.Duration) bool {
	return e.availableToOthers(now) && e.restAdmits(now)
}

// availableToOthers reports whether an endpoint accepts new requests of other hosts, as far as this host knows.
func (e *endpointState) availableToOthers(now time.Duration) bool {
	return e.present && !e.Leaving && now >= e.downUntil && e.coldAdmits(now)
}

// usable reports whether an endpoint of a pool may get new requests now.
func (p *pool) usable(now time.Duration, e *endpointState) bool {
	return e.available(now) && (p.panicMode || e.health.State(now) != outlier.Open)
}

// risk returns the expected share of a request's value that is lost to failures of an endpoint. A
// probe of a half-open endpoint has no risk; otherwise the endpoint would get none while other
// endpoints have room.
func (s *Scheduler) risk(now time.Duration, r *Request, e *endpointState) float64 {
	if r.Settings.Repeatable && e.health.State(now) == outlier.HalfOpen && !r.pool.panicMode {
		return 0
	}
	return e.health.FailureRatio(now)
}

// healthAdmits reports whether a request may go to an endpoint in spite of recent failures. The
// last chance of a request that was dispatched before needs only an available endpoint, since its
// caller has part of an answer or has waited for one. The same holds for the few requests that are
// exempt from rations by exemptChance.
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
