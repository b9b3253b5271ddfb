// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package simnet

import (
	"net"
	"net/netip"
	"os"
	"sync"
	"time"
)

// socket sends and gets datagrams. Those beyond its queue are lost.
type socket struct {
	host   *Host
	at     netip.AddrPort
	in     chan datagram
	closed chan struct{}
	once   sync.Once

	mu       sync.Mutex
	deadline time.Time
}

// datagram is a packet and who sent it.
type datagram struct {
	bytes []byte
	from  netip.AddrPort
}

// mostQueued is the number of datagrams that wait to be read.
const mostQueued = 4096

func newSocket(h *Host, at netip.AddrPort) *socket {
	return &socket{host: h, at: at, in: make(chan datagram, mostQueued), closed: make(chan struct{})}
}

// WriteTo implements net.PacketConn.
func (s *socket) WriteTo(b []byte, to net.Addr) (int, error) {
	at := to.(*net.UDPAddr).AddrPort()
	at = netip.AddrPortFrom(at.Addr().Unmap(), at.Port())
	n := s.host.net
	n.mu.Lock()
	other := n.sockets[at]
	n.mu.Unlock()
	if other == nil {
		return len(b), nil
	}
	other.deliver(datagram{append([]byte(nil), b...), s.at}, s.host)
	return len(b), nil
}

// deliver lets a datagram arrive once neither host's packets wait.
func (s *socket) deliver(d datagram, from *Host) {
	n := s.host.net
	wait := max(0, time.Until(n.heldUntil(from, s.host))) + n.Latency
	time.AfterFunc(wait, func() {
		if n.heldUntil(s.host, s.host).After(time.Now()) {
			s.deliver(d, s.host)
			return
		}
		n.mu.Lock()
		deaf := s.host.deaf
		n.mu.Unlock()
		if deaf {
			return
		}
		select {
		case s.in <- d:
		default:
		}
	})
}

// ReadFrom implements net.PacketConn.
func (s *socket) ReadFrom(b []byte) (int, net.Addr, error) {
	s.mu.Lock()
	deadline := s.deadline
	s.mu.Unlock()
	var late <-chan time.Time
	if !deadline.IsZero() {
		t := time.NewTimer(time.Until(deadline))
		defer t.Stop()
		late = t.C
	}
	select {
	case d := <-s.in:
		return copy(b, d.bytes), net.UDPAddrFromAddrPort(d.from), nil
	case <-late:
		return 0, nil, os.ErrDeadlineExceeded
	case <-s.closed:
		return 0, nil, net.ErrClosed
	}
}

// Close implements net.PacketConn.
func (s *socket) Close() error {
	s.once.Do(func() {
		s.host.net.mu.Lock()
		delete(s.host.net.sockets, s.at)
		s.host.net.mu.Unlock()
		close(s.closed)
	})
	return nil
}

// LocalAddr implements net.PacketConn.
func (s *socket) LocalAddr() net.Addr { return net.UDPAddrFromAddrPort(s.at) }

// SetDeadline implements net.PacketConn. Writes never wait.
func (s *socket) SetDeadline(t time.Time) error { return s.SetReadDeadline(t) }

// SetReadDeadline implements net.PacketConn.
func (s *socket) SetReadDeadline(t time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deadline = t
	return nil
}

// SetWriteDeadline implements net.PacketConn.
func (s *socket) SetWriteDeadline(time.Time) error { return nil }
