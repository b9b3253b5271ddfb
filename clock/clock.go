// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package clock

/*
#include <time.h>

// boot_time returns CLOCK_BOOTTIME in nanoseconds, or -1 where there is no such clock.
static long long boot_time(void) {
	struct timespec t;
	if (clock_gettime(CLOCK_BOOTTIME, &t) != 0)
		return -1;
	return t.tv_sec * 1000000000LL + t.tv_nsec;
}
*/
import "C"

import "time"

// Clock measures the time since it was made. It is safe for concurrent use. A reading goes through the
// C library, which reads the kernel's clock page: 74 ns, compared to 39 ns for CLOCK_MONOTONIC through
// the time package and 203 ns for a system call for CLOCK_BOOTTIME (BenchmarkNow).
type Clock struct {
	// boot and steady count nanoseconds from an arbitrary moment; only boot advances while the host is
	// suspended.
	boot, steady func() time.Duration

	bootStart, steadyStart time.Duration
	countsSuspension       bool
}

// New returns a clock that begins now. Where the kernel has no clock that counts suspensions, it is
// the steady clock, and CountsSuspension returns false.
func New() *Clock {
	if C.boot_time() < 0 {
		return NewSteady()
	}
	return newClock(func() time.Duration { return time.Duration(C.boot_time()) }, steady(), true)
}

// NewSteady returns a clock that begins now and reads the time package's clock, which stops while the
// host is suspended and follows simulated time in tests.
func NewSteady() *Clock {
	now := steady()
	return newClock(now, now, false)
}

// steady returns the time package's clock, beginning now.
func steady() func() time.Duration {
	start := time.Now()
	return func() time.Duration { return time.Since(start) }
}

// newClock returns a clock that reads two other clocks.
func newClock(boot, steady func() time.Duration, countsSuspension bool) *Clock {
	return &Clock{boot: boot, steady: steady, bootStart: boot(), steadyStart: steady(), countsSuspension: countsSuspension}
}

// Now returns the time since the clock was made, including all suspensions of the host.
func (c *Clock) Now() time.Duration { return c.boot() - c.bootStart }

// Suspended returns how long the host was suspended since the clock was made. It is a lower bound,
// since the two clocks are not read at the same moment.
func (c *Clock) Suspended() time.Duration {
	_, suspended := c.read()
	return suspended
}

// read returns Now and Suspended.
func (c *Clock) read() (now, suspended time.Duration) {
	now = c.Now()
	return now, now - (c.steady() - c.steadyStart)
}

// CountsSuspension reports whether Now counts suspensions.
func (c *Clock) CountsSuspension() bool { return c.countsSuspension }

// WithOffset returns a clock like this one that is ahead by offset, as if the host had been suspended for
// that long. It is for tests of hosts in one process, and for trying out the effect of a suspension.
func (c *Clock) WithOffset(offset func() time.Duration) *Clock {
	return newClock(func() time.Duration { return c.boot() + offset() }, c.steady, c.countsSuspension)
}
