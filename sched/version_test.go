// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package sched

import (
	"testing"

	"github.com/shoenig/test/must"
)

// newVersionScheduler returns a scheduler with two engines of v1 and one of v2, each with two slots.
func newVersionScheduler() *testScheduler {
	engines := []engine{{name: "a", slots: 2}, {name: "b", slots: 2}, {name: "c", slots: 2}}
	s := newTestScheduler(Config{Disabled: Rules{Reserve: true}}, engines...)
	s.SetEndpoints([]Endpoint{
		{Name: "a", Engine: true, Slots: 2, Version: "v1"}, {Name: "b", Engine: true, Slots: 2, Version: "v1"}, {Name: "c", Engine: true, Slots: 2, Version: "v2"},
	})
	return s
}

// TestRequestsOfOneVersion checks that a request that needs a version goes to endpoints of that version alone, whether it has
// objectives or not, and is refused where there is none.
func TestRequestsOfOneVersion(t *testing.T) {
	cases := []struct {
		name      string
		version   string
		objective Objective
		leaving   string // an endpoint that leaves
		verdict   Verdict
		endpoint  string
	}{
		{"of v2", "v2", Objective{}, "", Run, "c"},
		{"of v2, with an objective", "v2", Objective{FirstToken: 1e9}, "", Run, "c"},
		{"of v1, one leaves", "v1", Objective{}, "a", Run, "b"},
		{"of v2, which leaves", "v2", Objective{}, "c", Refuse, ""},
		{"of a version that is gone", "v0", Objective{}, "", Refuse, ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			for range 20 { // the choice is random
				s := newVersionScheduler()
				s.SetLeaving(tc.leaving, true)
				r := s.request("w", 0)
				r.Version, r.Objective = tc.version, tc.objective
				d := s.Submit(s.now, r)
				must.EqOp(t, tc.verdict, d.Verdict)
				must.EqOp(t, tc.endpoint, d.Endpoint)
				if d.Verdict == Refuse {
					must.EqOp(t, ReasonNoEndpoint, d.Reason)
					must.Positive(t, d.RetryAfter)
				}
			}
		})
	}
}

// TestRedispatchWithinVersion checks that a request whose endpoint failed goes to another one of its version, and to the same one only
// if there is no other.
func TestRedispatchWithinVersion(t *testing.T) {
	for _, tc := range []struct{ first, version, want string }{{"a", "v1", "b"}, {"b", "v1", "a"}, {"c", "v2", "c"}} {
		s := newVersionScheduler()
		r := s.request("w", 0)
		for r.dispatchedTo == nil || r.dispatchedTo.Name != tc.first {
			r = s.request("w", 0)
			r.Version = tc.version
			if s.Submit(s.now, r); r.dispatchedTo.Name != tc.first {
				s.end(r)
			}
		}
		must.EqOp(t, tc.want, s.Redispatch(s.now, r).Endpoint)
	}
}

// TestVersionBlocksNoOthers checks that a request that waits for an endpoint of its version does not hold up requests of lower tiers
// that other versions can serve.
func TestVersionBlocksNoOthers(t *testing.T) {
	s := newVersionScheduler()
	var running []*Request
	for {
		r := s.request("w", 0)
		if s.Submit(s.now, r).Verdict == Wait {
			must.True(t, s.Withdraw(r))
			break
		}
		running = append(running, r)
	}
	bound := s.request("w", 0)
	bound.Version = "v2"
	must.EqOp(t, Wait, s.Submit(s.now, bound).Verdict)
	other := s.request("w", 1)
	must.EqOp(t, Wait, s.Submit(s.now, other).Verdict)
	for _, r := range running {
		if r.dispatchedTo.Version == "v1" {
			s.end(r)
		}
	}
	decisions := s.Poll(s.now)
	must.Len(t, 1, decisions)
	must.EqOp(t, other, decisions[0].Request)
}

// fillVersion submits requests that need a version until one waits.
func fillVersion(t *testing.T, s *testScheduler, version string, rank int) {
	t.Helper()
	for range 20 {
		r := s.request("w", rank)
		r.Version = version
		if s.Submit(s.now, r).Verdict == Wait {
			return
		}
	}
	t.Fatal("no request waits")
}

// TestResumableRequestsAwaitRecords checks that a request whose answer callers may resume does not begin at an endpoint whose version is not
// on record, waits for one if that has no room, and does not hold up others meanwhile.
func TestResumableRequestsAwaitRecords(t *testing.T) {
	cases := []struct {
		name       string
		resumable  bool
		version    string
		unrecorded bool // the version of the only endpoint with room
		verdict    Verdict
	}{
		{"resumable", true, "", true, Wait},
		{"of that version", true, "v2", true, Run},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := newTestScheduler(Config{Disabled: Rules{Reserve: true}}, engine{name: "a", slots: 1}, engine{name: "c", slots: 2})
			s.SetEndpoints([]Endpoint{
				{Name: "a", Engine: true, Slots: 1, Version: "v1"}, {Name: "c", Engine: true, Slots: 2, Version: "v2", Unrecorded: tc.unrecorded},
			})
			fillVersion(t, s, "v1", 0)
			r := s.request("w", 0)
			r.Resumable, r.Version = tc.resumable, tc.version
			r.Continues = tc.version != ""
			must.EqOp(t, tc.verdict, s.Submit(s.now, r).Verdict)
		})
	}
	for _, unrecorded := range []bool{false, true} {
		s := newTestScheduler(Config{Disabled: Rules{Reserve: true}}, engine{name: "c", slots: 2})
		s.SetEndpoints([]Endpoint{{Name: "c", Engine: true, Slots: 2, Version: "v2", Unrecorded: unrecorded}})
		r := s.request("w", 0)
		r.Resumable = true
		must.EqOp(t, !unrecorded, s.Submit(s.now, r).Verdict == Run)
	}
}

// TestContinuedRequestsPass checks that a request which continues an answer does not wait behind others of its tier, only behind those of
// higher ones.
func TestContinuedRequestsPass(t *testing.T) {
	for _, tc := range []struct {
		name        string
		waitingRank int
		verdict     Verdict
	}{{"its own tier", 1, Run}, {"a higher tier", 0, Wait}} {
		t.Run(tc.name, func(t *testing.T) {
			s := newVersionScheduler()
			fillVersion(t, s, "v1", tc.waitingRank)
			fresh := s.request("w", 1)
			fresh.Version = "v2"
			must.EqOp(t, Wait, s.Submit(s.now, fresh).Verdict)
			r := s.request("w", 1)
			r.Version, r.Continues = "v2", true
			must.EqOp(t, tc.verdict, s.Submit(s.now, r).Verdict)
		})
	}
}
