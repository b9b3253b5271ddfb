// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/route"
	"github.com/heathkeel/heathkeel/sched"
)

// kind describes requests whose answers differ in length.
type kind struct {
	rank          int
	median, sigma float64 // tokens of the answer, distributed log-normally
	max           int
	hintSigma     float64 // of the logarithm of the ratio of the expected to the actual length
	deadline      time.Duration
	objective     time.Duration
}

// simTokenTime is the time for a token at an endpoint of speed 1.
const simTokenTime = 4500 * time.Microsecond

// routesOf returns a route for each kind of requests.
func routesOf(kinds []kind) []route.Route {
	var out []route.Route
	for i, k := range kinds {
		out = append(out, route.Route{Name: fmt.Sprint("kind-", i), Rank: k.rank, Objective: k.objective, Targets: []route.Target{{Service: "s", Weight: 1}}})
	}
	return out
}

// meanTokens estimates the mean length of the answers to a kind of requests.
func (k *kind) meanTokens() float64 {
	const n = 10000
	r, sum := rand.New(rand.NewPCG(1, 2)), 0.0
	for range n {
		sum += float64(k.draw(r))
	}
	return sum / n
}

// draw draws the length of an answer.
func (k *kind) draw(r *rand.Rand) int {
	return int(min(float64(k.max), max(1, k.median*math.Exp(k.sigma*r.NormFloat64()))))
}

// drawTokens draws the length of the answer to a request of a load.
func (f *ownerFleet) drawTokens(l *load) int {
	if f.cfg.kinds == nil {
		return simTokens
	}
	return f.cfg.kinds[l.kind].draw(f.rand)
}

// setKind sets what a request says of itself.
func (f *ownerFleet) setKind(x *simCall) {
	l := &f.cfg.loads[x.load]
	k := &f.cfg.kinds[l.kind]
	doc := f.hosts[x.host].s.balance.table.Document
	x.route, x.workspace = &doc.Routes[l.kind], &doc.Workspaces[l.workspace]
	x.req.MaxTokens = k.max
	x.req.ExpectedTokens = max(1, int(float64(x.tokens)*math.Exp(k.hintSigma*f.rand.NormFloat64())))
	x.req.Deadline, x.req.DispatchBy = x.first+k.deadline, x.dispatchBy(f.now)
	x.req.Objective = sched.Objective{FirstToken: k.objective}
}

// setDuration sets how long a request runs that starts now. It returns the time per token, and whether it ends by its deadline.
func (f *ownerFleet) setDuration(x *simCall) (perToken time.Duration, whole bool) {
	if f.cfg.kinds == nil {
		return x.took / simTokens, true
	}
	perToken = time.Duration(float64(simTokenTime) / f.cfg.speeds[x.at%len(f.cfg.speeds)])
	x.took = time.Duration(x.tokens) * perToken
	if left := x.req.Deadline - f.now; x.took > left {
		x.took = max(left, simStep)
		return perToken, false
	}
	return perToken, true
}

// sizes are the requests of a load that have ended.
type sizes []sized

// sized is the length of the answer to a request, and whether it was served in the end.
type sized struct {
	tokens int
	served bool
}

// add adds a request.
func (z *sizes) add(x *simCall, served bool) { *z = append(*z, sized{x.tokens, served}) }

// servedShare returns the share served of the requests from one quantile of the lengths to another.
func (z sizes) servedShare(from, to float64) float64 {
	slices.SortStableFunc(z, func(a, b sized) int { return cmp.Compare(a.tokens, b.tokens) })
	part := z[int(from*float64(len(z))):int(to*float64(len(z)))]
	n := 0
	for _, x := range part {
		if x.served {
			n++
		}
	}
	return float64(n) / float64(max(1, len(part)))
}

// sizeKinds are three tiers, the lowest with answers whose lengths differ widely.
var sizeKinds = []kind{
	{rank: 0, median: 40, sigma: 0.7, max: 300, hintSigma: 0.5, deadline: 5 * time.Second, objective: 500 * time.Millisecond},
	{rank: 1, median: 20, sigma: 0.7, max: 200, hintSigma: 0.5, deadline: 3 * time.Second, objective: 800 * time.Millisecond},
	{rank: 2, median: 100, sigma: 1.4, max: 2800, hintSigma: 0.5, deadline: 15 * time.Second, objective: time.Second},
}

