// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package sched

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/outlier"
	"github.com/heathkeel/heathkeel/places"
	"github.com/heathkeel/heathkeel/settings"
)

// scarceHost returns a host of a fleet whose endpoints are reported as full.
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

// TestGrants checks a request that waits for a slot until an owner grants one.
func TestGrants(t *testing.T) {
	const ms = time.Millisecond
	s, request := scarceHost(t, 8)
	s.ApplyGrant(0, "e0", places.Grant{Running: 7}) // owners answer
	r := request(0)
	must.EqOp(t, Wait, s.Submit(0, r).Verdict)
	s.DrawClaims(25 * ms)
	s.Wake()
	must.SliceEmpty(t, s.Poll(25*ms)) // full endpoints are not filled without a grant
	asked := s.SlotRequests(25*ms, false)
	must.MapLen(t, endpointsAskedPerRequest, asked)
	for _, rank := range asked {
		must.EqOp(t, 1, rank)
	}
	must.True(t, s.ApplyGrant(30*ms, "e3", places.Grant{Slots: 1, Running: 5}))
	decisions := s.Poll(30 * ms)
	must.SliceLen(t, 1, decisions)
	must.EqOp(t, "e3", decisions[0].Endpoint)
	must.MapEmpty(t, s.SlotRequests(30*ms, false))
	must.False(t, s.ApplyGrant(31*ms, "e4", places.Grant{Slots: 1, Running: 5})) // no request waits any more
}

// TestGrantExpires checks that a granted slot is not taken once its owner may have granted it to
// another host.
func TestGrantExpires(t *testing.T) {
	const ms = time.Millisecond
	s, request := scarceHost(t, 2)
	first := request(0)
	must.EqOp(t, Wait, s.Submit(0, first).Verdict)
	must.True(t, s.Withdraw(first))
	s.ApplyGrant(0, "e0", places.Grant{Slots: 1, Running: 7})
	s.DrawClaims(grantTTL + ms)
	s.ApplyGrant(grantTTL+ms, "e1", places.Grant{Running: 7})
	must.Zero(t, s.byName["e0"].claims)
	must.EqOp(t, Wait, s.Submit(grantTTL+ms, request(grantTTL+ms)).Verdict)
}

// TestSilentOwners checks that a host falls back to claims where an owner does not answer, and
// everywhere once none does.
func TestSilentOwners(t *testing.T) {
	s, request := scarceHost(t, 2)
	s.ApplyGrant(1, "e0", places.Grant{Running: 7})
	must.True(t, s.ownerAnswers(2, s.byName["e1"]))
	r := request(2)
	must.EqOp(t, Wait, s.Submit(2, r).Verdict)
	s.DrawClaims(2)
	must.MapLen(t, 2, s.SlotRequests(2, false))
	s.ApplyGrant(ownerTimeout, "e0", places.Grant{Running: 7})
	s.SlotRequests(ownerTimeout, false)
	must.True(t, s.ownerAnswers(ownerTimeout+2, s.byName["e0"]))
	must.False(t, s.ownerAnswers(ownerTimeout+2, s.byName["e1"]))
	must.False(t, s.ownerAnswers(ownerTimeout+ownerTTL, s.byName["e0"]))
}

// TestOwnerAnswerOverridesReports checks that an owner's count of other hosts' requests is not
// overwritten by a report before ownerReportTTL has passed.
func TestOwnerAnswerOverridesReports(t *testing.T) {
	s, _ := scarceHost(t, 1)
	e := s.byName["e0"]
	s.ApplyGrant(1, "e0", places.Grant{Running: 3})
	must.EqOp(t, 3, e.others)
	s.ApplyReport(2, "e0", Report{At: 2, Slots: 7, Running: 7, Model: "m", AcceptsPrompts: true, Estimated: true})
	must.EqOp(t, 3, e.others)
	s.ApplyReport(ownerReportTTL+2, "e0", Report{At: ownerReportTTL + 2, Slots: 7, Running: 7, Model: "m", AcceptsPrompts: true, Estimated: true})
	must.EqOp(t, 7, e.others)
}

