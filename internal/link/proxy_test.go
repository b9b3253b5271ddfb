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

// startProxy starts a proxy in front of a server that echoes its input.
func startProxy(t *testing.T) *Proxy {
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

// dial connects to the proxy.
func dial(t *testing.T, p *Proxy) net.Conn {
	c, err := net.Dial("tcp", p.Listen)
	must.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// echo sends a line and returns what comes back within wait.
func echo(c net.Conn, wait time.Duration) (string, error) {
	if _, err := io.WriteString(c, "hello\n"); err != nil {
		return "", err
	}
	_ = c.SetReadDeadline(time.Now().Add(wait))
	return bufio.NewReader(c).ReadString('\n')
}

// checkAnswers checks whether a connection answers as wanted.
func checkAnswers(t *testing.T, c net.Conn, want bool) {
	if want {
		_, err := echo(c, maxWait)
		must.NoError(t, err)
		return
	}
	_, err := echo(c, silenceWait)
	must.Error(t, err)
}

// maxWait is reached only if something is wrong. silenceWait is long enough to show that no answer
// comes.
const (
	maxWait     = 30 * time.Second
	silenceWait = 50 * time.Millisecond
)

func TestProxy(t *testing.T) {
	cases := []struct {
		name  string
		fault func(p *Proxy)
		// old and young state whether a connection opened before the fault, and one opened after
		// it, still answer.
		old, young bool
	}{
		{"nothing", func(*Proxy) {}, true, true},
		{"slow", func(p *Proxy) { p.Delay(5 * time.Millisecond) }, true, true},
		{"silent", func(p *Proxy) { p.Silence() }, false, true},
		{"reset", func(p *Proxy) { p.Reset() }, false, true},
		{"new connections refused", func(p *Proxy) { p.Refuse(true) }, true, false},
		{"stalled upstream", func(p *Proxy) { p.Stall(Upstream, true) }, false, false},
		{"stalled downstream", func(p *Proxy) { p.Stall(Downstream, true) }, false, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			p := startProxy(t)
			old := dial(t, p)
			_, err := echo(old, maxWait)
			must.NoError(t, err)
			tc.fault(p)
			checkAnswers(t, old, tc.old)
			young, err := net.Dial("tcp", p.Listen)
			if err != nil {
				must.False(t, tc.young)
				return
			}
			defer young.Close()
			checkAnswers(t, young, tc.young)
		})
	}
}

// TestStalledDataIsDelivered checks that data held back by a stall is forwarded after it.
func TestStalledDataIsDelivered(t *testing.T) {
	p := startProxy(t)
	c := dial(t, p)
	p.Stall(Upstream, true)
	_, err := echo(c, silenceWait)
	must.True(t, errors.Is(err, os.ErrDeadlineExceeded))
	p.Stall(Upstream, false)
	_ = c.SetReadDeadline(time.Now().Add(maxWait))
	line, err := bufio.NewReader(c).ReadString('\n')
	must.NoError(t, err)
	must.EqOp(t, "hello\n", line)
}
