// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package site

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/platform"
)

// TestEndpointStartsAgain lets an endpoint start again under its name while a request hangs there, on a connection that
// does not tell: nothing of the older life is waited for. What may go on elsewhere does; what may not is
// told at once that it may have run.
func TestEndpointStartsAgain(t *testing.T) {
	cases := []struct {
		name, path string
		fault      Fault
		status     int
		runs       int // of the request, at all endpoints
	}{
		{"a stream that may go on elsewhere, nothing came", "/review/a", Hang, 200, 2},
		{"a stream that may go on elsewhere, some events came", "/review/a", HangEvent, 200, 2},
		{"a stream that may not, nothing came", "/draft/a", Hang, 502, 1},
		{"a plain request that may be repeated", "/ask/a", Hang, 200, 2},
		{"a plain request that may not", "/push/a", Hang, 502, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s, h := patient(t)
			s.fail(tc.fault, 1)
			answer := make(chan Answer, 1)
			go func() {
				answer <- Do(h.Boot.Front, Call{Path: tc.path, Key: "new-key", ID: "again", Body: "b", Tokens: "10,30"})
			}()
			working := func(e *Endpoint) bool { return e.InFlight() > 0 }
			s.await(t, "it runs", func() bool { return s.which(working) != nil })
			e := s.which(working)
			e.StartedMS = 1_800_000_000_000
			service := Engines
			if e.Events == 0 {
				service = Plain
			}
			s.PutEntry(service, e, "ready")
			a := <-answer
			must.EqOp(t, tc.status, a.Status)
			if tc.status == 200 && service == Engines {
				must.EqOp(t, StreamBody(e.Events), a.Body)
			}
			must.EqOp(t, tc.runs, s.runs("again"))
			requests, _ := s.counts(t, h)
			must.EqOp(t, 1, requests["LifeOver"])
		})
	}
}

// which gives the first endpoint of which something is true, or nil.
func (s *scene) which(ok func(*Endpoint) bool) *Endpoint {
	for i := range 2 {
		for _, e := range []*Endpoint{s.plain[i], s.engines[i]} {
			if ok(e) {
				return e
			}
		}
	}
	return nil
}

// TestForeignEntriesServe writes entries of another program beside those of the endpoints, and in the place of
// one: all goes to the endpoints that are left, as before.
func TestForeignEntriesServe(t *testing.T) {
	s := start(t, 1)
	h := s.Hosts[0]
	for key, value := range map[string]any{
		"x-1": "not an entry", "x-2": []int{1, 2}, "x-3": map[string]any{"Service": Plain, "Address": s.engines[0].Address, "State": "ready"},
		"x-4":               EndpointEntry{Service: Plain, Address: "", Zone: "zone-1", Version: "v1", Slots: 8, State: "ready"},
		"x-5":               EndpointEntry{Service: Plain, Address: s.engines[0].Address, Zone: "zone-1", Version: "v1", Slots: 8, State: "paused"},
		"x-6":               EndpointEntry{Service: Plain, Address: s.engines[0].Address, Zone: "zone-1", Version: "v1", Slots: 0, State: "ready"},
		"x-7":               make([]byte, 1<<20),
		s.plain[0].Instance: map[string]any{"Service": 7},
	} {
		s.Store.Put(platform.PrefixEndpoints+key, value)
	}
	s.await(t, "all goes to the other endpoint", func() bool {
		before := len(s.plain[0].Runs())
		for range 10 {
			a := s.ask(t, h, Call{Path: "/ask/a", Key: Key, ID: "f"})
			must.EqOp(t, 200, a.Status, must.Sprint(a.Body))
		}
		return len(s.plain[0].Runs()) == before
	})
	for _, r := range s.engines[0].Runs() {
		must.NotEq(t, "f", r.AttemptID)
	}
}
