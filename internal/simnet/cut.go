// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package simnet

import (
	"context"
	"net/netip"
	"time"
)

// CutMode says what becomes of connections between a host and those it is cut off from.
type CutMode uint8

// Modes of a cut.
const (
	// Silent holds all packets up until the cut ends; new connections hang.
	Silent CutMode = iota
	// Reset closes the connections and refuses new ones.
	Reset
	// RefuseNew leaves connections as they are and refuses new ones.
	RefuseNew
)

// cut separates a host from others.
type cut struct {
	mode CutMode
	from func(netip.Addr) bool
}

// separates reports whether a cut, which may be nil, separates its host from an address.
func (c *cut) separates(a netip.Addr) bool { return c != nil && c.from(a) }

// Cut separates the host from others until Heal.
func (h *Host) Cut(mode CutMode, from func(netip.Addr) bool) {
	h.net.mu.Lock()
	h.cut = &cut{mode, from}
	var closing []*conn
	for c := range h.conns {
		if mode == Reset && from(c.remote.Addr()) {
			closing = append(closing, c)
		}
	}
	h.net.mu.Unlock()
	for _, c := range closing {
		_ = c.Close()
	}
}

// Heal ends a cut. What was written before a connection was closed behind the cut arrives, too.
func (h *Host) Heal() {
	h.net.mu.Lock()
	h.cut = nil
	var conns []*conn
	for _, o := range h.net.hosts {
		for c := range o.conns {
			if o == h || c.remote.Addr() == h.IP {
				conns = append(conns, c)
			}
		}
	}
	h.net.mu.Unlock()
	for _, c := range conns {
		c.in.wake()
		c.out.wake()
	}
}

// holdsUp reports whether a cut between two hosts holds their packets up.
func (n *Net) holdsUp(a, b *Host) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return (a.cut.separates(b.IP) && a.cut.mode == Silent) || (b.cut.separates(a.IP) && b.cut.mode == Silent)
}

// cutCheckInterval is the time between two checks whether a cut is over.
const cutCheckInterval = 10 * time.Millisecond

// waitCut waits until no cut holds packets to an address up. It returns an error if connections to it are refused.
func (h *Host) waitCut(ctx context.Context, to netip.Addr) error {
	for {
		h.net.mu.Lock()
		c := h.cut
		h.net.mu.Unlock()
		switch {
		case !c.separates(to):
			return nil
		case c.mode != Silent:
			return errRefused
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(cutCheckInterval):
		}
	}
}
