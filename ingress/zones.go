// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/go-logr/logr"

	"github.com/heathkeel/heathkeel/peers"
	"github.com/heathkeel/heathkeel/sched"
	"github.com/heathkeel/heathkeel/spill"
)

// Parameters of what is learned for the plans of package spill.
const (
	// planInterval is the time between two plans: that between two heartbeats.
	planInterval = 200 * time.Millisecond
	// zoneRateHalfLife is the half-life of arrivals in the reported rate. With 600 ms, 0.977 instead
	// of 0.987 of the requests were served under moving waves.
	zoneRateHalfLife = 400 * time.Millisecond
	// workGain, requestTimeGain and byteGain are the gains of the moving averages of the work of a
	// request at engines, of its time at one plain endpoint, and of its bytes. A sample counts as
	// maxSampleRatio times the average at most.
	workGain        = 0.02
	requestTimeGain = 0.05
	byteGain        = 0.02
	maxSampleRatio  = 4
	// delayQuantile is the quantile of the times to open a connection that is taken for the round
	// trip: waiting for the processor can only make them longer.
	delayQuantile = 0.25
	// zoneDataTTL is the age of the reports of this host's own zone up to which shares stay in force. Zones that were never heard of
	// count as this old; package spill sends nothing to zones whose data is as old (lostAge).
	zoneDataTTL = 30 * time.Second
)

// zones learns the demand and the capacity of the availability zones, plans what this host's zone
// sends to others, and counts what was sent. balancer.mu guards it.
type zones struct {
	own      string
	observed bool    // plan by demand; else the scheduler's constant cost applies
	price    float64 // of a GB between zones
	log      logr.Logger

	services  map[string]*serviceDemand
	roundTrip map[string]*sched.Quantile // from this zone, by zone
	liveHosts map[string]int             // other hosts heard from recently, by zone
	heardAt   map[string]time.Duration   // when the demand of a zone was last reported
	plannedAt time.Duration
	traffic   map[trafficKey]*ZoneTraffic
}

// newZones returns the state of a host in zone own.
func newZones(own string) zones {
	return zones{
		own: own, services: make(map[string]*serviceDemand), roundTrip: make(map[string]*sched.Quantile), liveHosts: make(map[string]int),
		heardAt: make(map[string]time.Duration), traffic: make(map[trafficKey]*ZoneTraffic), plannedAt: -planInterval,
	}
}

// service returns the state of a service.
func (z *zones) service(name string) *serviceDemand {
	d := z.services[name]
	if d == nil {
		d = &serviceDemand{}
		z.services[name] = d
	}
	return d
}

// noteArrival counts a request of a caller.
func (z *zones) noteArrival(now time.Duration, c *call) {
	if !z.observed {
		return
	}
	d := z.service(c.service.Name)
	d.rate, d.rateAt = d.decayedRate(now)+math.Ln2/zoneRateHalfLife.Seconds(), now
	d.objective = c.route.Objective
}

// noteServed learns the time of a request that was served. load is the number of requests that were at
// the endpoint when it was sent. Requests to full endpoints may have waited there and count only while
// nothing is known: with them, plain services under load seemed to have 0.85 of their capacity.
func (z *zones) noteServed(c *call, t *target, load float64, elapsed time.Duration) {
	if !z.observed || elapsed <= 0 {
		return
	}
	d := z.service(t.Service)
	full := load+1 > float64(cmp.Or(t.Slots, sched.DefaultSlots))
	if !c.service.Engine {
		if !full || t.requestTime == 0 {
			learn(&t.requestTime, elapsed.Seconds(), requestTimeGain)
		}
	} else if step := t.stepTime(); step > 0 && (!full || d.work == 0) {
		learn(&d.work, elapsed.Seconds()/step.Seconds(), workGain)
	}
}

// learn adds a sample to a moving average; the first sample sets it.
func learn(average *float64, sample, gain float64) {
	if *average == 0 {
		*average = sample
	}
	*average += gain * (min(sample, maxSampleRatio**average) - *average)
}

