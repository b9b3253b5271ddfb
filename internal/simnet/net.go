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
	"time"
)

// Net joins hosts. The fields must be set before the first call.
type Net struct {
	// Latency is the time of a packet on its way.
	Latency time.Duration

	mu        sync.Mutex
	hosts     map[netip.Addr]*Host
	listeners map[netip.AddrPort]*listener
	sockets   map[netip.AddrPort]*socket
}

// Host is a host of a Net and its way to the others.
type Host struct {
	// IP is its address.
	IP netip.Addr

	net      *Net
	nextPort uint16
	conns    map[*conn]bool
	held     time.Time // until when its packets wait
	deaf     bool      // it gets no datagrams
	off      bool      // it opens no connections
}

// Errors of a Net.
var (
	errRefused = errors.New("connection refused")
	errInUse   = errors.New("address in use")
)

// firstPort is the first port that is given to connections.
const firstPort = 40000

// Host returns the host with an IP number, made when it is first asked for.
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
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	if h.net.listeners[at] != nil {
		return nil, errInUse
	}
	l := &listener{host: h, at: at, conns: make(chan *conn, backlog), closed: make(chan struct{})}
	h.net.listeners[at] = l
	return l, nil
}

// ListenPacket opens a socket for datagrams.
func (h *Host) ListenPacket(_ context.Context, _, address string) (net.PacketConn, error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	if h.net.sockets[at] != nil {
		return nil, errInUse
	}
	s := newSocket(h, at)
	h.net.sockets[at] = s
	return s, nil
}

// DialContext opens a connection.
func (h *Host) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	if err := h.travel(ctx, to.Addr()); err != nil {
		return nil, err
	}
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	l := h.net.listeners[to]
	if l == nil || h.off {
		return nil, fmt.Errorf("dial %s: %w", address, errRefused)
	}
	h.nextPort++
	from := netip.AddrPortFrom(h.IP, h.nextPort)
	near, far := pair(h, l.host, from, to)
	select {
	case l.conns <- far:
	default:
		return nil, fmt.Errorf("dial %s: %w", address, errRefused)
	}
	h.conns[near], l.host.conns[far] = true, true
	return near, nil
}

// travel lets the time pass of a packet to a host and back, the waits of both hosts included.
func (h *Host) travel(ctx context.Context, to netip.Addr) error {
	h.net.mu.Lock()
	wait := 2 * h.net.Latency
	for _, x := range []*Host{h, h.net.hosts[to]} {
		if x != nil {
			wait = max(wait, time.Until(x.held)+2*h.net.Latency)
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

// Stall lets all packets from and to the host wait for a time, as if its process got no processor.
func (h *Host) Stall(d time.Duration) {
	h.net.mu.Lock()
	until := time.Now().Add(d)
	if until.After(h.held) {
		h.held = until
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

// DropDatagrams keeps datagrams from the host, or lets it get them again.
func (h *Host) DropDatagrams(on bool) {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	h.deaf = on
}

// Start lets a host that was killed open connections again.
func (h *Host) Start() {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	h.off = false
}

// Kill closes all that the host has open, and what is being opened.
func (h *Host) Kill() {
	h.net.mu.Lock()
	h.off = true
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

// heldUntil is until when packets between two hosts wait.
func (n *Net) heldUntil(a, b *Host) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	if a.held.After(b.held) {
		return a.held
	}
	return b.held
}

// backlog is the number of connections that wait for a listener.
const backlog = 1024

// listener takes connections.
type listener struct {
	host   *Host
	at     netip.AddrPort
	conns  chan *conn
	closed chan struct{}
	once   sync.Once
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
		delete(l.host.net.listeners, l.at)
		l.host.net.mu.Unlock()
		close(l.closed)
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.at) }
