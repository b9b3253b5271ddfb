// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import (
	"context"
	"sync"
	"time"
)

// portCheckInterval is the time between two probes of the port of an endpoint that leaves. An endpoint that closes its port and has one
// response left for this host, which ends sooner than that, cannot be told from one that crashed.
const portCheckInterval = 200 * time.Millisecond

// portWatch finds out when endpoints that leave close their ports, while they still work on responses that end with their connections. A
// refusal is evidence only if the endpoint writes afterwards, so that a probe at the end of a response would come too late.
type portWatch struct {
	now       func() time.Duration
	addresses func() []string // of the endpoints to be watched
	probe     func(ctx context.Context, address string) error

	mu        sync.Mutex
	checkedAt time.Duration
	probing   map[string]bool // addresses that are being probed
}

// check probes the ports that are due; call it often.
func (w *portWatch) check() {
	now := w.now()
	w.mu.Lock()
	due := now-w.checkedAt >= portCheckInterval
	if due {
		w.checkedAt = now
	}
	w.mu.Unlock()
	if !due {
		return
	}
	for _, address := range w.addresses() {
		if w.begin(address) {
			go w.run(address)
		}
	}
}

// begin records that an address is being probed, and returns false if it is already.
func (w *portWatch) begin(address string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.probing[address] {
		return false
	}
	w.probing[address] = true
	return true
}

// run probes an address. The pool notes whether the connection is refused.
func (w *portWatch) run(address string) {
	_ = w.probe(context.Background(), address) // the pool's note is the result
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.probing, address)
}

// closingAddresses returns the addresses of the endpoints that leave, or are no longer listed, and work on responses that may end with
// their connections.
func (b *balancer) closingAddresses() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []string
	for _, t := range b.targets {
		if t.leaves() && !t.replaced && t.awaitsEnd() {
			out = append(out, t.Address)
		}
	}
	return out
}

// noteFramed records that the head of the response to a request says where the response ends.
func (b *balancer) noteFramed(c *call) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.targets[c.endpoint.Incarnation()]
	if t == nil {
		return
	}
	if send := t.sends[c]; send != nil {
		send.framed = true
	}
}
