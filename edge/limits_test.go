// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package edge

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/clock"
	"github.com/heathkeel/heathkeel/ingress"
	"github.com/heathkeel/heathkeel/platform"
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
func (l pipeListener) Close() error   { return nil }
func (l pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// pipeNetwork connects a host to servers that send bytes as the test wants.
type pipeNetwork struct {
	Network
	serve func(net.Conn)
}

func (n pipeNetwork) DialContext(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	go n.serve(far)
	return near, nil
}

// maxEndless bounds what a test sends, so that a missing limit fails the test instead of taking all memory.
const maxEndless = 64 << 20

// sendEndless writes first and then next, again and again, until the connection is closed, and counts the bytes.
func sendEndless(c net.Conn, first, next string, sent *atomic.Int64) {
	defer c.Close()
	n, err := io.WriteString(c, first)
	sent.Add(int64(n))
	block := strings.Repeat(next, 1+4096/len(next))
	for err == nil && sent.Load() < maxEndless {
		n, err = io.WriteString(c, block)
		sent.Add(int64(n))
	}
}

// newPipeHost returns a host without any components that run.
func newPipeHost(network Network) *Host {
	h := &Host{Boot: platform.Boot{Host: "a", IP: "10.0.0.1", Store: "10.0.0.9:7000", MemoryMB: 112}, Network: network, Clock: clock.NewSteady(), Log: logr.Discard()}
	h.gapDetector.Clock = h.Clock
	h.assemble()
	return h
}

// TestEndlessAnswers lets the store and another host send answers without end. It guards against answers that take all memory of a
// host. An answer's body may be as large as its limit; everything else stays under 1 MB.
func TestEndlessAnswers(t *testing.T) {
	x := strings.Repeat("x", 1000)
	cases := []struct {
		name, first, next string
		limit             int64
	}{
		{"status line", "HTTP/1.1 200 ", x, 1 << 20},
		{"header line", "HTTP/1.1 200 OK\r\nA: ", x, 1 << 20},
		{"header lines", "HTTP/1.1 200 OK\r\n", "a:\r\n", 1 << 20},
		{"interim responses", "", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n", 1 << 20},
		{"chunk extensions", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1;" + x + "\r\n \r\n", 1 << 20},
		{"trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "a: b\r\n", 1 << 20},
		{"error", "HTTP/1.1 500 Error\r\n\r\n", x, 1 << 20},
		{"declared length", "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n\"", x, 1 << 20},
		{"one value", "HTTP/1.1 200 OK\r\n\r\n\"", x, maxPeerAnswer + 1<<20},
		{"white space", "HTTP/1.1 200 OK\r\n\r\n", " ", maxPeerAnswer + 1<<20},
	}
	askers := map[string]func(context.Context, *Host) error{
		"store": func(ctx context.Context, h *Host) error {
			_, err := h.store.Range(ctx, "p/", false)
			return err
		},
		"host": func(ctx context.Context, h *Host) error {
			var out any
			if !h.fetchJSON(ctx, "10.0.0.2:8229", pathSettings, &out) {
				return io.ErrUnexpectedEOF
			}
			return nil
		},
	}
	for who, ask := range askers {
		for _, tc := range cases {
			t.Run(who+", "+tc.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					var sent atomic.Int64
					h := newPipeHost(pipeNetwork{serve: func(c net.Conn) {
						_, _ = c.Read(make([]byte, 4096)) // the request
						sendEndless(c, tc.first, tc.next, &sent)
					}})
					ctx, cancel := context.WithTimeout(t.Context(), time.Second)
					defer cancel()
					must.Error(t, ask(ctx, h))
					synctest.Wait()
					must.Positive(t, sent.Load())
					must.Less(t, tc.limit, sent.Load())
					used, _ := h.ingress.MemoryAccount().Used()
					must.Zero(t, used[ingress.Peers])
					h.store.HTTP.CloseIdleConnections()
					h.peerHTTP.CloseIdleConnections()
				})
			})
		}
	}
}

// TestEndlessRequests lets callers send requests without end. It guards against callers that take all memory of a host, or hold a
// connection for long without a complete header.
func TestEndlessRequests(t *testing.T) {
	x := strings.Repeat("x", 1000)
	cases := []struct{ name, first, next string }{
		{"request line", "GET /", x},
		{"header line", "GET / HTTP/1.1\r\nHost: h\r\nA: ", x},
		{"header lines", "GET / HTTP/1.1\r\nHost: h\r\n", "a:\r\n"},
		{"body", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999999\r\n\r\n", x},
		{"chunks", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", "3e8\r\n" + x + "\r\n"},
		{"chunk extensions", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", "1;" + x + "\r\na\r\n"},
		{"trailers", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "a: b\r\n"},
		{"body for another host", "POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 99999999999\r\n\r\n", x},
		{"header that does not come", "GET / HTTP/1.1\r\nHost: h\r\n", ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newPipeHost(pipeNetwork{})
				h.stopping = make(chan struct{})
				l := pipeListener{make(chan net.Conn)}
				go (&frontServer{host: h, idle: idleConns{limit: 1}}).serve(l)
				near, far := net.Pipe()
				l.conns <- far
				var sent atomic.Int64
				begun := time.Now()
				go func() { _, _ = io.Copy(io.Discard, near) }()
				if tc.next == "" {
					_, _ = io.WriteString(near, tc.first)
					_, err := near.Write(make([]byte, 0))
					for err == nil {
						time.Sleep(100 * time.Millisecond)
						_, err = io.WriteString(near, "a: b\r\n")
					}
				} else {
					sendEndless(near, tc.first, tc.next, &sent)
				}
				must.Less(t, 1<<20, sent.Load())
				must.LessEq(t, 5*time.Second, time.Since(begun)) // simulated time
				close(l.conns)
				time.Sleep(time.Minute)
			})
		})
	}
}

// TestAnswerThatIsNotRead lets another host leave an answer unread. It guards against an answer that counts as being sent for ever,
// so that all other hosts are refused.
func TestAnswerThatIsNotRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := pipeListener{make(chan net.Conn)}
		ended := make(chan time.Time, 1)
		begun := time.Now()
		go serveHandler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			defer func() { ended <- time.Now() }()
			for range 1000 {
				if _, err := w.Write(make([]byte, 64<<10)); err != nil {
					return
				}
			}
		}))(l)
		near, far := net.Pipe()
		l.conns <- far
		_, err := io.WriteString(near, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		must.NoError(t, err)
		select {
		case at := <-ended:
			must.LessEq(t, 10*time.Second, at.Sub(begun))
		case <-time.After(time.Minute):
			t.Error("the answer is still being sent after a minute")
		}
		_ = near.Close()
		close(l.conns)
		time.Sleep(time.Minute)
	})
}

