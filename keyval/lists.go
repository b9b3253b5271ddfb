// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package keyval

import "context"

// ListEntry is one host or endpoint in a HostList.
type ListEntry struct {
	// Name is the name of the host or endpoint.
	Name string `json:"name"`
	// Address is its IP address and port.
	Address string `json:"address"`
	// Zone is its availability zone.
	Zone string `json:"zone"`
	// Endpoint is true for an endpoint and false for a host.
	Endpoint bool `json:"endpoint,omitempty"`
	// Leaving reports that the host or endpoint is about to leave.
	Leaving bool `json:"leaving,omitempty"`
}

// HostList is the platform's list of live and leaving hosts and endpoints. The list
// lags behind the actual state.
type HostList interface {
	// List returns the entries sorted by name.
	List(ctx context.Context) ([]ListEntry, error)
}

// Weights describes the stored weights of one version of a model or adapter.
type Weights struct {
	// Bytes is the size of the weights.
	Bytes int64 `json:"bytes"`
	// Digest is the digest of the weights; an endpoint reports it once it holds them.
	Digest string `json:"digest"`
}

// WeightStore is the rate-limited store from which endpoints load weights.
type WeightStore interface {
	// Describe returns size and digest, or ErrNotFound, ErrRateLimited or ErrUnavailable.
	Describe(ctx context.Context, model, version string) (Weights, error)
}
