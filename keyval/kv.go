// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package keyval

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// Errors of the key-value service.
var (
	// ErrNotFound means that the key has no value.
	ErrNotFound = eris.New("key not found; create it with version 0")
	// ErrConflict means that the key's version differs from the one given; nothing was written.
	ErrConflict = eris.New("version conflict; read the key again and retry")
	// ErrUnavailable means that the call got no usable answer; a write may or may not have been made.
	ErrUnavailable = eris.New("no answer from the key-value service; read the key before writing again")
	// ErrRateLimited means that the service refused the call because of its rate limit; nothing was written.
	ErrRateLimited = eris.New("key-value service refused the call: rate limit exceeded; retry later")
	// ErrTooLarge means that a value is larger than MaxValueSize.
	ErrTooLarge = eris.New("value larger than 1 MB; split it into chunks")
	// ErrLeaseExpired means that a lease expired or never existed.
	ErrLeaseExpired = eris.New("lease expired; acquire a new one")
)

// MaxValueSize is the maximum size of a value, in bytes.
const MaxValueSize = 1 << 20

// Lease identifies a lease; 0 is none.
type Lease uint64

// Item is a key's value and version. The versions of a key only increase, also across
// deletions, so that they can serve as fencing tokens.
type Item struct {
	// Key is the name of the key.
	Key string `json:"key"`
	// Value is the value of the key.
	Value []byte `json:"value"`
	// Version is the number of the write that stored the value.
	Version uint64 `json:"version"`
}

// KV is the platform's key-value service. Every method may return
// ErrUnavailable or ErrRateLimited.
type KV interface {
	// Get returns the item of key, or ErrNotFound.
	Get(ctx context.Context, key string) (Item, error)
	// Swap writes value if the key's version is still version (0 if the key must be
	// absent) and returns the new version, or ErrConflict. With a lease, the key is
	// removed when the lease expires.
	Swap(ctx context.Context, key string, version uint64, value []byte, lease Lease) (uint64, error)
	// Delete removes key if its version is still version, or returns ErrConflict.
	Delete(ctx context.Context, key string, version uint64) error
	// Keys returns the keys that start with prefix, sorted.
	Keys(ctx context.Context, prefix string) ([]string, error)
	// Watch returns the item once the key's version is greater than after, or
	// ErrNotFound after some time without a change. A waiting watch counts as one call.
	Watch(ctx context.Context, key string, after uint64) (Item, error)
	// Grant returns a new lease that expires ttl after its last renewal.
	Grant(ctx context.Context, ttl time.Duration) (Lease, error)
	// Renew extends a lease, or returns ErrLeaseExpired.
	Renew(ctx context.Context, lease Lease) error
}
