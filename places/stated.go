// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package places

import "time"

// StatedRate is what an endpoint stated in a response about the requests that it takes from all hosts
// together. The zero value says that it never stated anything.
type StatedRate struct {
	// Known says that the endpoint has stated a rate at some time.
	Known bool
	// Limited says that it takes no more than PerSecond requests per second.
	Limited   bool
	PerSecond float64
	// After and Before limit the time of the statement, on the clock of the host that keeps it: when the
	// request was sent and when the response was read.
	After, Before time.Duration
}

// statedTTL is the time for which a statement that no response repeats stays in force. An endpoint to which
// nobody sends cannot take it back.
const statedTTL = 30 * time.Second

// InForce returns the rate to keep, and false if there is none.
func (s *StatedRate) InForce(now time.Duration) (perSecond float64, ok bool) {
	return s.PerSecond, s.Limited && now-s.Before < statedTTL
}

// Merge adds a statement, which may be older than those before: responses and the reports of other hosts arrive
// in any order. A lower rate holds at once unless it is certainly older, a higher one or none only if it is
// certainly newer.
func (s *StatedRate) Merge(o StatedRate) {
	switch {
	case !o.Known, !s.Known && !o.Limited, s.Known && o.Before <= s.After:
	case !s.Known || o.After >= s.Before:
		*s = o
	case o.isStricter(s):
		o.Before = max(o.Before, s.Before)
		*s = o
	case !s.isStricter(&o):
		s.After, s.Before = max(s.After, o.After), max(s.Before, o.Before)
	}
}

// isStricter reports whether a statement allows less than another.
func (s *StatedRate) isStricter(o *StatedRate) bool {
	return s.Limited && (!o.Limited || s.PerSecond < o.PerSecond)
}

// RateReport is a StatedRate as hosts report it to each other, with ages in milliseconds.
type RateReport struct {
	// Limited and PerSecond are those of the statement.
	Limited   bool    `json:"l,omitempty"`
	PerSecond float64 `json:"r,omitempty"`
	// After and Before are the ages of its limits in time.
	After  int64 `json:"a"`
	Before int64 `json:"b"`
}

// reportedFor is the time for which hosts report a statement: long enough for some heartbeats to be lost.
const reportedFor = 10 * time.Second

// Report returns a statement for other hosts, and false if it is too old to be reported.
func (s *StatedRate) Report(now time.Duration) (RateReport, bool) {
	r := RateReport{Limited: s.Limited, PerSecond: s.PerSecond, After: (now - s.After).Milliseconds(), Before: (now - s.Before).Milliseconds()}
	return r, s.Known && now-s.Before < reportedFor
}

// reportTransit is the longest usual time between the writing of a report and its arrival. The receiver takes
// the statement for that much older where a newer one would lift a limit.
const reportTransit = 500 * time.Millisecond

// Stated converts a report that was received now.
func (r RateReport) Stated(now time.Duration) StatedRate {
	return StatedRate{
		Known: true, Limited: r.Limited, PerSecond: max(0, r.PerSecond),
		After: now - time.Duration(r.After)*time.Millisecond - reportTransit, Before: now - time.Duration(r.Before)*time.Millisecond,
	}
}
