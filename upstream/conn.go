// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// Conn is a connection to an endpoint, used for one request at a time.
type Conn struct {
	pool    *Pool
	address string
	net     net.Conn
	br      *bufio.Reader
	rest    time.Duration // how long it may rest unused
	idleAt  time.Duration
	takenAt time.Duration // when it was last taken for a request
	over    atomic.Bool
	dirty   bool
	writing chan error
}

// Request is what is sent on a connection.
type Request struct {
	// Method and URI stand in the first line.
	Method, URI string
	// Host and Header follow; Header must hold nothing that concerns one connection only.
	Host   string
	Header http.Header
	// Body is the whole body, and HasBody tells an empty one from none.
	Body    []byte
	HasBody bool
}

// longBody is the size from which a body is written while the answer is read:
// an endpoint may answer before it has read it.
const longBody = 16 << 10

// Send writes a request. An error means that some bytes may have been sent.
func (c *Conn) Send(r *Request) error {
	head := r.head(c.pool.headBuffer())
	if len(r.Body) <= longBody {
		head = append(head, r.Body...)
		_, err := c.net.Write(head)
		c.pool.keepBuffer(head)
		return err
	}
	_, err := c.net.Write(head)
	c.pool.keepBuffer(head)
	if err != nil {
		return err
	}
	c.writing = make(chan error, 1)
	go func() {
		_, err := c.net.Write(r.Body)
		c.writing <- err
	}()
	return nil
}

// head appends the first line and the header to b.
func (r *Request) head(b []byte) []byte {
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.URI...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, r.Host...)
	b = append(b, "\r\n"...)
	for k, vs := range r.Header {
		for _, v := range vs {
			b = append(b, k...)
			b = append(b, ": "...)
			b = append(b, v...)
			b = append(b, "\r\n"...)
		}
	}
	if r.HasBody || len(r.Body) > 0 {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(r.Body)), 10)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}

// ErrWrongResponse means that answers on the connection belong to other requests.
var ErrWrongResponse = eris.New("answer belongs to another request; the connection is dropped")

// mostForeign bounds the surplus answers that are read over.
const mostForeign = 3

// ReadResponse reads the head of the answer to a request. header names the header that
// must hold id; a whole answer to an earlier request is read over, and the
// connection is not used again.
func (c *Conn) ReadResponse(method, header, id string) (*http.Response, error) {
	for range mostForeign {
		resp, err := http.ReadResponse(c.br, &http.Request{Method: method})
		if err != nil {
			c.dirty = true
			return nil, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if resp.Header.Get(header) == id {
			c.learn(resp)
			return resp, nil
		}
		c.dirty = true
		if resp.Header.Get(header) == "" {
			return resp, ErrWrongResponse
		}
		if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			return nil, ErrWrongResponse
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, err
		}
	}
	return nil, ErrWrongResponse
}

// learn notes what an answer says of the connection.
func (c *Conn) learn(resp *http.Response) {
	if resp.Close || (resp.ContentLength < 0 && len(resp.TransferEncoding) == 0) {
		c.dirty = true
	}
	for _, part := range strings.Split(resp.Header.Get("Keep-Alive"), ",") {
		k, v, _ := strings.Cut(strings.TrimSpace(part), "=")
		if k != "timeout" {
			continue
		}
		if s, err := strconv.Atoi(v); err == nil {
			// The endpoint rounds to whole seconds and counts from its own last byte.
			c.rest = min(c.rest, time.Duration(s)*time.Second*6/10)
		}
	}
}

// Release gives the connection back after a whole answer was read.
func (c *Conn) Release() {
	if c.writing != nil {
		select {
		case err := <-c.writing:
			c.dirty = c.dirty || err != nil
			c.writing = nil
		default:
			c.dirty = true
		}
	}
	if c.dirty || c.br.Buffered() > 0 || c.rest <= 0 {
		c.Close()
		return
	}
	c.pool.put(c)
}

// Close drops the connection, and with it the work of the endpoint on it.
func (c *Conn) Close() {
	if c.over.CompareAndSwap(false, true) {
		_ = c.net.Close()
		c.pool.closed(c.address)
	}
}

// sound tells whether a resting connection is still open and silent.
func (c *Conn) sound() bool {
	sc, ok := c.net.(syscall.Conn)
	if !ok || c.br.Buffered() > 0 {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var one [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, rerr := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(rerr, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// dial opens a connection.
func (p *Pool) dial(ctx context.Context, address string) (net.Conn, error) {
	if p.Dial != nil {
		ctx, cancel := context.WithTimeout(ctx, p.DialTimeout)
		defer cancel()
		return p.Dial(ctx, "tcp", address)
	}
	d := net.Dialer{
		Timeout:         p.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				// The option only makes a dead endpoint known sooner; without it the deadline does.
				_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, userTimeout)
			})
		},
	}
	return d.DialContext(ctx, "tcp", address)
}

// userTimeout is the time in milliseconds after which unacknowledged bytes end a connection.
const userTimeout = 3000
