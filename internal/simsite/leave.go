// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package simsite

import (
	"net/netip"
	"time"

	"github.com/heathkeel/heathkeel/internal/simnet"
)

// ClosePort makes the endpoint refuse new connections. It goes on to work on those that are open, as a process does that stops in order.
func (e *Endpoint) ClosePort() { _ = e.listener.Close() }

// Kill ends the endpoint's process: its port refuses connections, and open ones end. Its entry stays.
func (e *Endpoint) Kill() {
	e.mu.Lock()
	e.crashed = true
	e.overload.downUntil = time.Now().Add(time.Hour)
	e.mu.Unlock()
	_ = e.server.Close()
}

// CutOff holds up all packets between the endpoint's machine and others until Reconnect: what was written before arrives then.
func (e *Endpoint) CutOff() {
	e.site.Net.Host(e.ip).Cut(simnet.Silent, func(netip.Addr) bool { return true })
}

// Reconnect ends the effect of CutOff.
func (e *Endpoint) Reconnect() { e.site.Net.Host(e.ip).Heal() }

// StartAgain starts another endpoint of the same kind, with a new name, at the address of one that was killed. Unless listed is set, it does
// not reach the store to write its entry.
func (s *Site) StartAgain(e *Endpoint, listed bool) error {
	again := &Endpoint{Service: e.Service, Version: e.Version, Streams: e.Streams, Work: e.Work, Unframed: e.Unframed, Rejects: e.Rejects, Copies: e.Copies, unlisted: !listed}
	return s.addEndpointAt(again, e.ip)
}
