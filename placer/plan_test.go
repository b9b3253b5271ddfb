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

func spec(m, v string) *endpoint.ModelSpec { return &endpoint.ModelSpec{Model: m, Version: v} }

func placement(m, v string, n, rank int) DesiredPlacement {
	return DesiredPlacement{Placement: settings.Placement{Name: m, Model: m, Version: v, Role: "both", Replicas: n}, Rank: rank}
}

func servingEngine(name string, h *endpoint.ModelSpec) Engine {
	return Engine{Name: name, Reachable: true, Loaded: h, Role: "both"}
}

func TestPlan(t *testing.T) {
	a1, a2, b1 := spec("a", "1"), spec("a", "2"), spec("b", "1")
	cases := []struct {
		name       string
		placements []DesiredPlacement
		engines    []Engine
		want       []Order
	}{
		{"all placements met", []DesiredPlacement{placement("a", "1", 2, 0)}, []Engine{servingEngine("x", a1), servingEngine("y", a1)}, nil},
		{"idle engine is loaded", []DesiredPlacement{placement("a", "1", 1, 0)}, []Engine{servingEngine("x", nil)},
			[]Order{{"x", a1, "both", true}}},
		{"urgent model first", []DesiredPlacement{placement("b", "1", 1, 2), placement("a", "1", 1, 0)}, []Engine{servingEngine("x", nil)},
			[]Order{{"x", a1, "both", true}}},
		{"a new version replaces one of two at a time, drained first", []DesiredPlacement{placement("a", "2", 2, 0)}, []Engine{servingEngine("x", a1), servingEngine("y", a1)},
			[]Order{{"x", a1, RoleDrain, false}}},
		{"still busy", []DesiredPlacement{placement("a", "2", 2, 0)}, []Engine{{Name: "x", Reachable: true, Loaded: a1, Role: RoleDrain, Busy: 1}, servingEngine("y", a1)},
			[]Order{{"x", a1, RoleDrain, false}}},
		{"drained a moment ago", []DesiredPlacement{placement("a", "2", 2, 0)}, []Engine{{Name: "x", Reachable: true, Loaded: a1, Role: RoleDrain, DrainTime: time.Second}, servingEngine("y", a1)},
			[]Order{{"x", a1, RoleDrain, false}}},
		{"drained and idle", []DesiredPlacement{placement("a", "2", 2, 0)}, []Engine{{Name: "x", Reachable: true, Loaded: a1, Role: RoleDrain, DrainTime: time.Minute}, servingEngine("y", a1)},
			[]Order{{"x", a2, "both", true}}},
		{"the last serving engine stays", []DesiredPlacement{placement("a", "2", 1, 0)}, []Engine{servingEngine("x", a1)}, nil},
		{"the last serving engine is drained when no placement needs its model", []DesiredPlacement{placement("b", "1", 1, 0)}, []Engine{servingEngine("x", a1)},
			[]Order{{"x", a1, RoleDrain, false}}},
		{"the last engine of another needed model stays", []DesiredPlacement{placement("a", "1", 1, 0), placement("b", "1", 2, 0)}, []Engine{servingEngine("x", a1), servingEngine("y", b1)}, nil},
		{"unreachable and leaving engines get no orders", []DesiredPlacement{placement("a", "1", 1, 0)},
			[]Engine{{Name: "x"}, {Name: "y", Reachable: true, Leaving: true}}, nil},
		{"a failing version is placed no further", []DesiredPlacement{placement("a", "2", 3, 0)},
			[]Engine{{Name: "x", Reachable: true, Loaded: a2, Role: "both", Served: 10, Errors: 6}, servingEngine("y", a1), servingEngine("z", a1)}, nil},
		{"a failed load waits", []DesiredPlacement{{Placement: placement("a", "1", 1, 0).Placement, RetryAt: time.Hour}}, []Engine{servingEngine("x", nil)}, nil},
		{"at most two loads", []DesiredPlacement{placement("a", "1", 4, 0)}, []Engine{servingEngine("w", nil), servingEngine("x", nil), servingEngine("y", nil), {Name: "z", Reachable: true, Loading: a1}},
			[]Order{{"w", a1, "both", true}}},
		{"surplus replicas are left alone", []DesiredPlacement{placement("a", "1", 1, 0)}, []Engine{servingEngine("x", a1), servingEngine("y", a1)}, nil},
		{"only the role changes", []DesiredPlacement{{Placement: settings.Placement{Model: "a", Version: "1", Role: "prefill", Replicas: 1}}}, []Engine{servingEngine("x", a1)},
			[]Order{{"x", a1, "prefill", false}}},
	}
	for _, c := range cases {
		must.Eq(t, c.want, Plan(time.Minute, c.placements, c.engines, Limits{}), must.Sprint(c.name))
	}
}

func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{18, 100, 311} {
		b.Run(fmt.Sprintf("engines=%d", n), func(b *testing.B) {
			var engines []Engine
			for i := range n {
				engines = append(engines, servingEngine(fmt.Sprintf("e%04d", i), spec(fmt.Sprint("m", i%5), "1")))
			}
			var placements []DesiredPlacement
			for m := range 5 {
				placements = append(placements, placement(fmt.Sprint("m", m), "2", n/5, m%3))
			}
			for b.Loop() {
				Plan(time.Minute, placements, engines, Limits{})
			}
		})
	}
}
