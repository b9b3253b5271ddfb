// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package outlier

import "time"

// State is how an endpoint is used.
type State uint8

// The states.
const (
	// Closed is an endpoint that gets work: the circuit is closed.
	Closed State = iota
	// HalfOpen is one that gets a request at a time to see whether it has recovered.
	HalfOpen
	// Open is one that is left alone.
	Open
)

// Figures of ejection.
const (
	// firstEjection is the time for which an endpoint is left alone at first: a few steps of a slow engine more than the
	// 0.45 s in which hosts of a large fleet hear of each other's failures.
	firstEjection = time.Second
	// longestEjection bounds that time as it doubles. An endpoint that has died loses its entry in the list within 4 s.
	longestEjection = 8 * time.Second
	// ejectionSpread is the part by which the time is drawn longer, so that hosts do not all try again at one moment.
	ejectionSpread = 0.5
	// deadFrom is the part of failures in the evidence of all hosts from which an endpoint is ejected: more than the 45
	// in 100 of a bad storm, and less than what six failures without a good answer make, 6/8.
	deadFrom = 0.7
	// leastBad is the number of failures that this takes: more than one host may tell.
	leastBad = 4
	// probeWait is the time in which no request that may be repeated came for a probe, after which any is one: a pool may
	// have no such requests.
	probeWait = 2 * time.Second
	// riskyFrom is the part of failures from which requests that may not be repeated are sent elsewhere, or refused:
	// more than half would be lost, and a caller who is refused may come back.
	riskyFrom = 0.5
)

// Record is what a host knows of one life of an endpoint. The zero value knows nothing.
type Record struct {
	row    [failures]int // failures of its kind in a row
	streak int           // ejections without a good answer since
	since  time.Duration // when it was ejected last
	until  time.Duration // until when it is left alone
	probe  bool          // a probe is under way
	own    Evidence      // as of at
	at     time.Duration
	others Evidence // as of othersAt
	heard  time.Duration
}

// Fail notes a failure of a request that was sent at a moment, and reports whether the endpoint is ejected for it.
// draw is a number from 0 to 1 drawn at random.
func (r *Record) Fail(now, sent time.Duration, f Failure, draw float64) bool {
	r.probe = false
	if f != Rejected {
		r.own = r.own.fade(now - r.at)
		r.own.Bad++
		r.at = now
	}
	if sent < r.since && r.streak > 0 {
		return false // it was under way when the endpoint was ejected
	}
	r.row[f]++
	if r.streak == 0 && r.row[f] < inRow[f] {
		return false
	}
	r.eject(now, draw)
	return true
}

// eject leaves the endpoint alone for a time that doubles with each ejection in a row.
func (r *Record) eject(now time.Duration, draw float64) {
	hold := min(firstEjection<<min(r.streak, 8), longestEjection)
	r.row = [failures]int{}
	r.streak++
	r.since, r.until = now, now+time.Duration((1+ejectionSpread*draw)*float64(hold))
}

// AnswerStarted notes the first sign of an answer: the endpoint is there.
func (r *Record) AnswerStarted() {
	r.row[Unreachable], r.row[Unanswered], r.row[Rejected] = 0, 0, 0
}

// Succeed notes a request that was answered well.
func (r *Record) Succeed(now time.Duration) {
	r.own = r.own.fade(now - r.at)
	r.own.Good++
	r.at = now
	r.row = [failures]int{}
	r.streak, r.until, r.probe = 0, 0, false
}

// NoteLoadReport notes that the endpoint itself gave an account of its load: it is there.
func (r *Record) NoteLoadReport() {
	r.AnswerStarted()
	r.until = 0
}

// Inconclusive notes the end of a request that tells nothing of the endpoint, such as one whose caller left.
func (r *Record) Inconclusive() { r.probe = false }

// SetPeerEvidence takes the sum of what other hosts tell: they may eject the endpoint for this host, too, and a good answer that
// one of them had while it was half open is as good as an own one.
func (r *Record) SetPeerEvidence(now time.Duration, e Evidence) {
	r.others, r.heard = e, now
	all := r.all(now)
	switch r.State(now) {
	case Open:
	case Closed, HalfOpen:
		if all.Bad >= leastBad && all.failing() >= deadFrom {
			r.eject(now, 0)
		} else if r.streak > 0 && e.Good >= 1 && all.failing() < riskyFrom {
			r.row, r.streak, r.probe = [failures]int{}, 0, false
		}
	}
}

// LocalEvidence is what this host tells others.
func (r *Record) LocalEvidence(now time.Duration) Evidence { return r.own.fade(now - r.at).bounded() }

// all is the evidence of all hosts.
func (r *Record) all(now time.Duration) Evidence {
	own, others := r.own.fade(now-r.at), r.others.fade(now-r.heard)
	return Evidence{own.Good + others.Good, own.Bad + others.Bad}
}

// FailureRatio is the part of requests that are expected to fail, 0 to 1.
func (r *Record) FailureRatio(now time.Duration) float64 { return r.all(now).failing() }

// State tells how the endpoint is used now.
func (r *Record) State(now time.Duration) State {
	if now < r.until {
		return Open
	}
	if r.streak > 0 {
		return HalfOpen
	}
	return Closed
}

// Healthy reports whether requests of all kinds may be sent now.
func (r *Record) Healthy(now time.Duration) bool {
	return r.State(now) == Closed && r.FailureRatio(now) < riskyFrom
}

// Admits reports whether a request may be sent now, and whether it would be a probe; repeatable says that it may run
// twice.
func (r *Record) Admits(now time.Duration, repeatable bool) (ok, probe bool) {
	switch r.State(now) {
	case Open:
		return false, false
	case HalfOpen:
		return (repeatable || now-r.until > probeWait) && !r.probe, true
	}
	if failing := r.FailureRatio(now); failing >= riskyFrom {
		return repeatable, true
	}
	return true, false
}

// Begin notes that a request is sent.
func (r *Record) Begin(now time.Duration) { r.probe = r.State(now) != Closed }
