// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package feed

import (
	"cmp"
	"slices"
	"time"
)

// outageTries is the number of own calls in a row without an answer by which a host tells an outage of the store from its own
// trouble with single calls: one may be refused for the calls of all hosts together, or meet a connection that fell silent.
const outageTries = 4

// storeCall is a call of this host to the store: when it was sent by the host's clock, and in time in which this process ran.
type storeCall struct{ sent, awake time.Duration }

// callLog judges from calls to the store, of this host and of others as far as they are told, whether the store fails for this host. One
// answer ends an outage. A call that is refused counts as failed; one that gets no answer does once the row of calls without an answer has lasted for
// silent, in time in which this process ran: an answer that lies in the socket while the process waits for the
// processor is none of the store's silence.
type callLog struct {
	// silent is the time without any answer that tells of an outage.
	silent time.Duration

	answered time.Duration          // the newest moment at which the store is known to have answered a host
	failed   [outageTries]storeCall // the last own calls that failed, the newest first
	took     time.Duration          // how long the newest of them took to fail, or would have
	under    []storeCall            // calls under way
	out      time.Duration          // when the newest call was sent of which it is known that the store failed for this host, or 0
}

// begin notes that a call is sent.
func (l *callLog) begin(now, awake time.Duration) storeCall {
	c := storeCall{now, awake}
	l.under = append(l.under, c)
	return c
}

// end notes that a call is over, or given up.
func (l *callLog) end(c storeCall) {
	if i := slices.Index(l.under, c); i >= 0 {
		l.under = slices.Delete(l.under, i, i+1)
	}
}

// fail notes that a call failed. It counts once.
func (l *callLog) fail(c storeCall, now time.Duration) {
	l.end(c)
	if c.sent >= l.failed[0].sent {
		l.took = now - c.sent
	}
	if slices.Contains(l.failed[:], c) {
		return
	}
	all := append(l.failed[:], c)
	slices.SortFunc(all, func(a, b storeCall) int { return cmp.Compare(b.sent, a.sent) })
	copy(l.failed[:], all)
	if l.isOut() {
		l.out = l.failed[0].sent
	}
}

// settle counts calls that are silent as failed, if the row of calls without an answer has lasted for long enough.
func (l *callLog) settle(now, awake time.Duration) {
	row := awake
	for _, c := range append(l.failed[:], l.under...) {
		if c.sent > l.answered {
			row = min(row, c.awake)
		}
	}
	if awake-row < l.silent {
		return
	}
	for _, c := range slices.Clone(l.under) {
		if awake-c.awake >= tryPace {
			l.fail(c, max(now, c.sent+storeTimeout)) // hosts that know of the outage give a silent call up then
		}
	}
}

// isOut reports whether the store fails for this host: its last calls got no answer, and nobody is known to have had one since the first of
// them was sent.
func (l *callLog) isOut() bool { return l.failed[outageTries-1].sent > l.answered }

// restart forgets the store's state: this host did not run until now.
func (l *callLog) restart(now time.Duration) { *l = callLog{silent: l.silent, answered: now} }
