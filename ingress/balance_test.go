// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/feed"
	"github.com/heathkeel/heathkeel/outlier"
	"github.com/heathkeel/heathkeel/peers"
	"github.com/heathkeel/heathkeel/route"
	"github.com/heathkeel/heathkeel/sched"
)

// newBalancerWithEngines returns a balancer with n engines of one service, named e0, e1 and so on, and its clock.
func newBalancerWithEngines(n int) (*balancer, *time.Duration) {
	now := new(time.Duration)
	b := newBalancer("z", sched.Config{}, rand.New(rand.NewPCG(1, 1)), func() time.Duration { return *now })
	b.setTable(&route.Table{Document: &route.Document{Services: []route.Service{{Name: "s", Engine: true}}}})
	var list []feed.Endpoint
	for i := range n {
		list = append(list, feed.Endpoint{Instance: fmt.Sprint("e", i), Service: "s", Slots: 10, Zone: "z"})
	}
	b.setEndpoints(0, list, nil)
	return b, now
}

// TestStepTimeOfRunningStreams checks that an engine's step time is known from the first events of a stream that still runs, and
// that the prefill of long prompts in between does not hide it.
func TestStepTimeOfRunningStreams(t *testing.T) {
	b, _ := newBalancerWithEngines(2)
	c := &call{endpoint: feed.Endpoint{Instance: "e0"}}
	must.EqOp(t, 0, b.targets["e0"].stepTime())
	b.observeStep(c, 3*time.Millisecond)
	must.EqOp(t, 3*time.Millisecond, b.targets["e0"].stepTime())
	for range 200 {
		for _, d := range []time.Duration{3, 3, 3, 40} {
			b.observeStep(c, d*time.Millisecond)
		}
	}
	must.Between(t, 2900*time.Microsecond, b.targets["e0"].stepTime(), 3700*time.Microsecond)
	must.EqOp(t, 0, b.targets["e1"].stepTime())
	must.EqOp(t, b.targets["e0"].stepTime(), b.meanStepTime()["s"]) // the step time assumed for e1
}

// TestStepTimeFromPeers checks that the step time reported by other hosts is used until this host has observed one.
func TestStepTimeFromPeers(t *testing.T) {
	b, now := newBalancerWithEngines(1)
	b.setPeerLoads(*now, peers.PeerLoads{Load: map[string]peers.Load{"e0": {Running: 1, Step: 8000}}})
	must.EqOp(t, 8*time.Millisecond, b.targets["e0"].stepTime())
	b.setPeerLoads(*now, peers.PeerLoads{})
	must.EqOp(t, 8*time.Millisecond, b.targets["e0"].stepTime()) // the last known value is kept
	b.observeStep(&call{endpoint: feed.Endpoint{Instance: "e0"}}, 2*time.Millisecond)
	must.EqOp(t, 2*time.Millisecond, b.targets["e0"].stepTime())
}

// TestFailuresSteerDispatch checks that an endpoint that fails its requests gets no more, unless all endpoints fail.
func TestFailuresSteerDispatch(t *testing.T) {
	cases := []struct {
		name    string
		failing []string
		want    map[string]bool
	}{
		{"one fails", []string{"e0"}, map[string]bool{"e1": true}},
		{"all fail", []string{"e0", "e1"}, map[string]bool{"e0": true, "e1": true}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			b, now := newBalancerWithEngines(2)
			// send sends a repeatable request and lets it fail at failing endpoints.
			send := func() string {
				c := &call{
					route: &route.Route{Name: "r", Kind: route.Repeatable}, service: &route.Service{Name: "s", Engine: true},
					req: &sched.Request{Model: "s", PromptTokens: 100, MaxTokens: 50, ExpectedTokens: 50, Deadline: 10 * time.Second, Objective: sched.Objective{FirstToken: time.Second}},
				}
				d := b.submit(c)
				must.EqOp(t, sched.Run, d.Verdict)
				c.endpoint = feed.Endpoint{Instance: d.Endpoint}
				if slices.Contains(tc.failing, d.Endpoint) {
					b.noteFailure(c, outlier.Unanswered)
				}
				b.endSend(c, sched.Canceled, 0, 0)
				return d.Endpoint
			}
			for range 20 {
				send()
			}
			b.tick(*now)
			b.setPeerLoads(*now, peers.PeerLoads{})
			got := make(map[string]bool)
			for range 40 {
				got[send()] = true
			}
			must.Eq(t, tc.want, got)
		})
	}
}

// TestPrefillRate checks that the prefill rate is learned from long prompts, for all engines of the service.
func TestPrefillRate(t *testing.T) {
	b, _ := newBalancerWithEngines(2)
	c := &call{endpoint: feed.Endpoint{Instance: "e0"}}
	cases := []struct {
		name   string
		prompt int
		took   time.Duration
		want   int
	}{
		{"no sample", 0, 0, defaultPrefillPerStep},
		{"a short prompt is no sample", 100, time.Millisecond, defaultPrefillPerStep},
		{"a long prompt is a sample", 10000, 300 * time.Millisecond, 100},
	}
	b.observeStep(c, 3*time.Millisecond)
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			b.observePrefill(b.targets["e0"], tc.prompt, tc.took)
			must.EqOp(t, tc.want, b.prefillRate("s"))
		})
	}
}

// TestTakeChangedLoads checks that a changed load is reported once, also when an endpoint becomes idle.
func TestTakeChangedLoads(t *testing.T) {
	b, _ := newBalancerWithEngines(2)
	c := &call{
		req:   &sched.Request{Model: "s", PromptTokens: 100, Deadline: time.Hour, Objective: sched.Objective{FirstToken: time.Second}, Data: make(chan sched.Decision, 1)},
		route: &route.Route{}, service: &route.Service{Name: "s", Engine: true},
	}
	_, _, ok := b.takeChangedLoads()
	must.False(t, ok)
	d := b.submit(c)
	must.EqOp(t, sched.Run, d.Verdict)
	c.endpoint.Instance = d.Endpoint
	load, waiting, ok := b.takeChangedLoads()
	must.True(t, ok)
	must.Eq(t, map[string]peers.Load{d.Endpoint: {Running: 1, Prefill: 100}}, load)
	must.MapEmpty(t, waiting)
	_, _, ok = b.takeChangedLoads()
	must.False(t, ok)
	b.endSend(c, sched.Completed, 1, 0)
	load, _, ok = b.takeChangedLoads()
	must.True(t, ok)
	must.Eq(t, map[string]peers.Load{d.Endpoint: {Good: 10}}, load)
}
