// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import (
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/route"
)

// TestRelayRefusals checks which refusals of another host are passed on: a host that does not know a new key yet must not deny it to a
// caller whose own host has accepted it.
func TestRelayRefusals(t *testing.T) {
	for _, tc := range []struct {
		status   int
		passedOn bool
	}{
		{http.StatusBadRequest, true},
		{http.StatusUnauthorized, false},
		{http.StatusForbidden, false},
		{http.StatusNotFound, false},
		{http.StatusRequestTimeout, true},
		{http.StatusRequestEntityTooLarge, true},
		{http.StatusTooManyRequests, true},
		{http.StatusServiceUnavailable, false},
	} {
		f := refusal{status: tc.status}
		must.Eq(t, tc.passedOn, f.concernsRequest(), must.Sprint(tc.status))
	}
}

// TestPickTarget checks that hosts are picked in proportion to their weights and not twice.
func TestPickTarget(t *testing.T) {
	targets := []RelayTarget{{Host: "a", Weight: 1}, {Host: "b", Weight: 3}, {Host: "c", Weight: 1}}
	for _, tc := range []struct {
		name   string
		tried  map[string]bool
		random float64
		want   string
	}{
		{"the first", nil, 0.1, "a"},
		{"the heaviest", nil, 0.5, "b"},
		{"the last", nil, 0.99, "c"},
		{"rounding beyond the sum", nil, 1, "c"},
		{"one was tried", map[string]bool{"b": true}, 0.6, "c"},
		{"all were tried", map[string]bool{"a": true, "b": true, "c": true}, 0.5, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got, ok := pickTarget(targets, tc.tried, tc.random)
			must.Eq(t, tc.want != "", ok)
			must.Eq(t, tc.want, got.Host)
		})
	}
}

// TestParseRelayHeader checks that only a complete mark of a relayed request is accepted.
func TestParseRelayHeader(t *testing.T) {
	for _, tc := range []struct {
		value string
		ok    bool
		want  relayState
	}{
		{"", true, relayState{}},
		{"host-1 0", true, relayState{from: "host-1"}},
		{"host-1 2", true, relayState{from: "host-1", priorSends: 2}},
		{"host-1", false, relayState{}},
		{" 2", false, relayState{}},
		{"host-1 -1", false, relayState{}},
		{"host-1 1 2", false, relayState{}},
		{"host-1 99999999999999999999", false, relayState{}},
	} {
		t.Run(tc.value, func(t *testing.T) {
			var r relayState
			must.Eq(t, tc.ok, r.parseRelayHeader(http.Header{relayHeader: {tc.value}}))
			must.True(t, r == tc.want)
		})
	}
}

// TestRelayHeaderCountsSends checks that hosts which did not run a relayed request do not use up its attempts, and that one which was
// lost leaves one send at most.
func TestRelayHeaderCountsSends(t *testing.T) {
	c := &call{s: &Server{Host: "host-1"}, r: &http.Request{Header: http.Header{}}, route: &route.Route{Attempts: 3}}
	refused := func() {
		c.tracker.MarkSent()
		c.relayRefused(&http.Response{StatusCode: http.StatusServiceUnavailable, Header: http.Header{}})
	}
	must.Eq(t, "host-1 0", c.relayHeader().Get(relayHeader))
	refused()
	refused()
	must.Eq(t, "host-1 0", c.relayHeader().Get(relayHeader))
	c.tracker.MarkSent()
	c.tracker.MarkLost()
	c.relayed.lost = true
	must.Eq(t, "host-1 2", c.relayHeader().Get(relayHeader))
}
