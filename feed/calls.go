// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package feed

import (
	"slices"
	"time"
)

const (
	// outageCalls is the number of this host's calls that must fail in a row, refused or unanswered,
	// before the host takes it for an outage of the store. A single call may fail for other reasons: the
	// store may refuse it because of the calls of all hosts together, or its connection may be dead.
	outageCalls = 4
	// answerTimeFactor is the number of times that a store may take as long as for its slowest recent
	// answer before its silence counts as an outage.
	answerTimeFactor = 1.5
	// answerTimeMemory is the time for which the slowest answer is remembered.
	answerTimeMemory = 30 * time.Second
)

// storeCall is a call of this host to the store: when it was sent, by the host's clock, and when its
// answer became due, by the time in which this process ran.
type storeCall struct{ sent, due time.Duration }

// callLog decides from calls to the store whether the store fails for this host. It knows this host's
// calls, and those of other hosts as far as peers report their answers. The store fails if the calls
// since the last answer, at least outageCalls, were refused or are unanswered, and that has lasted for the
// time that patience returns: a store that works may refuse several calls at once for exceeding its rate.
//
// A late answer is no failure: calls in flight stay in the log until they are answered or given up, and
// an answer to any of them ends the outage. Silence is counted in time in which this process ran, since an
// answer that lies in the socket while the process waits for the CPU is not the store's silence. Refusals
// count by the clock.
type callLog struct {
	// outageAfter is the minimum time without an answer that counts as an outage.
	outageAfter time.Duration

	lastAnswered time.Duration // the newest moment at which the store is known to have answered any host
	answerBegan  time.Duration // when an answer last began to arrive here or became known, by the time in which this process ran
	slowest      time.Duration // the longest time that an answer took recently, by the time in which this process ran
	slowestAt    time.Duration // when that answer arrived, by the host's clock

	inFlight    []storeCall   // calls in flight whose answer has not begun
	failedCount int           // calls that failed since the last answer
	firstFailed storeCall     // when the first of them was sent, and failed or was due
	lastFailed  time.Duration // when the newest call was sent that failed or was silent
	failTime    time.Duration // how long that call took to fail, or would have taken

	failing        bool
	outageFrom     time.Duration // when the first call of the outage was sent; holds while failing
	lastOutageCall time.Duration // when the newest call was sent for which the store is known to have failed for this host, or 0
}

// begin records that a call is sent which waits for changes for the given time.
func (l *callLog) begin(now, runTime, wait time.Duration) storeCall {
	c := storeCall{now, runTime + wait}
	l.inFlight = append(l.inFlight, c)
	return c
}

// end records that a call is over, and reports whether it was in flight.
func (l *callLog) end(c storeCall) bool {
	i := slices.Index(l.inFlight, c)
	if i < 0 {
		return false
	}
	l.inFlight = slices.Delete(l.inFlight, i, i+1)
	return true
}

// beginAnswer records that the answer to a call has begun to arrive. An outage lasts until the answer is
// read, since what the answer says of lapsed entries depends on it.
func (l *callLog) beginAnswer(c storeCall, now, runTime time.Duration) {
	if !l.end(c) {
		return
	}
	if took := max(0, runTime-c.due); took >= l.slowest || now-l.slowestAt > answerTimeMemory {
		l.slowest, l.slowestAt = took, now
	}
	if !l.failing {
		l.noteAnswer(c.sent, runTime)
	}
}

// noteAnswer records that the answer to a call sent at the given moment was read, here or by another
// host. It ends an outage.
func (l *callLog) noteAnswer(sent, runTime time.Duration) {
	l.lastAnswered = max(l.lastAnswered, sent)
	l.answerBegan, l.failedCount, l.failing = runTime, 0, false
}

// notePeerAnswer records that a peer reported the answer to a call sent at the given moment. It ends an
// outage only if that call was sent after the first call of the outage: the report may be older.
func (l *callLog) notePeerAnswer(sent, runTime time.Duration) {
	if l.failing && sent < l.outageFrom {
		l.lastAnswered = max(l.lastAnswered, sent)
		return
	}
	l.noteAnswer(sent, runTime)
}

// fail records that a call was refused, or was given up after a silence. A call that was sent before
// one that was answered may have failed alone.
func (l *callLog) fail(c storeCall, now, runTime time.Duration) {
	l.end(c)
	if c.sent <= l.lastAnswered {
		return
	}
	due := max(min(c.due, runTime), l.answerBegan)
	if l.failedCount == 0 || due < l.firstFailed.due {
		l.firstFailed = storeCall{c.sent, due}
	}
	l.failedCount++
	if c.sent >= l.lastFailed {
		l.lastFailed, l.failTime = c.sent, now-c.sent
	}
	l.judge(now, runTime)
}

// giveUp records that this host gave up a call that had no answer. It counts as failed if the process
// ran for long enough to have read an answer.
func (l *callLog) giveUp(c storeCall, now, runTime time.Duration) {
	if l.end(c) && runTime-max(c.due, l.answerBegan) >= fastRetryDelay {
		l.fail(c, now, runTime)
	}
}

// judge decides whether the store fails for this host now.
func (l *callLog) judge(now, runTime time.Duration) {
	silent, silentFor, refusedFor := 0, time.Duration(0), time.Duration(0)
	oldest, newest := now, l.lastFailed
	if l.failedCount > 0 {
		silentFor, refusedFor = runTime-l.firstFailed.due, now-l.firstFailed.sent
		oldest = l.firstFailed.sent
	}
	for _, c := range l.inFlight {
		unanswered := runTime - max(c.due, l.answerBegan)
		if unanswered < fastRetryDelay || c.sent <= l.lastAnswered {
			continue // a call before one that was answered may be lost alone
		}
		silent++
		silentFor = max(silentFor, unanswered)
		oldest, newest = min(oldest, c.sent), max(newest, c.sent)
	}
	lasted := silentFor
	if silent == 0 {
		lasted = refusedFor
	}
	if !l.failing && l.failedCount+silent >= outageCalls && lasted >= l.patience(now) {
		l.failing, l.outageFrom = true, oldest
	}
	if !l.failing {
		return
	}
	if newest > l.lastFailed {
		l.lastFailed, l.failTime = newest, shortCallTimeout // a host that knows of the outage waits that long for an answer
	}
	l.lastOutageCall = l.lastFailed
}

// patience is the time without an answer that counts as an outage: longer if the store was slow
// recently. Beyond callTimeout an answer comes too late to be of use.
func (l *callLog) patience(now time.Duration) time.Duration {
	return max(l.outageAfter, min(callTimeout, time.Duration(answerTimeFactor*float64(l.answerTime(now)))))
}

// answerTime is the longest time that an answer took recently.
func (l *callLog) answerTime(now time.Duration) time.Duration {
	if now-l.slowestAt > answerTimeMemory {
		return 0
	}
	return l.slowest
}

// unanswered is the number of calls since the last answer that failed or are in flight.
func (l *callLog) unanswered() int {
	n := l.failedCount
	for _, c := range l.inFlight {
		if c.sent > l.lastAnswered {
			n++
		}
	}
	return n
}

// reset forgets the store's state after this host did not run for a while.
func (l *callLog) reset(now time.Duration) {
	*l = callLog{outageAfter: l.outageAfter, lastAnswered: now}
}
