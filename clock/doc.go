// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package clock measures time for a process whose host may be suspended, or which may itself be
// stopped.
//
// While a host is suspended, Linux's CLOCK_MONOTONIC stops, and with it the time package's monotonic
// readings, timers and deadlines; CLOCK_BOOTTIME continues. Clock.Now counts all time. It must be used
// for a duration that others rely on: the age of settings, a lease, how long a peer has been silent, a
// caller's deadline. The time package may be used for the work of the process itself, such as a pause
// between two attempts or the timeout of a call in flight, which continues where it stopped. The time
// of day is no substitute, since it can be stepped.
//
// A GapDetector reports that the process did not run for a while, whether the host was suspended or
// the process was stopped while the clocks continued.
package clock
