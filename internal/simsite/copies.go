// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package simsite

import (
	"bytes"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/heathkeel/heathkeel/internal/site"
)

// CopyTime says when an endpoint sends an answer once more on its connection.
type CopyTime uint8

// Times of a second copy.
const (
	// NoCopy means never.
	NoCopy CopyTime = iota
	// AtOnce means right behind the answer.
	AtOnce
	// Later means after copyDelay, or in front of the next answer if that comes first.
	Later
	// BeforeNext means in front of the next answer.
	BeforeNext
)

// copyDelay is the time after which a second copy comes Later.
const copyDelay = 30 * time.Millisecond

// copyingListener accepts connections on which answers are sent twice.
type copyingListener struct {
	net.Listener
	when func() CopyTime
}

// Accept implements net.Listener.
func (l copyingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &copyingConn{Conn: c, when: l.when}, nil
}

// copyingConn is a connection on which answers are sent twice.
type copyingConn struct {
	net.Conn
	when func() CopyTime

	mu     sync.Mutex
	answer []byte // what was written of the present answer
	late   []byte // the second copy of an earlier one
}

// Write implements net.Conn.
func (c *copyingConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.answer) == 0 {
		c.writeLate()
	}
	c.answer = append(c.answer, b...)
	n, err := c.Conn.Write(b)
	if err != nil || !isWhole(c.answer) {
		return n, err
	}
	whole := c.answer
	c.answer = nil
	switch c.when() {
	case AtOnce:
		_, _ = c.Conn.Write(whole) // an error recurs with the next answer
	case Later:
		c.late = whole
		time.AfterFunc(copyDelay, c.sendLate)
	case BeforeNext:
		c.late = whole
	}
	return n, nil
}

// sendLate writes the second copy, unless another answer was begun.
func (c *copyingConn) sendLate() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.answer) == 0 {
		c.writeLate()
	}
}

// writeLate writes the second copy, if there is one; mu must be held.
func (c *copyingConn) writeLate() {
	_, _ = c.Conn.Write(c.late) // an error recurs with the next answer
	c.late = nil
}

// isWhole reports whether the bytes of an answer are all of it. One without a length or chunks never is.
func isWhole(answer []byte) bool {
	head, body, ok := bytes.Cut(answer, []byte("\r\n\r\n"))
	switch {
	case !ok:
		return false
	case bytes.Contains(head, []byte("chunked")):
		return bytes.HasSuffix(body, []byte("0\r\n\r\n"))
	case bytes.Contains(head, []byte("Content-Length: 0")):
		return true
	}
	return bytes.Contains(head, []byte("Content-Length")) && len(body) > 0
}

// AddFaulty starts an endpoint, an engine if streams isn't nil, which answers requests that it does not run with the status that rejects
// returns, 503 or 421, and sends answers once more when copies says so. Rejects returns 0 for a request that is to run.
func (s *Site) AddFaulty(work time.Duration, streams *Streams, rejects func() int, copies func() CopyTime) error {
	service := site.Plain
	if streams != nil {
		service = site.Engines
	}
	return s.addEndpoint(&Endpoint{Service: service, Version: "v1", Work: work, Streams: streams, Rejects: rejects, Copies: copies})
}

// rejectByChance answers a request without running it if Rejects says so.
func (e *Endpoint) rejectByChance(w http.ResponseWriter, r *http.Request) bool {
	if e.Rejects == nil {
		return false
	}
	status := e.Rejects()
	if status > 0 {
		writeNotRun(w, r, status)
	}
	return status > 0
}
