// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package placer

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestDemandIsSlowAndSlowerBack(t *testing.T) {
	cases := []struct {
		name  string
		loads []float64
		times int
		want  int
	}{
		{"calm", []float64{0.5}, 100, 0},
		{"a short peak", []float64{1, 1, 1, 0.5}, 20, 0},
		{"lasting", []float64{1}, 2 * highSweeps, 2},
		{"lasting, then idle for a while", []float64{1, 1, 1, 1, 1, 0.1}, 1, 1},
		{"reports that flap", []float64{1, 0.1}, 500, 0},
	}
	for _, c := range cases {
		d := &demand{}
		for range c.times {
			for _, l := range c.loads {
				d.note(l)
			}
		}
		must.Eq(t, c.want, d.extra, must.Sprint(c.name))
	}
	d := &demand{extra: 1}
	for range lowSweeps {
		d.note(0.1)
	}
	must.Zero(t, d.extra)
}

func TestDemandTakesOnlyWhatNobodyNeeds(t *testing.T) {
	ds := demands{}
	wishes := []DesiredPlacement{wish("a", "1", 1, 0), wish("b", "1", 2, 1)}
	busy := serving("x", holds("a", "1"))
	busy.Busy, busy.Slots = 8, 8
	engines := []Engine{busy, serving("y", holds("b", "1")), serving("z", nil)}
	for range highSweeps {
		ds.note(wishes, engines)
	}
	// b lacks a replica: the idle engine is b's.
	all := append(wishes, ds.extras(wishes)...)
	must.Eq(t, []Order{{"z", holds("b", "1"), "both", true}}, Plan(time.Minute, all, engines, Limits{}))
	engines[2] = serving("z", holds("b", "1"))
	engines = append(engines, serving("spare", nil))
	must.Eq(t, []Order{{"spare", holds("a", "1"), "both", true}}, Plan(time.Minute, all, engines, Limits{}))
	// What it got stays with it while the demand lasts.
	engines[3] = serving("spare", holds("a", "1"))
	must.Len(t, 0, Plan(time.Minute, all, engines, Limits{}))
}
