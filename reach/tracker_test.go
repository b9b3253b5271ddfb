// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package reach

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestTracker checks from which connections a host takes itself for cut off, and for connected again.
func TestTracker(t *testing.T) {
	type event struct {
		at      time.Duration
		address string
		opened  bool
		took    time.Duration // until it failed
	}
	fail := func(addresses ...string) (out []event) {
		for i, a := range addresses {
			out = append(out, event{at: time.Duration(i) * time.Millisecond, address: a})
		}
		return out
	}
	const later = 100 * time.Millisecond
	cases := []struct {
		name      string
		events    []event
		addresses int
		want      bool
	}{
		{"nothing tried", nil, 20, false},
		{"one endpoint fails again and again", fail("a", "a", "a", "a", "a", "a"), 20, false},
		{"three of many endpoints fail", fail("a", "b", "c"), 20, false},
		{"four of many endpoints fail", fail("a", "b", "c", "d"), 20, true},
		{"both of two endpoints fail", fail("a", "b"), 2, true},
		{"one of two endpoints fails", fail("a", "a"), 2, false},
		{"one opens in between", append(fail("a", "b", "c"), event{later, "x", true, 0}, event{later, "d", false, 0}), 20, false},
		{"failures far apart", append(fail("a", "b", "c"), event{later + failureTTL, "d", false, 0}), 20, false},
		{"one opens afterwards", append(fail("a", "b", "c", "d"), event{later, "a", true, 0}), 20, true},
		{"the same one opens twice", append(fail("a", "b", "c", "d"), event{later, "a", true, 0}, event{later, "a", true, 0}), 20, true},
		{"two open afterwards", append(fail("a", "b", "c", "d"), event{later, "a", true, 0}, event{later, "b", true, 0}), 20, false},
		{"one opens, another fails, a third opens", append(fail("a", "b", "c", "d"), event{later, "a", true, 0}, event{later, "b", false, 0}, event{later, "c", true, 0}), 20, true},
		{"those that hung end after another was opened", []event{{100 * time.Millisecond, "x", true, 0}, {later, "a", false, later}, {later, "b", false, later}, {later, "c", false, later}, {later, "d", false, later}}, 20, false},
		{"the only endpoint opens again", append(fail("a"), event{later, "a", true, 0}), 1, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var tracker Tracker
			for _, e := range tc.events {
				if e.opened {
					tracker.Opened(e.at, e.address, tc.addresses)
				} else {
					tracker.Failed(e.at, e.at-e.took, e.address, tc.addresses)
				}
			}
			must.Eq(t, tc.want, tracker.CutOff())
		})
	}
}
