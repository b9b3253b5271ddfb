// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package spill

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"
)

// constant returns a load that does not change: first in zone 0, others elsewhere.
func constant(first, others float64) func(time.Duration, int) float64 {
	return func(_ time.Duration, zone int) float64 {
		if zone == 0 {
			return first
		}
		return others
	}
}

// wave returns a load of 0.3 to 1.3 that moves around n zones in 20 s.
func wave(n int) func(time.Duration, int) float64 {
	return func(t time.Duration, zone int) float64 {
		return 0.8 + 0.5*math.Sin(2*math.Pi*(t.Seconds()/20-float64(zone)/float64(n)))
	}
}

// simCases returns the cases of the acceptance criteria.
func simCases(zones, hosts int) []simCase {
	return []simCase{
		{"even load 0.6", zones, hosts, constant(0.6, 0.6), -1, false},
		{"even load 0.95", zones, hosts, constant(0.95, 0.95), -1, false},
		{"one zone at 1.5", zones, hosts, constant(1.5, 0.6), -1, false},
		{"one zone at 3", zones, hosts, constant(3, 0.6), -1, false},
		{"one zone without endpoints", zones, hosts, constant(0.5, 0.6), 0, false},
		{"waves", zones, hosts, wave(zones), -1, false},
		{"messages lost", zones, hosts, constant(1.5, 0.6), -1, true},
	}
}

// Guards against deciders with delayed data that serve less than the best split, send requests to
// other zones without need, or send them back and forth.
func TestCloseToBestSplit(t *testing.T) {
	for _, zones := range []int{3, 4, 9} {
		for _, hosts := range []int{6, 64, 300} {
			if hosts < zones {
				hosts = zones // each zone has a host
			}
			for _, c := range simCases(zones, hosts) {
				t.Run(fmt.Sprintf("%s/%d zones/%d hosts", c.name, zones, hosts), func(t *testing.T) {
					t.Parallel()
					got := simulate(c, policyPlan, 1)
					best := bestSplit(c, got.arrivals)
					t.Logf("served %.0f of %.0f, sent %.0f of %.0f, reversals %d of %d", got.served, best.served, got.sent, best.sent, got.reversals, best.reversals)
					if strings.HasPrefix(c.name, "even") && got.sent >= 0.01*got.arrived {
						t.Errorf("sent %.0f of %.0f requests to other zones under even load", got.sent, got.arrived)
					}
					if got.served < 0.95*best.served {
						t.Errorf("served %.0f requests; the best split serves %.0f", got.served, best.served)
					}
					if math.Abs(got.sent-best.sent) > 0.05*best.sent+0.01*got.arrived {
						t.Errorf("sent %.0f requests to other zones; the best split sends %.0f", got.sent, best.sent)
					}
					// Few windows of the best split have a direction near a crossing of the load.
					if most := max(best.reversals, loadReversals(c)); float64(got.reversals) > 1.05*float64(most) {
						t.Errorf("%d reversals; the best split has %d", got.reversals, best.reversals)
					}
				})
			}
		}
	}
}

