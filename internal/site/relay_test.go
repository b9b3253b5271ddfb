// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package site

import (
	"fmt"
	"net/http"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
)

// startCutOff starts a test site with n hosts whose first reaches no endpoint and relays its requests.
func startCutOff(t *testing.T, n int) *testSite {
	t.Helper()
	s := startTestSiteWith(t, n, func(s *Site) { s.Cuttable = true })
	s.Hosts[0].CutOffEndpoints(true)
	i := 0
	s.await(t, "requests are relayed", func() bool {
		i++
		a := Do(s.Hosts[0].Boot.Front, Call{Path: "/ask/x", Key: Key, ID: fmt.Sprint("first-", i)})
		return a.Status == http.StatusOK && s.relayed(t) > 0
	})
	return s
}

// relayed returns the number of requests that the first host relayed.
func (s *testSite) relayed(t *testing.T) int64 {
	t.Helper()
	requests, _ := s.readCounters(t, s.Hosts[0])
	return requests["Relayed"]
}

// TestRelayedEndpointFaults checks that a host that reaches no endpoint tells its callers the same as one that does, and that requests
// run no more often, whatever fault they meet at the endpoints of the host to which they are relayed.
func TestRelayedEndpointFaults(t *testing.T) {
	s := startCutOff(t, 2)
	s.testEndpointFaults(t, endpointFaults())
}

// TestRelayedOneSilentEndpoint does the same for an endpoint that is silent.
func TestRelayedOneSilentEndpoint(t *testing.T) {
	s := startCutOff(t, 2)
	s.testEndpointFaults(t, oneSilentEndpoint())
}

// TestRelayedRequests checks what becomes of requests that the other host refuses, and that requests without a valid key are refused as
// anywhere else.
func TestRelayedRequests(t *testing.T) {
	s := startCutOff(t, 2)
	cases := []struct {
		name   string
		call   Call
		status int
	}{
		{"a stream", Call{Path: "/review/a", Key: Key, Body: "b", Tokens: "20,30"}, http.StatusOK},
		{"a large body", Call{Path: "/push/a", Key: Key, Body: string(make([]byte, 50_000))}, http.StatusOK},
		{"an unknown key", Call{Path: "/ask/a", Key: "no key of anybody"}, http.StatusUnauthorized},
		{"no route", Call{Path: "/nothing/a", Key: Key}, http.StatusNotFound},
		{"a body that is too large", Call{Path: "/push/a", Key: Key, Body: string(make([]byte, 200_000))}, http.StatusRequestEntityTooLarge},
		{"relayed once, by a host that reaches no endpoint", Call{Path: "/ask/a", Key: Key, Header: http.Header{"Heathkeel-Relayed-By": {"host-9 0"}}}, http.StatusServiceUnavailable},
		{"an invalid mark of a relayed request", Call{Path: "/ask/a", Key: Key, Header: http.Header{"Heathkeel-Relayed-By": {"host-9"}}}, http.StatusBadRequest},
		{"a negative number of sends", Call{Path: "/ask/a", Key: Key, Header: http.Header{"Heathkeel-Relayed-By": {"host-9 -1"}}}, http.StatusBadRequest},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			tc.call.ID = "case " + tc.name
			a := Do(s.Hosts[0].Boot.Front, tc.call)
			must.EqOp(t, tc.status, a.Status)
			must.Eq(t, tc.status == http.StatusOK, s.countRuns(tc.call.ID) == 1)
			if tc.status == http.StatusServiceUnavailable {
				must.NotEq(t, "", a.Header.Get("Retry-After"))
			}
		})
	}
}

// TestCutOffHostIsNotNamed checks that callers who ask for addresses are not sent to a host that reaches no endpoint, and that the host
// serves by itself again once its paths are back.
func TestCutOffHostIsNotNamed(t *testing.T) {
	s := startCutOff(t, 2)
	cutOff := s.Hosts[0]
	names := func(h *Host) []string {
		addresses, err := s.Resolve(h)
		must.NoError(t, err)
		return addresses
	}
	for _, h := range s.Hosts {
		s.await(t, "only the other host is named", func() bool {
			list := names(h)
			return len(list) == 1 && list[0] == s.Hosts[1].Boot.Front
		})
	}
	cutOff.CutOffEndpoints(false)
	s.await(t, "it is named again", func() bool { return slices.Contains(names(s.Hosts[1]), cutOff.Boot.Front) })
	before := s.relayed(t)
	must.EqOp(t, http.StatusOK, Do(cutOff.Boot.Front, Call{Path: "/ask/x", Key: Key, ID: "afterwards"}).Status)
	must.EqOp(t, before, s.relayed(t))
}

// TestRelayLost checks that a request which may run once is never refused as not run if the host to which it was relayed ends without
// an answer.
func TestRelayLost(t *testing.T) {
	s := startCutOff(t, 2)
	s.setFaults(Hang, 1)
	answer := make(chan Answer, 1)
	go func() { answer <- Do(s.Hosts[0].Boot.Front, Call{Path: "/push/a", Key: Key, ID: "lost"}) }()
	s.await(t, "it runs", func() bool { return s.countRuns("lost") == 1 })
	s.Hosts[1].Kill()
	a := <-answer
	// A host that is killed within this process keeps its connections, so that the deadline may end the request.
	must.SliceContains(t, []int{http.StatusBadGateway, http.StatusGatewayTimeout}, a.Status)
	must.EqOp(t, 1, s.countRuns("lost"))
}

// TestAllHostsCutOff checks that requests are refused, and not relayed in a circle, if no host reaches an endpoint.
func TestAllHostsCutOff(t *testing.T) {
	s := startCutOff(t, 3)
	for _, h := range s.Hosts[1:] {
		h.CutOffEndpoints(true)
	}
	s.await(t, "the others notice", func() bool {
		for i, h := range s.Hosts {
			Do(h.Boot.Front, Call{Path: "/ask/x", Key: Key, ID: fmt.Sprint("notice-", i)})
			if requests, _ := s.readCounters(t, h); requests["CutOffs"] == 0 {
				return false
			}
		}
		return true
	})
	a := Do(s.Hosts[0].Boot.Front, Call{Path: "/push/x", Key: Key, ID: "nowhere"})
	must.EqOp(t, http.StatusServiceUnavailable, a.Status)
	must.Zero(t, s.countRuns("nowhere"))
	for _, h := range s.Hosts {
		h.CutOffEndpoints(false)
	}
	s.await(t, "all serve again", func() bool {
		for i, h := range s.Hosts {
			if Do(h.Boot.Front, Call{Path: "/ask/x", Key: Key, ID: fmt.Sprint("back-", i)}).Status != http.StatusOK {
				return false
			}
		}
		return true
	})
}
