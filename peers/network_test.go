// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peers

import (
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// network carries datagrams between agents in simulated time.
type network struct {
	mu      sync.Mutex
	loss    float64
	blocked func(from, to string) bool // reports whether datagrams are lost, or nil
	conns   map[string]*testConn
	links   map[link]*rand.Rand // losses on a link depend on its own datagrams only, not on the order of goroutines
}

// link is the connection from one host to another.
type link struct{ from, to string }

// drops draws whether a datagram is lost. mu must be held.
func (n *network) drops(l link) bool {
	r := n.links[l]
	if r == nil {
		r = rand.New(rand.NewPCG(xxhash.Sum64String(l.from), xxhash.Sum64String(l.to)))
		n.links[l] = r
	}
	return r.Float64() < n.loss
}

// setBlocked sets which links are blocked.
func (n *network) setBlocked(blocked func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked = blocked
}

// testConn is an agent's socket. Datagrams beyond its queue are lost.
type testConn struct {
	net.PacketConn
	network   *network
	address   *net.UDPAddr
	queue     chan []byte
	closed    chan struct{}
	once      sync.Once
	isolated  bool // sends and receives nothing
	suspended bool // sends nothing and ignores Close
	deadline  time.Time
	packets   int // sent and received
	bytes     int
}

func (n *network) open(i int) *testConn {
	c := &testConn{
		network: n, address: &net.UDPAddr{IP: net.IPv4(10, byte(i>>16), byte(i>>8), byte(i)), Port: 7600},
		queue: make(chan []byte, 4096), closed: make(chan struct{}),
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[c.address.String()] = c
	return c
}

func (c *testConn) WriteTo(b []byte, to net.Addr) (int, error) {
	n := c.network
	n.mu.Lock()
	defer n.mu.Unlock()
	other := n.conns[to.String()]
	if c.isolated || c.suspended || other == nil || other.isolated || (n.blocked != nil && n.blocked(c.address.String(), to.String())) {
		return len(b), nil
	}
	c.packets, c.bytes = c.packets+1, c.bytes+len(b)
	if n.drops(link{c.address.String(), to.String()}) {
		return len(b), nil
	}
	other.packets, other.bytes = other.packets+1, other.bytes+len(b)
	data := append([]byte(nil), b...)
	time.AfterFunc(time.Millisecond, func() {
		select {
		case other.queue <- data:
		default:
		}
	})
	return len(b), nil
}

func (c *testConn) ReadFrom(b []byte) (int, net.Addr, error) {
	var timeout <-chan time.Time
	if !c.deadline.IsZero() {
		timeout = time.After(time.Until(c.deadline))
	}
	select {
	case data := <-c.queue:
		return copy(b, data), c.address, nil
	case <-timeout:
		return 0, nil, os.ErrDeadlineExceeded
	case <-c.closed:
		return 0, nil, net.ErrClosed
	}
}

// setSuspended suspends a host: its socket takes datagrams, but nobody reads them.
func (c *testConn) setSuspended(on bool) {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	c.suspended = on
}

// isolate makes a host send and receive nothing any more.
func (c *testConn) isolate() {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	c.isolated = true
}

func (c *testConn) SetReadDeadline(at time.Time) error {
	c.deadline = at
	return nil
}

func (c *testConn) Close() error {
	c.network.mu.Lock()
	dozes := c.suspended
	c.network.mu.Unlock()
	if dozes {
		return nil
	}
	c.once.Do(func() { close(c.closed) })
	return nil
}
