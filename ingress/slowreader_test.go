// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/ingress"
	"github.com/heathkeel/heathkeel/route"
)

// pipeListener accepts in-memory connections.
type pipeListener struct{ conns chan net.Conn }

func (l pipeListener) Accept() (net.Conn, error) {
	c, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}
func (l pipeListener) Close() error { return nil }
func (l pipeListener) Addr() net.Addr {
	return &net.TCPAddr{}
}

// caller is an in-memory connection of a caller to a server.
type caller struct {
	net.Conn
	br *bufio.Reader
}

// serve serves callers on in-memory connections; connect opens one.
func serve(s *ingress.Server) (connect func() caller, stop func()) {
	l := pipeListener{make(chan net.Conn)}
	srv := &http.Server{Handler: s}
	go func() { _ = srv.Serve(l) }()
	var all []net.Conn
	connect = func() caller {
		near, far := net.Pipe()
		all = append(all, near)
		l.conns <- far
		return caller{near, bufio.NewReaderSize(near, 16)}
	}
	return connect, func() {
		for _, c := range all {
			_ = c.Close()
		}
		close(l.conns)
		_ = srv.Close()
	}
}

// send sends a request with a deadline.
func (c caller) send(path string, deadline time.Duration) {
	fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\nHeathkeel-Attempt-Id: a1\r\nHeathkeel-Deadline-Ms: %d\r\n\r\n", path, deadline.Milliseconds())
}

// TestCallerThatDoesNotRead sends a response without end to callers that read nothing more, or read slowly. It guards against a
// host that takes in the response without a bound, and against one that leaves an endpoint's response unread until the deadline:
// an endpoint aborts such a response after some seconds.
func TestCallerThatDoesNotRead(t *testing.T) {
	data := "data: " + strings.Repeat("x", 1000) + "\n\n"
	dataChunk := fmt.Sprintf("%x\r\n%s\r\n", len(data), data)
	cases := []struct {
		name  string
		kind  route.Kind
		reads time.Duration // time between two reads of 4 KB; 0 means that it does not read
		first string
		next  string
	}{
		{"plain response, nothing is read", route.AtMostOnce, 0, scriptedHead + "Content-Length: 99999999999\r\n\r\n", strings.Repeat("x", 1000)},
		{"chunks, nothing is read", route.AtMostOnce, 0, scriptedHead + "Transfer-Encoding: chunked\r\n\r\n", dataChunk},
		{"stream, nothing is read", route.Stream, 0, scriptedHead + "Transfer-Encoding: chunked\r\n\r\n", dataChunk},
		{"plain response, slow reader", route.AtMostOnce, 500 * time.Millisecond, scriptedHead + "Content-Length: 99999999999\r\n\r\n", strings.Repeat("x", 1000)},
		{"stream, slow reader", route.Stream, 500 * time.Millisecond, scriptedHead + "Transfer-Encoding: chunked\r\n\r\n", dataChunk},
	}
	const deadline = 40 * time.Second
	for _, tc := range cases {
		test := func(t *testing.T) {
			e := &scripted{first: tc.first, next: tc.next}
			defer e.stop()
			var log lines
			s := newServer(log.logger(), tc.kind, map[string]func() net.Conn{"10.0.0.1:80": e.dial})
			connect, stop := serve(s)
			defer stop()
			c := connect()
			begun := time.Now()
			c.send("/x", deadline)
			resp, err := http.ReadResponse(c.br, nil)
			must.NoError(t, err)
			must.EqOp(t, 200, resp.StatusCode)
			var read int64
			for tc.reads > 0 {
				n, err := io.CopyN(io.Discard, resp.Body, 4<<10)
				read += n
				if err != nil {
					break
				}
				time.Sleep(tc.reads)
			}
			for s.Active() > 0 {
				time.Sleep(100 * time.Millisecond)
			}
			took := time.Since(begun) // simulated time
			must.Less(t, 1<<20, e.sent.Load()-read)
			if tc.reads > 0 {
				must.GreaterEq(t, deadline, took)
				must.Zero(t, s.Count.SlowReaders.Load())
				return
			}
			must.Less(t, 3*time.Second, took)
			must.EqOp(t, 1, s.Count.SlowReaders.Load())
			must.EqOp(t, 1, log.count("the caller read nothing for 2s"))
			must.Zero(t, s.Count.Served.Load())
			_, ejections := s.EjectionCounts()
			must.Zero(t, ejections)
		}
		t.Run(tc.name, func(t *testing.T) { synctest.Test(t, test) })
	}
}

