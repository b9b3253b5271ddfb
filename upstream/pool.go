// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package upstream

import (
	"bufio"
	"cmp"
	"context"
	"net"
	"sync"
	"time"
)

// Defaults of a Pool.
const (
	defaultRest = 2 * time.Second
	bufferBytes = 4 << 10
	headBytes   = 2 << 10
	mostIdle    = 16 // of an address
)

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Pool holds the connections of a host to all endpoints. The fields must be set
// before the first call.
type Pool struct {
	// Now is the steady clock.
	Now func() time.Duration
	// Dial opens a connection, or nil for one of the machine with time-outs of its own.
	Dial Dial
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration

	mu     sync.Mutex
	idle   map[string][]*Conn
	open   map[string]int
	heads  sync.Pool
	opened int64
	limit  int // idle connections of an address; 0 is mostIdle
}

// Get returns a connection to an address: the one that was used last, if it is
// sound, else a new one.
func (p *Pool) Get(ctx context.Context, address string) (c *Conn, reused bool, err error) {
	for {
		c := p.take(address)
		if c == nil {
			break
		}
		if now := p.Now(); now-c.idleAt < c.rest && c.sound() {
			c.takenAt = now
			return c, true, nil
		}
		c.Close()
	}
	c, err = p.connect(ctx, address)
	return c, false, err
}

// Warm opens a connection to an address and keeps it for a later request. Its error tells what became of the endpoint.
func (p *Pool) Warm(ctx context.Context, address string) error {
	c, err := p.connect(ctx, address)
	if err != nil {
		return err
	}
	c.Release()
	return nil
}

// connect opens a connection.
func (p *Pool) connect(ctx context.Context, address string) (*Conn, error) {
	nc, err := p.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open == nil {
		p.open = make(map[string]int)
	}
	p.open[address]++
	p.opened++
	return &Conn{pool: p, address: address, net: nc, br: bufio.NewReaderSize(nc, bufferBytes), rest: defaultRest, takenAt: p.Now()}, nil
}

// take removes the newest idle connection to an address.
func (p *Pool) take(address string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

// CloseStale closes the resting connections to the address of a connection on which an endpoint was
// silent for too long, if they rest since before it was taken: what made one silent has mostly silenced
// the others, and none of them tells. Those used since then have answered.
func (p *Pool) CloseStale(c *Conn) {
	p.drop(func(address string, o *Conn) bool { return address == c.address && o.idleAt <= c.takenAt })
}

// SetMaxIdle bounds the idle connections of an address, so that all hosts together stay
// well under what an endpoint takes.
func (p *Pool) SetMaxIdle(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = min(max(n, 1), mostIdle)
}

// put keeps an idle connection.
func (p *Pool) put(c *Conn) {
	c.idleAt = p.Now()
	p.mu.Lock()
	if p.idle == nil {
		p.idle = make(map[string][]*Conn)
	}
	list := append(p.idle[c.address], c)
	var old *Conn
	if limit := cmp.Or(p.limit, mostIdle); len(list) > limit {
		old, list = list[0], list[1:]
	}
	p.idle[c.address] = list
	p.mu.Unlock()
	if old != nil {
		old.Close()
	}
}

// closed counts a connection out.
func (p *Pool) closed(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[address]--; p.open[address] <= 0 {
		delete(p.open, address)
	}
}

// OpenCount tells how many connections to an address are open.
func (p *Pool) OpenCount(address string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open[address]
}

// TotalOpened counts the connections ever opened.
func (p *Pool) TotalOpened() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// CloseIdle closes all connections that rest.
func (p *Pool) CloseIdle() { p.drop(func(string, *Conn) bool { return true }) }

// Sweep closes connections that rested too long; call it about once a second.
func (p *Pool) Sweep() {
	now := p.Now()
	p.drop(func(_ string, c *Conn) bool { return now-c.idleAt >= c.rest })
}

// drop closes the resting connections that a function names.
func (p *Pool) drop(old func(address string, c *Conn) bool) {
	var dropped []*Conn
	p.mu.Lock()
	for address, list := range p.idle {
		keep := list[:0]
		for _, c := range list {
			if old(address, c) {
				dropped = append(dropped, c)
				continue
			}
			keep = append(keep, c)
		}
		if len(keep) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = keep
	}
	p.mu.Unlock()
	for _, c := range dropped {
		c.Close()
	}
}

// headBuffer and keepBuffer recycle buffers for heads.
func (p *Pool) headBuffer() []byte {
	if b, ok := p.heads.Get().(*[]byte); ok {
		return (*b)[:0]
	}
	return make([]byte, 0, headBytes)
}

func (p *Pool) keepBuffer(b []byte) {
	if cap(b) <= 8*headBytes {
		p.heads.Put(&b)
	}
}
