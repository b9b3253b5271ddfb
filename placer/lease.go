// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package placer

import (
	"context"
	"errors"
	"time"

	"github.com/heathkeel/heathkeel/clock"
	"github.com/heathkeel/heathkeel/keyval"
)

// Timing of leases.
const (
	// DefaultTTL is the time after which a lease lapses without a renewal.
	DefaultTTL = 15 * time.Second
	// renewals is the number of renewals in a TTL.
	renewals = 3
)

// ShardKeyPrefix is followed by the zone.
const ShardKeyPrefix = "placement/"

// Lease is one host's claim on a shard. Its fields are exported for read-outs.
type Lease struct {
	// KV is the key-value service, Key the shard's key and Holder the name that
	// is written to it, which must be unique to the process.
	KV     keyval.KV
	Key    string
	Holder string
	// TTL is the time to live; 0 means DefaultTTL.
	TTL time.Duration
	// Clock is the host's clock. It counts suspensions, as the key-value service does.
	Clock *clock.Clock

	id      keyval.Lease
	token   uint64
	renewed time.Duration // when the last renewal that was answered was sent
	since   time.Duration // when the shard was acquired
}

// ttl returns TTL or its default.
func (l *Lease) ttl() time.Duration {
	if l.TTL == 0 {
		return DefaultTTL
	}
	return l.TTL
}

// Held reports whether the host may believe that it holds the shard, by its own
// clock, counted from when the last answered renewal was sent.
func (l *Lease) Held() bool { return l.token != 0 && l.Clock.Now()-l.renewed < l.ttl() }

// Token is the fencing token: the version of the key's write, which only rises.
func (l *Lease) Token() uint64 { return l.token }

// RenewOrAcquire renews the lease if it is held, or tries to acquire it.
func (l *Lease) RenewOrAcquire(ctx context.Context) error {
	if l.token != 0 {
		return l.renew(ctx)
	}
	return l.acquire(ctx)
}

// renew extends the lease. An answer that was lost changes nothing: the holder
// counts on the last answered renewal only.
func (l *Lease) renew(ctx context.Context) error {
	sent := l.Clock.Now()
	err := l.KV.Renew(ctx, l.id)
	switch {
	case err == nil:
		l.renewed = sent
	case errors.Is(err, keyval.ErrLeaseExpired), l.Clock.Now()-l.renewed >= l.ttl():
		l.token, l.id = 0, 0
	}
	return err
}

// acquire takes the shard if nobody holds it.
func (l *Lease) acquire(ctx context.Context) error {
	it, err := l.KV.Get(ctx, l.Key)
	if err == nil {
		return l.recover(it)
	}
	if !errors.Is(err, keyval.ErrNotFound) {
		return err
	}
	sent := l.Clock.Now()
	if l.id == 0 {
		if l.id, err = l.KV.Grant(ctx, l.ttl()); err != nil {
			return err
		}
	} else if err = l.KV.Renew(ctx, l.id); err != nil {
		l.id = 0
		return err
	}
	token, err := l.KV.Swap(ctx, l.Key, 0, []byte(l.Holder), l.id)
	if err != nil {
		// With a lost answer the next step finds the key with this holder's name.
		return err
	}
	l.token, l.renewed, l.since = token, sent, l.Clock.Now()
	return nil
}

// errHeld means that another host holds the shard.
var errHeld = errors.New("placer: another host holds the shard")

// recover takes up a claim of its own whose answer was lost. Its lease may be
// about to lapse, so nothing counts before a renewal was answered.
func (l *Lease) recover(it keyval.Item) error {
	if string(it.Value) != l.Holder || l.id == 0 {
		return errHeld
	}
	now := l.Clock.Now()
	l.token, l.since, l.renewed = it.Version, now, now-l.ttl()
	return nil
}
