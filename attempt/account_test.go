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

// truth is what really became of a request: it is kept apart from the account.
type truth struct {
	open bool // a send is not over
	ran  bool // some endpoint may have run it
}

// TestNoFalsePromise plays random orders of events and holds the account against
// what may be true: 503 is told only if no endpoint can have run the request, and
// it is told whenever none can.
func TestNoFalsePromise(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var a Tracker
		var w truth
		for range rapid.IntRange(0, 12).Draw(t, "steps") {
			switch event := rapid.IntRange(0, 4).Draw(t, "event"); {
			case !w.open:
				a.MarkSent()
				w.open = true
			case event == 0:
				a.MarkUnsent()
				w.open = false
			case event == 1:
				a.MarkNotRun()
				w.open = false
			case event == 2:
				a.MarkAnswered()
				a.MarkLost() // the answer began and broke off
				w.open, w.ran = false, true
			case event == 3:
				a.MarkLost()
				w.open, w.ran = false, true
			}
		}
		may := w.open || w.ran
		must.EqOp(t, may, a.MayHaveRun())
		for _, late := range []bool{false, true} {
			must.EqOp(t, !may, a.FailureStatus(late) == http.StatusServiceUnavailable)
		}
	})
}

func TestStatus(t *testing.T) {
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
		{"under way", []func(*Tracker){(*Tracker).MarkSent}, true, 504, 1},
		{"lost", []func(*Tracker){(*Tracker).MarkSent, (*Tracker).MarkLost}, false, 502, 1},
		{"lost, then rejected", []func(*Tracker){(*Tracker).MarkSent, (*Tracker).MarkLost, (*Tracker).MarkSent, (*Tracker).MarkNotRun}, false, 502, 2},
		{"answer began", []func(*Tracker){(*Tracker).MarkSent, (*Tracker).MarkAnswered}, false, 502, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var a Tracker
			for _, e := range tc.events {
				e(&a)
			}
			must.EqOp(t, tc.want, a.FailureStatus(tc.late))
			must.EqOp(t, tc.sends, a.Sends())
		})
	}
}
