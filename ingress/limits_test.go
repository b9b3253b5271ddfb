// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/places"
)

// TestRejectLimitInForceAtOthers checks when a host keeps a limit on rejections that another host reports. It guards against a host
// that starts long after the endpoint stated the limit, and sends requests without grants, or grants slots that are taken, for as long
// as the endpoint once kept its room.
func TestRejectLimitInForceAtOthers(t *testing.T) {
	const delay = 1500 * time.Millisecond
	cases := []struct {
		name     string
		age      time.Duration // of the first statement at the reporting host when it reports
		again    time.Duration // age at a second report, 0 for none
		older    bool          // the reporting host does not say whether it keeps the limit
		keepsAt  time.Duration // after the first report
		notYetAt time.Duration // after the first report, negative for at once
	}{
		{name: "stated just now", age: 25 * time.Millisecond, keepsAt: delay, notYetAt: delay - 50*time.Millisecond},
		{name: "in force", age: delay + time.Second, keepsAt: 0, notYetAt: -1},
		{name: "in force by the second report", age: delay - 300*time.Millisecond, again: delay + 100*time.Millisecond, keepsAt: 400 * time.Millisecond, notYetAt: 350 * time.Millisecond},
		{name: "in force, from an older version", age: delay + time.Second, older: true, keepsAt: delay, notYetAt: delay - 50*time.Millisecond},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			from, fromNow := newBalancerWithEngines(1)
			to, now := newBalancerWithEngines(1)
			from.rejectLimitDelay, to.rejectLimitDelay = delay, delay
			reporter, host := &Server{balance: from}, &Server{balance: to}
			from.noteLimits("e0", &statedLimits{rejects: places.StatedLimit{Known: true, Limited: true, Value: 3}})
			report := func(age time.Duration) {
				*fromNow = age
				from.updateLimits(age)
				reports := reporter.Limits(false)
				must.NotNil(t, reports["e0"].Rejects)
				if tc.older {
					reports["e0"].Rejects.InForce = false
				}
				host.MergeLimits(reports)
			}
			*now = time.Minute
			report(tc.age)
			for passed := time.Duration(0); passed <= tc.keepsAt; passed += 50 * time.Millisecond {
				*now = time.Minute + passed
				to.updateLimits(*now)
				if tc.again > 0 && passed == tc.again-tc.age {
					report(tc.again)
				}
				if passed <= tc.notYetAt {
					must.EqOp(t, 0, host.LimitedEndpoints(), must.Sprint(passed))
				}
			}
			must.EqOp(t, 1, host.LimitedEndpoints())
		})
	}
}

// TestOwnerWithoutStatements checks that a host which has not heard of an endpoint's limit grants no slots to one that keeps it. It
// guards against an owner that has just started and grants slots that are taken.
func TestOwnerWithoutStatements(t *testing.T) {
	b, now := newBalancerWithEngines(1)
	s := &Server{balance: b, Host: "x"}
	s.SetOwners([]places.Candidate{{Host: "x", Zone: "z"}}, 1)
	ask := func(seq uint32, needsGrant bool) int {
		return s.HandleSlotRequests("y", 1, seq, map[string]places.Request{"e0": {Rank: 0, NeedsGrant: needsGrant}})["y"]["e0"].Slots
	}
	must.EqOp(t, 0, ask(1, true))
	s.MergeLimits(map[string]places.LimitReports{"e0": {Rejects: &places.LimitReport{Limited: true, Value: 3, InForce: true}}})
	must.EqOp(t, 0, ask(2, true))
	*now += ownerDelay
	must.EqOp(t, 1, ask(3, true))

	unlimited, _ := newBalancerWithEngines(1)
	s = &Server{balance: unlimited, Host: "x"}
	must.EqOp(t, 1, ask(1, false))
}
