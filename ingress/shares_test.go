// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/places"
)

// TestStartWithoutFlood starts all hosts at once under 1.2 times the capacity, with requests that take less time than peer state is
// old. It guards against hosts that each fill the same slots because they know nothing of each other: without owners, 800 requests are
// at 360 slots.
func TestStartWithoutFlood(t *testing.T) {
	for _, hosts := range []int{6, 64, 300} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			f := newOwnerFleet(fleetConfig{
				hosts: hosts, endpoints: 90, slots: 4, minDelay: time.Millisecond, maxDelay: 6 * time.Millisecond, age: 450 * time.Millisecond,
				loads: []load{{rate: 1200, service: 360 * time.Millisecond, retries: 1}},
			})
			f.run(2 * time.Second)
			t.Log(f)
			must.LessEq(t, 540, f.peak) // the top tier may exceed the slots by 0.4, which is 504
			must.LessEq(t, 15, f.maxAt)
			must.GreaterEq(t, 0.9, f.utilization())
			must.LessEq(t, 150*time.Millisecond, f.hostWait/time.Duration(f.dispatched))
		})
	}
}

// TestGrantAddsMilliseconds checks that waiting for a grant delays requests by milliseconds while slots are free.
func TestGrantAddsMilliseconds(t *testing.T) {
	f := newOwnerFleet(fleetConfig{
		hosts: 64, endpoints: 90, slots: 4, minDelay: 4 * time.Millisecond, maxDelay: 15 * time.Millisecond, age: 450 * time.Millisecond,
		loads: []load{{rate: 500, service: 360 * time.Millisecond, retries: 1}},
	})
	f.run(3 * time.Second)
	t.Log(f)
	must.LessEq(t, 25*time.Millisecond, f.hostWait/time.Duration(f.dispatched))
	must.EqOp(t, 0, f.stats[0].refused)
}

// smallLoads returns one load of 20 requests a second for each of three workspaces, after others.
func smallLoads(others ...load) []load {
	for range 3 {
		others = append(others, load{rate: 20, service: 150 * time.Millisecond, retries: 1})
	}
	return others
}

// TestShareOfWorkspaces plays loads beyond the capacity of 320 requests a second, and compares what each workspace gets with its max-min
// share. It guards against a large workspace that takes the slots of small ones, or a retrying one that takes those of patient ones.
// Without owners, small workspaces got 0.78 to 0.82 of their demand at 6 hosts, 0.20 to 0.32 at 64, and 0.10 to 0.18 with callers that
// return at once.
func TestShareOfWorkspaces(t *testing.T) { testShares(t, 6, 64) }

// TestShareOfWorkspacesInLargeFleet does the same at 300 hosts.
func TestShareOfWorkspacesInLargeFleet(t *testing.T) { testShares(t, 300) }

// testShares checks the shares of workspaces in fleets of the given sizes.
func testShares(t *testing.T, sizes ...int) {
	const capacity = 320.0
	cases := []struct {
		name  string
		loads []load
		want  []float64 // requests per second
	}{
		{"a large workspace", smallLoads(load{rate: 640, service: 150 * time.Millisecond, retries: 1}), []float64{capacity - 60, 20, 20, 20}},
		{"refused callers that return at once", smallLoads(load{rate: 640, service: 150 * time.Millisecond, retries: 4, atOnce: true}), []float64{capacity - 60, 20, 20, 20}},
		{"two large ones", smallLoads(load{rate: 500, service: 150 * time.Millisecond, retries: 4, atOnce: true}, load{rate: 200, service: 150 * time.Millisecond, retries: 1}), []float64{130, 130, 20, 20, 20}},
		{"a higher tier", smallLoads(load{rate: 240, service: 150 * time.Millisecond, retries: 1}, load{rate: 400, rank: 1, service: 150 * time.Millisecond, retries: 1}), []float64{240, 20, 20, 20, 20}},
	}
	for _, tc := range cases {
		for _, hosts := range sizes {
			t.Run(fmt.Sprint(tc.name, ", ", hosts), func(t *testing.T) {
				f := newOwnerFleet(fleetConfig{
					hosts: hosts, endpoints: 6, slots: 8, minDelay: time.Millisecond, maxDelay: 6 * time.Millisecond, age: 450 * time.Millisecond, loads: tc.loads,
				})
				f.run(time.Second)
				f.reset()
				const measured = 5 * time.Second
				f.run(measured)
				t.Log(f)
				must.GreaterEq(t, 0.9, f.utilization())
				limited := make(map[string]places.Usage)
				for _, h := range f.hosts {
					maps.Copy(limited, h.s.balance.sweepShares())
				}
				must.MapNotContainsKey(t, limited, fmt.Sprint("w", len(tc.loads)-1)) // operators see no small workspace as limited
				if tc.loads[0].rank == tc.loads[1].rank {
					must.MapContainsKey(t, limited, "w0")
				}
				for i, want := range tc.want {
					if tc.loads[i].rank > 0 {
						continue // what is left
					}
					must.GreaterEq(t, 0.95*want, float64(f.stats[i].ran)/measured.Seconds(), must.Sprint("workspace ", i))
				}
			})
		}
	}
}

