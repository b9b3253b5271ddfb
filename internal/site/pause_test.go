// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package site

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestPausedEndpoint pauses an endpoint before and during an answer. It guards against a stand-in that writes in a pause, or that does
// not go on after it.
func TestPausedEndpoint(t *testing.T) {
	const events = 5
	cases := []struct {
		name   string
		events int
		want   string
	}{
		{"plain", 0, "ran one with body"},
		{"stream", events, StreamBody(events)},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			e := &Endpoint{Instance: "e", Events: tc.events, Pace: 40 * time.Millisecond}
			must.NoError(t, e.Start())
			defer e.Stop()
			e.Pause(50 * time.Millisecond)
			req, err := http.NewRequest(http.MethodPost, "http://"+e.Address+"/x", strings.NewReader("body"))
			must.NoError(t, err)
			req.Header.Set("Heathkeel-Attempt-Id", "one")
			resp, err := http.DefaultClient.Do(req)
			must.NoError(t, err)
			defer resp.Body.Close()
			must.False(t, time.Now().Before(e.Pauses()[0].Until))
			if tc.events > 0 { // the last event is 200 ms away
				e.Pause(300 * time.Millisecond)
			}
			b, err := io.ReadAll(resp.Body)
			must.NoError(t, err)
			must.EqOp(t, tc.want, string(b))
			for _, p := range e.Pauses() {
				must.False(t, time.Now().Before(p.Until))
			}
		})
	}
}
