// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/feed"
	"github.com/heathkeel/heathkeel/places"
	"github.com/heathkeel/heathkeel/route"
	"github.com/heathkeel/heathkeel/sched"
)

// TestSlotRequests checks what a host sends to the owners of slots, and when.
func TestSlotRequests(t *testing.T) {
	b, now := newBalancerWithEngines(2)
	s := &Server{balance: b}
	requests, waits := s.SlotRequests(false)
	must.MapEmpty(t, requests)
	must.False(t, waits)
	c := &call{
		route: &route.Route{Name: "r"}, service: &route.Service{Name: "s", Engine: true},
		req: &sched.Request{Model: "s", PromptTokens: 100, MaxTokens: 50, Deadline: 10 * time.Second, Objective: sched.Objective{FirstToken: time.Second}},
	}
	d := b.submit(c)
	must.EqOp(t, sched.Run, d.Verdict)
	c.endpoint = feed.Endpoint{Instance: d.Endpoint}
	one := map[string]places.Request{d.Endpoint: {Running: 1, Rank: -1}}
	requests, _ = s.SlotRequests(false)
	must.Eq(t, one, requests)
	requests, _ = s.SlotRequests(false)
	must.MapEmpty(t, requests) // already sent
	*now += fullSendInterval
	requests, _ = s.SlotRequests(false)
	must.Eq(t, one, requests) // sent again
	s.HandleGrants(map[string]places.Grant{d.Endpoint: {Slots: 1}})
	requests, _ = s.SlotRequests(false)
	must.Eq(t, map[string]places.Request{d.Endpoint: {Running: 1, Rank: -1, Returned: true}}, requests) // no request waits for the slot
	b.endSend(c, sched.Completed, 10, 0)
	requests, _ = s.SlotRequests(false)
	must.Eq(t, map[string]places.Request{d.Endpoint: {Rank: -1}}, requests)
}

// TestHandleSlotRequests checks what the owner of an endpoint's ten slots answers to hosts.
func TestHandleSlotRequests(t *testing.T) {
	b, _ := newBalancerWithEngines(1)
	s := &Server{balance: b}
	got := s.HandleSlotRequests("x", 1, 1, map[string]places.Request{"e0": {Running: 9, Rank: -1}, "unknown": {Running: 1, Rank: 0}})
	must.MapEmpty(t, got)
	got = s.HandleSlotRequests("y", 1, 1, map[string]places.Request{"e0": {Rank: 1}})
	must.Eq(t, map[string]map[string]places.Grant{"y": {"e0": {Running: 9}}}, got) // the last slot is reserved for the top tier
	got = s.HandleSlotRequests("x", 1, 2, map[string]places.Request{"e0": {Running: 5, Rank: -1}})
	must.Eq(t, map[string]map[string]places.Grant{"y": {"e0": {Slots: 1, Running: 5}}}, got) // a waiting host gets its grant when slots get free
	b.setEndpoints(0, nil, nil)
	must.MapEmpty(t, b.slots.allocators)
}