// unserved returns the requests of each load that were offered since the last reset and are not served yet.
func (f *ownerFleet) unserved() []int {
	out := make([]int, len(f.stats))
	for i, st := range f.stats {
		out[i] = st.offered - st.served
	}
	return out
}

// TestBurstOfWorkspace checks that a burst of 7.5 times the usual rate of one workspace costs the others at most 0.05 of what they got
// before it.
func TestBurstOfWorkspace(t *testing.T) {
	for _, hosts := range []int{6, 64, 300} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			// A request that waited for a slot within its time at the end of the burst is served in runOut.
			const start, end, runOut = 2 * time.Second, 4 * time.Second, 300 * time.Millisecond
			loads := smallLoads(
				load{rate: 60, service: 150 * time.Millisecond, retries: 1}, load{rate: 390, from: start, until: end, service: 150 * time.Millisecond, retries: 4, atOnce: true},
				load{rate: 100, service: 150 * time.Millisecond, retries: 1})
			f := newOwnerFleet(fleetConfig{hosts: hosts, endpoints: 6, slots: 8, minDelay: time.Millisecond, maxDelay: 6 * time.Millisecond, age: 450 * time.Millisecond, loads: loads})
			for _, h := range f.hosts { // the burst is of the first workspace
				doc := h.s.balance.table.Document
				doc.Workspaces[1].Name = doc.Workspaces[0].Name
			}
			for i := 2; i < len(loads); i++ {
				loads[i].until = end
			}
			f.run(start)
			before := f.unserved()
			f.reset()
			f.run(end - start + runOut)
			t.Log(f)
			for i := 2; i < len(loads); i++ {
				must.GreaterEq(t, 0.95*loads[i].rate*(end-start).Seconds()-1, float64(f.stats[i].served-before[i]), must.Sprint("workspace ", i))
			}
		})
	}
}

// TestOwnerFails lets owners fail in several ways. Hosts then fall back to claims: endpoints are neither left idle nor overfilled without
// bound, and the small workspaces are served.
func TestOwnerFails(t *testing.T) {
	cases := []struct {
		name           string
		fail           func(*ownerFleet)
		maxAt          int     // an endpoint has 8 slots, and 11 for the top tier
		minUtilization float64 // and share of the small workspaces
	}{
		{"killed", func(f *ownerFleet) { f.stop(f.endpoints[1].owner, time.Second) }, 26, 0.85},
		{"slow", func(f *ownerFleet) { f.slow = f.endpoints[1].owner }, 26, 0.85},
		{"two owners of each endpoint", func(f *ownerFleet) { f.split = true }, 28, 0.95},
	}
	for _, tc := range cases {
		for _, hosts := range []int{6, 64, 300} {
			t.Run(fmt.Sprint(tc.name, ", ", hosts), func(t *testing.T) {
				// A request that waited for a slot within its time at the end is served in runOut.
				const start, end, runOut = 2 * time.Second, 3500 * time.Millisecond, 300 * time.Millisecond
				loads := smallLoads(load{rate: 640, service: 150 * time.Millisecond, retries: 1})
				for i := 1; i <= 3; i++ {
					loads[i].until = end
				}
				f := newOwnerFleet(fleetConfig{
					hosts: hosts, endpoints: 6, slots: 8, minDelay: time.Millisecond, maxDelay: 6 * time.Millisecond, age: 450 * time.Millisecond, loads: loads,
				})
				f.run(start)
				before := f.unserved()
				f.reset()
				tc.fail(f)
				f.run(end - start + runOut)
				t.Log(f)
				must.GreaterEq(t, tc.minUtilization, f.utilization())
				must.LessEq(t, tc.maxAt, f.maxAt)
				for i := 1; i <= 3; i++ {
					must.GreaterEq(t, 0.85*30, float64(f.stats[i].served-before[i]), must.Sprint("workspace ", i))
				}
			})
		}
	}
}

// TestGrantsForPlainEndpoints checks that grants pay for requests of 20 ms with messages of 4 to 15 ms: without owners, hosts that choose
// by loads 0.45 s old send 300 requests to one endpoint of 6 slots, and 0.59 are served at 0.83 of the capacity.
func TestGrantsForPlainEndpoints(t *testing.T) {
	cases := []struct{ rate, minServed float64 }{{300, 0.99}, {700, 0.98}, {1000, 0.97}, {1500, 0.7}}
	for _, tc := range cases {
		t.Run(fmt.Sprint(tc.rate), func(t *testing.T) {
			f := newOwnerFleet(fleetConfig{
				hosts: 64, endpoints: 4, slots: 6, minDelay: 4 * time.Millisecond, maxDelay: 15 * time.Millisecond, age: 450 * time.Millisecond, plain: true,
				loads: []load{{rate: tc.rate, service: 20 * time.Millisecond, retries: 1}},
			})
			f.run(4 * time.Second)
			t.Log(f)
			must.GreaterEq(t, tc.minServed, float64(f.stats[0].served)/float64(f.stats[0].offered))
		})
	}
}
