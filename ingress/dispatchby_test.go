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

// TestRestOfStreamWaitsForSlot guards against streams that were refused, or cut, after the short wait of a new request: requests that came
// later got the slots while their callers were away.
func TestRestOfStreamWaitsForSlot(t *testing.T) {
	const ms = time.Millisecond
	cases := []struct {
		name, version, last string
		started             bool
		objective, left     time.Duration
		want                time.Duration // 0 means no limit
	}{
		{"a new request", "", "", false, time.Second, 8 * time.Second, 220 * ms},
		{"a stream that begins at its version", "v1", "", false, time.Second, 8 * time.Second, 220 * ms},
		{"a stream taken up", "v1", "3", false, time.Second, 4 * time.Second, 500 * ms},
		{"a stream taken up, much time left", "v1", "3", false, time.Second, 8 * time.Second, 600 * ms},
		{"a stream taken up, little time left", "v1", "3", false, time.Second, time.Second, 220 * ms},
		{"a stream taken up whose origin is not known", "", "3", false, time.Second, 8 * time.Second, 220 * ms},
		{"a stream that broke off in this response", "v1", "", true, time.Second, 8 * time.Second, 600 * ms},
		{"no objective", "v1", "3", false, 0, 8 * time.Second, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := originServer("v1")
				c := originCall(s, "r", "w", "", tc.last)
				c.route.Objective = tc.objective
				c.stream.version, c.stream.started = tc.version, tc.started
				c.deadline = s.Now() + tc.left
				must.EqOp(t, tc.want, c.dispatchBy(s.Now()))
			})
		})
	}
}
