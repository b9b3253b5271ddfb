// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package edge

import (
	"context"
	"net"
	"time"

	"github.com/heathkeel/heathkeel/upstream"
)

// Network is how a host reaches others, and they it.
type Network interface {
	// Listen listens for connections.
	Listen(ctx context.Context, network, address string) (net.Listener, error)
	// ListenPacket opens a socket for datagrams.
	ListenPacket(ctx context.Context, network, address string) (net.PacketConn, error)
	// DialContext opens a connection.
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// systemNetwork is the network of the machine.
type systemNetwork struct {
	net.ListenConfig
	net.Dialer
}

// network is what the host reaches others by.
func (h *Host) network() Network {
	if h.Network == nil {
		return &systemNetwork{}
	}
	return h.Network
}

// endpointDial gives what opens connections to endpoints, nil for the machine's, which have options of their own.
func (h *Host) endpointDial() upstream.Dial {
	if h.Network == nil {
		return nil
	}
	return h.Network.DialContext
}

// dial opens a connection within a time.
func (h *Host) dial(timeout time.Duration) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return h.network().DialContext(ctx, network, address)
	}
}
