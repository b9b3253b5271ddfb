// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package clock

import (
	"sync"
	"sync/atomic"
	"time"
)

// Thresholds for detecting times in which the process did not run.
const (
	// minSuspension is the shortest suspension that is reported. The two clocks diverge only while the
	// host is suspended, so that even a low threshold causes no false report. A shorter suspension
	// makes no proof too old.
	minSuspension = 100 * time.Millisecond
	// minStop is the time between two checks from which the process is considered to have been
	// stopped. Checks are made every 25 ms. A host that shares its core and has used up its share runs
	// again after a tenth of a second, and a host that runs at a fifth of its speed checks at least
	// every 0.5 s.
	minStop = 1500 * time.Millisecond
	// maxRunInterval is the time between two checks up to which the process is considered to have run
	// all the time: twice the interval of checks. A process that gets short turns of the CPU from time
	// to time checks later than that each time, and runs little in total.
	maxRunInterval = 50 * time.Millisecond
)

// Gap is a time in which the process did not run.
type Gap struct {
	// Began and Ended are readings of Clock.Now. Began is the last moment at which the process is
	// known to have run; the gap began no earlier.
	Began, Ended time.Duration
	// Suspended is the part of the gap in which the host was suspended; in the rest the process was
	// stopped.
	Suspended time.Duration
}

// GapDetector detects times in which the process did not run. Its fields must be set before the first
// check.
type GapDetector struct {
	// Clock is the clock to read.
	Clock *Clock
	// OnGap is called once for each gap, by the first check after it; other checks wait until it
	// returns.
	OnGap func(Gap)

	mu              sync.Mutex   // held while a gap is reported
	lastCheck       atomic.Int64 // when the last check was made, in nanoseconds of Clock.Now, or 0
	suspendedBefore atomic.Int64 // the suspended time in the gaps reported so far, in nanoseconds
	runTime         atomic.Int64 // the time in which the process ran, in nanoseconds
	lastGap         atomic.Int64 // when the last gap was detected, in nanoseconds of Clock.Now, or 0
}

// Check looks for a gap since the last check. A timer must call it every 25 ms, and so must code that
// is about to act on something that it learned before, since the timer may not be the first to run
// after a gap. It reads the clock twice, and is safe for concurrent use.
func (d *GapDetector) Check() {
	gap, found := d.measure()
	if !found {
		d.noteCheck(gap.Ended)
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if gap, found = d.measure(); !found {
		return // another check has reported it
	}
	d.lastGap.Store(int64(gap.Ended))
	d.OnGap(gap)
	d.suspendedBefore.Add(int64(gap.Suspended))
	d.noteCheck(gap.Ended)
}

// measure returns the time since the last check, and whether there is a gap in it.
func (d *GapDetector) measure() (Gap, bool) {
	last := time.Duration(d.lastCheck.Load())
	now, suspended := d.Clock.read()
	g := Gap{Began: last, Ended: now, Suspended: suspended - time.Duration(d.suspendedBefore.Load())}
	if g.Suspended >= minSuspension {
		return g, true
	}
	g.Suspended = 0
	return g, last != 0 && g.Ended-last >= minStop
}

// noteCheck records a check.
func (d *GapDetector) noteCheck(now time.Duration) {
	if last := d.lastCheck.Load(); int64(now) > last && d.lastCheck.CompareAndSwap(last, int64(now)) {
		if interval := int64(now) - last; interval <= int64(maxRunInterval) {
			d.runTime.Add(interval)
		}
	}
}

// RunTime returns the time in which the process surely ran: the sum of the intervals between checks
// that are no longer than maxRunInterval. An answer that did not arrive within a time measured by
// RunTime did not come; one that did not arrive within a time measured by the clock may lie unread in
// a socket.
func (d *GapDetector) RunTime() time.Duration { return time.Duration(d.runTime.Load()) }

// GapSince reports whether a gap was detected after a moment of Clock.Now.
func (d *GapDetector) GapSince(at time.Duration) bool {
	lastGap := d.lastGap.Load()
	return lastGap != 0 && time.Duration(lastGap) > at
}
