// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package attempt

import (
	"net/http"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// sendHistory is what really became of a request, recorded independently of the tracker.
type sendHistory struct {
	pending bool // a send has not ended
	ran     bool // some endpoint may have run it
}

// TestStatusMatchesHistory applies random sequences of events and compares the tracker with what may have happened: the status must
// be 503 if and only if no endpoint can have run the request.
func TestStatusMatchesHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tracker Tracker
		var actual sendHistory
		for range rapid.IntRange(0, 12).Draw(t, "steps") {
			switch event := rapid.IntRange(0, 4).Draw(t, "event"); {
			case !actual.pending:
				tracker.MarkSent()
				actual.pending = true
			case event == 0:
				tracker.MarkUnsent()
				actual.pending = false
			case event == 1:
				tracker.MarkNotRun()
				actual.pending = false
			case event == 2:
				tracker.MarkAnswered()
				tracker.MarkLost() // the response began and broke off
				actual.pending, actual.ran = false, true
			case event == 3:
				tracker.MarkLost()
				actual.pending, actual.ran = false, true
			}
		}
		mayHaveRun := actual.pending || actual.ran
		must.EqOp(t, mayHaveRun, tracker.MayHaveRun())
		for _, late := range []bool{false, true} {
			must.EqOp(t, !mayHaveRun, tracker.FailureStatus(late) == http.StatusServiceUnavailable)
		}
	})
}

func TestFailureStatus(t *testing.T) {
	cases := []struct {
		name   string
		events []func(*Tracker)
		late   bool
		want   int
		sends  int
	}{
		{"never sent", nil, false, 503, 0},
		{"never sent, late", nil, true, 503, 0},
		{"no connection", []func(*Tracker){(*Tracker).MarkSent, (*Tracker).MarkUnsent}, false, 503, 0},
		{"rejected", []func(*Tracker){(*Tracker).MarkSent, (*Tracker).MarkNotRun}, true, 503, 1},
		{"in flight", []func(*Tracker){(*Tracker).MarkSent}, true, 504, 1},
		{"lost", []func(*Tracker){(*Tracker).MarkSent, (*Tracker).MarkLost}, false, 502, 1},
		{"lost, then rejected", []func(*Tracker){(*Tracker).MarkSent, (*Tracker).MarkLost, (*Tracker).MarkSent, (*Tracker).MarkNotRun}, false, 502, 2},
		{"response began", []func(*Tracker){(*Tracker).MarkSent, (*Tracker).MarkAnswered}, false, 502, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var tracker Tracker
			for _, e := range tc.events {
				e(&tracker)
			}
			must.EqOp(t, tc.want, tracker.FailureStatus(tc.late))
			must.EqOp(t, tc.sends, tracker.Sends())
		})
	}
}
