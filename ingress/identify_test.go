// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestMayHideRestart checks after which pauses a process may have taken an endpoint's port unseen.
func TestMayHideRestart(t *testing.T) {
	const ms = time.Millisecond
	cases := []struct {
		name  string
		bytes []time.Duration // when they came, the first is the sending of the request
		end   time.Duration
		want  bool
	}{
		{"nothing was sent", nil, time.Hour, false},
		{"steady events", []time.Duration{100 * ms, 200 * ms, 300 * ms}, 400 * ms, false},
		{"a pause before the end", []time.Duration{100 * ms, 200 * ms}, 450 * ms, true},
		{"a pause, then what was held up", []time.Duration{100 * ms, 200 * ms, 2500 * ms, 2501 * ms}, 2501 * ms, true},
		{"a pause, not long ago", []time.Duration{100 * ms, 2500 * ms, 2600 * ms}, 2700 * ms, true},
		{"a slow first event, long ago", steadyBytes(100*ms, 400*ms, 6000*ms), 6001 * ms, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var p progress
			for _, at := range tc.bytes {
				p.note(at)
			}
			must.EqOp(t, tc.want, p.mayHideRestart(tc.end))
		})
	}
}

// steadyBytes returns the time of sending, and times of bytes from the first on, 100 ms apart, to the last.
func steadyBytes(sent, first, last time.Duration) []time.Duration {
	out := []time.Duration{sent}
	for at := first; at <= last; at += 100 * time.Millisecond {
		out = append(out, at)
	}
	return out
}
