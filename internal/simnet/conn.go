// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package simnet

import (
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"
)

// conn is an end of a connection.
type conn struct {
	host    *Host
	in, out *stream
	local   netip.AddrPort
	remote  netip.AddrPort
	once    sync.Once
}

// pair joins two ends.
func pair(a, b *Host, from, to netip.AddrPort) (near, far *conn) {
	up, down := newStream(a, b), newStream(b, a)
	return &conn{host: a, in: down, out: up, local: from, remote: to}, &conn{host: b, in: up, out: down, local: to, remote: from}
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) { return c.in.read(b) }

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) { return c.out.write(b) }

// Close implements net.Conn. What was written before still arrives.
func (c *conn) Close() error {
	c.once.Do(func() {
		c.out.end(false)
		c.in.end(true)
		c.host.net.mu.Lock()
		delete(c.host.conns, c)
		c.host.net.mu.Unlock()
	})
	return nil
}

// LocalAddr and RemoteAddr implement net.Conn.
func (c *conn) LocalAddr() net.Addr  { return net.TCPAddrFromAddrPort(c.local) }
func (c *conn) RemoteAddr() net.Addr { return net.TCPAddrFromAddrPort(c.remote) }

// SetDeadline implements net.Conn. Writes never wait.
func (c *conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.in.setDeadline(t)
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }

// stream is the bytes of one way.
type stream struct {
	from, to *Host

	mu       sync.Mutex
	changed  *sync.Cond
	pieces   []piece
	ended    bool // no more is written
	broken   bool // nobody reads any more
	deadline time.Time
	timer    *time.Timer
}

// piece is bytes and the time at which they arrive.
type piece struct {
	bytes []byte
	at    time.Time
}

func newStream(from, to *Host) *stream {
	s := &stream{from: from, to: to}
	s.changed = sync.NewCond(&s.mu)
	return s
}

// wake lets a reader look again.
func (s *stream) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changed.Broadcast()
}

// wakeAt lets a reader look again at a time.
func (s *stream) wakeAt(t time.Time) { time.AfterFunc(time.Until(t), s.wake) }

// write puts bytes on their way.
func (s *stream) write(b []byte) (int, error) {
	held := s.from.net.heldUntil(s.from, s.to)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return 0, net.ErrClosed
	}
	if s.broken {
		return 0, syscall.EPIPE
	}
	at := time.Now()
	if held.After(at) {
		at = held
	}
	at = at.Add(s.from.net.Latency)
	if n := len(s.pieces); n > 0 && s.pieces[n-1].at.After(at) {
		at = s.pieces[n-1].at
	}
	s.pieces = append(s.pieces, piece{append([]byte(nil), b...), at})
	s.wakeAt(at)
	return len(b), nil
}

// read takes bytes that have arrived.
func (s *stream) read(b []byte) (int, error) {
	for {
		held := s.from.net.heldUntil(s.to, s.to)
		s.mu.Lock()
		now := time.Now()
		ready := !held.After(now)
		switch {
		case s.broken:
			s.mu.Unlock()
			return 0, net.ErrClosed
		case len(s.pieces) > 0 && ready && !s.pieces[0].at.After(now):
			p := &s.pieces[0]
			n := copy(b, p.bytes)
			if p.bytes = p.bytes[n:]; len(p.bytes) == 0 {
				s.pieces = s.pieces[1:]
			}
			s.mu.Unlock()
			return n, nil
		case len(s.pieces) == 0 && s.ended && ready:
			s.mu.Unlock()
			return 0, io.EOF
		case !s.deadline.IsZero() && !s.deadline.After(now):
			s.mu.Unlock()
			return 0, os.ErrDeadlineExceeded
		}
		if !ready {
			s.wakeAt(held)
		}
		s.changed.Wait()
		s.mu.Unlock()
	}
}

// end ends one side: the writer's, or the reader's.
func (s *stream) end(reader bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if reader {
		s.broken, s.pieces = true, nil
	} else {
		s.ended = true
	}
	s.changed.Broadcast()
}

// setDeadline bounds reads.
func (s *stream) setDeadline(t time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deadline = t
	if s.timer != nil {
		s.timer.Stop()
	}
	if !t.IsZero() {
		s.timer = time.AfterFunc(time.Until(t), s.wake)
	}
	s.changed.Broadcast()
}
