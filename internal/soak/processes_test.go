// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package soak

import (
	"os"
	"syscall"
	"time"
)

// claim returns a random host for a fault that affects its process, or nil if that host is claimed
// already or more than two thirds of the hosts are.
func (c *faultInjector) claim() *host {
	h := c.randomHost()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.claimed[h] || len(c.claimed) > len(c.fleet.hosts)*2/3 {
		return nil
	}
	c.claimed[h] = true
	return h
}

// release releases a claimed host.
func (c *faultInjector) release(h *host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.claimed, h)
}

// kill kills a host's process and restarts it after some time.
func (c *faultInjector) kill() func() {
	h, down := c.claim(), c.randomDuration(50*time.Millisecond, 2*time.Second)
	return func() {
		if h == nil {
			return
		}
		defer c.release(h)
		defer h.beginPathCut()()
		h.signal(syscall.SIGKILL)
		<-h.done()
		time.Sleep(down)
		c.restart(h)
	}
}

// restart starts a host that has ended. Like the platform, it starts a process that ends by itself
// again and again, since the settings file may be broken at that moment.
func (c *faultInjector) restart(h *host) {
	for range maxStarts {
		if err := c.fleet.start(h); err != nil {
			panic(err)
		}
		select {
		case <-h.done():
		case <-time.After(startTime):
			return
		}
	}
	panic(h.name + " ends at each start; is another run's process at its address? See its last log")
}

// maxStarts limits the starts of a process that ends by itself. A settings file is broken for 0.3
// s.
const maxStarts = 100

// startTime is the time after which a process that runs has read its settings file.
const startTime = 500 * time.Millisecond

// stop stops a host's process with SIGTERM and restarts it. In one case of four the process is
// killed after a quarter of the grace period.
func (c *faultInjector) stop() func() {
	h, early := c.claim(), c.rand.IntN(4) == 0
	return func() {
		if h == nil {
			return
		}
		defer c.release(h)
		h.signal(syscall.SIGTERM)
		wait := gracePeriod
		if early {
			wait = gracePeriod / 4
		}
		select {
		case <-h.done():
		case <-time.After(wait):
			defer h.beginPathCut()()
			h.signal(syscall.SIGKILL)
			<-h.done()
		}
		c.restart(h)
	}
}

// pause stops a host's process with SIGSTOP for some time.
func (c *faultInjector) pause() func() {
	h, duration := c.claim(), c.randomDuration(200*time.Millisecond, 4*time.Second)
	return func() {
		if h == nil {
			return
		}
		defer c.release(h)
		defer h.beginPathCut()()
		h.signal(syscall.SIGSTOP)
		time.Sleep(duration)
		h.signal(syscall.SIGCONT)
	}
}

// reloadSettings sends SIGHUP to a host. In one case of three its settings file is broken for 0.3
// s.
func (c *faultInjector) reloadSettings() func() {
	h, broken := c.randomHost(), c.rand.IntN(3) == 0
	return func() {
		h.mu.Lock()
		valid := h.settings
		h.mu.Unlock()
		text := valid
		if broken {
			text = "no settings at all"
		}
		_ = os.WriteFile(h.settingsPath, []byte(text), 0o600)
		h.signal(syscall.SIGHUP)
		time.Sleep(300 * time.Millisecond)
		_ = os.WriteFile(h.settingsPath, []byte(valid), 0o600)
	}
}
