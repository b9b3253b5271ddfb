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
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/clock"
	"github.com/heathkeel/heathkeel/feed"
	"github.com/heathkeel/heathkeel/ingress"
	"github.com/heathkeel/heathkeel/origin"
	"github.com/heathkeel/heathkeel/platform"
	"github.com/heathkeel/heathkeel/route"
)

// Responses of endpoints; the first value is the request's ID.
const (
	okHead   = "HTTP/1.1 200 OK\r\nHeathkeel-Attempt-Id: %s\r\nHeathkeel-Response-Stamp: x\r\n"
	chunked  = okHead + "Transfer-Encoding: chunked\r\n\r\n"
	event    = "7\r\nid: %d\n\n\r\n"
	lastPart = "0\r\n\r\n"
	rejected = "HTTP/1.1 503 x\r\nHeathkeel-Attempt-Id: %s\r\nHeathkeel-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
)

// forGood is longer than any request of these tests.
const forGood = 20 * time.Second

// hedgeServer is a host before endpoints whose connections a function serves.
type hedgeServer struct {
	*ingress.Server
	// answer writes the answer to the n-th request, which came to the endpoint with the given address.
	answer func(n int, address string, c net.Conn, id string)

	mu       sync.Mutex
	received map[string]int // requests by address
	total    int
	conns    []net.Conn
}

// newHedgeServer returns a host with a public route of the given kind and attempts.
func newHedgeServer(kind route.Kind, endpoints, attempts int) *hedgeServer {
	now := clock.NewSteady()
	s := &hedgeServer{received: make(map[string]int), Server: &ingress.Server{
		Headers: platform.Headers, Now: now.Now, Watch: &clock.GapDetector{Clock: now}, Zone: "z", BodyMemory: 1 << 24, Log: logr.Discard(), Host: "host-1",
	}}
	s.Retries.Ratio, s.Retries.MaxCredit = 0.1, 100
	s.Dial = s.dial
	s.Settings = &feed.Settings{Now: now.Now, OnChange: s.SetTable, Log: logr.Discard(), Parse: func([]byte) (*route.Document, error) {
		return &route.Document{Services: []route.Service{{Name: "s"}}, Routes: []route.Route{{
			Name: "r", Host: "h", Prefix: "/", Kind: kind, Resumable: kind == route.Stream, Public: true, Attempts: attempts,
			Objective: 300 * time.Millisecond, PauseObjective: 250 * time.Millisecond, Targets: []route.Target{{Service: "s", Weight: 1}},
		}}}, nil
	}}
	s.Init()
	s.Settings.Offer(nil, 1)
	var list []feed.Endpoint
	for i := range endpoints {
		list = append(list, feed.Endpoint{Instance: fmt.Sprint("e", i), Service: "s", Address: fmt.Sprintf("10.0.0.%d:80", i+1), Zone: "z", Slots: 4})
	}
	s.SetEndpoints(list)
	s.SetVersionsRecord("s", origin.Record{Versions: []string{"unstated"}, Whole: true})
	return s
}

// dial connects the host to an endpoint.
func (s *hedgeServer) dial(_ context.Context, _, address string) (net.Conn, error) {
	host, endpoint := net.Pipe()
	s.mu.Lock()
	s.conns = append(s.conns, host)
	s.mu.Unlock()
	go s.serve(endpoint, address)
	return host, nil
}

// serve answers the requests on a connection.
func (s *hedgeServer) serve(c net.Conn, address string) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		s.mu.Lock()
		s.received[address]++
		s.total++
		n := s.total
		s.mu.Unlock()
		s.answer(n, address, c, r.Header.Get("Heathkeel-Attempt-Id"))
	}
}

// send sends one request of a caller and returns the response and the time that it took.
func (s *hedgeServer) send(deadline time.Duration, tokens string) (*httptest.ResponseRecorder, time.Duration) {
	w, r := httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "http://h/x", nil)
	r.Header.Set("Heathkeel-Attempt-Id", "id")
	r.Header.Set("Heathkeel-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	if tokens != "" {
		r.Header.Set("Heathkeel-Token-Count", tokens)
	}
	begun := time.Now()
	s.ServeHTTP(w, r)
	return w, time.Since(begun)
}

// stop ends all connections, and waits for the endpoints.
func (s *hedgeServer) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		_ = c.Close()
	}
	time.Sleep(2 * forGood)
}

