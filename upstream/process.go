// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package upstream

import (
	"context"
	"errors"
	"syscall"
)

// The connections to an address together tell more of the process behind it than each alone. A process that stops in order closes its
// port and goes on to write its responses; one that is killed ends all its connections at the same moment.

// Probe opens a connection to an address and closes it.
func (p *Pool) Probe(ctx context.Context, address string) error {
	c, err := p.connect(ctx, address)
	if err != nil {
		return err
	}
	c.Close()
	return nil
}

// Open opens a connection to an address, also if there is an idle one: it leads to the process that listens there now.
func (p *Pool) Open(ctx context.Context, address string) (*Conn, error) {
	c, err := p.connect(ctx, address)
	if err != nil {
		return nil, err
	}
	p.markInUse(c)
	return c, nil
}

// WroteAfterRefusal reports whether the process at an address has refused a connection, accepted none since, and written something
// afterwards to one that is in use.
func (p *Pool) WroteAfterRefusal(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.refused[address] {
		return false
	}
	for c := range p.inUse[address] {
		if c.meter.wrote.Load() {
			return true
		}
	}
	return false
}

// OthersOpen reports whether a connection to an address, other than c, is in use that has not ended.
func (p *Pool) OthersOpen(address string, c *Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for o := range p.inUse[address] {
		if o != c && !o.meter.failed.Load() {
			return true
		}
	}
	return false
}

// noteDialed records how opening a connection to an address went; mu must be held. From a refusal on, what the open connections bring is
// noted.
func (p *Pool) noteDialed(address string, err error) {
	switch {
	case err == nil && p.refused[address]:
		delete(p.refused, address)
		for c := range p.inUse[address] {
			c.meter.unwatch()
		}
	case errors.Is(err, syscall.ECONNREFUSED):
		if p.refused == nil {
			p.refused = make(map[string]bool)
		}
		p.refused[address] = true
		for c := range p.inUse[address] {
			c.meter.watchFrom(p.Now())
		}
	}
}

// markInUse records that a connection was taken.
func (p *Pool) markInUse(c *Conn) {
	c.meter.unwatch()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inUse == nil {
		p.inUse = make(map[string]map[*Conn]bool)
	}
	if p.inUse[c.address] == nil {
		p.inUse[c.address] = make(map[*Conn]bool)
	}
	p.inUse[c.address][c] = true
}

// unmarkInUse records that a connection was given back or closed; mu must be held.
func (p *Pool) unmarkInUse(c *Conn) {
	delete(p.inUse[c.address], c)
	if len(p.inUse[c.address]) == 0 {
		delete(p.inUse, c.address)
	}
}

// sweepRefusals forgets refusals of addresses without connections in use; mu must be held.
func (p *Pool) sweepRefusals() {
	for address := range p.refused {
		if len(p.inUse[address]) == 0 {
			delete(p.refused, address)
		}
	}
}
