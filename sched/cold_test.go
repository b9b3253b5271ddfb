// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package sched

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestColdAdmits checks when a cold endpoint may get a request.
func TestColdAdmits(t *testing.T) {
	const now = 10 * time.Second
	cases := []struct {
		name       string
		limit      ColdLimit
		dispatches uint64
		last       time.Duration
		want       bool
	}{
		{"warm", ColdLimit{}, 5, now, true},
		{"warm again", ColdLimit{Until: now, Interval: time.Second}, 5, now, true},
		{"cold, not one of its senders", ColdLimit{Until: now + 1}, 0, 0, false},
		{"cold, first request", ColdLimit{Until: now + 1, Interval: time.Hour}, 0, 0, true},
		{"cold, too soon", ColdLimit{Until: now + 1, Interval: time.Second}, 1, now - time.Second + 1, false},
		{"cold, in time", ColdLimit{Until: now + 1, Interval: time.Second}, 1, now - time.Second, true},
	}
	for _, tc := range cases {
		e := endpointState{Endpoint: Endpoint{Cold: tc.limit}, dispatches: tc.dispatches, lastDispatch: tc.last}
		must.EqOp(t, tc.want, e.coldAdmits(now), must.Sprint(tc.name))
	}
}
