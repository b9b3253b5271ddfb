// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package sched

import "time"

// ColdLimit limits the requests of this host to an endpoint that is cold: it has started recently, or got
// no requests for a while, and fails under a rate that it bears when it is warm.
type ColdLimit struct {
	// Until is when the endpoint is warm, since the scheduler's start.
	Until time.Duration
	// Interval is the shortest time between two requests of this host; 0 means that it sends none.
	Interval time.Duration
}

// coldAdmits reports whether the cold limit of an endpoint admits a request now.
func (e *endpointState) coldAdmits(now time.Duration) bool {
	if now >= e.Cold.Until {
		return true
	}
	return e.Cold.Interval > 0 && (e.dispatches == 0 || now-e.lastDispatch >= e.Cold.Interval)
}
