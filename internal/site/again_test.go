// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package site

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/platform"
)

// TestEndpointRestarts checks what happens to a request that hangs at an endpoint when the endpoint
// restarts under its name and the connection is not closed. The host must not wait for the former
// incarnation: it repeats the request elsewhere if that is allowed, and otherwise tells the caller
// at once that it may have run. A request at another endpoint goes on.
//
// The endpoint to restart is the one that runs the request, not any that is at work: the caller has an
// answer before its endpoint has noted the end of the run, and a request at an endpoint that does not
// restart is waited for, here for longer than the caller of the test waits.
func TestEndpointRestarts(t *testing.T) {
	cases := []struct {
		name, path string
		stream     bool
		fault      Fault
		status     int
		runs       int // of the request, at all endpoints
	}{
		{"a stream that may go on elsewhere, nothing came", "/review/a", true, Hang, 200, 2},
		{"a stream that may go on elsewhere, some events came", "/review/a", true, HangEvent, 200, 2},
		{"a stream that may not go on elsewhere, nothing came", "/draft/a", true, Hang, 502, 1},
		{"a plain request that may be repeated", "/ask/a", false, Hang, 200, 2},
		{"a plain request that may not be repeated", "/push/a", false, Hang, 502, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s, h := startWithLongTimeouts(t)
			events := s.engines[0].Events
			service, other := Engines, "/push/a"
			if !tc.stream {
				service, other = Plain, "/draft/a"
			}
			s.setFaults(Hang, 1)
			go Do(h.Boot.Front, Call{Path: other, Key: "new-key", ID: "other", Body: "b", Tokens: "10,30"})
			s.awaitRunning(t, "other")
			s.setFaults(tc.fault, 1)
			answer := make(chan Answer, 1)
			go func() {
				answer <- Do(h.Boot.Front, Call{Path: tc.path, Key: "new-key", ID: "again", Body: "b", Tokens: "10,30"})
			}()
			e := s.awaitRunning(t, "again")
			e.StartedMS = 1_800_000_000_000
			s.PutEntry(service, e, "ready")
			a := <-answer
			must.EqOp(t, tc.status, a.Status)
			if tc.status == 200 && tc.stream {
				must.EqOp(t, StreamBody(events), a.Body)
			}
			must.EqOp(t, tc.runs, s.countRuns("again"))
			requests, _ := s.readCounters(t, h)
			must.EqOp(t, 1, requests["LifeOver"])
			must.NotNil(t, s.findRunning("other"))
			must.EqOp(t, 1, s.countRuns("other"))
		})
	}
}

// awaitRunning waits until an endpoint works on a request, and returns that endpoint.
func (s *testSite) awaitRunning(t *testing.T, id string) *Endpoint {
	t.Helper()
	var e *Endpoint
	s.await(t, "request "+id+" runs", func() bool {
		e = s.findRunning(id)
		return e != nil
	})
	return e
}

// findRunning returns an endpoint that works on a request, or nil.
func (s *testSite) findRunning(id string) *Endpoint {
	isRun := func(r Run) bool { return r.AttemptID == id && r.EndedAt.IsZero() }
	for i := range 2 {
		for _, e := range []*Endpoint{s.plain[i], s.engines[i]} {
			if slices.ContainsFunc(e.Runs(), isRun) {
				return e
			}
		}
	}
	return nil
}

// TestForeignEntriesServe writes entries that are invalid or of another program beside those of the
// endpoints, and one in place of an endpoint's entry. The remaining endpoints must get all
// requests.
func TestForeignEntriesServe(t *testing.T) {
	s := startTestSite(t, 1)
	h := s.Hosts[0]
	for key, value := range map[string]any{
		"x-1": "not an entry", "x-2": []int{1, 2}, "x-3": map[string]any{"Service": Plain, "Address": s.engines[0].Address, "State": "ready"},
		"x-4":               EndpointEntry{Service: Plain, Address: "", Zone: "zone-1", Version: "v1", Slots: 8, State: "ready"},
		"x-5":               EndpointEntry{Service: Plain, Address: s.engines[0].Address, Zone: "zone-1", Version: "v1", Slots: 8, State: "paused"},
		"x-6":               EndpointEntry{Service: Plain, Address: s.engines[0].Address, Zone: "zone-1", Version: "v1", Slots: 0, State: "ready"},
		"x-7":               make([]byte, 1<<20),
		"x-8":               EndpointEntry{Service: Plain, Address: "127.0.0.1:65536", Zone: "zone-1", Version: "v1", Slots: 8, State: "ready"},
		"x-9":               EndpointEntry{Service: Plain, Address: s.engines[0].Address, Zone: "zone-1", Version: "v1", Slots: 8, State: "ready", ColdLeftMs: 1e300},
		"x-10":              json.RawMessage(strings.Repeat("[", 9000) + strings.Repeat("]", 9000)),
		"x-11":              json.RawMessage(`{"Service":"x","Slots":1` + strings.Repeat("0", 400) + `}`),
		s.plain[0].Instance: map[string]any{"Service": 7},
	} {
		s.Store.Put(platform.PrefixEndpoints+key, value)
	}
	s.await(t, "the other endpoint gets all requests", func() bool {
		before := len(s.plain[0].Runs())
		for range 10 {
			a := s.doWithRetry(t, h, Call{Path: "/ask/a", Key: Key, ID: "f"})
			must.EqOp(t, 200, a.Status, must.Sprint(a.Body))
		}
		return len(s.plain[0].Runs()) == before
	})
	for _, r := range s.engines[0].Runs() {
		must.NotEq(t, "f", r.AttemptID)
	}
}