// TestProbeWithGrant checks that a host asks the owner of an endpoint that takes requests with grants only for a slot to probe it after
// its ejection, once at a time. It guards against an endpoint that gets no requests until its owner's own probe has succeeded.
func TestProbeWithGrant(t *testing.T) {
	const ms, halfOpen = time.Millisecond, 2 * time.Second
	s, request := scarceHost(t, 2)
	s.SharingHosts = maxProbers // each host probes
	for _, e := range s.endpoints {
		e.RejectLimited = true
		s.ApplyReport(0, e.Name, Report{Slots: 7, Step: 5 * ms, Model: "m", AcceptsPrompts: true, Estimated: true})
	}
	ejected := s.byName["e0"]
	ejected.health.Fail(0, 0, outlier.Unreachable, 0)
	wait := func(now time.Duration) *Request {
		r := request(now)
		r.Settings.Repeatable = true
		must.EqOp(t, Wait, s.Submit(now, r).Verdict)
		return r
	}
	r := wait(0)
	must.MapNotContainsKey(t, s.SlotRequests(0, true), "e0")
	must.True(t, s.Withdraw(r))

	r = wait(halfOpen)
	must.EqOp(t, outlier.HalfOpen, ejected.health.State(halfOpen))
	must.MapContainsKey(t, s.SlotRequests(halfOpen, true), "e0")
	must.True(t, s.ApplyGrant(halfOpen+ms, "e0", places.Grant{Slots: 1}))
	decisions := s.Poll(halfOpen + ms)
	must.SliceLen(t, 1, decisions)
	must.EqOp(t, "e0", decisions[0].Endpoint)

	wait(halfOpen + 2*ms)
	must.MapNotContainsKey(t, s.SlotRequests(halfOpen+2*ms, true), "e0") // the probe is in flight
	s.Done(halfOpen+3*ms, r, Completed, 0)
	must.MapContainsKey(t, s.SlotRequests(halfOpen+3*ms, true), "e0")
}

// TestLongAnswerAwaitsFastEndpoint guards against long answers being refused, or sent to an endpoint that cannot end them in time, because
// some endpoints of their pool are much slower than the others.
func TestLongAnswerAwaitsFastEndpoint(t *testing.T) {
	const ms = time.Millisecond
	s, request := scarceHost(t, 3)
	s.SlotOwners = true
	for name, step := range map[string]time.Duration{"e0": 50 * ms, "e1": 4 * ms, "e2": 50 * ms} {
		s.ApplyReport(0, name, Report{Slots: 7, Running: 7, Step: step, Model: "m", AcceptsPrompts: true, Estimated: true})
	}
	s.ApplyGrant(0, "e0", places.Grant{Running: 7}) // owners answer
	long, short := request(0), request(0)
	long.MaxTokens, long.ExpectedTokens = 1500, 1500
	must.EqOp(t, Wait, s.Submit(0, long).Verdict)
	must.EqOp(t, Wait, s.Submit(0, short).Verdict)
	grants := []struct {
		from string
		to   *Request
	}{{"e0", short}, {"e2", nil}, {"e1", long}}
	for i, g := range grants {
		at := time.Duration(10*(i+1)) * ms
		s.Wake()
		must.EqOp(t, g.to != nil, s.ApplyGrant(at, g.from, places.Grant{Slots: 1, Workspace: "w"}))
		decisions := s.Poll(at)
		if g.to == nil {
			must.SliceEmpty(t, decisions)
			continue
		}
		must.SliceLen(t, 1, decisions)
		must.EqOp(t, Run, decisions[0].Verdict)
		must.True(t, decisions[0].Request == g.to)
		must.EqOp(t, g.from, decisions[0].Endpoint)
	}
}
