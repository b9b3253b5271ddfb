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

// Network provides the connections between a host and others.
type Network interface {
	// Listen opens a listener for connections.
	Listen(ctx context.Context, network, address string) (net.Listener, error)
	// ListenPacket opens a socket for datagrams.
	ListenPacket(ctx context.Context, network, address string) (net.PacketConn, error)
	// DialContext opens a connection.
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// systemNetwork is the network of the operating system.
type systemNetwork struct {
	net.ListenConfig
	net.Dialer
}

// network returns the host's network.
func (h *Host) network() Network {
	if h.Network == nil {
		return &systemNetwork{}
	}
	return h.Network
}

// endpointDial returns the function that opens connections to endpoints, or nil for the default of
// package upstream, which sets socket options of its own.
func (h *Host) endpointDial() upstream.Dial {
	if h.Network == nil {
		return nil
	}
	return h.Network.DialContext
}

// dial returns a function that opens connections with a timeout.
func (h *Host) dial(timeout time.Duration) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return h.network().DialContext(ctx, network, address)
	}
}