// TestHedges checks which answer a request gets whose endpoint is silent for a while, and to how many endpoints it is sent at most.
func TestHedges(t *testing.T) {
	firstSilent := func(next string) func(int, string, net.Conn, string) {
		return func(n int, _ string, c net.Conn, id string) {
			if n == 1 {
				time.Sleep(forGood)
				return
			}
			_, _ = fmt.Fprintf(c, next, id)
		}
	}
	stream := fmt.Sprintf(event, 1) + lastPart
	for _, tc := range []struct {
		name     string
		kind     route.Kind
		attempts int
		tokens   string
		answer   func(n int, address string, c net.Conn, id string)
		status   int
		took     time.Duration
		sends    int
	}{
		{"the hedge answers", route.Stream, 2, "", firstSilent(chunked + stream), 200, time.Second, 2},
		{"a client error of the hedge is the answer", route.Stream, 2, "", firstSilent("HTTP/1.1 400 x\r\nHeathkeel-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n"), 400, time.Second, 2},
		{"hedges are rejected", route.Stream, 2, "", firstSilent(rejected), 504, 8 * time.Second, 4},
		{"the first one goes on", route.Stream, 2, "", func(n int, _ string, c net.Conn, id string) {
			time.Sleep(time.Duration(n) * 1200 * time.Millisecond)
			_, _ = fmt.Fprintf(c, chunked+stream, id)
		}, 200, 1200 * time.Millisecond, 2},
		{"the first one fails while the hedge works", route.Stream, 2, "", func(n int, _ string, c net.Conn, id string) {
			if n == 1 {
				time.Sleep(1300 * time.Millisecond)
				_, _ = fmt.Fprintf(c, "HTTP/1.1 500 x\r\nHeathkeel-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
				return
			}
			time.Sleep(500 * time.Millisecond)
			_, _ = fmt.Fprintf(c, chunked+stream, id)
		}, 200, 1500 * time.Millisecond, 2},
		{"the hedge is silent, too", route.Stream, 3, "", func(n int, _ string, c net.Conn, id string) {
			if n < 3 {
				time.Sleep(forGood)
				return
			}
			_, _ = fmt.Fprintf(c, chunked+stream, id)
		}, 200, 2200 * time.Millisecond, 3},
		{"silent after the first event of a long prompt", route.Stream, 2, "9000,30", func(n int, _ string, c net.Conn, id string) {
			_, _ = fmt.Fprintf(c, chunked+event, id, n)
			if n == 1 {
				time.Sleep(forGood)
				return
			}
			_, _ = fmt.Fprint(c, lastPart)
		}, 200, time.Second, 2},
		{"a plain response that flows slowly", route.Repeatable, 2, "", func(_ int, _ string, c net.Conn, id string) {
			_, _ = fmt.Fprintf(c, okHead+"Content-Length: 60\r\n\r\n", id)
			for range 60 {
				time.Sleep(50 * time.Millisecond)
				_, _ = c.Write([]byte("x"))
			}
		}, 200, 3 * time.Second, 1},
		{"an unframed stream that ends late", route.Stream, 2, "", func(n int, _ string, c net.Conn, id string) {
			if n > 1 {
				time.Sleep(time.Second)
			}
			_, _ = fmt.Fprintf(c, okHead+"\r\nid: 1\n\n", id)
			time.Sleep(1001 * time.Millisecond)
			_ = c.Close()
		}, 200, 1001 * time.Millisecond, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newHedgeServer(tc.kind, 4, tc.attempts)
				s.answer = tc.answer
				w, took := s.send(8*time.Second, tc.tokens)
				s.stop()
				must.EqOp(t, tc.status, w.Code)
				must.EqOp(t, tc.took, took.Round(time.Millisecond))
				must.LessEq(t, tc.sends, s.total)
				for _, n := range s.received {
					must.EqOp(t, 1, n) // no endpoint gets it twice
				}
			})
		})
	}
}

// TestLargeResponseIsWholeBesideHedge checks that a large plain response is not cut when its end and the first byte of a hedge come at the
// same moment.
func TestLargeResponseIsWholeBesideHedge(t *testing.T) {
	body := strings.Repeat("x", 700<<10)
	for range 300 {
		synctest.Test(t, func(t *testing.T) {
			s := newHedgeServer(route.Repeatable, 3, 3)
			s.answer = func(n int, _ string, c net.Conn, id string) {
				_, _ = fmt.Fprintf(c, okHead+"Content-Length: %d\r\n\r\n", id, len(body))
				if n > 1 {
					time.Sleep(750 * time.Millisecond)
					_, _ = c.Write([]byte(body))
					return
				}
				_, _ = c.Write([]byte(body[:100<<10]))
				time.Sleep(1500 * time.Millisecond)
				_, _ = c.Write([]byte(body[100<<10:]))
			}
			w, _ := s.send(8*time.Second, "")
			s.stop()
			must.EqOp(t, http.StatusOK, w.Code)
			must.EqOp(t, len(body), w.Body.Len())
		})
	}
}