// TestIdleConnectionsAreLimited opens more connections than the host keeps without a request. It guards against callers that take
// the memory of a host with connections alone, and against closing connections that are in use or were used last.
func TestIdleConnectionsAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var closed atomic.Int64
		idle := idleConns{limit: 4, onClose: func() { closed.Add(1) }}
		release := make(chan struct{})
		srv := &http.Server{ReadHeaderTimeout: time.Minute, ConnState: idle.note, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release })}
		l := pipeListener{make(chan net.Conn)}
		go func() { _ = srv.Serve(l) }()
		var all []net.Conn
		for i := range 10 {
			near, far := net.Pipe()
			all = append(all, near)
			l.conns <- far
			if i == 0 {
				_, err := io.WriteString(near, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
				must.NoError(t, err)
			}
			synctest.Wait()
		}
		must.EqOp(t, 5, closed.Load())
		for i, c := range all {
			_ = c.SetReadDeadline(time.Now().Add(time.Second)) // fails if the other end is closed
			_, err := c.Read(make([]byte, 1))
			must.EqOp(t, i >= 1 && i <= 5, errors.Is(err, io.EOF), must.Sprint(i, err))
		}
		close(release)
		for _, c := range all {
			_ = c.Close()
		}
		close(l.conns)
		synctest.Wait()
		must.MapEmpty(t, idle.since)
	})
}

// TestCachedAnswersAreCounted checks that answers which are kept for other hosts count as held, once for each path, and that an
// answer without room is refused.
func TestCachedAnswersAreCounted(t *testing.T) {
	h := newPipeHost(pipeNetwork{})
	r := httptest.NewRequest(http.MethodGet, "/v1/hosts", nil)
	r.Header.Set("Accept-Encoding", "gzip")
	for i := range 3 {
		must.NoError(t, h.answers.write(httptest.NewRecorder(), r, fmt.Sprint(i), 0, func() any { return "x" }))
	}
	used, _ := h.ingress.MemoryAccount().Used()
	must.EqOp(t, int64(len(h.answers.cached["/v1/hosts"].body)), used[ingress.Peers])
	full := h.ingress.MemoryAccount().Open()
	must.True(t, full.Reserve(ingress.Responses, h.memoryLimit()-used[ingress.Peers]))
	w := httptest.NewRecorder()
	must.NoError(t, h.answers.write(w, r, "4", 0, func() any { return "x" }))
	must.EqOp(t, http.StatusServiceUnavailable, w.Code)
	full.Release()
}

// TestSocketBuffersOfCallers leaves a response unread that was read fast before. It guards against the kernel's send buffer, which grows
// to 4 MB for each caller and belongs to no account.
func TestSocketBuffersOfCallers(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer l.Close()
	caller, err := net.Dial("tcp", l.Addr().String())
	must.NoError(t, err)
	defer caller.Close()
	c, err := l.Accept()
	must.NoError(t, err)
	defer c.Close()
	must.NoError(t, caller.(*net.TCPConn).SetReadBuffer(64<<10))
	limitSocketBuffers(c)
	var written atomic.Int64
	done := make(chan struct{})
	go func() {
		defer close(done)
		block := make([]byte, 64<<10)
		for {
			// The deadline ends the test; nothing is asserted of the time.
			_ = c.SetWriteDeadline(time.Now().Add(500 * time.Millisecond))
			n, err := c.Write(block)
			written.Add(int64(n))
			if err != nil {
				return
			}
		}
	}()
	read, err := io.CopyN(io.Discard, caller, 64<<20)
	must.NoError(t, err)
	<-done
	must.Less(t, 1<<20, written.Load()-read)
}
