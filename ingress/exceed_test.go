// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/clock"
	"github.com/heathkeel/heathkeel/feed"
	"github.com/heathkeel/heathkeel/ingress"
	"github.com/heathkeel/heathkeel/platform"
	"github.com/heathkeel/heathkeel/route"
)

// scripted is an endpoint that answers each request with a beginning and then repeats a block until its connection is closed.
type scripted struct {
	first, next string // ID in first stands for the request's ID
	requests    atomic.Int64
	sent        atomic.Int64 // bytes that the host took in
	conns       []net.Conn
}

// maxScripted bounds what a scripted endpoint sends, so that a missing limit fails the test instead of taking all memory.
const maxScripted = 16 << 20

// dial connects to the endpoint.
func (e *scripted) dial() net.Conn {
	near, far := net.Pipe()
	e.conns = append(e.conns, near)
	go func() {
		defer far.Close()
		br := bufio.NewReader(far)
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			e.requests.Add(1)
			n, err := io.WriteString(far, strings.ReplaceAll(e.first, "ID", r.Header.Get("Heathkeel-Attempt-Id")))
			e.sent.Add(int64(n))
			block := ""
			if e.next != "" {
				block = strings.Repeat(e.next, 1+4096/len(e.next))
			}
			for err == nil && e.next != "" && e.sent.Load() < maxScripted {
				n, err = io.WriteString(far, block)
				e.sent.Add(int64(n))
			}
		}
	}()
	return near
}

// stop closes all connections.
func (e *scripted) stop() {
	for _, c := range e.conns {
		_ = c.Close()
	}
}

// lines collects log lines.
type lines struct {
	mu  sync.Mutex
	all []string
}

func (l *lines) logger() logr.Logger {
	return funcr.New(func(_, args string) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.all = append(l.all, args)
	}, funcr.Options{})
}

// count returns the number of lines that contain a text.
func (l *lines) count(text string) (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, line := range l.all {
		if strings.Contains(line, text) {
			n++
		}
	}
	return n
}

// newServer returns a server with one route of a kind and an endpoint at each address. The options are applied before Init.
func newServer(log logr.Logger, kind route.Kind, dials map[string]func() net.Conn, options ...func(*ingress.Server)) *ingress.Server {
	now := clock.NewSteady()
	s := &ingress.Server{Headers: platform.Headers, Now: now.Now, Watch: &clock.GapDetector{Clock: now}, Zone: "z", BodyMemory: 1 << 20, Log: log}
	s.Dial = func(_ context.Context, _, address string) (net.Conn, error) { return dials[address](), nil }
	s.Settings = &feed.Settings{
		Now: now.Now, OnChange: s.SetTable, Log: logr.Discard(),
		Parse: func([]byte) (*route.Document, error) {
			return &route.Document{
				Routes:   []route.Route{{Name: "r", Host: "h", Prefix: "/", Kind: kind, Public: true, Attempts: 2, Targets: []route.Target{{Service: "s", Weight: 1}}}},
				Services: []route.Service{{Name: "s"}},
			}, nil
		},
	}
	for _, option := range options {
		option(s)
	}
	s.Init()
	s.Settings.Offer(nil, 1)
	var list []feed.Endpoint
	for address := range dials {
		list = append(list, feed.Endpoint{Instance: address, Service: "s", Address: address, Zone: "z", Slots: 4})
	}
	s.SetEndpoints(list)
	return s
}

// get sends a request to a server. A response that breaks off panics in the handler, which is reported as cut.
func get(s *ingress.Server, w http.ResponseWriter) (cut bool) {
	r := httptest.NewRequest(http.MethodGet, "http://h/x", nil)
	r.Header.Set("Heathkeel-Attempt-Id", "a1")
	r.Header.Set("Heathkeel-Deadline-Ms", "2000")
	defer func() { cut = recover() != nil }()
	s.ServeHTTP(w, r)
	return false
}

const scriptedHead = "HTTP/1.1 200 OK\r\nHeathkeel-Attempt-Id: ID\r\nHeathkeel-Response-Stamp: x\r\n"

