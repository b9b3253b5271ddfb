// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// call is a request of a client.
type call struct {
	id, method, path, body string
	deadline               time.Duration
	// kept sends the request on a connection on which a short one was answered before.
	kept bool
	// window is the size of the client's receive buffer in bytes, and rate the number of bytes a second that it reads at most; 0 means
	// no limit.
	window, rate int
	// begun gets the stamp of the answer once its head has come; it may be nil.
	begun chan<- string
}

// answer is what a client received.
type answer struct {
	status   int
	header   http.Header
	body     string
	complete bool // by the protocol
	err      error
}

// pacedReader reads at most rate bytes a second.
type pacedReader struct {
	r    io.Reader
	rate int
}

// Read implements io.Reader.
func (p *pacedReader) Read(b []byte) (int, error) {
	const reads = 10 // a second
	if p.rate == 0 {
		return p.r.Read(b)
	}
	n, err := p.r.Read(b[:min(len(b), p.rate/reads)])
	time.Sleep(time.Second * time.Duration(n) / time.Duration(p.rate))
	return n, err
}

// do sends a request to a host on a connection of its own and reads the answer.
func (f *fleet) do(h *host, c call) answer {
	d := net.Dialer{Timeout: time.Second}
	if c.window > 0 {
		d.Control = func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, c.window)
			})
		}
	}
	conn, err := d.Dial("tcp", h.front)
	if err != nil {
		f.rec.note("client: request", c.id, "not sent:", err.Error())
		return answer{err: err}
	}
	defer conn.Close()
	paced := &pacedReader{r: conn}
	br := bufio.NewReader(paced)
	if c.kept {
		a := f.exchange(conn, br, h, call{id: c.id + "-before", method: "GET", path: "/ask/1", deadline: 3 * time.Second})
		if a.status != http.StatusOK || !a.complete {
			return answer{err: fmt.Errorf("short request before: status %d", a.status)}
		}
	}
	paced.rate = c.rate
	return f.exchange(conn, br, h, c)
}

// exchange sends a request on a connection and reads the answer.
func (f *fleet) exchange(conn net.Conn, br *bufio.Reader, h *host, c call) answer {
	_ = conn.SetDeadline(time.Now().Add(c.deadline + time.Second))
	f.rec.note("client: request", c.id, c.method, c.path, "of", fmt.Sprint(len(c.body)), "bytes sent to", h.name, "deadline", c.deadline.String())
	_, err := fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\nHeathkeel-Attempt-Id: %s\r\nHeathkeel-Deadline-Ms: %d\r\nAuthorization: Token %s\r\nHeathkeel-Token-Count: 20,40\r\nContent-Length: %d\r\n\r\n%s",
		c.method, c.path, hostName, c.id, c.deadline.Milliseconds(), key, len(c.body), c.body)
	if err != nil {
		f.rec.note("client: request", c.id, "not sent:", err.Error())
		return answer{err: err}
	}
	resp, err := http.ReadResponse(br, &http.Request{Method: c.method})
	if err != nil {
		f.rec.note("client: request", c.id, "no answer:", err.Error())
		return answer{err: err}
	}
	stamp := resp.Header.Get("Heathkeel-Response-Stamp")
	f.rec.note("client: request", c.id, "gets", fmt.Sprint(resp.StatusCode), "stamp", stamp, "declared length", fmt.Sprint(resp.ContentLength))
	if c.begun != nil {
		c.begun <- stamp
	}
	b, err := io.ReadAll(resp.Body)
	a := answer{resp.StatusCode, resp.Header, string(b), err == nil, err}
	f.rec.note("client: request", c.id, "ends after", fmt.Sprint(len(b)), "bytes and", fmt.Sprint(countEvents(a.body)), "events, complete by the protocol:", fmt.Sprint(a.complete), "error:", fmt.Sprint(err))
	return a
}

// countEvents returns the number of events in a stream; comments are none.
func countEvents(body string) int { return strings.Count(body, "id: ") }