// noteTransfer counts the bytes of a call that has ended.
func (b *balancer) noteTransfer(c *call) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := float64(int64(len(c.body)) + c.responseBytes)
	if c.req.CrossReason() != sched.CrossNone {
		b.zones.trafficOf(c.req, c.endpoint.Zone).Bytes += int64(n)
	}
	if b.zones.observed {
		d := b.zones.service(c.service.Name)
		d.bytes += byteGain * (n - d.bytes)
	}
}

// observeDial learns the round trip to the zone of an endpoint from the time to open a connection.
func (b *balancer) observeDial(zone string, elapsed time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	q := b.zones.roundTrip[zone]
	if q == nil {
		q = &sched.Quantile{}
		b.zones.roundTrip[zone] = q
	}
	q.Observe(float64(elapsed), delayQuantile)
}

// delay returns the one-way latency between two zones. Hosts learn it between their own zone and
// others; for other pairs it is the mean of these.
func (z *zones) delay(from, to string) time.Duration {
	if from == to {
		return 0
	}
	if to == z.own {
		from, to = to, from
	}
	if q := z.roundTrip[to]; from == z.own && q != nil {
		return time.Duration(q.Value / 2)
	}
	sum, n := 0.0, 0.0
	for zone, q := range z.roundTrip {
		if zone != z.own {
			sum, n = sum+q.Value/2, n+1
		}
	}
	return time.Duration(sum / max(1, n))
}

// demands returns this host's part of the demand; mu must be held.
func (b *balancer) demands(now time.Duration) peers.ZoneDemands {
	if !b.zones.observed {
		return nil
	}
	out := peers.ZoneDemands{b.zone: make(map[string]peers.ZoneDemand)}
	for name, d := range b.zones.services {
		out[b.zone][name] = peers.ZoneDemand{Arrivals: math.Round(10*d.decayedRate(now)) / 10, Hosts: 1}
	}
	for model, tiers := range b.sched.OwnWaiting() {
		service := strings.TrimSuffix(model, newVersionSuffix)
		d := out[b.zone][service]
		for _, n := range tiers {
			d.Waiting += n
		}
		d.Hosts = 1
		out[b.zone][service] = d
	}
	for _, t := range b.targets {
		if _, ok := out[b.zone][t.Service]; !ok {
			out[b.zone][t.Service] = peers.ZoneDemand{Hosts: 1} // an idle zone differs from one without reports
		}
		if t.ownLoad.Running > 0 {
			out.Add(peers.ZoneDemands{t.Zone: {t.Service: {Running: t.ownLoad.Running}}}, 1)
		}
	}
	return out
}

// planZones plans what this host's zone sends to others, at most once in planInterval; mu must be held.
func (b *balancer) planZones(now time.Duration, loads *peers.PeerLoads) {
	z := &b.zones
	if !z.observed || now-z.plannedAt < planInterval {
		return
	}
	z.plannedAt = now
	total := make(peers.ZoneDemands)
	total.Add(loads.Zones, 1)
	total.Add(b.demands(now), 1)
	reporting := make(map[string]bool)
	ownReported := z.liveHosts[z.own] == 0
	for _, d := range loads.Zones[z.own] {
		ownReported = ownReported || d.Hosts > 0
	}
	for zone, services := range total {
		for _, d := range services {
			reporting[zone] = reporting[zone] || d.Hosts > 0
		}
		if reporting[zone] && (zone != z.own || ownReported) {
			z.heardAt[zone] = now - loads.Age
		}
	}
	capacities := b.capacities(now)
	for _, name := range slices.Sorted(maps.Keys(z.services)) {
		d := z.services[name]
		models := []string{name, name + newVersionSuffix}
		if capacities[name] == nil || (!ownReported && now-z.heardAt[z.own] > zoneDataTTL) {
			b.sched.SetZoneShares(models, nil)
			continue
		}
		if !ownReported {
			continue // without the demand of its own zone a host would send too little
		}
		s := b.spillService(now, name, total, capacities[name])
		shares := d.planner.Plan(now, s)[z.own]
		costs := make(map[string]float64)
		for zone := range shares {
			costs[zone] = s.Cost(z.own, zone)
		}
		b.sched.SetZoneShares(models, &sched.ZoneShares{Shares: shares, Costs: costs})
		z.logSending(name, d, shares)
	}
}

