// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package link

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// start gives a proxy before a server that sends each line back.
func start(t *testing.T) *Proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()
	p := &Proxy{Listen: "127.0.0.1:0", Target: l.Addr().String()}
	must.NoError(t, p.Start())
	t.Cleanup(p.Stop)
	return p
}

// dial connects.
func dial(t *testing.T, p *Proxy) net.Conn {
	c, err := net.Dial("tcp", p.Listen)
	must.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// echo sends a line and returns what comes back; a short wait tells that nothing does.
func echo(c net.Conn, wait time.Duration) (string, error) {
	if _, err := io.WriteString(c, "hello\n"); err != nil {
		return "", err
	}
	_ = c.SetReadDeadline(time.Now().Add(wait))
	return bufio.NewReader(c).ReadString('\n')
}

// answers checks whether a connection answers.
func answers(t *testing.T, c net.Conn, want bool) {
	if want {
		_, err := echo(c, long)
		must.NoError(t, err)
		return
	}
	_, err := echo(c, short)
	must.Error(t, err)
}

// long is a wait that is only reached if something is wrong, short one that shows nothing comes.
const (
	long  = 30 * time.Second
	short = 50 * time.Millisecond
)

func TestProxy(t *testing.T) {
	cases := []struct {
		name  string
		fault func(p *Proxy)
		// old and young tell whether a connection from before, and a new one, still answer.
		old, young bool
	}{
		{"nothing", func(*Proxy) {}, true, true},
		{"slow", func(p *Proxy) { p.Delay(5 * time.Millisecond) }, true, true},
		{"silent", func(p *Proxy) { p.Silence() }, false, true},
		{"reset", func(p *Proxy) { p.Reset() }, false, true},
		{"new ones refused", func(p *Proxy) { p.Refuse(true) }, true, false},
		{"cut on the way there", func(p *Proxy) { p.Stall(Upstream, true) }, false, false},
		{"cut on the way back", func(p *Proxy) { p.Stall(Downstream, true) }, false, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			p := start(t)
			old := dial(t, p)
			_, err := echo(old, long)
			must.NoError(t, err)
			tc.fault(p)
			answers(t, old, tc.old)
			young, err := net.Dial("tcp", p.Listen)
			if err != nil {
				must.False(t, tc.young)
				return
			}
			defer young.Close()
			answers(t, young, tc.young)
		})
	}
}

// TestHeld holds that what was held back goes on.
func TestHeld(t *testing.T) {
	p := start(t)
	c := dial(t, p)
	p.Stall(Upstream, true)
	_, err := echo(c, short)
	must.True(t, errors.Is(err, os.ErrDeadlineExceeded))
	p.Stall(Upstream, false)
	_ = c.SetReadDeadline(time.Now().Add(long))
	line, err := bufio.NewReader(c).ReadString('\n')
	must.NoError(t, err)
	must.EqOp(t, "hello\n", line)
}
