// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package clock

import (
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the look for times in which the process did not run.
const (
	// leastSuspended is the suspension that is told. Both clocks part only while the host is suspended, so that a small figure
	// takes nothing else for it; less than this makes no proof old.
	leastSuspended = 100 * time.Millisecond
	// leastStopped is the time between two looks from which the process is taken to have stood still. Looks are due each 25 ms; a
	// host that shares its core and has spent its part runs again after a tenth of a second, and one that runs at a fifth of its
	// speed looks each 0.5 s at most.
	leastStopped = 1500 * time.Millisecond
	// mostBetween is the time between two looks up to which the process is taken to have run all the time: two of those in which a look is
	// due. One that gets a short turn of the processor now and then looks as late as that each time, and has not run for long in sum.
	mostBetween = 50 * time.Millisecond
)

// Gap is a time in which the process did not run.
type Gap struct {
	// Began and Ended are of Clock.Now. It began no later than Began, the last moment at which the process is known to have run.
	Began, Ended time.Duration
	// Suspended is the part of it in which the host was suspended; in the rest the process stood still.
	Suspended time.Duration
}

// GapDetector tells of times in which the process did not run. Its fields must be set before the first look.
type GapDetector struct {
	// Clock is the clock to watch.
	Clock *Clock
	// OnGap is called once for each gap, by the first look after it; other looks wait until it returns.
	OnGap func(Gap)

	mu        sync.Mutex   // held while a gap is told
	looked    atomic.Int64 // when the last look was, in nanoseconds of Clock.Now, or 0
	suspended atomic.Int64 // what was suspended by the last gap's end, in nanoseconds
	ran       atomic.Int64 // the time in which the process ran, in nanoseconds
	woke      atomic.Int64 // when the last gap was seen, in nanoseconds of Clock.Now, or 0
}

// Check looks for a gap since the last look. It is to be called each 25 ms by a timer, and by whoever is about to act on what it
// learned before: the first thing that runs after a gap may not be the timer. It takes two readings of the clock, and
// is safe for concurrent use.
func (w *GapDetector) Check() {
	gap, found := w.gap()
	if !found {
		w.saw(gap.Ended)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if gap, found = w.gap(); !found {
		return // another look has told of it
	}
	w.woke.Store(int64(gap.Ended))
	w.OnGap(gap)
	w.suspended.Add(int64(gap.Suspended))
	w.saw(gap.Ended)
}

// gap gives the time since the last look, and whether the process did not run in a part of it.
func (w *GapDetector) gap() (Gap, bool) {
	last := time.Duration(w.looked.Load())
	now, suspended := w.Clock.read()
	g := Gap{Began: last, Ended: now, Suspended: suspended - time.Duration(w.suspended.Load())}
	if g.Suspended >= leastSuspended {
		return g, true
	}
	g.Suspended = 0
	return g, last != 0 && g.Ended-last >= leastStopped
}

// saw notes a look.
func (w *GapDetector) saw(now time.Duration) {
	if last := w.looked.Load(); int64(now) > last && w.looked.CompareAndSwap(last, int64(now)) {
		if gap := int64(now) - last; gap <= int64(mostBetween) {
			w.ran.Add(gap)
		}
	}
}

// RunTime is the time in which the process surely ran: between two looks that lie no further apart than they are due. What did not come in a time by
// Ran did not come; what did not come in a time by the clock may lie in a socket, unread.
func (w *GapDetector) RunTime() time.Duration { return time.Duration(w.ran.Load()) }

// GapSince reports whether a gap was seen after a moment of Clock.Now.
func (w *GapDetector) GapSince(at time.Duration) bool {
	woke := w.woke.Load()
	return woke != 0 && time.Duration(woke) > at
}
