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

// counts reads a host's counters of requests, and how many it holds.
func (s *scene) counts(t *testing.T, h *Host) (requests map[string]int64, active int64) {
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

// patient is a scene with one host, whose grace and routes' time-outs are far beyond what
// a test waits, so that nothing but a caller's leaving ends a send that hangs.
func patient(t *testing.T) (*scene, *Host) {
	s := startWith(t, 1, func(s *Site) { s.GracePeriod = time.Hour })
	h := s.Hosts[0]
	c := Example()
	c.Version, c.Tenants[0].Keys = 2, []string{"new-key"}
	for i := range c.Routes {
		// Nor is any endpoint given up for its silence.
		c.Routes[i].TimeoutMs, c.Routes[i].SloMs, c.Routes[i].GapSloMs = 3600_000, 3600_000, 3600_000
	}
	s.Store.Put(platform.KeyConfig, c)
	s.await(t, "the new time-outs", func() bool {
		return Do(h.Boot.Front, Call{Path: "/ask/a", Key: "new-key", ID: "warm-3"}).Status == 200
	})
	return s, h
}

// request opens a connection and sends a request, of whose body only a part may come.
func request(t *testing.T, h *Host, path, body string, length int) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", h.Boot.Front)
	must.NoError(t, err)
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Token %s\r\nHeathkeel-Attempt-Id: leave\r\nHeathkeel-Token-Count: 10,30\r\nContent-Length: %d\r\n\r\n%s",
		path, HostName, "new-key", length, body)
	return conn
}

// TestCallerLeaves checks that endpoints stop when callers close their connections, whatever
// state their request is in.
func TestCallerLeaves(t *testing.T) {
	s, h := patient(t)
	cases := []struct {
		name, path, body string
		fault            Fault
	}{
		{"a request that may not run again", "/push/a", "b", Hang},
		{"one that may", "/ask/a", "b", Hang},
		{"a public one", "/open/a", "", Hang},
		{"a stream before its first event", "/draft/a", "b", Hang},
		{"a stream under way", "/draft/a", "b", HangEvent},
		{"a stream that may go on elsewhere", "/review/a", "b", HangEvent},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s.fail(tc.fault, 9)
			defer s.fail(None, 0)
			before, _ := s.counts(t, h)
			conn := request(t, h, tc.path, tc.body, len(tc.body))
			s.await(t, "an endpoint works on it", func() bool { return !s.idle() })
			must.NoError(t, conn.Close())
			s.await(t, "the endpoint is free", s.idle)
			s.await(t, "the host counts it", func() bool {
				now, active := s.counts(t, h)
				return active == 0 && now["LeftAtWork"] == before["LeftAtWork"]+1
			})
		})
	}
}

// TestCallerLeavesMidBody checks that a caller that leaves while its body comes in costs
// nothing afterwards, and that no endpoint hears of it.
func TestCallerLeavesMidBody(t *testing.T) {
	s, h := patient(t)
	runs := len(s.plain[0].Runs()) + len(s.plain[1].Runs())
	conn := request(t, h, "/push/a", "part", 1000)
	s.await(t, "the host holds it", func() bool {
		_, active := s.counts(t, h)
		return active == 1
	})
	must.NoError(t, conn.Close())
	s.await(t, "the host holds nothing", func() bool {
		_, active := s.counts(t, h)
		return active == 0
	})
	must.EqOp(t, runs, len(s.plain[0].Runs())+len(s.plain[1].Runs()))
}

// TestCallerLeavesStoppingHost checks that a host which is stopping ends at once when the last
// caller that it waits for has left.
func TestCallerLeavesStoppingHost(t *testing.T) {
	s, h := patient(t)
	s.fail(Hang, 9)
	conn := request(t, h, "/push/a", "b", 1)
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
