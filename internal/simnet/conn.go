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

// conn is one end of a connection.
type conn struct {
	host    *Host
	in, out *stream
	local   netip.AddrPort
	remote  netip.AddrPort
	once    sync.Once
}

// newConnPair returns the two ends of a connection.
func newConnPair(a, b *Host, from, to netip.AddrPort) (near, far *conn) {
	up, down := newStream(a, b), newStream(b, a)
	return &conn{host: a, in: down, out: up, local: from, remote: to}, &conn{host: b, in: up, out: down, local: to, remote: from}
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) { return c.in.read(b) }

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) { return c.out.write(b) }

// Drained reports whether the connection is open and no bytes wait on it to be read, as far as its host can know.
func (c *conn) Drained() bool { return c.in.drained() }

// Close implements net.Conn. Data written before it still arrives.
func (c *conn) Close() error {
	c.once.Do(func() {
		c.out.closeSide(false)
		c.in.closeSide(true)
		c.host.net.mu.Lock()
		delete(c.host.conns, c)
		c.host.net.mu.Unlock()
	})
	return nil
}

// LocalAddr and RemoteAddr implement net.Conn.
func (c *conn) LocalAddr() net.Addr  { return net.TCPAddrFromAddrPort(c.local) }
func (c *conn) RemoteAddr() net.Addr { return net.TCPAddrFromAddrPort(c.remote) }

// SetDeadline implements net.Conn. Writes never block.
func (c *conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.in.setDeadline(t)
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }

// stream carries the bytes of one direction of a connection.
type stream struct {
	from, to *Host

	mu          sync.Mutex
	changed     *sync.Cond
	segments    []segment
	writeClosed bool // no more is written
	readClosed  bool // no more is read
	deadline    time.Time
	timer       *time.Timer
}

// segment holds bytes and the time at which they arrive.
type segment struct {
	bytes     []byte
	arrivesAt time.Time
}

func newStream(from, to *Host) *stream {
	s := &stream{from: from, to: to}
	s.changed = sync.NewCond(&s.mu)
	return s
}

// wake makes waiting readers check the stream again.
func (s *stream) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changed.Broadcast()
}

// wakeAt calls wake at time t.
func (s *stream) wakeAt(t time.Time) { time.AfterFunc(time.Until(t), s.wake) }

// write sends bytes. They arrive in order, after the latency and after any stall of either host.
func (s *stream) write(b []byte) (int, error) {
	stalledUntil := s.from.net.stalledUntil(s.from, s.to)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.writeClosed {
		return 0, net.ErrClosed
	}
	if s.readClosed {
		return 0, syscall.EPIPE
	}
	arrivesAt := time.Now()
	if stalledUntil.After(arrivesAt) {
		arrivesAt = stalledUntil
	}
	arrivesAt = arrivesAt.Add(s.from.net.Latency)
	if n := len(s.segments); n > 0 && s.segments[n-1].arrivesAt.After(arrivesAt) {
		arrivesAt = s.segments[n-1].arrivesAt
	}
	s.segments = append(s.segments, segment{append([]byte(nil), b...), arrivesAt})
	s.wakeAt(arrivesAt)
	return len(b), nil
}

// read blocks until bytes have arrived, the stream has ended or the deadline has passed. It waits
// while the reader's host is stalled.
func (s *stream) read(b []byte) (int, error) {
	for {
		stalledUntil := s.from.net.stalledUntil(s.to, s.to)
		heldUp := s.from.net.holdsUp(s.from, s.to)
		s.mu.Lock()
		now := time.Now()
		ready := !stalledUntil.After(now) && !heldUp
		switch {
		case s.readClosed:
			s.mu.Unlock()
			return 0, net.ErrClosed
		case len(s.segments) > 0 && ready && !s.segments[0].arrivesAt.After(now):
			p := &s.segments[0]
			n := copy(b, p.bytes)
			if p.bytes = p.bytes[n:]; len(p.bytes) == 0 {
				s.segments = s.segments[1:]
			}
			s.mu.Unlock()
			return n, nil
		case len(s.segments) == 0 && s.writeClosed && ready:
			s.mu.Unlock()
			return 0, io.EOF
		case !s.deadline.IsZero() && !s.deadline.After(now):
			s.mu.Unlock()
			return 0, os.ErrDeadlineExceeded
		}
		if !ready && !heldUp {
			s.wakeAt(stalledUntil)
		}
		s.changed.Wait()
		s.mu.Unlock()
	}
}

// drained reports whether a read would block.
func (s *stream) drained() bool {
	now := time.Now()
	heldUp := s.from.net.stalledUntil(s.to, s.to).After(now) || s.from.net.holdsUp(s.from, s.to)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.readClosed:
		return false
	case heldUp:
		return true
	case len(s.segments) > 0:
		return s.segments[0].arrivesAt.After(now)
	}
	return !s.writeClosed
}

// closeSide closes the reader's or the writer's side.
func (s *stream) closeSide(reader bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if reader {
		s.readClosed, s.segments = true, nil
	} else {
		s.writeClosed = true
	}
	s.changed.Broadcast()
}

// setDeadline sets the deadline of reads.
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
