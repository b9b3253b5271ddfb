// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package placer

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestDemandReactsSlowly(t *testing.T) {
	cases := []struct {
		name  string
		loads []float64
		times int
		want  int
	}{
		{"moderate load", []float64{0.5}, 100, 0},
		{"a short peak", []float64{1, 1, 1, 0.5}, 20, 0},
		{"lasting", []float64{1}, 2 * highLoadSweeps, 2},
		{"lasting, then idle for one sweep", []float64{1, 1, 1, 1, 1, 0.1}, 1, 1},
		{"reports that flap", []float64{1, 0.1}, 500, 0},
	}
	for _, c := range cases {
		d := &modelDemand{}
		for range c.times {
			for _, l := range c.loads {
				d.noteLoad(l)
			}
		}
		must.Eq(t, c.want, d.extraReplicas, must.Sprint(c.name))
	}
	d := &modelDemand{extraReplicas: 1}
	for range lowLoadSweeps {
		d.noteLoad(0.1)
	}
	must.Zero(t, d.extraReplicas)
}

func TestDemandUsesOnlySpareEngines(t *testing.T) {
	ds := zoneDemand{}
	placements := []DesiredPlacement{placement("a", "1", 1, 0), placement("b", "1", 2, 1)}
	busy := servingEngine("x", spec("a", "1"))
	busy.Busy, busy.Slots = 8, 8
	engines := []Engine{busy, servingEngine("y", spec("b", "1")), servingEngine("z", nil)}
	for range highLoadSweeps {
		ds.noteReports(placements, engines)
	}
	// b lacks a replica, so that the idle engine goes to b.
	all := append(placements, ds.extraPlacements(placements)...)
	must.Eq(t, []Order{{"z", spec("b", "1"), "both", true}}, Plan(time.Minute, all, engines, Limits{}))
	engines[2] = servingEngine("z", spec("b", "1"))
	engines = append(engines, servingEngine("spare", nil))
	must.Eq(t, []Order{{"spare", spec("a", "1"), "both", true}}, Plan(time.Minute, all, engines, Limits{}))
	// The model keeps the extra engine while the demand lasts.
	engines[3] = servingEngine("spare", spec("a", "1"))
	must.Len(t, 0, Plan(time.Minute, all, engines, Limits{}))
}
