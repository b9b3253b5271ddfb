// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// TestRetryTimesForRoom checks when callers return that are refused, for the amount of their workspace or for another lack of room: those
// that take up a stream later, by the time that they have left, so that they do not use up their tries at once.
func TestRetryTimesForRoom(t *testing.T) {
	const ms = time.Millisecond
	cases := []struct {
		name, route, last string
		left              time.Duration
		earliest          time.Duration
		from, to          time.Duration // bounds of the retry time
	}{
		{"a new stream", "r", "", 10 * time.Second, 200 * ms, 200 * ms, 200 * ms},
		{"a stream that may not be resumed", "once", "3", 10 * time.Second, 200 * ms, 200 * ms, 200 * ms},
		{"a stream taken up", "r", "3", 10 * time.Second, 200 * ms, 900 * ms, 1500 * ms},
		{"a stream taken up late", "r", "3", 4 * time.Second, 200 * ms, 375 * ms, 625 * ms},
		{"a stream taken up for which there is no room for long", "r", "3", 4 * time.Second, 2 * time.Second, 2 * time.Second, 2 * time.Second},
		{"a stream taken up that is over", "r", "3", -time.Second, 200 * ms, 200 * ms, 200 * ms},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := originServer("v1")
				c := originCall(s, tc.route, "w", "begun", tc.last)
				c.deadline = s.Now() + tc.left
				must.Between(t, tc.from, c.retryForRoom(tc.earliest), tc.to)
			})
		})
	}
}
