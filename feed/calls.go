// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package feed

import (
	"cmp"
	"slices"
	"time"
)

// outageCalls is the number of this host's calls that must fail in a row, refused or unanswered, before
// the host takes it for an outage of the store. A single call may fail for other reasons: the store may
// refuse it because of the calls of all hosts together, or its connection may be dead.
const outageCalls = 4

// storeCall is a call of this host to the store: when it was sent, by the host's clock and by the time
// in which this process ran.
type storeCall struct{ sent, runTime time.Duration }

// callLog decides from calls to the store whether the store fails for this host. It knows this host's
// calls, and those of other hosts as far as peers report them. One answer ends an outage. A refused
// call counts as failed at once. An unanswered call counts as failed once the calls since the last
// answer have gone unanswered for outageAfter, counted in time in which this process ran: an answer
// that lies in the socket while the process waits for the CPU is not the store's silence.
type callLog struct {
	// outageAfter is the time without any answer that counts as an outage.
	outageAfter time.Duration

	lastAnswered   time.Duration          // the newest moment at which the store is known to have answered any host
	lastFailed     [outageCalls]storeCall // the last calls of this host that failed, the newest first
	failTime       time.Duration          // how long the newest of them took to fail, or would have taken
	inFlight       []storeCall            // calls in flight
	lastOutageCall time.Duration          // when the newest call was sent for which the store is known to have failed for this host, or 0
}

// begin records that a call is sent.
func (l *callLog) begin(now, runTime time.Duration) storeCall {
	c := storeCall{now, runTime}
	l.inFlight = append(l.inFlight, c)
	return c
}

// end records that a call is over, or given up.
func (l *callLog) end(c storeCall) {
	if i := slices.Index(l.inFlight, c); i >= 0 {
		l.inFlight = slices.Delete(l.inFlight, i, i+1)
	}
}

// fail records that a call failed. Each call counts once.
func (l *callLog) fail(c storeCall, now time.Duration) {
	l.end(c)
	if c.sent >= l.lastFailed[0].sent {
		l.failTime = now - c.sent
	}
	if slices.Contains(l.lastFailed[:], c) {
		return
	}
	calls := append(l.lastFailed[:], c)
	slices.SortFunc(calls, func(a, b storeCall) int { return cmp.Compare(b.sent, a.sent) })
	copy(l.lastFailed[:], calls)
	if l.isFailing() {
		l.lastOutageCall = l.lastFailed[0].sent
	}
}

// failSilent counts unanswered calls as failed if the calls since the last answer have gone unanswered
// for long enough.
func (l *callLog) failSilent(now, runTime time.Duration) {
	silentSince := runTime
	for _, c := range append(l.lastFailed[:], l.inFlight...) {
		if c.sent > l.lastAnswered {
			silentSince = min(silentSince, c.runTime)
		}
	}
	if runTime-silentSince < l.outageAfter {
		return
	}
	for _, c := range slices.Clone(l.inFlight) {
		if runTime-c.runTime >= fastRetryDelay {
			l.fail(c, max(now, c.sent+shortCallTimeout)) // a host that knows of the outage gives up an unanswered call after that time
		}
	}
}

// isFailing reports whether the store fails for this host: this host's last outageCalls calls failed,
// and no host is known to have got an answer since the first of them was sent.
func (l *callLog) isFailing() bool { return l.lastFailed[outageCalls-1].sent > l.lastAnswered }

// reset forgets the store's state after this host did not run for a while.
func (l *callLog) reset(now time.Duration) {
	*l = callLog{outageAfter: l.outageAfter, lastAnswered: now}
}
