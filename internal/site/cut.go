// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package site

import (
	"context"
	"fmt"
	"net"
	"sync"
	"syscall"
)

// endpointIP is the IP address of all endpoints.
const endpointIP = "127.0.0.1"

// cuttableNetwork is the operating system's network, whose paths to the endpoints can be cut.
type cuttableNetwork struct {
	net.ListenConfig
	net.Dialer

	mu     sync.Mutex
	cutOff bool
	conns  []net.Conn // those to endpoints
}

// DialContext implements edge.Network.
func (n *cuttableNetwork) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	ip, _, err := net.SplitHostPort(address)
	if err != nil || ip != endpointIP {
		return n.Dialer.DialContext(ctx, network, address)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cutOff {
		return nil, fmt.Errorf("dial %s: %w", address, syscall.ECONNREFUSED)
	}
	c, err := n.Dialer.DialContext(ctx, network, address)
	if err == nil {
		n.conns = append(n.conns, c)
	}
	return c, err
}

// setCutOff cuts the paths to the endpoints, or restores them. A cut refuses new connections and closes the open ones.
func (n *cuttableNetwork) setCutOff(on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cutOff = on
	if !on {
		return
	}
	for _, c := range n.conns {
		_ = c.Close()
	}
	n.conns = nil
}