// Guards against a plan that gives a zone more than its free capacity, or work to a zone that is
// evacuated, has no hosts or endpoints, whose data is lost, or that sent itself a moment ago.
func TestReceivers(t *testing.T) {
	busy, idle := Zone{Name: "a", Capacity: 100, Arrivals: 200}, Zone{Name: "b", Capacity: 100, Arrivals: 20}
	change := func(f func(*Zone)) Zone {
		z := idle
		f(&z)
		return z
	}
	for _, c := range []struct {
		name string
		zone Zone
		most float64
	}{
		{"free", idle, 78},
		{"evacuated", change(func(z *Zone) { z.Evacuated = true }), 0},
		{"without hosts and a last rate", change(func(z *Zone) { z.Hostless = true }), 0},
		{"without endpoints", change(func(z *Zone) { z.Capacity, z.Arrivals = 0, 0 }), 0},
		{"lost", change(func(z *Zone) { z.Age = lostAge }), 0},
		{"stale without a last rate", change(func(z *Zone) { z.Age = staleAge }), 0},
	} {
		var p Planner
		s := &Service{Zones: []Zone{busy, c.zone, {Name: "c", Capacity: 50, Arrivals: 200}}}
		plan := p.Plan(0, s)
		sum := plan["a"]["b"]*200 + plan["c"]["b"]*200
		if math.Abs(sum-c.most) > 1e-6 {
			t.Errorf("%s: %v requests per second are sent, want %v", c.name, sum, c.most)
		}
	}
	var p Planner
	states := func(a, b Zone) *Service { return &Service{Zones: []Zone{a, b}} }
	p.Plan(0, states(busy, idle))
	for _, f := range []func(*Zone){func(z *Zone) { z.Age = staleAge }, func(z *Zone) { z.Hostless = true }} {
		if share := p.Plan(time.Second, states(busy, change(f))).Share("a"); share != 0.39 {
			t.Errorf("a zone that is not heard receives a share of %v, not its last rate", share)
		}
	}
	p.Plan(2*time.Second, states(Zone{Name: "a", Capacity: 100, Arrivals: 20}, idle))
	if share := p.Plan(2*time.Second+reverseTime/2, states(Zone{Name: "a", Capacity: 100, Arrivals: 20}, Zone{Name: "b", Capacity: 100, Arrivals: 200})).Share("b"); share != 0 {
		t.Errorf("a zone that sent a moment ago receives a share of %v", share)
	}
}

// Guards against sending where the price of traffic or the latency is higher than the value.
func TestCostLimitsSending(t *testing.T) {
	zones := []Zone{{Name: "a", Capacity: 100, Arrivals: 200}, {Name: "b", Capacity: 100}}
	slow := func(string, string) time.Duration { return 300 * time.Millisecond }
	for _, c := range []struct {
		name    string
		service Service
		sends   bool
	}{
		{"free traffic", Service{}, true},
		{"cheap traffic", Service{Bytes: 1e6, Price: 10}, true},
		{"dear traffic", Service{Bytes: 1e6, Price: 2000}, false},
		{"far away", Service{Objective: 500 * time.Millisecond, Delay: slow}, false},
	} {
		c.service.Zones = zones
		var p Planner
		if sends := p.Plan(0, &c.service).Share("a") > 0; sends != c.sends {
			t.Errorf("%s: zone a sends: %v", c.name, sends)
		}
	}
}

// Measures one plan of 9 zones of which 4 send.
func BenchmarkPlan(b *testing.B) {
	s := &Service{Delay: func(from, to string) time.Duration { return time.Duration(from[0]+to[0]) * time.Microsecond }}
	for z := range 9 {
		s.Zones = append(s.Zones, Zone{Name: zoneName(z), Capacity: 100, Arrivals: wave(9)(0, z) * 100})
	}
	var p Planner
	for i := 0; b.Loop(); i++ {
		p.Plan(time.Duration(i)*time.Millisecond, s)
	}
}

// Logs the figures of docs/design/zones.md.
func TestCompareRules(t *testing.T) {
	if testing.Short() {
		t.Skip("logs figures only")
	}
	for _, c := range simCases(4, 64) {
		best := bestSplit(c, simulate(c, policyPlan, 1).arrivals)
		t.Logf("%-28s best      served %.3f sent %.3f reversals %d", c.name, best.served/best.arrived, best.sent/best.arrived, best.reversals)
		for _, p := range []simPolicy{policyPlan, policyFixed, policyThreshold, policyEqual} {
			got := simulate(c, p, 1)
			t.Logf("%-28s %-15s served %.3f sent %.3f reversals %d", "", p, got.served/got.arrived, got.sent/got.arrived, got.reversals)
		}
	}
}
