// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package sched

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"
)

func TestQuantile(t *testing.T) {
	exponential := func(r *rand.Rand) float64 { return r.ExpFloat64() }
	cases := []struct {
		name      string
		share     float64
		draw      func(*rand.Rand) float64
		low, high float64
	}{
		{"low quantile of an exponential", 0.2, exponential, 0.14, 0.32}, // 0.223
		{"median of an exponential", 0.5, exponential, 0.55, 0.9},        // 0.693
		{"high quantile of an exponential", 0.8, exponential, 1.3, 2.0},  // 1.609
		{"constant", 0.2, func(*rand.Rand) float64 { return 7 }, 6.999, 7.001},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			r := rand.New(rand.NewPCG(1, 1))
			var q Quantile
			sum := 0.0
			for i := range 4000 {
				q.Observe(tc.draw(r), tc.share)
				if i >= 2000 {
					sum += math.Log(q.Value)
				}
			}
			must.Between(t, tc.low, math.Exp(sum/2000), tc.high)
		})
	}
}

func TestQuantileIgnoresZero(t *testing.T) {
	var q Quantile
	q.Observe(0, 0.5)
	must.EqOp(t, 0, q.Value)
	q.Observe(3, 0.5)
	must.EqOp(t, 3, q.Value)
}
