// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package quota

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestInitialLevel checks how much passes immediately at the first start of all hosts, and at a later start,
// when earlier use is not known: of requests that begin something, and after these of streams that go on.
func TestInitialLevel(t *testing.T) {
	limit := Limit{Rate: 1000, Burst: 2000}
	cases := []struct {
		name           string
		full           bool
		tolerance      Tolerance
		begun          float64 // least use of requests that begin something; at most one amount more
		minUse, maxUse float64 // of both together
	}{
		{"first start", true, Tolerance{}, 2000, 2000, 2010},
		{"first start with tolerance", true, Tolerance{Slack: 1000}, 2050, 2200, 2210},
		{"later start", false, Tolerance{}, 0, 0, 0},
		{"later start with tolerance", false, Tolerance{Slack: 1000}, 150, 300, 310},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			b := NewBook(0)
			b.StartFull, b.Tolerance = tc.full, tc.tolerance
			begun := repeatUntilRefused(b.Take, 0, limit, 10)
			must.Between(t, tc.begun, begun, tc.begun+10)
			must.Between(t, tc.minUse, begun+takeUntilRefused(b, 0, limit, 10), tc.maxUse)
		})
	}
}

// TestNewHostAdoptsLevels checks that a host that starts while others run adopts their levels.
func TestNewHostAdoptsLevels(t *testing.T) {
	limit := Limit{Rate: 1000, Burst: 5000}
	b := NewBook(0)
	b.SetHosts(2, 0)
	b.ApplyReport(0, "a", 1, Report{Left: map[string]float64{"w": -900}})
	must.EqOp(t, 0, takeUntilRefused(b, 0, limit, 10))
	b.ApplyReport(3*time.Second, "a", 1, Report{Left: map[string]float64{"w": -4000}}) // the learning period is over
	must.Greater(t, 0, takeUntilRefused(b, 3*time.Second, limit, 10))
}

// TestLearningHostsReportNoLevels checks that hosts that started together do not lower each other's levels:
// none of them knows what was used before.
func TestLearningHostsReportNoLevels(t *testing.T) {
	limit := Limit{Rate: 1000, Burst: 5000}
	learning := NewBook(0)
	_, _ = learning.Take(time.Second, "w", limit, 2000)
	must.MapEmpty(t, learning.Report(time.Second).Left)
	must.EqOp(t, 1000, learning.Report(3 * time.Second).Left["w"])
	first := NewBook(0)
	first.StartFull = true
	_, _ = first.Take(0, "w", limit, 4000)
	must.EqOp(t, 1000, first.Report(0).Left["w"]) // at the first start it is known that nothing was used
}

// TestEqualShareBeforeReports checks that a host that starts together with many others and has received no
// report uses one share of what may be left, however many requests it gets.
func TestEqualShareBeforeReports(t *testing.T) {
	const hosts = 60
	limit := Limit{Rate: 1000, Burst: 2000}
	tolerance := Tolerance{Slack: 100000}
	b := NewBook(0)
	b.Tolerance = tolerance
	b.SetHosts(hosts, 0)
	sum := 0.0
	for now := time.Duration(0); now < time.Second; now += 20 * time.Millisecond {
		sum += takeUntilRefused(b, now, limit, 10)
	}
	share := ((1+initialLevelRatio)*tolerance.allowedDebt(limit) + limit.Rate) / hosts
	must.LessEq(t, share+10, sum)
	must.GreaterEq(t, share/2, sum)
}
