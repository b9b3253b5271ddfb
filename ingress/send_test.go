// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/clock"
	"github.com/heathkeel/heathkeel/feed"
	"github.com/heathkeel/heathkeel/ingress"
	"github.com/heathkeel/heathkeel/platform"
	"github.com/heathkeel/heathkeel/route"
)

// endpoints are endpoints that answer on in-memory connections and count the requests that reach them.
type endpoints struct {
	mu       sync.Mutex
	received map[string]int // by address
	conns    []net.Conn
}

// stop closes all connections.
func (e *endpoints) stop() {
	for _, c := range e.conns {
		_ = c.Close()
	}
}

// dial connects to an endpoint.
func (e *endpoints) dial(address string) net.Conn {
	clientConn, serverConn := net.Pipe()
	e.conns = append(e.conns, clientConn)
	go func() {
		defer serverConn.Close()
		br := bufio.NewReader(serverConn)
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			e.mu.Lock()
			e.received[address]++
			e.mu.Unlock()
			id := r.Header.Get("Heathkeel-Attempt-Id")
			fmt.Fprintf(serverConn, "HTTP/1.1 200 OK\r\nHeathkeel-Attempt-Id: %s\r\nHeathkeel-Response-Stamp: x\r\nContent-Length: 2\r\n\r\nok", id)
		}
	}()
	return clientConn
}

// TestSendRechecksEndpoint lets an endpoint leave, and the host learn of it, between the choice of the endpoint and the send, while
// the connection to it is opened. The request must go to another endpoint, or be refused as not run if there is none.
//
// It guards against a check at the choice only. In a fleet of 78 hosts that were short of processor time, up to 0.79 s lay between
// choice and send, and requests reached endpoints later than the drain time after these had left; some of the hosts had known for
// 0.3 s that the endpoint was leaving.
func TestSendRechecksEndpoint(t *testing.T) {
	first := feed.Endpoint{Instance: "first", Service: "s", Address: "10.0.0.1:80", Zone: "z", Slots: 4}
	other := feed.Endpoint{Instance: "other", Service: "s", Address: "10.0.0.2:80", Zone: "z", Slots: 4}
	leaving := first
	leaving.Leaving = true
	cases := []struct {
		name     string
		before   []feed.Endpoint
		after    []feed.Endpoint // the list that the host receives while it connects to the first
		status   int
		received map[string]int
	}{
		{"it stays", []feed.Endpoint{first}, []feed.Endpoint{first}, http.StatusOK, map[string]int{first.Address: 1}},
		{"it leaves, another is available", []feed.Endpoint{first}, []feed.Endpoint{leaving, other}, http.StatusOK, map[string]int{other.Address: 1}},
		{"its entry is removed, another is available", []feed.Endpoint{first}, []feed.Endpoint{other}, http.StatusOK, map[string]int{other.Address: 1}},
		{"it leaves, no other is available", []feed.Endpoint{first}, []feed.Endpoint{leaving}, http.StatusServiceUnavailable, map[string]int{}},
	}
	for _, tc := range cases {
		test := func(t *testing.T) {
			e := &endpoints{received: make(map[string]int)}
			defer e.stop()
			now := clock.NewSteady()
			s := &ingress.Server{Headers: platform.Headers, Now: now.Now, Watch: &clock.GapDetector{Clock: now}, Zone: "z", BodyMemory: 1 << 20, Log: logr.Discard()}
			s.Dial = func(_ context.Context, _, address string) (net.Conn, error) {
				if address == first.Address {
					s.SetEndpoints(tc.after)
				}
				return e.dial(address), nil
			}
			s.Settings = &feed.Settings{
				Now: now.Now, OnChange: s.SetTable, Log: logr.Discard(),
				Parse: func([]byte) (*route.Document, error) {
					return &route.Document{
						Routes:   []route.Route{{Name: "r", Host: "h", Prefix: "/", Kind: route.Repeatable, Public: true, Attempts: 2, Targets: []route.Target{{Service: "s", Weight: 1}}}},
						Services: []route.Service{{Name: "s"}},
					}, nil
				},
			}
			s.Init()
			s.Settings.Offer(nil, 1)
			s.SetEndpoints(tc.before)
			w, r := httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "http://h/x", nil)
			r.Header.Set("Heathkeel-Attempt-Id", "id")
			r.Header.Set("Heathkeel-Deadline-Ms", fmt.Sprint((2 * time.Second).Milliseconds()))
			s.ServeHTTP(w, r)
			must.EqOp(t, tc.status, w.Code)
			e.mu.Lock()
			defer e.mu.Unlock()
			must.Eq(t, tc.received, e.received)
		}
		t.Run(tc.name, func(t *testing.T) { synctest.Test(t, test) })
	}
}
