// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package simnet

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

// Net connects hosts. Its fields must be set before the first call.
type Net struct {
	// Latency is the one-way latency of a packet.
	Latency time.Duration

	mu        sync.Mutex
	hosts     map[netip.Addr]*Host
	listeners map[netip.AddrPort]*listener
	sockets   map[netip.AddrPort]*socket
}

// Host is a host of a Net and its interface to the network.
type Host struct {
	// IP is the host's address.
	IP netip.Addr

	net           *Net
	nextPort      uint16
	conns         map[*conn]bool
	stalledUntil  time.Time // its packets are delayed until then
	dropDatagrams bool      // datagrams to it are dropped
	killed        bool      // it cannot open connections
	cut           *cut      // from some hosts, or nil
}

// Errors of a Net.
var (
	errRefused = syscall.ECONNREFUSED
	errInUse   = errors.New("address in use")
)

// firstPort precedes the first local port of outgoing connections.
const firstPort = 40000

// Host returns the host with an IP address and creates it on first use.
func (n *Net) Host(ip string) *Host {
	a := netip.MustParseAddr(ip)
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.hosts == nil {
		n.hosts, n.listeners = make(map[netip.Addr]*Host), make(map[netip.AddrPort]*listener)
		n.sockets = make(map[netip.AddrPort]*socket)
	}
	h := n.hosts[a]
	if h == nil {
		h = &Host{IP: a, net: n, nextPort: firstPort, conns: make(map[*conn]bool)}
		n.hosts[a] = h
	}
	return h
}

// Listen listens for connections.
func (h *Host) Listen(_ context.Context, _, address string) (net.Listener, error) {
	addrPort, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	if h.net.listeners[addrPort] != nil {
		return nil, errInUse
	}
	l := &listener{host: h, address: addrPort, conns: make(chan *conn, backlog), closed: make(chan struct{})}
	h.net.listeners[addrPort] = l
	return l, nil
}

// ListenPacket opens a socket for datagrams.
func (h *Host) ListenPacket(_ context.Context, _, address string) (net.PacketConn, error) {
	addrPort, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	if h.net.sockets[addrPort] != nil {
		return nil, errInUse
	}
	s := newSocket(h, addrPort)
	h.net.sockets[addrPort] = s
	return s, nil
}

// DialContext opens a connection.
func (h *Host) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	if err := h.waitRoundTrip(ctx, to.Addr()); err != nil {
		return nil, err
	}
	if err := h.waitCut(ctx, to.Addr()); err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	l := h.net.listeners[to]
	if l == nil || h.killed {
		return nil, fmt.Errorf("dial %s: %w", address, errRefused)
	}
	h.nextPort++
	from := netip.AddrPortFrom(h.IP, h.nextPort)
	near, far := newConnPair(h, l.host, from, to)
	select {
	case l.conns <- far:
	default:
		return nil, fmt.Errorf("dial %s: %w", address, errRefused)
	}
	h.conns[near], l.host.conns[far] = true, true
	return near, nil
}

// waitRoundTrip waits for the round-trip time of a packet to a host, stalls of both hosts included.
func (h *Host) waitRoundTrip(ctx context.Context, to netip.Addr) error {
	h.net.mu.Lock()
	wait := 2 * h.net.Latency
	for _, x := range []*Host{h, h.net.hosts[to]} {
		if x != nil {
			wait = max(wait, time.Until(x.stalledUntil)+2*h.net.Latency)
		}
	}
	h.net.mu.Unlock()
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

// Stall delays all packets from and to the host until d has passed, as if its process were not
// scheduled.
func (h *Host) Stall(d time.Duration) {
	h.net.mu.Lock()
	until := time.Now().Add(d)
	if until.After(h.stalledUntil) {
		h.stalledUntil = until
	}
	conns := make([]*conn, 0, len(h.conns))
	for c := range h.conns {
		conns = append(conns, c)
	}
	h.net.mu.Unlock()
	time.AfterFunc(d, func() {
		for _, c := range conns {
			c.in.wake()
			c.out.wake()
		}
	})
}

// DropDatagrams drops datagrams to the host while on is true.
func (h *Host) DropDatagrams(on bool) {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	h.dropDatagrams = on
}

// Start lets a killed host open connections again.
func (h *Host) Start() {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	h.killed = false
}

// Kill closes the host's connections, listeners and sockets and makes its pending dials fail.
func (h *Host) Kill() {
	h.net.mu.Lock()
	h.killed = true
	var conns []*conn
	for c := range h.conns {
		conns = append(conns, c)
	}
	var listeners []*listener
	for at, l := range h.net.listeners {
		if at.Addr() == h.IP {
			listeners = append(listeners, l)
		}
	}
	var sockets []*socket
	for at, s := range h.net.sockets {
		if at.Addr() == h.IP {
			sockets = append(sockets, s)
		}
	}
	h.net.mu.Unlock()
	for _, l := range listeners {
		_ = l.Close()
	}
	for _, s := range sockets {
		_ = s.Close()
	}
	for _, c := range conns {
		_ = c.Close()
	}
}

// stalledUntil returns the time until which packets between two hosts are delayed.
func (n *Net) stalledUntil(a, b *Host) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	if a.stalledUntil.After(b.stalledUntil) {
		return a.stalledUntil
	}
	return b.stalledUntil
}

// backlog limits the connections that wait to be accepted by a listener.
const backlog = 1024

// listener accepts connections.
type listener struct {
	host    *Host
	address netip.AddrPort
	conns   chan *conn
	closed  chan struct{}
	once    sync.Once
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		l.host.net.mu.Lock()
		delete(l.host.net.listeners, l.address)
		l.host.net.mu.Unlock()
		close(l.closed)
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.address) }
