// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package spill

import (
	"math"
	"math/rand/v2"
	"time"
)

// Parameters of the simulation: reports that arrive 0.3 to 0.6 s late, as through relays, and zones
// that serve 400 requests of 0.3 s per second.
const (
	simStep      = 25 * time.Millisecond
	simCapacity  = 400.0
	simService   = 12 // steps that a request runs
	simObjective = 20 // steps that a request may wait
	simSlots     = 120
	simDelay     = 12 // steps until a report arrives
	simInterval  = 8  // steps between two plans of a host
	simSettle    = 4 * time.Second
	simDuration  = 44 * time.Second       // simSettle and two periods of the waves
	simHalfLife  = 400 * time.Millisecond // of arrivals in the reported rate
	simLostFrom  = 6 * time.Second
	simWindow    = simObjective // steps for which the best split may hold requests
)

// simPolicy is a rule by which hosts choose zones.
type simPolicy string

const (
	policyPlan      simPolicy = "plan"            // Planner
	policyFixed     simPolicy = "fixed penalty"   // today's constant
	policyThreshold simPolicy = "queue threshold" // all to the shortest queue while the own one is long
	policyEqual     simPolicy = "equal marginal"  // equal utilization of all zones
)

// simCase is one course of the load.
type simCase struct {
	name         string
	zones, hosts int
	load         func(t time.Duration, zone int) float64 // arrivals as a share of a zone's capacity
	noEndpoints  int                                     // zone without endpoints, or -1
	lost         bool                                    // zones 0 and 1 do not hear of each other from simLostFrom on
}

// simHost is a decider.
type simHost struct {
	zone    int
	planner Planner
	credits Credits
	queue   []int // arrival steps of the requests that wait
	view    []Zone
}

// simResult counts what happened after simSettle.
type simResult struct {
	arrived, served, sent float64
	reversals             int
	arrivals              [][]float64 // by window and zone
}

// sim is the state of a simulation.
type sim struct {
	simCase
	policy   simPolicy
	r        *rand.Rand
	deciders []*simHost
	running  []int
	done     [][]int     // completions by step and zone
	rates    []float64   // smoothed arrivals by zone
	history  [][]Zone    // reports by step
	flows    [][]float64 // of the current second, by pair
	result   simResult
	flips    flips
}

// flips counts reversals: zones that were net senders and become net receivers, or the reverse.
type flips struct {
	last  map[int]float64
	count int
}

// add adds the flows of one second; counts says that reversals count. Net flows below 2% of a zone's capacity have no direction.
func (f *flips) add(flows [][]float64, counts bool) {
	if f.last == nil {
		f.last = make(map[int]float64)
	}
	for a := range flows {
		net := 0.0
		for b := range flows {
			net += flows[a][b] - flows[b][a]
		}
		if math.Abs(net) < 0.02*simCapacity {
			continue
		}
		if counts && f.last[a]*net < 0 {
			f.count++
		}
		f.last[a] = net
	}
}

// matrix returns an n by n matrix of zeros.
func matrix(n int) [][]float64 {
	m := make([][]float64, n)
	for i := range m {
		m[i] = make([]float64, n)
	}
	return m
}

// slots returns the slots of a zone's endpoints.
func (s *sim) slots(zone int) int {
	if zone == s.noEndpoints {
		return 0
	}
	return simSlots
}

// zoneName returns the name of a zone.
func zoneName(i int) string { return string(rune('a' + i)) }

// service returns the input of a plan for a view.
func (c *simCase) service(zones []Zone) *Service {
	return &Service{Zones: zones, Objective: simObjective * simStep, Delay: func(string, string) time.Duration { return time.Millisecond }}
}

// simulate runs a policy.
func simulate(c simCase, policy simPolicy, seed uint64) simResult {
	s := &sim{simCase: c, policy: policy, r: rand.New(rand.NewPCG(seed, 7)), running: make([]int, c.zones), rates: make([]float64, c.zones), flows: matrix(c.zones)}
	for i := range c.hosts {
		s.deciders = append(s.deciders, &simHost{zone: i % c.zones})
	}
	for z := range c.zones {
		s.rates[z] = simCapacity * c.load(0, z)
	}
	steps := int(simDuration / simStep)
	for n := range steps {
		s.step(n)
	}
	s.result.reversals = s.flips.count
	return s.result
}

// step simulates one step.
func (s *sim) step(n int) {
	t := time.Duration(n) * simStep
	counts := t >= simSettle
	for len(s.done) <= n+simService {
		s.done = append(s.done, make([]int, s.zones))
	}
	for z := range s.zones {
		s.running[z] -= s.done[n][z]
	}
	arrived := make([]int, s.zones)
	first := s.r.IntN(len(s.deciders))
	for i := range s.deciders {
		index := (first + i) % len(s.deciders)
		h := s.deciders[index]
		if (n+index)%simInterval == 0 {
			s.plan(n, h, t)
		}
		inZone := (len(s.deciders) - h.zone + s.zones - 1) / s.zones
		k := poisson(s.r, simCapacity*s.load(t, h.zone)*simStep.Seconds()/float64(inZone))
		arrived[h.zone] += k
		for range k {
			h.credits.Accrue()
			h.queue = append(h.queue, n)
		}
		for len(h.queue) > 0 && n-h.queue[0] > simObjective {
			h.queue = h.queue[1:]
		}
		for len(h.queue) > 0 {
			to := s.choose(h)
			if to < 0 {
				break
			}
			h.queue = h.queue[1:]
			s.running[to]++
			s.done[n+simService][to]++
			if counts {
				s.result.served++
			}
			if to != h.zone {
				s.flows[h.zone][to]++
				if counts {
					s.result.sent++
				}
			}
		}
	}
	report := make([]Zone, s.zones)
	gain := 1 - math.Exp2(-simStep.Seconds()/simHalfLife.Seconds())
	for z := range s.zones {
		s.rates[z] += gain * (float64(arrived[z])/simStep.Seconds() - s.rates[z])
		report[z] = Zone{Name: zoneName(z), Capacity: simCapacity * float64(s.slots(z)) / simSlots, Arrivals: s.rates[z]}
		if counts {
			s.result.arrived += float64(arrived[z])
		}
		if n%simWindow == 0 && z == 0 {
			s.result.arrivals = append(s.result.arrivals, make([]float64, s.zones))
		}
		s.result.arrivals[n/simWindow][z] += float64(arrived[z])
	}
	for _, h := range s.deciders {
		report[h.zone].Waiting += len(h.queue)
	}
	s.history = append(s.history, report)
	if (n+1)%int(time.Second/simStep) == 0 {
		s.flips.add(s.flows, counts)
		s.flows = matrix(s.zones)
	}
}

