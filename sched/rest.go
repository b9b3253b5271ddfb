// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package sched

import "time"

// An endpoint that turns a request of this host away may ask it for rest: it wants nothing from this host for that time. The wish binds:
// no request, probe, last chance or granted slot goes there before. It says nothing about other hosts. After the rest, one request shows
// whether the endpoint takes work again, and its first sign of an answer ends that.

// Parameters of rest.
const (
	// restSpread is the largest random part by which a rest is extended, as a share of it, and maxRestSpread its bound. Hosts that were
	// asked for rest at one moment do not all return at one moment.
	restSpread    = 0.1
	maxRestSpread = 500 * time.Millisecond
	// restMemory is the time after a rest was asked for in which the endpoint gets no more requests than it has slots: one that it turns
	// away costs the whole rest.
	restMemory = time.Minute
)

// rest is the rest that an endpoint asked this host for. The zero value is none.
type rest struct {
	until     time.Duration // no requests before, 0 for no rest
	probe     *Request      // the request sent since, until it shows whether the endpoint takes work again
	fillUntil time.Duration // no more requests than slots before
}

// Rest records that an endpoint asked this host for rest for d. Of two rests the one that ends later holds.
func (s *Scheduler) Rest(now time.Duration, name string, d time.Duration) {
	e := s.byName[name]
	if e == nil || d <= 0 {
		return
	}
	e.rest.fillUntil = now + restMemory
	e.rest.probe = nil // its answer says nothing about a later wish
	spread := min(maxRestSpread, time.Duration(restSpread*float64(d)))
	e.rest.until = max(e.rest.until, now+d+time.Duration(s.Rand.Float64()*float64(spread)))
	s.wake(e)
}

// Rests reports whether an endpoint asked this host for rest that is not over.
func (s *Scheduler) Rests(now time.Duration, name string) bool {
	e := s.byName[name]
	return e != nil && e.rests(now)
}

// Resting returns the number of endpoints that asked this host for rest that is not over.
func (s *Scheduler) Resting(now time.Duration) int {
	n := 0
	for _, e := range s.endpoints {
		if e.present && e.rests(now) {
			n++
		}
	}
	return n
}

// rests reports whether the endpoint's rest is not over.
func (e *endpointState) rests(now time.Duration) bool { return now < e.rest.until }

// restAdmits reports whether the endpoint may get a request as far as its rest is concerned.
func (e *endpointState) restAdmits(now time.Duration) bool {
	return !e.rests(now) && e.rest.probe == nil
}

// noteRestDispatch records a request to an endpoint whose rest is over.
func (e *endpointState) noteRestDispatch(r *Request) {
	if e.rest.until > 0 {
		e.rest.probe = r
	}
}

// noteRestAnswer ends a rest for good if the request was the first after it.
func (e *endpointState) noteRestAnswer(r *Request) {
	if e.rest.probe == r {
		e.rest.until, e.rest.probe = 0, nil
	}
}

// noteRestEnd lets another request show whether the endpoint takes work again, if r did not.
func (e *endpointState) noteRestEnd(r *Request) {
	if e.rest.probe == r {
		e.rest.probe = nil
	}
}

// RestLeft returns the time until the first rest ends of the endpoints that a request may go to, and 0 unless all of them rest. The
// request must have been submitted.
func (s *Scheduler) RestLeft(now time.Duration, r *Request) time.Duration {
	least := time.Duration(0)
	for _, e := range r.pool.members {
		if !e.present || e.Leaving || !r.accepts(e) {
			continue
		}
		if !e.rests(now) {
			return 0
		}
		if left := e.rest.until - now; least == 0 || left < least {
			least = left
		}
	}
	return least
}

// outwaitsRest reports whether all endpoints that a request may go to rest for longer than it may wait. Its caller is told at once.
func (s *Scheduler) outwaitsRest(now time.Duration, r *Request) bool {
	left := s.RestLeft(now, r)
	return left > 0 && now+left >= r.queueDeadline()
}
