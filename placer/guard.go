// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package placer

import "time"

// Engines that do not check the fencing token obey the last order that they receive,
// whoever sent it. For them the holder sends orders only in the first part of its lease,
// and a new holder first waits for a guard time. One fault remains possible, as
// docs/OPERATIONS.md says: an order that the network delays for longer than the guard time.

// unfencedShare is the share of a lease's TTL, counted from the last renewal, in which
// unfenced engines may be ordered.
const unfencedShare = 1.0 / 2

// guardTTLs is the time that a new holder waits before it orders an unfenced engine, in
// TTLs of the lease.
const guardTTLs = 1

// MayOrder reports whether the holder may send an order to an engine now.
func (l *Lease) MayOrder(fenced bool) bool {
	if !l.Held() {
		return false
	}
	if fenced {
		return true
	}
	now := l.Clock.Now()
	early := now-l.renewed < time.Duration(unfencedShare*float64(l.ttl()))
	return early && now-l.acquired >= guardTTLs*l.ttl()
}
