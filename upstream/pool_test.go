// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package upstream

import (
	"bufio"
	"context"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// listen accepts connections and hands them over.
func listen(t *testing.T) (string, <-chan net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	conns := make(chan net.Conn, 16)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns <- c
		}
	}()
	return l.Addr().String(), conns
}

// TestReuse holds which resting connections are used again.
func TestReuse(t *testing.T) {
	cases := []struct {
		name   string
		rested func(p *Pool, c *Conn, far net.Conn)
		reused bool
	}{
		{"sound", func(*Pool, *Conn, net.Conn) {}, true},
		{"closed by the endpoint", func(_ *Pool, c *Conn, far net.Conn) {
			far.Close()
			_, _ = c.br.Peek(1) // wait until the close is here
		}, false},
		{"bytes that nobody asked for", func(_ *Pool, c *Conn, far net.Conn) {
			_, _ = far.Write([]byte("x"))
			_, _ = c.br.Peek(1)
		}, false},
		{"rested too long", func(p *Pool, _ *Conn, _ net.Conn) {
			p.Now = func() time.Duration { return time.Minute }
		}, false},
		{"swept", func(p *Pool, _ *Conn, _ net.Conn) {
			p.Now = func() time.Duration { return time.Minute }
			p.Sweep()
			p.Now = func() time.Duration { return 0 }
		}, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			address, conns := listen(t)
			p := &Pool{Now: func() time.Duration { return 0 }, DialTimeout: 10 * time.Second}
			c, reused, err := p.Get(context.Background(), address)
			must.NoError(t, err)
			must.False(t, reused)
			far := <-conns
			c.Release()
			tc.rested(p, c, far)
			c, reused, err = p.Get(context.Background(), address)
			must.NoError(t, err)
			must.EqOp(t, tc.reused, reused)
			must.EqOp(t, 1, p.OpenCount(address))
			c.Close()
			c.Close() // twice does no harm
			must.EqOp(t, 0, p.OpenCount(address))
		})
	}
}

// TestIdleBound checks that no more connections rest than are allowed.
func TestIdleBound(t *testing.T) {
	address, _ := listen(t)
	p := &Pool{Now: func() time.Duration { return 0 }, DialTimeout: 10 * time.Second}
	p.SetMaxIdle(2)
	var all []*Conn
	for range 5 {
		c, _, err := p.Get(context.Background(), address)
		must.NoError(t, err)
		all = append(all, c)
	}
	for _, c := range all {
		c.Release()
	}
	must.EqOp(t, 2, p.OpenCount(address))
	must.EqOp(t, 5, p.TotalOpened())
}

// TestKeepAlive checks how long a connection rests by what the endpoint says.
func TestKeepAlive(t *testing.T) {
	cases := []struct {
		header string
		want   time.Duration
		dirty  bool
	}{
		{"", defaultRest, false},
		{"Keep-Alive: timeout=1\r\n", 600 * time.Millisecond, false},
		{"Keep-Alive: timeout=30, max=5\r\n", defaultRest, false},
		{"Keep-Alive: timeout=0\r\n", 0, false},
		{"Keep-Alive: timeout=soon\r\n", defaultRest, false},
		{"Connection: close\r\n", defaultRest, true},
	}
	for _, tc := range cases {
		t.Run(tc.header, func(t *testing.T) {
			near, far := net.Pipe()
			defer near.Close()
			go func() {
				_, _ = far.Write([]byte("HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 0\r\n" + tc.header + "\r\n"))
			}()
			c := &Conn{pool: &Pool{}, net: near, rest: defaultRest}
			c.br = bufio.NewReader(near)
			_, err := c.ReadResponse("GET", "X-Id", "7")
			must.NoError(t, err)
			must.EqOp(t, tc.want, c.rest)
			must.EqOp(t, tc.dirty, c.dirty)
		})
	}
}
