// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package outlier

import "time"

// State is the state of an endpoint's circuit breaker.
type State uint8

// Circuit breaker states.
const (
	// Closed means that the endpoint gets requests.
	Closed State = iota
	// HalfOpen means that the endpoint gets one request at a time, to probe whether it has recovered.
	HalfOpen
	// Open means that the endpoint is ejected and gets no requests.
	Open
)

// Parameters of ejection.
const (
	// firstEjection is the first ejection time: the 0.45 s in which hosts of a large fleet learn of each
	// other's failures, plus a few steps of a slow engine.
	firstEjection = time.Second
	// maxEjection limits the ejection time as it doubles. An endpoint that has died loses its entry in the
	// endpoint list within 4 s.
	maxEjection = 8 * time.Second
	// ejectionJitter is the maximum fraction by which the ejection time is randomly extended, so that hosts do
	// not all retry at the same moment.
	ejectionJitter = 0.5
	// ejectionFailureRatio is the failure ratio in the evidence of all hosts at which an endpoint is ejected:
	// higher than the 0.45 of a severe burst of failures, and lower than the 6/8 that six failures without a
	// success yield.
	ejectionFailureRatio = 0.7
	// minEjectionFailures is the number of failures that such an ejection needs: more than one host may report.
	minEjectionFailures = 4
	// probeWait is the time after which any request may be a probe if no repeatable request came: a pool may
	// have no repeatable requests.
	probeWait = 2 * time.Second
	// riskyFailureRatio is the failure ratio from which requests that are not repeatable are sent elsewhere or
	// refused: more than half of them would be lost, and a refused caller may retry.
	riskyFailureRatio = 0.5
)

// Record is what a host knows about one incarnation of an endpoint. The zero value knows nothing.
type Record struct {
	consecutive  [failureKinds]int // consecutive failures by kind
	ejections    int               // ejections since the last success
	ejectedAt    time.Duration     // start of the last ejection
	ejectedUntil time.Duration     // end of the ejection
	probing      bool              // a probe is in flight
	own          Evidence          // evidence of this host as of ownAt
	ownAt        time.Duration
	peers        Evidence // evidence of other hosts as of peersAt
	peersAt      time.Duration
}

// Fail records a failure at time now of a request that was sent at sentAt, and reports whether it ejects the
// endpoint. random is a random number from 0 to 1.
func (r *Record) Fail(now, sentAt time.Duration, f Failure, random float64) bool {
	r.probing = false
	if f != Rejected {
		r.own = r.own.decay(now - r.ownAt)
		r.own.Bad++
		r.ownAt = now
	}
	if sentAt < r.ejectedAt && r.ejections > 0 {
		return false // in flight when the endpoint was ejected
	}
	r.consecutive[f]++
	if r.ejections == 0 && r.consecutive[f] < ejectionThresholds[f] {
		return false
	}
	r.eject(now, random)
	return true
}

// eject ejects the endpoint for a time that doubles with each consecutive ejection.
func (r *Record) eject(now time.Duration, random float64) {
	duration := min(firstEjection<<min(r.ejections, 8), maxEjection)
	r.consecutive = [failureKinds]int{}
	r.ejections++
	r.ejectedAt, r.ejectedUntil = now, now+time.Duration((1+ejectionJitter*random)*float64(duration))
}

// AnswerStarted records the first part of an answer, which shows that the endpoint is running.
func (r *Record) AnswerStarted() {
	r.consecutive[Unreachable], r.consecutive[Unanswered], r.consecutive[Rejected] = 0, 0, 0
}

// Succeed records a successful request.
func (r *Record) Succeed(now time.Duration) {
	r.own = r.own.decay(now - r.ownAt)
	r.own.Good++
	r.ownAt = now
	r.consecutive = [failureKinds]int{}
	r.ejections, r.ejectedUntil, r.probing = 0, 0, false
}

// NoteLoadReport records that the endpoint sent a load report, which shows that it is running.
func (r *Record) NoteLoadReport() {
	r.AnswerStarted()
	r.ejectedUntil = 0
}

// Inconclusive records the end of a request that says nothing about the endpoint, such as one whose caller
// left.
func (r *Record) Inconclusive() { r.probing = false }

// SetPeerEvidence stores the sum of other hosts' evidence. It may eject the endpoint for this host, too, and a
// success that another host had while the endpoint was half-open counts like a success of this host.
func (r *Record) SetPeerEvidence(now time.Duration, e Evidence) {
	r.peers, r.peersAt = e, now
	total := r.total(now)
	switch r.State(now) {
	case Open:
	case Closed, HalfOpen:
		if total.Bad >= minEjectionFailures && total.failureRatio() >= ejectionFailureRatio {
			r.eject(now, 0)
		} else if r.ejections > 0 && e.Good >= 1 && total.failureRatio() < riskyFailureRatio {
			r.consecutive, r.ejections, r.probing = [failureKinds]int{}, 0, false
		}
	}
}

// LocalEvidence returns the evidence that this host reports to others.
func (r *Record) LocalEvidence(now time.Duration) Evidence {
	return r.own.decay(now - r.ownAt).capped()
}

// total returns the evidence of all hosts.
func (r *Record) total(now time.Duration) Evidence {
	own, peers := r.own.decay(now-r.ownAt), r.peers.decay(now-r.peersAt)
	return Evidence{own.Good + peers.Good, own.Bad + peers.Bad}
}

// FailureRatio returns the fraction of requests that are expected to fail, 0 to 1.
func (r *Record) FailureRatio(now time.Duration) float64 { return r.total(now).failureRatio() }

// State returns the state of the circuit breaker.
func (r *Record) State(now time.Duration) State {
	if now < r.ejectedUntil {
		return Open
	}
	if r.ejections > 0 {
		return HalfOpen
	}
	return Closed
}

// Healthy reports whether requests of all kinds may be sent now.
func (r *Record) Healthy(now time.Duration) bool {
	return r.State(now) == Closed && r.FailureRatio(now) < riskyFailureRatio
}

// Admits reports whether a request may be sent now, and whether it would be a probe; repeatable says that the
// request may run twice.
func (r *Record) Admits(now time.Duration, repeatable bool) (ok, probe bool) {
	switch r.State(now) {
	case Open:
		return false, false
	case HalfOpen:
		return (repeatable || now-r.ejectedUntil > probeWait) && !r.probing, true
	}
	if ratio := r.FailureRatio(now); ratio >= riskyFailureRatio {
		return repeatable, true
	}
	return true, false
}

// Begin records that a request is sent.
func (r *Record) Begin(now time.Duration) { r.probing = r.State(now) != Closed }
