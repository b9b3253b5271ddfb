// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package places

import "time"

// StatedLimit is what an endpoint stated in a response about a limit that concerns all hosts together: the
// requests per second that it takes, or those that it may reject. The zero value says that it never stated
// one.
type StatedLimit struct {
	// Known says that the endpoint has stated the limit at some time.
	Known bool
	// Limited says that the limit holds, and Value is the limit, in requests per second.
	Limited bool
	Value   float64
	// After and Before limit the time of the statement, on the clock of the host that keeps it: when the
	// request was sent and when the response was read.
	After, Before time.Duration
}

// statedTTL is the time for which a statement that no response repeats stays in force. An endpoint to which
// nobody sends cannot take it back.
const statedTTL = 30 * time.Second

// InForce returns the limit to keep, and false if there is none.
func (s *StatedLimit) InForce(now time.Duration) (value float64, ok bool) {
	return s.Value, s.Limited && now-s.Before < statedTTL
}

// Merge adds a statement, which may be older than those before: responses and the reports of other hosts arrive
// in any order. A lower limit holds at once unless it is certainly older, a higher one or none only if it is
// certainly newer.
func (s *StatedLimit) Merge(o StatedLimit) {
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
func (s *StatedLimit) isStricter(o *StatedLimit) bool {
	return s.Limited && (!o.Limited || s.Value < o.Value)
}

// LimitReports is what an endpoint stated about its limits, as hosts report it to each other; nil means that it
// never stated the limit, or not recently.
type LimitReports struct {
	// Rate is about the requests that the endpoint takes, Rejects about those that it rejects before it falls
	// over.
	Rate    *LimitReport `json:"t,omitempty"`
	Rejects *LimitReport `json:"j,omitempty"`
}

// LimitReport is a StatedLimit as hosts report it to each other, with ages in milliseconds.
type LimitReport struct {
	// Limited and Value are those of the statement.
	Limited bool    `json:"l,omitempty"`
	Value   float64 `json:"r,omitempty"`
	// After and Before are the ages of its limits in time.
	After  int64 `json:"a"`
	Before int64 `json:"b"`
	// InForce says that the reporting host keeps the limit already.
	InForce bool `json:"f,omitempty"`
}

// reportedFor is the time for which hosts report a statement: long enough for some heartbeats to be lost.
const reportedFor = 10 * time.Second

// Report returns a statement for other hosts, or nil if it is too old to be reported.
func (s *StatedLimit) Report(now time.Duration) *LimitReport {
	if !s.Known || now-s.Before >= reportedFor {
		return nil
	}
	return &LimitReport{Limited: s.Limited, Value: s.Value, After: (now - s.After).Milliseconds(), Before: (now - s.Before).Milliseconds()}
}

// reportTransit is the longest usual time between the writing of a report and its arrival. The receiver takes
// the statement for that much older where a newer one would lift a limit.
const reportTransit = 500 * time.Millisecond

// Stated converts a report that was received now; a nil report says nothing.
func (r *LimitReport) Stated(now time.Duration) StatedLimit {
	if r == nil {
		return StatedLimit{}
	}
	return StatedLimit{
		Known: true, Limited: r.Limited, Value: max(0, r.Value),
		After: now - time.Duration(r.After)*time.Millisecond - reportTransit, Before: now - time.Duration(r.Before)*time.Millisecond,
	}
}
