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
	// ErrConflict means that the key's version is another than the one given; nothing was written.
	ErrConflict = eris.New("version conflict; read the key again and retry")
	// ErrUnavailable means that no answer came: a write may or may not have been made.
	ErrUnavailable = eris.New("key-value service gave no answer; read before writing again")
	// ErrRateLimited means that the call was refused by the rate limit; nothing was written.
	ErrRateLimited = eris.New("key-value service refused the call by its rate limit; retry later")
	// ErrTooLarge means that a value is over MaxValue.
	ErrTooLarge = eris.New("value larger than 1 MB; cut it into chunks")
	// ErrLeaseExpired means that a lease lapsed or never was.
	ErrLeaseExpired = eris.New("lease lapsed; acquire a new one")
)

// MaxValueSize is the largest value of a key, in bytes.
const MaxValueSize = 1 << 20

// Lease identifies a lease; 0 is none.
type Lease uint64

// Item is a key's value and version. Versions of one key only rise, over
// deletions too, which makes them usable as fencing tokens.
type Item struct {
	// Key is the key.
	Key string `json:"key"`
	// Value is the value.
	Value []byte `json:"value"`
	// Version is the number of the write that made it.
	Version uint64 `json:"version"`
}

// KV is the platform's key-value service. Every method may return
// ErrUnavailable or ErrLimited.
type KV interface {
	// Get returns the item of key, or ErrNotFound.
	Get(ctx context.Context, key string) (Item, error)
	// Swap writes value if the key's version is still version (0: absent) and
	// returns the new version, or ErrConflict. With a lease the key goes when the lease does.
	Swap(ctx context.Context, key string, version uint64, value []byte, lease Lease) (uint64, error)
	// Delete removes key if its version is still version, or returns ErrConflict.
	Delete(ctx context.Context, key string, version uint64) error
	// Keys returns the keys that start with prefix, sorted.
	Keys(ctx context.Context, prefix string) ([]string, error)
	// Watch returns once the key's version is above after, or with ErrNotFound
	// after a while in which nothing changed; a waiting watch counts as one call.
	Watch(ctx context.Context, key string, after uint64) (Item, error)
	// Grant returns a new lease that lapses ttl after its last renewal.
	Grant(ctx context.Context, ttl time.Duration) (Lease, error)
	// Renew extends a lease, or returns ErrLeaseGone.
	Renew(ctx context.Context, lease Lease) error
}