// TestSlowestReaderIsEnded lets callers leave responses unread until these fill the host's memory. It guards against a host that
// holds more than its limit, and against one that ends or refuses others instead of those that read slowest.
func TestSlowestReaderIsEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		body := strings.Repeat("x", 200<<10)
		e := &scripted{first: scriptedHead + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)}
		defer e.stop()
		var log lines
		s := newServer(log.logger(), route.AtMostOnce, map[string]func() net.Conn{"10.0.0.1:80": e.dial}, func(s *ingress.Server) { s.Memory = 1 << 20 })
		connect, stop := serve(s)
		defer stop()
		// Each takes 256 KB for the response and 48 KB for the rest, so three fit.
		var unread []caller
		for range 3 {
			c := connect()
			c.send("/x", 30*time.Second)
			unread = append(unread, c)
			time.Sleep(200 * time.Millisecond)
		}
		used, limit := s.MemoryAccount().Used()
		must.EqOp(t, 1<<20, limit)
		must.Greater(t, 600<<10, used[ingress.Responses])
		must.Zero(t, s.Count.SlowReadersForMemory.Load())
		c := connect()
		c.send("/x", 30*time.Second)
		resp, err := http.ReadResponse(c.br, nil)
		must.NoError(t, err)
		got, err := io.ReadAll(resp.Body)
		must.NoError(t, err)
		must.EqOp(t, len(body), len(got))
		synctest.Wait() // the response that was ended for its memory is counted after that was given away
		must.EqOp(t, 1, s.Count.SlowReadersForMemory.Load())
		must.EqOp(t, 1, log.count("read slowest of all"))
		// The others are read late, but whole.
		for i, c := range unread {
			resp, err := http.ReadResponse(c.br, nil)
			if err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
			}
			must.EqOp(t, i == 0, err != nil, must.Sprint(i, err))
		}
		synctest.Wait()
		used, _ = s.MemoryAccount().Used()
		must.Eq(t, map[ingress.Purpose]int64{ingress.RequestBodies: 0, ingress.Responses: 0, ingress.Heads: 0, ingress.Peers: 0}, used)
	})
}

// TestResponseWithoutMemory sends responses that do not fit into the host's memory. It guards against a host that holds them all the
// same, and against an endpoint that is taken for failed because of it.
func TestResponseWithoutMemory(t *testing.T) {
	large := strings.Repeat("x", 300<<10)
	cases := []struct {
		name, response string
		kind           route.Kind
		status         int
		memory         int64 // counted in Counters.Memory
	}{
		{"plain response, forwarded as it arrives", fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(large), large), route.AtMostOnce, http.StatusOK, 0},
		{"event", fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\ndata: %s\n\n\r\n0\r\n\r\n", 200<<10+8, large[:200<<10]), route.Stream, http.StatusBadGateway, 1},
	}
	for _, tc := range cases {
		test := func(t *testing.T) {
			e := &scripted{first: scriptedHead + tc.response}
			defer e.stop()
			var log lines
			s := newServer(log.logger(), tc.kind, map[string]func() net.Conn{"10.0.0.1:80": e.dial}, func(s *ingress.Server) { s.Memory = 128 << 10 })
			connect, stop := serve(s)
			defer stop()
			c := connect()
			c.send("/x", 10*time.Second)
			resp, err := http.ReadResponse(c.br, nil)
			must.NoError(t, err)
			must.EqOp(t, tc.status, resp.StatusCode)
			body, err := io.ReadAll(resp.Body)
			must.NoError(t, err)
			if tc.status == http.StatusOK {
				must.EqOp(t, large, string(body))
			}
			synctest.Wait()
			must.EqOp(t, tc.memory, s.Count.Memory.Load())
			_, ejections := s.EjectionCounts()
			must.Zero(t, ejections)
			used, _ := s.MemoryAccount().Used()
			must.Zero(t, used[ingress.Responses]+used[ingress.Heads])
		}
		t.Run(tc.name, func(t *testing.T) { synctest.Test(t, test) })
	}
}

// TestEndlessRequestBody sends bodies without end for a route. It guards against a caller that takes more than the memory for bodies.
func TestEndlessRequestBody(t *testing.T) {
	x := strings.Repeat("x", 1000)
	cases := []struct {
		name, framing, next string
		status              int
	}{
		{"declared length", "Content-Length: 99999999999\r\n\r\n", x, http.StatusRequestEntityTooLarge},
		{"chunks", "Transfer-Encoding: chunked\r\n\r\n", "3e8\r\n" + x + "\r\n", http.StatusServiceUnavailable},
	}
	for _, tc := range cases {
		test := func(t *testing.T) {
			var log lines
			s := newServer(log.logger(), route.AtMostOnce, map[string]func() net.Conn{"10.0.0.1:80": nil}, func(s *ingress.Server) { s.BodyMemory = 256 << 10 })
			connect, stop := serve(s)
			defer stop()
			c := connect()
			status := make(chan int, 1)
			go func() {
				resp, err := http.ReadResponse(c.br, nil)
				if err == nil {
					status <- resp.StatusCode
					_, _ = io.Copy(io.Discard, resp.Body)
				}
				close(status)
			}()
			sent := 0
			_, err := fmt.Fprintf(c, "POST /x HTTP/1.1\r\nHost: h\r\nHeathkeel-Attempt-Id: a1\r\n%s", tc.framing)
			for block := strings.Repeat(tc.next, 5); err == nil && sent < maxScripted; {
				var n int
				n, err = io.WriteString(c, block)
				sent += n
			}
			must.EqOp(t, tc.status, <-status)
			// 256 KB are held at most. The rest is dropped: 448 KB by the host and 512 KB by net/http.
			must.Less(t, (256+448+512+64)<<10, sent)
			synctest.Wait()
			used, _ := s.MemoryAccount().Used()
			must.Zero(t, used[ingress.RequestBodies])
		}
		t.Run(tc.name, func(t *testing.T) { synctest.Test(t, test) })
	}
}
