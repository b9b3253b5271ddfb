// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package forecast

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestEstimate(t *testing.T) {
	type sample struct {
		route  string
		tokens int
		took   time.Duration
	}
	cases := []struct {
		name    string
		samples []sample
		tokens  int
		want    time.Duration // 0 for unknown
	}{
		{"nothing known", nil, 10, 0},
		{"another route", []sample{{"other", 10, time.Second}}, 10, 0},
		{"without tokens", []sample{{"r", 0, time.Second}}, 0, time.Second},
		{"as many tokens", []sample{{"r", 10, time.Second}, {"r", 100, 9 * time.Second}}, 9, time.Second},
		{"fewer than any", []sample{{"r", 100, 9 * time.Second}}, 10, 9 * time.Second},
		{"more than any", []sample{{"r", 10, time.Second}}, 40, 4 * time.Second},
		{"far more than any", []sample{{"r", 1, time.Hour}}, 1 << 40, maxEstimate},
		{"negative", []sample{{"r", -1, time.Second}}, -5, time.Second},
		{"no time", []sample{{"r", 1, 0}}, 1, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var d Durations
			for _, s := range tc.samples {
				d.Observe(s.route, s.tokens, s.took)
			}
			got, ok := d.Estimate("r", tc.tokens)
			must.EqOp(t, tc.want, got)
			must.EqOp(t, tc.want > 0, ok)
		})
	}
}

// TestEstimateFollowsChanges checks that the share of requests that take longer than estimated stays small when times change.
func TestEstimateFollowsChanges(t *testing.T) {
	var d Durations
	r := rand.New(rand.NewPCG(1, 2))
	for _, mean := range []time.Duration{time.Second, 5 * time.Second, 500 * time.Millisecond} {
		longer := 0
		for n := range 1000 {
			took := time.Duration(float64(mean) * (0.5 + r.Float64()))
			if estimate, _ := d.Estimate("r", 20); n >= 500 && took > estimate {
				longer++
			}
			d.Observe("r", 20, took)
		}
		must.Less(t, 60, longer, must.Sprint(mean)) // 25 of 500 are expected
	}
}

func TestClassesAreLimited(t *testing.T) {
	var d Durations
	for n := range 2 * maxClasses {
		d.Observe(fmt.Sprint("r", n), 0, time.Second)
	}
	must.LessEq(t, maxClasses, len(d.classes))
	_, ok := d.Estimate(fmt.Sprint("r", 2*maxClasses-1), 0)
	must.True(t, ok)
}
