// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package feed

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/go-logr/logr"
)

// StoreHealth decides, for everything on this host that follows the store, whether the store fails for
// this host. While it does, entries that disappear may have lapsed, and data older than its maximum
// age may be used, since the host cannot get newer data. All times are of the host's clock. The fields
// must be set before the first call. It is safe for concurrent use.
type StoreHealth struct {
	// Now is the host's clock; it also counts the time in which the host is suspended.
	Now func() time.Duration
	// RunTime returns the time in which this process ran; nil means that it always runs.
	RunTime func() time.Duration
	// OutageAfter is the time without any answer from the store, with several calls in flight, that
	// counts as an outage.
	OutageAfter time.Duration
	// LapseTimes decides for how long endpoints whose entries disappeared are treated as serving.
	LapseTimes LapseTimes
	// RetryInterval is the time between two attempts of the hosts that call a failing store most
	// often.
	RetryInterval time.Duration
	// Log receives changes of state.
	Log logr.Logger

	mu         sync.Mutex
	counts     StoreCallCounts
	loggedFail bool // the store was logged as failing
	calls      callLog
	lastBegun  time.Duration // when the last call was begun or permitted
	// lastOwnAnswer is when this host last read an answer, and regained is closed when it reads the first
	// one after an outage.
	lastOwnAnswer time.Duration
	regained      chan struct{}
	renewedBy     time.Duration              // live endpoints have renewed their entries by this moment after an outage
	lapseUntil    time.Duration              // until this moment at most, entries that disappeared are treated as lapsed
	onOutageEnd   func(lapsed time.Duration) // called at the end of an outage with the time for which entries stay lapsed; may be nil
}

// processRunTime is the time in which this process ran.
func (h *StoreHealth) processRunTime() time.Duration {
	if h.RunTime == nil {
		return h.Now()
	}
	return h.RunTime()
}

// begin records that a call is sent, which waits for changes for the given time.
func (h *StoreHealth) begin(wait time.Duration) storeCall {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls.outageAfter, h.lastBegun = h.OutageAfter, h.Now()
	return h.calls.begin(h.lastBegun, h.processRunTime(), wait)
}

// end records that this host ended a call for another reason than a missing answer.
func (h *StoreHealth) end(c storeCall) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls.end(c)
}

// beginAnswer records that the answer to a call has begun to arrive.
func (h *StoreHealth) beginAnswer(c storeCall) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls.beginAnswer(c, h.Now(), h.processRunTime())
}

// answered records that the answer to a call was read.
func (h *StoreHealth) answered(c storeCall) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now, runTime := h.Now(), h.processRunTime()
	h.counts.Answered++
	h.counts.SlowestMS = max(h.counts.SlowestMS, (runTime - c.due).Milliseconds())
	h.calls.beginAnswer(c, now, runTime)
	h.calls.noteAnswer(c.sent, runTime)
	h.logVerdict()
	if h.calls.lastOutageCall > h.lastOwnAnswer && h.regained != nil {
		close(h.regained)
		h.regained = nil
	}
	h.lastOwnAnswer = now
}

// fail records that a call was refused.
func (h *StoreHealth) fail(c storeCall) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.counts.Refused++
	h.calls.fail(c, h.Now(), h.processRunTime())
	h.logVerdict()
}

// giveUp records that this host gave up a call that had no answer.
func (h *StoreHealth) giveUp(c storeCall) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.counts.Unanswered++
	h.calls.giveUp(c, h.Now(), h.processRunTime())
	h.logVerdict()
}

// noteAnswer records that the store answered a call of this host that was sent at the given moment.
func (h *StoreHealth) noteAnswer(sent time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.noteAnswerOf(sent, sent, (*callLog).noteAnswer)
}

// notePeerAnswer records that a peer reported the answer to a call that was sent at the given moment, or
// up to seconds later: how long the report took is known only roughly. An outage that it ends lasted at
// least until this host's last failed call.
func (h *StoreHealth) notePeerAnswer(sent time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.noteAnswerOf(sent, max(sent, h.calls.lastFailed), (*callLog).notePeerAnswer)
}

// noteAnswerOf records an answer in the log of calls. The first answer after an outage determines how
// long lapsed entries are kept: until a list is read in which live endpoints have renewed them, counted
// from the moment at which this host knows of the return, and for MaxKeep from the earliest moment at
// which the store may have returned. The store returned after this host's last failed call was sent. If
// this host calls less often than others, the store returned after their last failed call, which was sent
// at most one RetryInterval and the duration of a failed call before the answered one. An outage that ends
// lasted until outageEnd at least. mu must be held.
func (h *StoreHealth) noteAnswerOf(sent, outageEnd time.Duration, note func(l *callLog, sent, runTime time.Duration)) {
	calls := h.currentCalls()
	if sent <= calls.lastAnswered {
		return
	}
	wasFailing, silence := calls.failing, outageEnd-calls.lastAnswered
	note(calls, sent, h.processRunTime())
	if wasFailing && !calls.failing && silence >= h.LapseTimes.MinOutage {
		returned := max(calls.lastFailed, sent-h.RetryInterval-calls.failTime)
		h.renewedBy = max(h.renewedBy, h.Now()+h.LapseTimes.RenewTime)
		h.lapseUntil = max(h.lapseUntil, returned+h.LapseTimes.MaxKeep)
	}
	h.logVerdict()
	if remaining := h.lapseUntil - h.Now(); remaining > 0 && h.onOutageEnd != nil {
		h.onOutageEnd(remaining)
	}
}

