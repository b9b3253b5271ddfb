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

// TestAsks holds what a host tells the owners of places, and when.
func TestAsks(t *testing.T) {
	b, now := engines(2)
	s := &Server{balance: b}
	asks, waits := s.SlotRequests()
	must.MapEmpty(t, asks)
	must.False(t, waits)
	c := &call{
		route: &route.Route{Name: "r"}, service: &route.Service{Name: "s", Engine: true},
		req: &sched.Request{Model: "s", PromptTokens: 100, MaxTokens: 50, Deadline: 10 * time.Second, Objective: sched.Objective{FirstToken: time.Second}},
	}
	d := b.submit(c)
	must.EqOp(t, sched.Run, d.Verdict)
	c.at = feed.Endpoint{Instance: d.Endpoint}
	one := map[string]places.Request{d.Endpoint: {Running: 1, Rank: -1}}
	asks, _ = s.SlotRequests()
	must.Eq(t, one, asks)
	asks, _ = s.SlotRequests()
	must.MapEmpty(t, asks) // it is told
	*now += refreshAsks
	asks, _ = s.SlotRequests()
	must.Eq(t, one, asks) // told again
	s.HandleGrants(map[string]places.Grant{d.Endpoint: {Slots: 1}})
	asks, _ = s.SlotRequests()
	must.Eq(t, map[string]places.Request{d.Endpoint: {Running: 1, Rank: -1, Returned: true}}, asks) // nothing waits for it
	b.done(c, sched.Completed, 10, 0)
	asks, _ = s.SlotRequests()
	must.Eq(t, map[string]places.Request{d.Endpoint: {Rank: -1}}, asks)
}

// TestAsked holds what an owner answers to hosts that ask for the ten places of an endpoint.
func TestAsked(t *testing.T) {
	b, _ := engines(1)
	s := &Server{balance: b}
	got := s.HandleSlotRequests("x", 1, 1, map[string]places.Request{"e0": {Running: 9, Rank: -1}, "unknown": {Running: 1, Rank: 0}})
	must.MapEmpty(t, got)
	got = s.HandleSlotRequests("y", 1, 1, map[string]places.Request{"e0": {Rank: 1}})
	must.Eq(t, map[string]map[string]places.Grant{"y": {"e0": {Running: 9}}}, got) // the last one is the top tier's
	got = s.HandleSlotRequests("x", 1, 2, map[string]places.Request{"e0": {Running: 5, Rank: -1}})
	must.Eq(t, map[string]map[string]places.Grant{"y": {"e0": {Slots: 1, Running: 5}}}, got) // who waits is told when places get free
	b.setEndpoints(0, nil)
	must.MapEmpty(t, b.owner.books)
}
