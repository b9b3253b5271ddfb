// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package link

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Direction is the direction of data through a proxy.
type Direction int

// Directions of data.
const (
	// Upstream is from the client to the target, and Downstream from the target to the client.
	Upstream Direction = iota
	Downstream
)

// Proxy forwards connections to a target. The exported fields must be set before Start.
type Proxy struct {
	// Listen is the address to listen at; Start replaces it by the actual one. Target is the
	// address to connect to.
	Listen, Target string

	l     net.Listener
	mu    sync.Mutex
	pairs map[*pair]bool
	delay time.Duration
	// refuse makes the proxy reset new connections. stalled marks the directions that are stalled;
	// stallChanged is signaled when they change.
	refuse       bool
	stalled      [2]bool
	stallChanged *sync.Cond
}

// pair is a connection from a client and its connection to the target.
type pair struct {
	ends   [2]net.Conn // to the client and to the target
	silent bool
}

// Start listens and forwards connections until Stop.
func (p *Proxy) Start() error {
	l, err := net.Listen("tcp", p.Listen)
	if err != nil {
		return err
	}
	p.l, p.Listen = l, l.Addr().String()
	p.pairs = make(map[*pair]bool)
	p.stallChanged = sync.NewCond(&p.mu)
	go p.accept()
	return nil
}

// Stop closes the listener and all connections.
func (p *Proxy) Stop() {
	_ = p.l.Close()
	p.mu.Lock()
	p.stalled = [2]bool{}
	for c := range p.pairs {
		c.silent = false
	}
	p.stallChanged.Broadcast()
	p.mu.Unlock()
	p.Reset()
}

// Delay sets the delay of each chunk of data.
func (p *Proxy) Delay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// Refuse resets new connections while on is true.
func (p *Proxy) Refuse(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refuse = on
}

// Stall stops forwarding in one direction while on is true, on all connections, including new ones.
// Neither end is notified. Data that was held back is forwarded afterwards.
func (p *Proxy) Stall(dir Direction, on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stalled[dir] = on
	p.stallChanged.Broadcast()
}

// Reset resets all connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.pairs {
		for _, end := range c.ends {
			reset(end)
		}
	}
}

// Silence stops forwarding on all open connections permanently, without closing them, and returns
// how many it silenced. New connections work.
func (p *Proxy) Silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for c := range p.pairs {
		if !c.silent {
			n++
		}
		c.silent = true
	}
	return n
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// accept accepts connections until the listener is closed.
func (p *Proxy) accept() {
	for {
		c, err := p.l.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		refuse := p.refuse
		p.mu.Unlock()
		if refuse {
			reset(c)
			continue
		}
		go p.connect(c)
	}
}

// connect connects to the target and forwards data between c and the target until both directions
// end.
func (p *Proxy) connect(c net.Conn) {
	t, err := net.Dial("tcp", p.Target)
	if err != nil {
		reset(c)
		return
	}
	joined := &pair{ends: [2]net.Conn{c, t}}
	p.mu.Lock()
	p.pairs[joined] = true
	p.mu.Unlock()
	var wg sync.WaitGroup
	for _, dir := range []Direction{Upstream, Downstream} {
		wg.Go(func() { p.forward(joined, dir) })
	}
	wg.Wait()
	p.mu.Lock()
	delete(p.pairs, joined)
	p.mu.Unlock()
}

// forward copies data in one direction until an end closes. It passes the kind of close on: a close
// after all data as a close, an error as a reset.
func (p *Proxy) forward(c *pair, dir Direction) {
	from, to := c.ends[dir], c.ends[1-dir]
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		p.waitWhileStalled(c, dir)
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				reset(from)
				reset(to)
				return
			}
		}
		if err != nil {
			p.forwardClose(to, err)
			return
		}
	}
}

// forwardClose ends the connection to which data was forwarded: it closes the connection for writing
// if err is io.EOF, and resets it otherwise.
func (p *Proxy) forwardClose(to net.Conn, err error) {
	t, ok := to.(*net.TCPConn)
	if ok && errors.Is(err, io.EOF) {
		_ = t.CloseWrite()
		return
	}
	reset(to)
}

// waitWhileStalled waits while data in a direction may not be forwarded, and then for the delay.
func (p *Proxy) waitWhileStalled(c *pair, dir Direction) {
	p.mu.Lock()
	d := p.delay
	for p.stalled[dir] || c.silent {
		p.stallChanged.Wait()
	}
	p.mu.Unlock()
	time.Sleep(d)
}