// plan applies the newest reports that have arrived at a host.
func (s *sim) plan(n int, h *simHost, t time.Duration) {
	at := max(0, n-simDelay-s.r.IntN(simInterval))
	if n == 0 {
		return
	}
	h.view = append([]Zone(nil), s.history[min(at, len(s.history)-1)]...)
	if other := 1 - h.zone; s.lost && other >= 0 && t > simLostFrom {
		h.view[other] = s.history[simLostFrom/simStep][other]
		h.view[other].Age = t - simLostFrom
	}
	switch s.policy {
	case policyPlan:
		h.credits.SetShares(h.planner.Plan(t, s.service(h.view))[zoneName(h.zone)], s.r)
	case policyEqual:
		h.credits.SetShares(equalShares(h.view, h.zone), s.r)
	}
}

// equalShares returns the shares that give all zones the same utilization.
func equalShares(view []Zone, zone int) map[string]float64 {
	arrivals, capacity, room := 0.0, 0.0, 0.0
	for _, z := range view {
		arrivals, capacity = arrivals+z.Arrivals, capacity+z.Capacity
	}
	target := arrivals / capacity
	for _, z := range view {
		room += max(0, target*z.Capacity-z.Arrivals)
	}
	excess := max(0, view[zone].Arrivals-target*view[zone].Capacity)
	out := make(map[string]float64)
	for _, z := range view {
		if free := max(0, target*z.Capacity-z.Arrivals); free > 0 && excess > 0 {
			out[z.Name] = excess * free / room / view[zone].Arrivals
		}
	}
	return out
}

// choose returns the zone that the next request of a host goes to now, or -1 if none has room.
func (s *sim) choose(h *simHost) int {
	hasRoom := func(z int) bool { return s.running[z] < s.slots(z) }
	utilization := func(z int) float64 { return float64(s.running[z]) / float64(max(1, s.slots(z))) }
	offset := s.r.IntN(s.zones)
	best := -1
	for i := range s.zones {
		z := (i + offset) % s.zones
		if z == h.zone || !hasRoom(z) {
			continue
		}
		switch s.policy {
		case policyPlan, policyEqual:
			if h.credits.Allows(zoneName(z)) && (!hasRoom(h.zone) || s.policy == policyEqual) {
				h.credits.Use(zoneName(z))
				return z
			}
		case policyFixed:
			if (best < 0 || utilization(z) < utilization(best)) && (!hasRoom(h.zone) || utilization(h.zone) > utilization(z)+0.6) {
				best = z
			}
		case policyThreshold:
			if h.view != nil && float64(h.view[h.zone].Waiting) > 0.1*simCapacity && h.view[z].Waiting < h.view[h.zone].Waiting && (best < 0 || h.view[z].Waiting < h.view[best].Waiting) {
				best = z
			}
		}
	}
	if best < 0 && hasRoom(h.zone) {
		return h.zone
	}
	return best
}

// bestSplit returns the best result with all information available immediately, for given arrivals: in
// each window, which is as long as a request may wait, the excess of the zones is sent to free
// capacity, and nothing else is.
func bestSplit(c simCase, arrivals [][]float64) simResult {
	var out simResult
	var f flips
	flows := matrix(c.zones)
	for w, byZone := range arrivals {
		t := time.Duration(w*simWindow) * simStep
		g := newTransport(c.zones)
		for z, arrived := range byZone {
			capacity := simCapacity * simWindow * simStep.Seconds()
			if z == c.noEndpoints {
				capacity = 0
			}
			g.supply[z], g.room[z] = max(0, arrived-capacity), max(0, capacity-arrived)
			for i := range c.zones {
				g.cost[z][i] = 0.01
			}
			if t >= simSettle {
				out.served += min(arrived, capacity)
				out.arrived += arrived
			}
		}
		g.solve()
		for a := range flows {
			for b := range flows {
				flows[a][b] += g.flow[a][b]
				if t >= simSettle {
					out.sent += g.flow[a][b]
					out.served += g.flow[a][b]
				}
			}
		}
		if (w+1)%int(time.Second/simStep/simWindow) == 0 {
			f.add(flows, t >= simSettle)
			flows = matrix(c.zones)
		}
	}
	out.reversals = f.count
	return out
}

// loadReversals returns how often the load of a zone crosses its capacity.
func loadReversals(c simCase) int {
	n := 0
	for z := range c.zones {
		for t := simSettle; t < simDuration; t += simStep {
			if (c.load(t, z) > 1) != (c.load(t-simStep, z) > 1) {
				n++
			}
		}
	}
	return n
}

// poisson draws from a Poisson distribution.
func poisson(r *rand.Rand, mean float64) int {
	limit, k := math.Exp(-mean), 0
	for p := r.Float64(); p > limit; p *= r.Float64() {
		k++
	}
	return k
}
