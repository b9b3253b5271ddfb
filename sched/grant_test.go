// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package sched

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/places"
	"github.com/heathkeel/heathkeel/settings"
)

// scarceHost is a host of a fleet, which has heard of its endpoints as they are full.
func scarceHost(t *testing.T, engines int) (*Scheduler, func(at time.Duration) *Request) {
	t.Helper()
	s := newFleet(20, engines, 450*time.Millisecond, Rules{}).hosts[0]
	for _, e := range s.endpoints {
		s.ApplyReport(0, e.Name, Report{Slots: 7, Running: 7, Step: 5 * time.Millisecond, Model: "m", AcceptsPrompts: true, Estimated: true})
	}
	s.SetPeerState(PeerState{Age: 450 * time.Millisecond, Waiting: map[string][]int{"m": {0, 20}}})
	request := func(at time.Duration) *Request {
		return &Request{
			Settings: &settings.Effective{Workspace: "w", Service: "s", Weight: 1, MaxQueued: 100, Rank: 1}, Model: "m", PromptTokens: 50, MaxTokens: 50,
			ExpectedTokens: 50, Arrived: at, DispatchBy: at + 200*time.Millisecond, Deadline: at + 10*time.Second, Objective: Objective{FirstToken: time.Second},
		}
	}
	s.DrawClaims(0)
	return s, request
}

// TestGrants plays a host whose request waits for a place that an owner gives.
func TestGrants(t *testing.T) {
	const ms = time.Millisecond
	s, request := scarceHost(t, 8)
	s.ApplyGrant(0, "e0", places.Grant{Running: 7}) // owners answer
	r := request(0)
	must.EqOp(t, Wait, s.Submit(0, r).Verdict)
	s.DrawClaims(25 * ms)
	s.Wake()
	must.SliceEmpty(t, s.Poll(25*ms)) // a full endpoint is nobody's to fill
	wants := s.SlotRequests(25 * ms)
	must.MapLen(t, asksPerRequest, wants)
	for _, rank := range wants {
		must.EqOp(t, 1, rank)
	}
	must.True(t, s.ApplyGrant(30*ms, "e3", places.Grant{Slots: 1, Running: 5}))
	got := s.Poll(30 * ms)
	must.SliceLen(t, 1, got)
	must.EqOp(t, "e3", got[0].Endpoint)
	must.MapEmpty(t, s.SlotRequests(30*ms))
	must.False(t, s.ApplyGrant(31*ms, "e4", places.Grant{Slots: 1, Running: 5})) // nothing waits any more
}

// TestGrantIsOld checks that a granted place is not taken once its owner may have given it to another host.
func TestGrantIsOld(t *testing.T) {
	const ms = time.Millisecond
	s, request := scarceHost(t, 2)
	first := request(0)
	must.EqOp(t, Wait, s.Submit(0, first).Verdict)
	must.True(t, s.Withdraw(first))
	s.ApplyGrant(0, "e0", places.Grant{Slots: 1, Running: 7})
	s.DrawClaims(grantFor + ms)
	s.ApplyGrant(grantFor+ms, "e1", places.Grant{Running: 7})
	must.Zero(t, s.byName["e0"].claims)
	must.EqOp(t, Wait, s.Submit(grantFor+ms, request(grantFor+ms)).Verdict)
}

// TestOwnersAreSilent checks that a host goes on by claims where an owner does not answer, and everywhere once none does.
func TestOwnersAreSilent(t *testing.T) {
	s, request := scarceHost(t, 2)
	s.ApplyGrant(1, "e0", places.Grant{Running: 7})
	must.True(t, s.owned(2, s.byName["e1"]))
	r := request(2)
	must.EqOp(t, Wait, s.Submit(2, r).Verdict)
	s.DrawClaims(2)
	must.MapLen(t, 2, s.SlotRequests(2))
	s.ApplyGrant(deafFor, "e0", places.Grant{Running: 7})
	s.SlotRequests(deafFor)
	must.True(t, s.owned(deafFor+2, s.byName["e0"]))
	must.False(t, s.owned(deafFor+2, s.byName["e1"]))
	must.False(t, s.owned(deafFor+ownedFor, s.byName["e0"]))
}

// TestOwnerKnowsBetter checks that what an owner tells of other hosts' requests is not overwritten by older news.
func TestOwnerKnowsBetter(t *testing.T) {
	s, _ := scarceHost(t, 1)
	e := s.byName["e0"]
	s.ApplyGrant(1, "e0", places.Grant{Running: 3})
	must.EqOp(t, 3, e.others)
	s.ApplyReport(2, "e0", Report{At: 2, Slots: 7, Running: 7, Model: "m", AcceptsPrompts: true, Estimated: true})
	must.EqOp(t, 3, e.others)
	s.ApplyReport(exactFor+2, "e0", Report{At: exactFor + 2, Slots: 7, Running: 7, Model: "m", AcceptsPrompts: true, Estimated: true})
	must.EqOp(t, 7, e.others)
}
