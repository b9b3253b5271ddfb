// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package placer

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/endpoint"
	"github.com/heathkeel/heathkeel/settings"
)

func holds(m, v string) *endpoint.ModelSpec { return &endpoint.ModelSpec{Model: m, Version: v} }

func wish(m, v string, n, rank int) DesiredPlacement {
	return DesiredPlacement{Placement: settings.Placement{Name: m, Model: m, Version: v, Role: "both", Replicas: n}, Rank: rank}
}

func serving(name string, h *endpoint.ModelSpec) Engine {
	return Engine{Name: name, Reachable: true, Loaded: h, Role: "both"}
}

func TestPlan(t *testing.T) {
	a1, a2, b1 := holds("a", "1"), holds("a", "2"), holds("b", "1")
	cases := []struct {
		name    string
		wishes  []DesiredPlacement
		engines []Engine
		want    []Order
	}{
		{"all as wished", []DesiredPlacement{wish("a", "1", 2, 0)}, []Engine{serving("x", a1), serving("y", a1)}, nil},
		{"idle engine is loaded", []DesiredPlacement{wish("a", "1", 1, 0)}, []Engine{serving("x", nil)},
			[]Order{{"x", a1, "both", true}}},
		{"urgent model first", []DesiredPlacement{wish("b", "1", 1, 2), wish("a", "1", 1, 0)}, []Engine{serving("x", nil)},
			[]Order{{"x", a1, "both", true}}},
		{"a new version takes one of two at a time, drained first", []DesiredPlacement{wish("a", "2", 2, 0)}, []Engine{serving("x", a1), serving("y", a1)},
			[]Order{{"x", a1, RoleDrain, false}}},
		{"still busy", []DesiredPlacement{wish("a", "2", 2, 0)}, []Engine{{Name: "x", Reachable: true, Loaded: a1, Role: RoleDrain, Busy: 1}, serving("y", a1)},
			[]Order{{"x", a1, RoleDrain, false}}},
		{"drained a moment ago", []DesiredPlacement{wish("a", "2", 2, 0)}, []Engine{{Name: "x", Reachable: true, Loaded: a1, Role: RoleDrain, DrainTime: time.Second}, serving("y", a1)},
			[]Order{{"x", a1, RoleDrain, false}}},
		{"drained and idle", []DesiredPlacement{wish("a", "2", 2, 0)}, []Engine{{Name: "x", Reachable: true, Loaded: a1, Role: RoleDrain, DrainTime: time.Minute}, serving("y", a1)},
			[]Order{{"x", a2, "both", true}}},
		{"the last serving engine stays", []DesiredPlacement{wish("a", "2", 1, 0)}, []Engine{serving("x", a1)}, nil},
		{"the last serving engine goes when the model is wished for no more", []DesiredPlacement{wish("b", "1", 1, 0)}, []Engine{serving("x", a1)},
			[]Order{{"x", a1, RoleDrain, false}}},
		{"the last engine of another wished model stays", []DesiredPlacement{wish("a", "1", 1, 0), wish("b", "1", 2, 0)}, []Engine{serving("x", a1), serving("y", b1)}, nil},
		{"unreachable and leaving ones are not ordered", []DesiredPlacement{wish("a", "1", 1, 0)},
			[]Engine{{Name: "x"}, {Name: "y", Reachable: true, Leaving: true}}, nil},
		{"a failing version goes no further", []DesiredPlacement{wish("a", "2", 3, 0)},
			[]Engine{{Name: "x", Reachable: true, Loaded: a2, Role: "both", Served: 10, Errors: 6}, serving("y", a1), serving("z", a1)}, nil},
		{"a failed load waits", []DesiredPlacement{{Placement: wish("a", "1", 1, 0).Placement, RetryAt: time.Hour}}, []Engine{serving("x", nil)}, nil},
		{"at most two loads", []DesiredPlacement{wish("a", "1", 4, 0)}, []Engine{serving("w", nil), serving("x", nil), serving("y", nil), {Name: "z", Reachable: true, Loading: a1}},
			[]Order{{"w", a1, "both", true}}},
		{"no replicas more than wished are touched", []DesiredPlacement{wish("a", "1", 1, 0)}, []Engine{serving("x", a1), serving("y", a1)}, nil},
		{"role alone", []DesiredPlacement{{Placement: settings.Placement{Model: "a", Version: "1", Role: "prefill", Replicas: 1}}}, []Engine{serving("x", a1)},
			[]Order{{"x", a1, "prefill", false}}},
	}
	for _, c := range cases {
		must.Eq(t, c.want, Plan(time.Minute, c.wishes, c.engines, Limits{}), must.Sprint(c.name))
	}
}

func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{18, 100, 311} {
		b.Run(fmt.Sprintf("engines=%d", n), func(b *testing.B) {
			var es []Engine
			for i := range n {
				es = append(es, serving(fmt.Sprintf("e%04d", i), holds(fmt.Sprint("m", i%5), "1")))
			}
			var ws []DesiredPlacement
			for m := range 5 {
				ws = append(ws, wish(fmt.Sprint("m", m), "2", n/5, m%3))
			}
			for b.Loop() {
				Plan(time.Minute, ws, es, Limits{})
			}
		})
	}
}
