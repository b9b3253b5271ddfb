// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package feed

import (
	"sync"
	"time"
)

// StoreHealth judges for all that follows the store on this host whether the store fails for it: then what no host can know, none is held to, and entries that go
// may have lapsed. All times are of the host's clock. The fields must be set before the first call; it is safe for concurrent use.
type StoreHealth struct {
	// Now is the host's clock; it counts the time in which the host is suspended.
	Now func() time.Duration
	// RunTime is the time in which this process ran; nil means that it always does.
	RunTime func() time.Duration
	// OutageAfter is the time without any answer from the store, with several calls under way, that tells of an outage.
	OutageAfter time.Duration
	// LapseTimes decides for how long entries that went are taken for endpoints that serve.
	LapseTimes LapseTimes
	// RetryInterval is the time between two tries of the hosts that ask a failing store most often.
	RetryInterval time.Duration

	mu    sync.Mutex
	calls callLog
	begun time.Duration              // when the last call was begun, or let
	until time.Duration              // entries that go before are taken for lapsed
	ended func(lapsed time.Duration) // is called with the time for which they are, as an outage ends; may be nil
}

// awake is the time in which this process ran.
func (r *StoreHealth) awake() time.Duration {
	if r.RunTime == nil {
		return r.Now()
	}
	return r.RunTime()
}

// begin notes that a call is sent which waits for changes for a time.
func (r *StoreHealth) begin(wait time.Duration) storeCall {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls.silent, r.begun = r.OutageAfter, r.Now()
	return r.calls.begin(r.begun, r.awake()+wait)
}

// end notes that a call was answered, or was ended by this host for another reason than its silence.
func (r *StoreHealth) end(c storeCall) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls.end(c)
}

// fail notes that a call failed.
func (r *StoreHealth) fail(c storeCall) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls.fail(c, r.Now())
}

// giveUp notes that this host gave a call up that had no answer.
func (r *StoreHealth) giveUp(c storeCall) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls.settle(r.Now(), r.awake())
	r.calls.end(c)
}

// answer notes that the store answered a call, of this host or of a peer, that was sent at a
// moment. The first answer after an outage fixes how long lapsed entries are kept. The
// store returned after the last own call that failed was sent; and if this host asks more seldom
// than others, after the last one that failed for them, a pause and such a call's time before.
func (r *StoreHealth) answer(sent time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := &r.calls
	if sent <= l.answered {
		return
	}
	if l.isOut() && sent-l.answered >= r.LapseTimes.MinOutage {
		returned := max(l.failed[0].sent, sent-r.RetryInterval-l.took)
		r.until = max(r.until, min(sent+r.LapseTimes.RenewTime, returned+r.LapseTimes.MaxKeep))
	}
	l.answered = sent
	if left := r.until - r.Now(); left > 0 && r.ended != nil {
		r.ended(left)
	}
}

// isOut reports whether the store fails for this host.
func (r *StoreHealth) isOut() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.settled().isOut()
}

// settled gives what is known of calls, those included that are silent for long; mu must be held.
func (r *StoreHealth) settled() *callLog {
	r.calls.settle(r.Now(), r.awake())
	return &r.calls
}

// FailedRecently reports whether the store failed for this host so lately that it need not know what the store knows: had the store returned
// right after the last call that failed was sent, the host would not be held to any bound yet. That others have had an answer since
// changes nothing.
func (r *StoreHealth) FailedRecently() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.settled().out
	return out > 0 && r.Now()-out <= r.LapseTimes.MaxKeep
}

// mayAsk reports whether an asker whose rest ends at a moment may ask a store that fails: its rest is over, and the last call of the host was begun
// some time before; or a call is due because the last one that failed soon excuses nothing any more. The next one must be late, or
// refused, by then, and two pauses come before it. Of several that ask for the host it lets one.
func (r *StoreHealth) mayAsk(end, apart time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Now()
	over := now >= end && now >= r.begun+apart
	due := now >= r.calls.out+r.LapseTimes.MaxKeep-2*r.RetryInterval-2*tryPace && now >= r.begun+r.RetryInterval
	if over || due {
		r.begun = now
	}
	return over || due
}

// mayLapse reports whether an entry that goes now may belong to an endpoint that serves: in an outage that lasts, and some time after it.
func (r *StoreHealth) mayLapse() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now, l := r.Now(), &r.calls
	return now < r.until || (l.isOut() && now-l.answered >= r.LapseTimes.MinOutage)
}

// restart forgets the store's state: this host did not run until now.
func (r *StoreHealth) restart() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls.restart(r.Now())
	r.until = 0
}

// underWay is the number of calls that are under way.
func (r *StoreHealth) underWay() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.calls.under)
}

// last gives when the store is known to have answered a host last, and when the last call that failed was sent.
func (r *StoreHealth) last() (answered, failed time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.calls.answered, r.calls.failed[0].sent
}
