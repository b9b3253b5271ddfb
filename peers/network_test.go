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

// network carries datagrams between agents on simulated time.
type network struct {
	mu    sync.Mutex
	loss  float64
	cut   func(from, to string) bool // loses what it names, or nil
	conns map[string]*endConn
	ways  map[way]*rand.Rand // what is lost on each way follows its own datagrams only, not the order of goroutines
}

// way is from one host to another.
type way struct{ from, to string }

// loses draws whether a datagram is lost; mu must be held.
func (n *network) loses(w way) bool {
	r := n.ways[w]
	if r == nil {
		r = rand.New(rand.NewPCG(xxhash.Sum64String(w.from), xxhash.Sum64String(w.to)))
		n.ways[w] = r
	}
	return r.Float64() < n.loss
}

// setCut parts hosts from each other.
func (n *network) setCut(cut func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
}

// endConn is an agent's socket. Datagrams beyond its queue are lost.
type endConn struct {
	net.PacketConn
	network *network
	address *net.UDPAddr
	in      chan []byte
	closed  chan struct{}
	once    sync.Once
	off     bool // it hears and sends nothing
	dozes   bool // it sends nothing, and is not closed
	late    time.Time
	packets int // sent and heard
	bytes   int
}

func (n *network) open(i int) *endConn {
	c := &endConn{
		network: n, address: &net.UDPAddr{IP: net.IPv4(10, byte(i>>16), byte(i>>8), byte(i)), Port: 7600},
		in: make(chan []byte, 4096), closed: make(chan struct{}),
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[c.address.String()] = c
	return c
}

func (c *endConn) WriteTo(b []byte, to net.Addr) (int, error) {
	n := c.network
	n.mu.Lock()
	defer n.mu.Unlock()
	other := n.conns[to.String()]
	if c.off || c.dozes || other == nil || other.off || (n.cut != nil && n.cut(c.address.String(), to.String())) {
		return len(b), nil
	}
	c.packets, c.bytes = c.packets+1, c.bytes+len(b)
	if n.loses(way{c.address.String(), to.String()}) {
		return len(b), nil
	}
	other.packets, other.bytes = other.packets+1, other.bytes+len(b)
	data := append([]byte(nil), b...)
	time.AfterFunc(time.Millisecond, func() {
		select {
		case other.in <- data:
		default:
		}
	})
	return len(b), nil
}

func (c *endConn) ReadFrom(b []byte) (int, net.Addr, error) {
	var late <-chan time.Time
	if !c.late.IsZero() {
		late = time.After(time.Until(c.late))
	}
	select {
	case data := <-c.in:
		return copy(b, data), c.address, nil
	case <-late:
		return 0, nil, os.ErrDeadlineExceeded
	case <-c.closed:
		return 0, nil, net.ErrClosed
	}
}

// asleep lets a host's socket take what comes, and nobody read it.
func (c *endConn) asleep(on bool) {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	c.dozes = on
}

// silence lets a host hear and send nothing any more.
func (c *endConn) silence() {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	c.off = true
}

func (c *endConn) SetReadDeadline(at time.Time) error {
	c.late = at
	return nil
}

func (c *endConn) Close() error {
	c.network.mu.Lock()
	dozes := c.dozes
	c.network.mu.Unlock()
	if dozes {
		return nil
	}
	c.once.Do(func() { close(c.closed) })
	return nil
}