// sizeLoads returns the loads of some workspaces, the first of which sends as much as all others together. Two fifths of the capacity, in
// tokens a second, are asked for by the highest tier, a fifth by the second, and the rest of the load by the lowest.
func sizeLoads(workspaces int, capacity, overload float64) []load {
	var out []load
	for i, share := range []float64{0.4, 0.2, overload - 0.6} {
		perSecond := share * capacity / sizeKinds[i].meanTokens()
		for w := range workspaces {
			part := 0.5 / float64(workspaces-1)
			if w == 0 {
				part = 0.5
			}
			out = append(out, load{rate: part * perSecond, kind: i, workspace: w, retries: 1})
		}
	}
	return out
}

// TestLongAnswersAreServedLikeOthers guards against the longest tenth of a tier, or the fifth below it, being served much less often than
// the tier, whatever the overload and the size of the fleet.
func TestLongAnswersAreServedLikeOthers(t *testing.T) { testLongAnswers(t, 0.75) }

// TestLongAnswersAreServedHalfAsOften does the same for what users are promised.
func TestLongAnswersAreServedHalfAsOften(t *testing.T) { testLongAnswers(t, 0.5) }

// testLongAnswers checks that the share served of each size class is at least minShare of that of its kind.
func testLongAnswers(t *testing.T, minShare float64) {
	t.Helper()
	const endpoints, slots, workspaces = 24, 4, 8
	const directHosts = 9 // the largest fleet without slot owners
	speeds := []float64{0.4, 1.65, 1.65}
	capacity := 0.0
	for e := range endpoints {
		capacity += slots * speeds[e%len(speeds)] / simTokenTime.Seconds()
	}
	type demand struct{ overload, surge float64 }
	all := []demand{{0.9, 0}, {1.2, 0}, {1.5, 0}, {2, 0}, {2.5, 0}, {1, 0.7}, {1.4, 0.7}, {1.8, 0.7}}
	fleets := []struct {
		hosts   int
		demands []demand
	}{
		{6, all},
		{64, []demand{{0.9, 0}, {1.5, 0}, {2.5, 0}, {1.4, 0.7}}},
		{300, []demand{{2, 0}}},
	}
	for _, fleet := range fleets {
		for _, d := range fleet.demands {
			t.Run(fmt.Sprintf("%d hosts, %.1f of the capacity, surges of %.1f more", fleet.hosts, d.overload, d.surge), func(t *testing.T) {
				t.Parallel()
				f := newOwnerFleet(fleetConfig{
					hosts: fleet.hosts, endpoints: endpoints, slots: slots, minDelay: time.Millisecond, maxDelay: 6 * time.Millisecond, age: 450 * time.Millisecond,
					withoutOwners: fleet.hosts <= directHosts, speeds: speeds, kinds: sizeKinds, loads: sizeLoads(workspaces, capacity, d.overload),
					surge: d.surge, surgePeriod: 6 * time.Second,
				})
				f.run(2 * time.Second)
				f.reset()
				f.run(20 * time.Second)
				for k := range sizeKinds {
					var all sizes
					for i, l := range f.cfg.loads {
						if l.kind == k {
							all = append(all, f.stats[i].sizes...)
						}
					}
					served, fifth, tenth := all.servedShare(0, 1), all.servedShare(0.7, 0.9), all.servedShare(0.9, 1)
					t.Logf("kind %d: served %.2f of %d, fifth below %.2f, largest tenth %.2f; utilization %.2f", k, served, len(all), fifth, tenth, f.utilization())
					must.GreaterEq(t, minShare*served, fifth, must.Sprint("fifth below the largest tenth of kind ", k))
					must.GreaterEq(t, minShare*served, tenth, must.Sprint("largest tenth of kind ", k))
				}
			})
		}
	}
}
