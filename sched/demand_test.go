// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestDivide checks the weighted max-min shares of a ration, so that a workspace does not pay for
// another's attempts.
func TestDivide(t *testing.T) {
	cases := []struct {
		name     string
		attempts []int
		weights  []float64
		share    float64
		want     []float64 // admitted shares
	}{
		{"equal", []int{100, 100}, []float64{1, 1}, 0.5, []float64{0.5, 0.5}},
		{"one sends much", []int{300, 100}, []float64{1, 1}, 0.5, []float64{1.0 / 3, 1}},
		{"one sends too much", []int{750, 100, 150}, []float64{1, 1, 1}, 0.36, []float64{130.0 / 750, 1, 130.0 / 150}},
		{"weights", []int{300, 100}, []float64{3, 1}, 0.5, []float64{0.5, 0.5}},
		{"no weight", []int{100, 100}, []float64{1, 0}, 0.5, []float64{0.999, 0.001}},
		{"all admitted", []int{300, 100}, []float64{1, 1}, 1, []float64{1, 1}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var x demands
			for w, n := range tc.attempts {
				for range n {
					x.add(fmt.Sprint(w), tc.weights[w])
				}
			}
			x.divide(tc.share)
			for w, want := range tc.want {
				must.InDelta(t, want, x.byWorkspace[fmt.Sprint(w)].admitted, 0.002, must.Sprint(w))
			}
		})
	}
}

// TestDemandsAreBounded guards against memory that grows with the number of workspaces ever seen.
func TestDemandsAreBounded(t *testing.T) {
	var x demands
	for i := range 1000 {
		x.add(fmt.Sprint(i), 1)
	}
	x.decay(time.Minute)
	must.LessEq(t, maxDemands, len(x.byWorkspace))
	must.InDelta(t, 0, x.rate(), 1e-9)
}
