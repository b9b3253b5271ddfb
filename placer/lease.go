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

// Times of leases.
const (
	// DefaultTTL is the time after which a lease expires without a renewal.
	DefaultTTL = 15 * time.Second
	// renewalsPerTTL is the number of renewals in one TTL.
	renewalsPerTTL = 3
)

// ShardKeyPrefix is the prefix of the key of a shard; the name of the zone follows.
const ShardKeyPrefix = "placement/"

// Lease is one host's lease of a shard. Its fields are exported so that they can be
// displayed.
type Lease struct {
	// KV is the key-value service and Key the key of the shard. Holder is the name that is
	// written to the key; it must be unique to the process.
	KV     keyval.KV
	Key    string
	Holder string
	// TTL is the time to live of the lease; 0 means DefaultTTL.
	TTL time.Duration
	// Clock is the host's clock. It counts suspensions of the host, because the lease expires
	// at the key-value service during a suspension, too.
	Clock *clock.Clock

	leaseID  keyval.Lease
	token    uint64
	renewed  time.Duration // time when the last successful renewal was sent
	acquired time.Duration // time when the shard was acquired
}

// ttl returns TTL or its default.
func (l *Lease) ttl() time.Duration {
	if l.TTL == 0 {
		return DefaultTTL
	}
	return l.TTL
}

// Held reports whether this host holds the shard by its own clock: the TTL counts from the
// time when the last successful renewal was sent.
func (l *Lease) Held() bool { return l.token != 0 && l.Clock.Now()-l.renewed < l.ttl() }

// Token returns the fencing token, which is the version of the key's write and only
// increases.
func (l *Lease) Token() uint64 { return l.token }

// RenewOrAcquire renews the lease if the host holds it, and otherwise tries to acquire it.
func (l *Lease) RenewOrAcquire(ctx context.Context) error {
	if l.token != 0 {
		return l.renew(ctx)
	}
	return l.acquire(ctx)
}

// renew extends the lease. A renewal whose answer is lost does not extend it: only answered
// renewals count for the holder.
func (l *Lease) renew(ctx context.Context) error {
	sent := l.Clock.Now()
	err := l.KV.Renew(ctx, l.leaseID)
	switch {
	case err == nil:
		l.renewed = sent
	case errors.Is(err, keyval.ErrLeaseExpired), l.Clock.Now()-l.renewed >= l.ttl():
		l.token, l.leaseID = 0, 0
	}
	return err
}

// acquire acquires the shard if no host holds it.
func (l *Lease) acquire(ctx context.Context) error {
	item, err := l.KV.Get(ctx, l.Key)
	if err == nil {
		return l.recoverClaim(item)
	}
	if !errors.Is(err, keyval.ErrNotFound) {
		return err
	}
	sent := l.Clock.Now()
	if l.leaseID == 0 {
		if l.leaseID, err = l.KV.Grant(ctx, l.ttl()); err != nil {
			return err
		}
	} else if err = l.KV.Renew(ctx, l.leaseID); err != nil {
		l.leaseID = 0
		return err
	}
	token, err := l.KV.Swap(ctx, l.Key, 0, []byte(l.Holder), l.leaseID)
	if err != nil {
		// If only the answer was lost, the next call finds the key with this holder's name.
		return err
	}
	l.token, l.renewed, l.acquired = token, sent, l.Clock.Now()
	return nil
}

// errHeldElsewhere means that another host holds the shard.
var errHeldElsewhere = errors.New("placer: another host holds the shard")

// recoverClaim continues an acquisition by this host whose answer was lost. The lease may
// be about to expire, so that it does not count as held before a renewal has been answered.
func (l *Lease) recoverClaim(item keyval.Item) error {
	if string(item.Value) != l.Holder || l.leaseID == 0 {
		return errHeldElsewhere
	}
	now := l.Clock.Now()
	l.token, l.acquired, l.renewed = item.Version, now, now-l.ttl()
	return nil
}