// TestResponseBeyondLimit lets an endpoint exceed each limit on responses. It guards against a host that claims that a request
// which may have run did not, against a faulty endpoint that is not ejected, and against input without end that takes memory.
func TestResponseBeyondLimit(t *testing.T) {
	x := strings.Repeat("x", 1000)
	cases := []struct {
		name, first, next string
		kind              route.Kind
		limit             string
		status            int  // if it may not be repeated
		served            bool // the response is whole, so that the endpoint has not failed
	}{
		{"status line", "HTTP/1.1 200 ", x, route.AtMostOnce, "bytes of the head", 502, false},
		{"header lines", "HTTP/1.1 200 OK\r\n", "a:\r\n", route.AtMostOnce, "header lines", 502, false},
		{"interim responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n", route.AtMostOnce, "interim responses", 502, false},
		{"response to another request", "HTTP/1.1 200 OK\r\nHeathkeel-Attempt-Id: other\r\nContent-Length: 99999999\r\n\r\n", x, route.AtMostOnce, "discarded body", 502, false},
		{"chunk extensions", scriptedHead + "Transfer-Encoding: chunked\r\n\r\n", "1;" + x + "\r\na\r\n", route.AtMostOnce, "chunk lines and trailers", 502, false},
		{"trailers", scriptedHead + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n", "a: b\r\n", route.AtMostOnce, "chunk lines and trailers", 502, false},
		{
			"rejection without end", "HTTP/1.1 503 Full\r\nHeathkeel-Attempt-Id: ID\r\nHeathkeel-Not-Executed: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
			"3e8\r\n" + x + "\r\n", route.AtMostOnce, "discarded body", 502, false,
		},
		{"bytes behind the end", scriptedHead + "Content-Length: 2\r\n\r\nok" + x, x, route.AtMostOnce, "bytes behind the end", 200, true},
		{"status line, repeatable", "HTTP/1.1 200 ", x, route.Repeatable, "bytes of the head", 200, false},
		{"trailers, repeatable", scriptedHead + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n", "a: b\r\n", route.Repeatable, "chunk lines and trailers", 200, false},
	}
	for _, tc := range cases {
		test := func(t *testing.T) {
			bad := &scripted{first: tc.first, next: tc.next}
			good := &scripted{first: scriptedHead + "Content-Length: 2\r\n\r\nok"}
			defer bad.stop()
			defer good.stop()
			dials := map[string]func() net.Conn{"10.0.0.1:80": bad.dial}
			if tc.kind == route.Repeatable {
				dials["10.0.0.2:80"] = good.dial
			}
			var log lines
			s := newServer(log.logger(), tc.kind, dials)
			for range 8 {
				before := bad.sent.Load()
				w := httptest.NewRecorder()
				must.False(t, get(s, w))
				synctest.Wait()
				if bad.sent.Load() == before {
					break // ejected, or the other endpoint was chosen
				}
				must.EqOp(t, tc.status, w.Code)
				must.Less(t, 1<<20, bad.sent.Load()-before)
			}
			sends := bad.requests.Load()
			if tc.kind == route.AtMostOnce {
				must.Positive(t, sends)
			}
			must.EqOp(t, sends, s.Count.All()["OverLimit"])
			must.EqOp(t, int(sends), log.count(tc.limit))
			_, ejections := s.EjectionCounts()
			switch {
			case tc.served:
				must.Zero(t, ejections)
				must.EqOp(t, 8, sends)
			case tc.kind == route.AtMostOnce:
				must.Positive(t, ejections)
			}
		}
		t.Run(tc.name, func(t *testing.T) { synctest.Test(t, test) })
	}
}

// TestStreamThatRepeatsItself sends an event that was forwarded before without end. It guards against a host that drops such events
// until the deadline, although the caller gets nothing.
func TestStreamThatRepeatsItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		event := "id: 5\ndata: " + strings.Repeat("x", 1000) + "\n\n"
		e := &scripted{first: scriptedHead + "Transfer-Encoding: chunked\r\n\r\n", next: fmt.Sprintf("%x\r\n%s\r\n", len(event), event)}
		defer e.stop()
		var log lines
		s := newServer(log.logger(), route.Stream, map[string]func() net.Conn{"10.0.0.1:80": e.dial})
		w := httptest.NewRecorder()
		must.True(t, get(s, w))
		synctest.Wait()
		must.EqOp(t, event, w.Body.String())
		must.Less(t, 2<<20, e.sent.Load())
		must.EqOp(t, e.requests.Load(), s.Count.OverLimit.Load())
		must.EqOp(t, int(e.requests.Load()), log.count("events sent before"))
	})
}
