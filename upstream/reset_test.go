// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// uploadBytes is the size of a request's body that does not fit into the buffers of two sockets.
const uploadBytes = 16 << 20

// writeWatcher is a connection of the operating system's that tells when a write has failed.
type writeWatcher struct {
	*net.TCPConn
	failed chan struct{} // closed after the first failed write
	once   sync.Once
}

// Write implements net.Conn.
func (c *writeWatcher) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	if err != nil {
		c.once.Do(func() { close(c.failed) })
	}
	return n, err
}

// earlyAnswer is an endpoint that answers a request before it has read its body.
type earlyAnswer struct {
	text string // of the response, with its head
	// finishes says that the endpoint ends its side of the connection in order behind the response.
	finishes bool
	// resets says that it resets the connection, once release is closed.
	resets  bool
	release chan struct{}
}

// serve answers one request.
func (e *earlyAnswer) serve(l net.Listener) error {
	nc, err := l.Accept()
	if err != nil {
		return err
	}
	defer nc.Close()
	c := nc.(*net.TCPConn)
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return err
	}
	if _, err := io.WriteString(c, e.text); err != nil {
		return err
	}
	if e.finishes {
		if err := c.CloseWrite(); err != nil {
			return err
		}
	}
	<-e.release
	if e.resets {
		return c.SetLinger(0)
	}
	_, err = io.Copy(io.Discard, r.Body)
	return err
}

// TestResetDuringUpload guards against responses that are taken for whole although the endpoint has reset their connection: a socket reports
// its error once, and the write of a body that is still on its way may be told of it in place of the reads, which then see an end in order.
func TestResetDuringUpload(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: a\r\n"
	cases := []struct {
		name     string
		endpoint earlyAnswer
		whole    bool
	}{
		{"part without a length, then reset", earlyAnswer{text: head + "\r\nhello", resets: true}, false},
		{"part of chunks, then reset", earlyAnswer{text: head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", resets: true}, false},
		{"part with a length, then reset", earlyAnswer{text: head + "Content-Length: 6\r\n\r\nhello", resets: true}, false},
		{"whole with a length, then reset", earlyAnswer{text: head + "Content-Length: 5\r\n\r\nhello", resets: true}, true},
		{"whole in chunks, then reset", earlyAnswer{text: head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", resets: true}, true},
		{"without a length, ended in order, the upload goes on", earlyAnswer{text: head + "\r\nhello", finishes: true}, true},
		{"without a length, ended in order, then reset", earlyAnswer{text: head + "\r\nhello", finishes: true, resets: true}, true},
		{"an interim response before", earlyAnswer{text: "HTTP/1.1 103 Early Hints\r\n\r\n" + head + "\r\nhello", finishes: true}, true},
	}
	// The read that is to see the end begins before the reset, or after the write has been told of it.
	for _, late := range []bool{true, false} {
		for _, tc := range cases {
			name := tc.name
			if late {
				name += ", read late"
			}
			t.Run(name, func(t *testing.T) {
				body, err := readDuringUpload(t, tc.endpoint, late)
				must.EqOp(t, "hello", body)
				if tc.whole {
					must.NoError(t, err)
					return
				}
				must.Error(t, err)
			})
		}
	}
}

// readDuringUpload sends a request with a long body to an endpoint and returns the body of its response, and the error at its end.
func readDuringUpload(t *testing.T, e earlyAnswer, late bool) (string, error) {
	l := listenEthernet(t)
	served := make(chan error, 1)
	e.release = make(chan struct{})
	go func() { served <- e.serve(l) }()
	w := &writeWatcher{failed: make(chan struct{})}
	start := time.Now()
	p := &Pool{Now: func() time.Duration { return time.Since(start) }, DialTimeout: time.Second}
	p.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		nc, err := new(net.Dialer).DialContext(ctx, network, address)
		if err == nil {
			w.TCPConn = nc.(*net.TCPConn)
		}
		return w, err
	}
	c, _, err := p.Get(t.Context(), l.Addr().String(), "a")
	must.NoError(t, err)
	defer c.Close()
	must.NoError(t, c.Send(&Request{ID: "a", Method: http.MethodPost, URI: "/", Host: "h", Body: make([]byte, uploadBytes), HasBody: true}))
	resp, err := c.ReadResponse(http.MethodPost, "Id", "a")
	must.NoError(t, err)
	first := make([]byte, len("hello"))
	_, err = io.ReadFull(resp.Body, first)
	must.NoError(t, err)
	if !late {
		time.AfterFunc(10*time.Millisecond, func() { close(e.release) })
	} else {
		close(e.release)
		if e.resets {
			<-w.failed
		} else {
			must.NoError(t, <-served)
		}
	}
	rest, err := io.ReadAll(resp.Body)
	return string(first) + string(rest), err
}

// TestResetSeenByLook guards against the same for a look at whether bytes wait on a connection in use, which the refusal of another
// connection to its endpoint causes: of an endpoint that was killed, its port refuses connections.
func TestResetSeenByLook(t *testing.T) {
	l := listenEthernet(t)
	e := earlyAnswer{text: "HTTP/1.1 200 OK\r\nId: a\r\n\r\nhello", resets: true, release: make(chan struct{})}
	served := make(chan error, 1)
	go func() { served <- e.serve(l) }()
	start := time.Now()
	p := &Pool{Now: func() time.Duration { return time.Since(start) }, DialTimeout: time.Second}
	c, _, err := p.Get(t.Context(), l.Addr().String(), "a")
	must.NoError(t, err)
	defer c.Close()
	must.NoError(t, c.Send(&Request{ID: "a", Method: http.MethodGet, URI: "/", Host: "h"}))
	resp, err := c.ReadResponse(http.MethodGet, "Id", "a")
	must.NoError(t, err)
	_, err = io.ReadFull(resp.Body, make([]byte, len("hello")))
	must.NoError(t, err)
	close(e.release)
	must.NoError(t, <-served)
	must.NoError(t, l.Close())
	must.ErrorIs(t, p.Probe(t.Context(), l.Addr().String()), syscall.ECONNREFUSED)
	_, err = io.ReadAll(resp.Body)
	must.Error(t, err)
}