// isFailing reports whether the store fails for this host.
func (h *StoreHealth) isFailing() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.currentCalls().failing
}

// currentCalls returns the call log with its verdict up to date; mu must be held.
func (h *StoreHealth) currentCalls() *callLog {
	h.calls.judge(h.Now(), h.processRunTime())
	h.logVerdict()
	return &h.calls
}

// logVerdict logs when the store begins and ceases to fail for this host; mu must be held.
func (h *StoreHealth) logVerdict() {
	failing := h.calls.failing
	if failing == h.loggedFail {
		return
	}
	h.loggedFail = failing
	now, msg := h.Now(), "store answers again"
	if failing {
		msg = "store fails for this host"
		h.counts.Outages++
	}
	h.Log.Info(msg, "answered_ms", (now - h.calls.lastAnswered).Milliseconds(), "failed_ms", (now - h.calls.lastFailed).Milliseconds(), "in_flight", len(h.calls.inFlight),
		"answered", h.counts.Answered, "refused", h.counts.Refused, "unanswered", h.counts.Unanswered, "slowest_ms", h.counts.SlowestMS)
}

// CallCounts returns the counts of calls, and whether the store fails for this host.
func (h *StoreHealth) CallCounts() (c StoreCallCounts, failing bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	failing = h.currentCalls().failing
	return h.counts, failing
}

// FailedRecently reports whether the store failed for this host so recently that old data may still be
// used: had the store returned right after the last failed call was sent, MaxKeep, and so the longer
// contact time, would not be over yet. An answer that this host got at answeredAt to its own call for
// that data, or later, ends that: the store can be read again. Answers that other hosts got since then
// do not matter.
func (h *StoreHealth) FailedRecently(answeredAt time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	lastOutageCall := h.currentCalls().lastOutageCall
	return lastOutageCall > answeredAt && h.Now()-lastOutageCall <= h.LapseTimes.MaxKeep
}

// latestRead returns the age of data at which it must be read again so that an answer as slow as the
// slowest recent one arrives before the data is older than maxAge. It is unlimited if maxAge is 0.
func (h *StoreHealth) latestRead(maxAge time.Duration) time.Duration {
	if maxAge == 0 {
		return math.MaxInt64
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return maxAge - h.calls.answerTime(h.Now()) - fastRetryDelay
}

// mayRetry reports whether a poller whose back-off ends at end may call a failing store. It may if its
// back-off is over and this host's last call began at least minGap ago. It also may if the last failed
// call soon becomes too old for FailedRecently: the next call must have timed out or been refused by
// then, and up to two retry intervals pass before that. Of several pollers of the host it permits one.
func (h *StoreHealth) mayRetry(end, minGap time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.Now()
	rested := now >= end && now >= h.lastBegun+minGap
	mustRetry := now >= h.calls.lastOutageCall+h.LapseTimes.MaxKeep-2*h.RetryInterval-2*fastRetryDelay && now >= h.lastBegun+h.RetryInterval
	if rested || mustRetry {
		h.lastBegun = now
	}
	return rested || mustRetry
}

// mayLapse reports whether an endpoint may serve although there was no entry of it as of a moment: in an
// outage of at least MinOutage, and after it as long as the entry need not have been renewed by then.
func (h *StoreHealth) mayLapse(asOf time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now, l := h.Now(), &h.calls
	renewing := asOf < h.renewedBy && now < h.lapseUntil
	return renewing || (l.failing && now-l.lastAnswered >= h.LapseTimes.MinOutage)
}

// reset forgets the store's state after this host did not run for a while.
func (h *StoreHealth) reset() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls.reset(h.Now())
	h.renewedBy, h.lapseUntil = 0, 0
}

// awaitRegained waits for the first answer to a call of this host after an outage, for d at most. An
// entry that says that its endpoint leaves may soon be removed.
func (h *StoreHealth) awaitRegained(ctx context.Context, d time.Duration) {
	h.mu.Lock()
	if h.regained == nil {
		h.regained = make(chan struct{})
	}
	regained := h.regained
	h.mu.Unlock()
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-regained:
	case <-t.C:
	case <-ctx.Done():
	}
}

// unansweredCalls is the number of calls since the last answered one that failed or are in flight.
func (h *StoreHealth) unansweredCalls() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.calls.unanswered()
}

// lastCalls returns when the store is last known to have answered any host, and when this host's last
// failed call was sent.
func (h *StoreHealth) lastCalls() (answered, failed time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.calls.lastAnswered, h.calls.lastFailed
}
