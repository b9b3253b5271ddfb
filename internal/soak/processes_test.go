// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package soak

import (
	"os"
	"syscall"
	"time"
)

// claim takes a host whose process nobody else ends, or returns nil. One host in three stays.
func (c *chaos) claim() *host {
	h := c.pick()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy[h] || len(c.busy) > len(c.f.hosts)*2/3 {
		return nil
	}
	c.busy[h] = true
	return h
}

// free gives a host back.
func (c *chaos) free(h *host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.busy, h)
}

// kill ends a host's process at once and starts it again.
func (c *chaos) kill() func() {
	h, down := c.claim(), c.between(50*time.Millisecond, 2*time.Second)
	return func() {
		if h == nil {
			return
		}
		defer c.free(h)
		defer h.trouble()()
		h.signal(syscall.SIGKILL)
		<-h.over()
		time.Sleep(down)
		c.restart(h)
	}
}

// restart starts a host that ended, as the platform does again and again if it ends by itself: its
// settings file may be broken at that moment.
func (c *chaos) restart(h *host) {
	for range mostStarts {
		if err := c.f.start(h); err != nil {
			panic(err)
		}
		select {
		case <-h.over():
		case <-time.After(startTime):
			return
		}
	}
	panic(h.name + " ends at each start; is another run's process at its address? See its last log")
}

// mostStarts bounds the starts of a process that ends by itself: a settings file is broken for 0.3 s.
const mostStarts = 100

// startTime is the time after which a process that runs has read its settings file.
const startTime = 500 * time.Millisecond

// stop stops a host's process as planned and starts it again; at times it is killed meanwhile.
func (c *chaos) stop() func() {
	h, early := c.claim(), c.rand.IntN(4) == 0
	return func() {
		if h == nil {
			return
		}
		defer c.free(h)
		h.signal(syscall.SIGTERM)
		wait := grace
		if early {
			wait = grace / 4
		}
		select {
		case <-h.over():
		case <-time.After(wait):
			defer h.trouble()()
			h.signal(syscall.SIGKILL)
			<-h.over()
		}
		c.restart(h)
	}
}

// pause stands a host's process still.
func (c *chaos) pause() func() {
	h, span := c.claim(), c.between(200*time.Millisecond, 4*time.Second)
	return func() {
		if h == nil {
			return
		}
		defer c.free(h)
		defer h.trouble()()
		h.signal(syscall.SIGSTOP)
		time.Sleep(span)
		h.signal(syscall.SIGCONT)
	}
}

// hup tells a host that its settings file has changed; at times the file is broken.
func (c *chaos) hup() func() {
	h, broken := c.pick(), c.rand.IntN(3) == 0
	return func() {
		h.mu.Lock()
		boot := h.boot
		h.mu.Unlock()
		text := boot
		if broken {
			text = "no settings at all"
		}
		_ = os.WriteFile(h.path, []byte(text), 0o600)
		h.signal(syscall.SIGHUP)
		time.Sleep(300 * time.Millisecond)
		_ = os.WriteFile(h.path, []byte(boot), 0o600)
	}
}
