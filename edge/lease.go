// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package edge

import (
	"context"
	"sync"
	"time"
)

// leaseReusePeriod is the time for which keys are written under the same lease, so that most writes cost one call instead of two.
const leaseReusePeriod = time.Minute

// leaseGranter is the part of the key-value store that grants leases.
type leaseGranter interface {
	Grant(ctx context.Context, ttl time.Duration) (uint64, error)
}

// leaseCache grants leases for keys that expire by themselves; keys written within leaseReusePeriod share one.
type leaseCache struct {
	store leaseGranter
	now   func() time.Duration
	era   func() uint64 // of the store; nil means that it has one only
	ttl   time.Duration

	mu        sync.Mutex
	lease     uint64 // 0 for none
	leaseEra  uint64 // the era in which it was granted: in a later one it may be gone, or another host's
	grantedAt time.Duration
}

// current returns a lease for a key that is written now.
func (c *leaseCache) current(ctx context.Context) (uint64, error) {
	era := uint64(0)
	if c.era != nil {
		era = c.era()
	}
	c.mu.Lock()
	lease, grantedAt, leaseEra := c.lease, c.grantedAt, c.leaseEra
	c.mu.Unlock()
	if lease != 0 && leaseEra == era && c.now()-grantedAt < leaseReusePeriod {
		return lease, nil
	}
	start := c.now()
	lease, err := c.store.Grant(ctx, c.ttl)
	if err != nil {
		return 0, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lease, c.grantedAt, c.leaseEra = lease, start, era
	return lease, nil
}

// drop stops the reuse of a lease that has expired.
func (c *leaseCache) drop(lease uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lease == lease {
		c.lease = 0
	}
}