// spillService returns the input of the plan of a service; mu must be held.
func (b *balancer) spillService(now time.Duration, name string, total peers.ZoneDemands, capacity map[string]float64) *spill.Service {
	z := &b.zones
	known := map[string]bool{z.own: true}
	for zone := range capacity {
		known[zone] = true
	}
	for zone := range total {
		known[zone] = true
	}
	d := z.services[name]
	s := &spill.Service{Objective: d.objective, Bytes: d.bytes, Price: z.price, Delay: z.delay}
	for _, zone := range slices.Sorted(maps.Keys(known)) {
		demand := total[zone][name]
		state := spill.Zone{
			Name: zone, Capacity: capacity[zone], Arrivals: demand.Arrivals, Waiting: demand.Waiting,
			Age: now - z.heardAt[zone], Evacuated: b.evacuated[zone], Hostless: zone != z.own && z.liveHosts[zone] == 0,
		}
		if _, ok := z.heardAt[zone]; !ok {
			state.Age = zoneDataTTL
		}
		s.Zones = append(s.Zones, state)
	}
	return s
}

// capacities returns the requests per second that the endpoints of each service can serve, by zone.
// Cold and ejected endpoints count nothing. Services without a known time of a request have no entry; mu must be
// held.
func (b *balancer) capacities(now time.Duration) map[string]map[string]float64 {
	out := make(map[string]map[string]float64)
	times := b.requestTimes()
	for incarnation, t := range b.targets {
		if times[incarnation] <= 0 {
			continue
		}
		if out[t.Service] == nil {
			out[t.Service] = make(map[string]float64)
		}
		if b.getsRequests(t) && now >= t.coldUntil && !b.sched.EndpointEjected(now, incarnation) {
			out[t.Service][t.Zone] += float64(cmp.Or(t.Slots, sched.DefaultSlots)) / times[incarnation]
		}
	}
	return out
}

// requestTimes returns the mean time of a request in seconds by endpoint: at an engine the work in steps
// times its step time, at a plain service what was observed there, or the mean of the service's other
// endpoints; mu must be held.
func (b *balancer) requestTimes() map[string]float64 {
	sum, n := make(map[string]float64), make(map[string]float64)
	for _, t := range b.targets {
		if t.requestTime > 0 {
			sum[t.Service] += t.requestTime
			n[t.Service]++
		}
	}
	step := b.meanStepTime()
	out := make(map[string]float64, len(b.targets))
	for incarnation, t := range b.targets {
		switch d := b.zones.services[t.Service]; {
		case t.requestTime > 0:
			out[incarnation] = t.requestTime
		case n[t.Service] > 0:
			out[incarnation] = sum[t.Service] / n[t.Service]
		case d != nil:
			out[incarnation] = d.work * cmp.Or(t.stepTime(), step[t.Service]).Seconds()
		}
	}
	return out
}

// logSending logs when this host's zone starts and stops sending a service's requests to other zones.
func (z *zones) logSending(service string, d *serviceDemand, shares map[string]float64) {
	sends := len(shares) > 0
	if sends == d.sends {
		return
	}
	d.sends = sends
	if sends {
		z.log.Info("zone starts sending requests to other zones", "service", service, "from", z.own, "shares", shares)
	} else {
		z.log.Info("zone stops sending requests to other zones", "service", service, "from", z.own)
	}
}

// SetZoneHosts sets the number of other hosts heard from recently, by availability zone.
func (s *Server) SetZoneHosts(n map[string]int) {
	s.balance.mu.Lock()
	defer s.balance.mu.Unlock()
	s.balance.zones.liveHosts = n
}

// ZoneDemands returns this host's part of the demand by zone and service, or nil if hosts do not plan by it.
func (s *Server) ZoneDemands() peers.ZoneDemands {
	s.balance.mu.Lock()
	defer s.balance.mu.Unlock()
	return s.balance.demands(s.Now())
}
