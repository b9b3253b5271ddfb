// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import (
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/feed"
	"github.com/heathkeel/heathkeel/peers"
	"github.com/heathkeel/heathkeel/route"
	"github.com/heathkeel/heathkeel/sched"
)

// TestZonePlan guards against a host that reports a wrong part of the demand, plans without knowing what
// endpoints can serve or without its own zone's demand, sends to another zone more or for longer than
// planned, or counts and logs it wrongly.
func TestZonePlan(t *testing.T) {
	b, now := newBalancerWithEngines(1)
	b.setEndpoints(0, []feed.Endpoint{{Instance: "e0", Service: "s", Slots: 10, Zone: "z"}, {Instance: "e1", Service: "s", Slots: 10, Zone: "y"}}, nil)
	var lines []string
	b.zones.observed, b.zones.log = true, funcr.New(func(_, line string) { lines = append(lines, line) }, funcr.Options{})
	b.zones.liveHosts = map[string]int{"z": 1, "y": 2}
	s := &Server{balance: b, Now: b.now}
	submit := func() *call {
		c := &call{
			route: &route.Route{Name: "r", Objective: time.Second}, service: &route.Service{Name: "s", Engine: true}, body: make([]byte, 1000),
			req: &sched.Request{PromptTokens: 10, MaxTokens: 5, Deadline: time.Hour, Objective: sched.Objective{FirstToken: time.Second}, Data: make(chan sched.Decision, 1)},
		}
		if d := b.submit(c); d.Verdict == sched.Run {
			c.endpoint = b.targets[d.Endpoint].Endpoint
		}
		c.timings.lastSent = *now
		return c
	}
	// Others in this zone and in zone y, which is idle.
	others := peers.ZoneDemands{"z": {"s": {Arrivals: 60, Hosts: 1}}, "y": {"s": {Hosts: 2}}}
	apply := func(z peers.ZoneDemands) {
		*now += planInterval
		b.setPeerLoads(*now, peers.PeerLoads{Zones: z, Age: 450 * time.Millisecond})
	}

	must.Eq(t, peers.ZoneDemands{"z": {"s": {Hosts: 1}}}, s.ZoneDemands()) // idle, and heard
	c := submit()
	apply(others)
	must.MapEmpty(t, b.capacities(*now)) // no request has ended
	b.observeStep(c, 2*time.Millisecond)
	*now += 50 * time.Millisecond // 250 ms in all: 125 steps, and 40 requests a second in each zone
	b.endSend(c, sched.Completed, 5, 0)
	must.Between(t, 39, b.capacities(*now)["s"]["z"], 41)
	must.EqOp(t, 1, s.ZoneDemands()["z"]["s"].Hosts)
	must.Between(t, 0.5, s.ZoneDemands()["z"]["s"].Arrivals, 1.8)

	apply(others)
	must.Len(t, 1, lines)
	must.StrContains(t, lines[0], "starts sending")
	b.targets["e0"].peerLoad.Running = 30 // no room at home
	b.reportLoads(*now)
	crossed := 0
	for range 30 {
		c := submit()
		if c.endpoint.Zone == "y" {
			crossed++
			c.responseBytes = 500
			b.noteTransfer(c)
			b.endSend(c, sched.Canceled, 0, 0)
		} else {
			b.withdraw(c)
		}
	}
	// Of 61 requests a second 38 are served at home at least.
	must.Between(t, 8, crossed, 14)
	must.Eq(t, []ZoneTraffic{{From: "z", To: "y", Reason: sched.CrossShare, Requests: int64(crossed), Bytes: 1500 * int64(crossed)}}, s.CrossZoneTraffic())

	apply(peers.ZoneDemands{"y": {"s": {Hosts: 2}}}) // without reports of this zone the shares stay
	must.Len(t, 1, lines)
	*now += 5 * time.Second
	apply(peers.ZoneDemands{"z": {"s": {Arrivals: 10, Hosts: 1}}, "y": {"s": {Hosts: 2}}})
	must.Len(t, 2, lines)
	must.True(t, strings.Contains(lines[1], "stops sending"))
	must.EqOp(t, "", submit().endpoint.Zone)
}

// TestZoneDelays guards against latencies that include more than the round trip, or that are unknown for
// pairs of other zones.
func TestZoneDelays(t *testing.T) {
	b, _ := newBalancerWithEngines(1)
	for range 300 {
		for _, slow := range []time.Duration{0, 0, 0, 30 * time.Millisecond} { // the process waited for the processor
			b.observeDial("y", 2*time.Millisecond+slow)
			b.observeDial("x", 6*time.Millisecond+slow)
		}
	}
	must.Between(t, 900*time.Microsecond, b.zones.delay("z", "y"), 1300*time.Microsecond)
	must.Between(t, 2700*time.Microsecond, b.zones.delay("x", "z"), 3900*time.Microsecond)
	must.Between(t, 1800*time.Microsecond, b.zones.delay("x", "y"), 2600*time.Microsecond)
	must.Zero(t, b.zones.delay("x", "x"))
}
