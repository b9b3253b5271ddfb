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

// socket sends and receives datagrams. Datagrams that exceed its queue are dropped.
type socket struct {
	host    *Host
	address netip.AddrPort
	in      chan datagram
	closed  chan struct{}
	once    sync.Once

	mu       sync.Mutex
	deadline time.Time
}

// datagram is a packet with the address of its sender.
type datagram struct {
	bytes []byte
	from  netip.AddrPort
}

// maxQueued limits the datagrams that wait to be read.
const maxQueued = 4096

func newSocket(h *Host, address netip.AddrPort) *socket {
	return &socket{host: h, address: address, in: make(chan datagram, maxQueued), closed: make(chan struct{})}
}

// WriteTo implements net.PacketConn.
func (s *socket) WriteTo(b []byte, to net.Addr) (int, error) {
	address := to.(*net.UDPAddr).AddrPort()
	address = netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
	n := s.host.net
	n.mu.Lock()
	receiver := n.sockets[address]
	n.mu.Unlock()
	if receiver == nil {
		return len(b), nil
	}
	receiver.deliver(datagram{append([]byte(nil), b...), s.address}, s.host)
	return len(b), nil
}

// deliver queues a datagram after the latency and after any stall of either host. It is repeated if
// the receiver has been stalled meanwhile.
func (s *socket) deliver(d datagram, from *Host) {
	n := s.host.net
	wait := max(0, time.Until(n.stalledUntil(from, s.host))) + n.Latency
	time.AfterFunc(wait, func() {
		if n.stalledUntil(s.host, s.host).After(time.Now()) {
			s.deliver(d, s.host)
			return
		}
		n.mu.Lock()
		drop := s.host.dropDatagrams
		n.mu.Unlock()
		if drop {
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
	var timeout <-chan time.Time
	if !deadline.IsZero() {
		t := time.NewTimer(time.Until(deadline))
		defer t.Stop()
		timeout = t.C
	}
	select {
	case d := <-s.in:
		return copy(b, d.bytes), net.UDPAddrFromAddrPort(d.from), nil
	case <-timeout:
		return 0, nil, os.ErrDeadlineExceeded
	case <-s.closed:
		return 0, nil, net.ErrClosed
	}
}

// Close implements net.PacketConn.
func (s *socket) Close() error {
	s.once.Do(func() {
		s.host.net.mu.Lock()
		delete(s.host.net.sockets, s.address)
		s.host.net.mu.Unlock()
		close(s.closed)
	})
	return nil
}

// LocalAddr implements net.PacketConn.
func (s *socket) LocalAddr() net.Addr { return net.UDPAddrFromAddrPort(s.address) }

// SetDeadline implements net.PacketConn. Writes never block.
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
