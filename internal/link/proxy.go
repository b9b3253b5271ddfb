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

// Direction names the direction of bytes over a proxy.
type Direction int

// The ways.
const (
	// Upstream is from who connected to the target, Down from the target back.
	Upstream Direction = iota
	Downstream
)

// Proxy forwards connections to a target. The exported fields must be set before Start.
type Proxy struct {
	// Listen is the address to listen at, Target the one to connect to.
	Listen, Target string

	l     net.Listener
	mu    sync.Mutex
	pairs map[*pair]bool
	delay time.Duration
	// refuse resets new connections; drop loses the bytes of a way.
	refuse bool
	drop   [2]bool
	held   *sync.Cond
}

// pair is one connection and its way on.
type pair struct {
	ends   [2]net.Conn // of who connected, and of the target
	silent bool
}

// Start listens and forwards until Stop.
func (p *Proxy) Start() error {
	l, err := net.Listen("tcp", p.Listen)
	if err != nil {
		return err
	}
	p.l, p.Listen = l, l.Addr().String()
	p.pairs = make(map[*pair]bool)
	p.held = sync.NewCond(&p.mu)
	go p.accept()
	return nil
}

// Stop ends the listener and all connections.
func (p *Proxy) Stop() {
	_ = p.l.Close()
	p.mu.Lock()
	p.drop = [2]bool{}
	for c := range p.pairs {
		c.silent = false
	}
	p.held.Broadcast()
	p.mu.Unlock()
	p.Reset()
}

// Delay makes each piece of data wait.
func (p *Proxy) Delay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// Refuse resets new connections while on.
func (p *Proxy) Refuse(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refuse = on
}

// Stall keeps back what is sent one way while on, on all connections, new ones too. Nobody is
// told; what was held goes on afterwards.
func (p *Proxy) Stall(w Direction, on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drop[w] = on
	p.held.Broadcast()
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

// Silence makes all connections that are open say nothing more, for good and without an end,
// and returns their number. New ones work.
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

// reset closes a connection with a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// accept takes connections until the listener is closed.
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

// connect joins a connection to the target.
func (p *Proxy) connect(c net.Conn) {
	t, err := net.Dial("tcp", p.Target)
	if err != nil {
		reset(c)
		return
	}
	both := &pair{ends: [2]net.Conn{c, t}}
	p.mu.Lock()
	p.pairs[both] = true
	p.mu.Unlock()
	var wg sync.WaitGroup
	for _, w := range []Direction{Upstream, Downstream} {
		wg.Go(func() { p.forward(both, w) })
	}
	wg.Wait()
	p.mu.Lock()
	delete(p.pairs, both)
	p.mu.Unlock()
}

// forward copies one way until an end is closed. An end is passed on as what it was: a close
// after all bytes closes, and an error resets.
func (p *Proxy) forward(c *pair, w Direction) {
	from, to := c.ends[w], c.ends[1-w]
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		p.await(c, w)
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				reset(from)
				reset(to)
				return
			}
		}
		if err != nil {
			p.finish(to, err)
			return
		}
	}
}

// finish passes an end on.
func (p *Proxy) finish(to net.Conn, err error) {
	t, ok := to.(*net.TCPConn)
	if ok && errors.Is(err, io.EOF) {
		_ = t.CloseWrite()
		return
	}
	reset(to)
}

// await waits for as long as what was read may not go on.
func (p *Proxy) await(c *pair, w Direction) {
	p.mu.Lock()
	d := p.delay
	for p.drop[w] || c.silent {
		p.held.Wait()
	}
	p.mu.Unlock()
	time.Sleep(d)
}
