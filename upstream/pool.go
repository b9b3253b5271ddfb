// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package upstream

import (
	"bufio"
	"cmp"
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/heathkeel/heathkeel/internal/sticky"
)

// Defaults and limits of a Pool.
const (
	defaultIdleTimeout = 2 * time.Second
	defaultAckTimeout  = 3 * time.Second
	readBufferBytes    = 4 << 10
	headBufferBytes    = 2 << 10
	maxIdleConns       = 16 // per address
)

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Pool manages the connections of a host to all endpoints. The exported fields must be set before
// the first call.
type Pool struct {
	// Now returns the time of a monotonic clock.
	Now func() time.Duration
	// Dial opens a connection. If nil, connections are opened by the operating system's network
	// with TCP keep-alive and a TCP user timeout.
	Dial Dial
	// DialTimeout limits the time for opening a connection.
	DialTimeout time.Duration
	// AckTimeout is the time after which a connection is ended whose other end acknowledges nothing of what was sent to it; 0 means
	// defaultAckTimeout.
	AckTimeout time.Duration

	mu          sync.Mutex
	idle        map[string][]*Conn
	inUse       map[string]map[*Conn]bool
	openCounts  map[string]int
	refused     map[string]bool // addresses that refused the latest connection
	headBuffers sync.Pool
	totalOpened int64
	maxIdle     int // limit of idle connections per address; 0 means maxIdleConns
}

// Get returns a connection to an address for the request with an ID: of the idle ones that have not carried that ID the most recently used
// one if it is still usable, otherwise a new one.
func (p *Pool) Get(ctx context.Context, address, id string) (c *Conn, reused bool, err error) {
	for {
		c := p.take(address, id)
		if c == nil {
			break
		}
		if now := p.Now(); now-c.idleSince < c.idleTimeout && c.usable() {
			c.takenAt = now
			p.markInUse(c)
			return c, true, nil
		}
		c.Close()
	}
	if c, err = p.connect(ctx, address); err != nil {
		return nil, false, err
	}
	p.markInUse(c)
	return c, false, nil
}

// Warm opens a connection to an address and keeps it for a later request. The error of a
// failed dial shows the state of the endpoint, such as a refused connection.
func (p *Pool) Warm(ctx context.Context, address string) error {
	c, err := p.connect(ctx, address)
	if err != nil {
		return err
	}
	c.Release()
	return nil
}

// connect opens a connection and counts it.
func (p *Pool) connect(ctx context.Context, address string) (*Conn, error) {
	nc, err := p.dial(ctx, address)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.noteDialed(address, err)
	if err != nil {
		return nil, err
	}
	if p.openCounts == nil {
		p.openCounts = make(map[string]int)
	}
	p.openCounts[address]++
	p.totalOpened++
	c := newConn(p, address, nc)
	c.takenAt, c.number = p.Now(), p.totalOpened
	return c, nil
}

// newConn returns a connection of a pool.
func newConn(p *Pool, address string, nc net.Conn) *Conn {
	kept := sticky.New(nc)
	m := &meter{net: kept, now: p.Now}
	return &Conn{pool: p, address: address, net: kept, meter: m, reader: bufio.NewReaderSize(m, readBufferBytes), idleTimeout: defaultIdleTimeout}
}

// take removes the most recently used idle connection to an address that may carry the request with an ID from the pool, or returns nil.
func (p *Pool) take(address, id string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for i := len(list) - 1; i >= 0; i-- {
		if c := list[i]; c.sent.allow(id) {
			p.idle[address] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

// CloseStale closes the idle connections to the address of c that have been idle since before c was
// taken. It is called after an endpoint did not respond on c in time: whatever silenced c has
// probably silenced these too, and nothing else shows it. Connections used since then have carried
// a response.
func (p *Pool) CloseStale(c *Conn) {
	p.closeMatching(func(address string, o *Conn) bool { return address == c.address && o.idleSince <= c.takenAt })
}

// CloseIdleSince closes the idle connections to an address that carried their last response before the given time.
func (p *Pool) CloseIdleSince(address string, before time.Duration) {
	p.closeMatching(func(a string, o *Conn) bool { return a == address && o.idleSince < before })
}

// SetMaxIdle limits the idle connections per address, so that all hosts together stay well below
// the number of connections that an endpoint accepts.
func (p *Pool) SetMaxIdle(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxIdle = min(max(n, 1), maxIdleConns)
}

// put adds an idle connection and closes the oldest one beyond the limit.
func (p *Pool) put(c *Conn) {
	c.idleSince = p.Now()
	p.mu.Lock()
	p.unmarkInUse(c)
	if p.idle == nil {
		p.idle = make(map[string][]*Conn)
	}
	list := append(p.idle[c.address], c)
	var evicted *Conn
	if limit := cmp.Or(p.maxIdle, maxIdleConns); len(list) > limit {
		evicted, list = list[0], list[1:]
	}
	p.idle[c.address] = list
	p.mu.Unlock()
	if evicted != nil {
		evicted.Close()
	}
}

// noteClosed removes a connection from the count of open ones.
func (p *Pool) noteClosed(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unmarkInUse(c)
	if p.openCounts[c.address]--; p.openCounts[c.address] <= 0 {
		delete(p.openCounts, c.address)
	}
}

// OpenCount returns the number of open connections to an address.
func (p *Pool) OpenCount(address string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.openCounts[address]
}

// TotalOpened returns the number of connections opened so far.
func (p *Pool) TotalOpened() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.totalOpened
}

// CloseIdle closes all idle connections.
func (p *Pool) CloseIdle() { p.closeMatching(func(string, *Conn) bool { return true }) }

// Sweep closes connections that were idle for too long. Call it about once per second.
func (p *Pool) Sweep() {
	now := p.Now()
	p.closeMatching(func(_ string, c *Conn) bool { return now-c.idleSince >= c.idleTimeout })
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweepRefusals()
}

// closeMatching closes the idle connections that match.
func (p *Pool) closeMatching(match func(address string, c *Conn) bool) {
	var closing []*Conn
	p.mu.Lock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if match(address, c) {
				closing = append(closing, c)
				continue
			}
			kept = append(kept, c)
		}
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
	p.mu.Unlock()
	for _, c := range closing {
		c.Close()
	}
}

// getHeadBuffer and putHeadBuffer recycle the buffers in which heads are built.
func (p *Pool) getHeadBuffer() []byte {
	if b, ok := p.headBuffers.Get().(*[]byte); ok {
		return (*b)[:0]
	}
	return make([]byte, 0, headBufferBytes)
}

func (p *Pool) putHeadBuffer(b []byte) {
	if cap(b) <= 8*headBufferBytes {
		p.headBuffers.Put(&b)
	}
}
