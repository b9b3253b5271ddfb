// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package upstream

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"github.com/heathkeel/heathkeel/internal/sticky"
)

// Conn is a connection to an endpoint, used for one request at a time.
type Conn struct {
	pool        *Pool
	address     string
	net         *sticky.Conn
	meter       *meter
	reader      *bufio.Reader // reads from meter
	idleTimeout time.Duration // longest time for which it may stay idle
	idleSince   time.Duration
	takenAt     time.Duration // when it was last returned by Pool.Get
	number      int64         // of the connection among those of the pool
	sent        sentIDs
	skipped     int // responses that were skipped since they belong to other requests
	closed      atomic.Bool
	noReuse     bool
	used        bool  // since it was taken from the pool
	bodyEnded   bool  // the latest response was read to the end
	exceeded    Limit // or empty
	err         error // why the newest response could not be read, or nil
	bodyWrite   chan error
	watched     atomic.Bool // see watchAcks
}

// Request is a request to send on a connection.
type Request struct {
	// ID is the value of the header by which responses are told apart; see Conn.ReadResponse. It may be empty for the first request on a
	// connection, which then carries no other.
	ID string
	// Method and URI form the request line.
	Method, URI string
	// Host and Header form the header. Header must not contain hop-by-hop fields.
	Host   string
	Header http.Header
	// Body is the complete body. HasBody distinguishes an empty body from none.
	Body    []byte
	HasBody bool
}

// asyncBodyBytes is the size above which a body is written while the response is read, because an
// endpoint may respond before it has read the whole body.
const asyncBodyBytes = 16 << 10

// Send writes a request. After an error, some bytes may have been sent, but none if it is ErrSentBefore.
func (c *Conn) Send(r *Request) error {
	if !c.sent.allow(r.ID) {
		return ErrSentBefore
	}
	c.sent.add(r.ID)
	c.noReuse = c.noReuse || r.ID == "" || c.sent.full()
	c.used, c.bodyEnded, c.err = true, false, nil
	head := r.appendHead(c.pool.getHeadBuffer())
	if len(r.Body) <= asyncBodyBytes {
		head = append(head, r.Body...)
		_, err := c.net.Write(head)
		c.pool.putHeadBuffer(head)
		return err
	}
	_, err := c.net.Write(head)
	c.pool.putHeadBuffer(head)
	if err != nil {
		return err
	}
	c.bodyWrite = make(chan error, 1)
	go func() {
		_, err := c.net.Write(r.Body)
		c.bodyWrite <- err
	}()
	c.watchAcks()
	return nil
}

// appendHead appends the request line and the header to b.
func (r *Request) appendHead(b []byte) []byte {
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

// ErrWrongResponse means that the responses on the connection belong to other requests.
var ErrWrongResponse = eris.New("answer belongs to another request; the connection is dropped")

// ReadResponse reads the head of the response to a request. The response must carry id in the named
// header. As the connection has carried no other request with that ID, such a response answers this one.
// Complete responses to earlier requests are skipped; the connection is not reused after that. A response that exceeds a limit closes the
// connection, and the error is a *LimitError; one whose head is invalid does, too, and the error is a *HeadError.
func (c *Conn) ReadResponse(method, header, id string) (*http.Response, error) {
	c.used = true
	interim, surplus := 0, 0
	for {
		resp, err := c.readHead(method)
		if err != nil {
			c.noReuse, c.err = true, err
			return nil, err
		}
		if resp.StatusCode < http.StatusOK {
			if interim++; interim > maxInterimResponses {
				return nil, c.exceed(LimitInterim, nil)
			}
			continue
		}
		c.openBody(resp)
		if resp.Header.Get(header) == id {
			c.applyHeaders(resp)
			return resp, nil
		}
		c.noReuse = true
		c.skipped++
		if resp.Header.Get(header) == "" {
			return resp, ErrWrongResponse
		}
		if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			return nil, ErrWrongResponse
		}
		if err := c.Discard(resp); err != nil {
			return nil, err
		}
		if surplus++; surplus >= maxSurplusResponses {
			return nil, c.exceed(LimitSurplus, nil)
		}
	}
}

// applyHeaders adapts the reuse of the connection to the headers of a response.
func (c *Conn) applyHeaders(resp *http.Response) {
	if resp.Close || (resp.ContentLength < 0 && len(resp.TransferEncoding) == 0) {
		c.noReuse = true
	}
	for _, part := range strings.Split(resp.Header.Get("Keep-Alive"), ",") {
		k, v, _ := strings.Cut(strings.TrimSpace(part), "=")
		if k != "timeout" {
			continue
		}
		if s, err := strconv.Atoi(v); err == nil {
			// The endpoint rounds the timeout to whole seconds and counts from the last byte that
			// it sent, so only 60% of it is used.
			c.idleTimeout = min(c.idleTimeout, time.Duration(s)*time.Second*6/10)
		}
	}
}

// Number returns the number of the connection among all that its pool has opened, from 1.
func (c *Conn) Number() int64 { return c.number }

// Err returns why the newest response could not be read, or nil if it was read, or is being read.
func (c *Conn) Err() error { return c.err }

// Requests returns the number of requests that were sent on the connection.
func (c *Conn) Requests() int { return len(c.sent) }

// Skipped returns the number of responses that were skipped since they belong to other requests.
func (c *Conn) Skipped() int { return c.skipped }

// Release returns the connection to the pool after a complete response was read.
func (c *Conn) Release() {
	if c.bodyWrite != nil {
		select {
		case err := <-c.bodyWrite:
			c.noReuse = c.noReuse || err != nil
			c.bodyWrite = nil
		default:
			c.noReuse = true
		}
	}
	if c.closed.Load() {
		return
	}
	if c.noReuse || (c.used && !c.bodyEnded) || c.reader.Buffered() > 0 || c.idleTimeout <= 0 {
		c.Close()
		return
	}
	c.used, c.bodyEnded = false, false
	c.pool.put(c)
}

// Close closes the connection, which also cancels the endpoint's work on it.
func (c *Conn) Close() {
	if c.closed.CompareAndSwap(false, true) {
		_ = c.net.Close()
		c.pool.noteClosed(c)
	}
}

// usable reports whether an idle connection is still open and has no unread bytes.
func (c *Conn) usable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	drained, known := c.net.Drained()
	return drained && known
}

// dial opens a connection to an address.
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
				// The option only detects a dead endpoint sooner; without it, the deadline of the
				// request applies.
				_ = setUserTimeout(fd, p.ackTimeout())
				// It is set before the connection is opened, because the window's scale depends on it.
				_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, SocketBuffer)
			})
		},
	}
	return d.DialContext(ctx, "tcp", address)
}

// SocketBuffer is the size in bytes of the socket buffers that responses pass through; the kernel takes up to twice as much. With 10 ms
// for a round trip a connection carries 9 MB/s. Without it the kernel lets a buffer grow to 4 MB (sending) and 32 MB (receiving).
const SocketBuffer = 96 << 10
