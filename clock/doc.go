// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package clock measures time for a process whose host may be suspended or stand still.
//
// While a host is suspended, Linux's CLOCK_MONOTONIC stops, and with it the time package's monotonic readings, timers and
// deadlines; CLOCK_BOOTTIME goes on. A span that proves something towards others (the age of settings, a lease, how long a peer
// has been silent, a caller's deadline) is measured by Clock.Now, which counts all time. What times the work of the process
// itself (a pause between two tries, a time-out of a call under way) may stay with the time package: it goes on where it stopped.
// The time of day is no substitute, since it steps.
//
// A Watch tells that the process did not run for a while, whichever way: suspended, or stopped while the clocks went on.
package clock
