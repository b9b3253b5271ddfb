// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package site

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/platform"
)

// readCounters reads a host's request counters and the number of requests that it holds.
func (s *testSite) readCounters(t *testing.T, h *Host) (requests map[string]int64, active int64) {
	t.Helper()
	resp, err := http.Get("http://" + h.Boot.Control + "/debug/vars")
	must.NoError(t, err)
	defer resp.Body.Close()
	var v struct {
		Edge struct {
			Requests map[string]int64 `json:"requests"`
			Active   int64            `json:"active"`
		} `json:"heathkeel_edge"`
	}
	must.NoError(t, json.NewDecoder(resp.Body).Decode(&v))
	return v.Edge.Requests, v.Edge.Active
}

// startWithLongTimeouts starts a site with one host. The grace period and the timeouts of the
// routes are far longer than any wait of a test, so that only the caller's disconnect ends a send
// that hangs.
func startWithLongTimeouts(t *testing.T) (*testSite, *Host) {
	s := startTestSiteWith(t, 1, func(s *Site) { s.GracePeriod = time.Hour })
	h := s.Hosts[0]
	c := Example()
	c.Version, c.Tenants[0].Keys = 2, []string{"new-key"}
	for i := range c.Routes {
		// Long objectives also keep the host from giving up an endpoint that is silent.
		c.Routes[i].TimeoutMs, c.Routes[i].SloMs, c.Routes[i].GapSloMs = 3600_000, 3600_000, 3600_000
	}
	s.Store.Put(platform.KeyConfig, c)
	s.await(t, "the new timeouts are applied", func() bool {
		return Do(h.Boot.Front, Call{Path: "/ask/a", Key: "new-key", ID: "warm-3"}).Status == 200
	})
	return s, h
}

// openRequest opens a connection and sends a request. The body may be shorter than the length it
// states.
func openRequest(t *testing.T, h *Host, path, body string, length int) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", h.Boot.Front)
	must.NoError(t, err)
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Token %s\r\nHeathkeel-Attempt-Id: leave\r\nHeathkeel-Token-Count: 10,30\r\nContent-Length: %d\r\n\r\n%s",
		path, HostName, "new-key", length, body)
	return conn
}

// TestCallerLeaves checks that endpoints stop working on a request when the caller closes its
// connection, whatever state the request is in.
func TestCallerLeaves(t *testing.T) {
	s, h := startWithLongTimeouts(t)
	cases := []struct {
		name, path, body string
		fault            Fault
	}{
		{"a request that may not run again", "/push/a", "b", Hang},
		{"a request that may run again", "/ask/a", "b", Hang},
		{"a public request", "/open/a", "", Hang},
		{"a stream before its first event", "/draft/a", "b", Hang},
		{"a stream under way", "/draft/a", "b", HangEvent},
		{"a stream that may go on elsewhere", "/review/a", "b", HangEvent},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s.setFaults(tc.fault, 9)
			defer s.setFaults(None, 0)
			before, _ := s.readCounters(t, h)
			conn := openRequest(t, h, tc.path, tc.body, len(tc.body))
			s.await(t, "an endpoint works on it", func() bool { return !s.idle() })
			must.NoError(t, conn.Close())
			s.await(t, "the endpoint is free", s.idle)
			s.await(t, "the host counts it", func() bool {
				now, active := s.readCounters(t, h)
				return active == 0 && now["LeftAtWork"] == before["LeftAtWork"]+1
			})
		})
	}
}

// TestCallerLeavesMidBody checks that the host holds nothing for a caller that disconnects while it
// sends its body, and that no endpoint gets the request.
func TestCallerLeavesMidBody(t *testing.T) {
	s, h := startWithLongTimeouts(t)
	runs := len(s.plain[0].Runs()) + len(s.plain[1].Runs())
	conn := openRequest(t, h, "/push/a", "part", 1000)
	s.await(t, "the host holds it", func() bool {
		_, active := s.readCounters(t, h)
		return active == 1
	})
	must.NoError(t, conn.Close())
	s.await(t, "the host holds nothing", func() bool {
		_, active := s.readCounters(t, h)
		return active == 0
	})
	must.EqOp(t, runs, len(s.plain[0].Runs())+len(s.plain[1].Runs()))
}

// TestCallerLeavesStoppingHost checks that a stopping host ends at once when the last caller that
// it waits for has disconnected.
func TestCallerLeavesStoppingHost(t *testing.T) {
	s, h := startWithLongTimeouts(t)
	s.setFaults(Hang, 9)
	conn := openRequest(t, h, "/push/a", "b", 1)
	s.await(t, "an endpoint works on it", func() bool { return !s.idle() })
	h.Signals <- syscall.SIGTERM
	s.await(t, "the host stops", func() bool {
		resp, err := http.Get("http://" + h.Boot.Ready + platform.PathReady)
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusServiceUnavailable
	})
	must.NoError(t, conn.Close())
	s.await(t, "the endpoint is free", s.idle)
	s.await(t, "the host has ended", func() bool {
		select {
		case <-h.Done:
			return true
		default:
			return false
		}
	})
}
