// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package placer

import "time"

// Engines that do not check the fencing token obey whoever speaks last. For them
// the holder acts only in the early part of its lease, and a new holder waits a
// guard time first. What remains possible is said in docs/OPERATIONS.md: an
// order that the network holds back for longer than the guard time.

// earlyPart is the part of a lease's time in which unfenced engines are ordered.
const earlyPart = 1.0 / 2

// guardTimes is the number of lease times that a new holder waits before it
// orders an unfenced engine.
const guardTimes = 1

// MayOrder reports whether the holder may order an engine now.
func (l *Lease) MayOrder(fenced bool) bool {
	if !l.Held() {
		return false
	}
	if fenced {
		return true
	}
	now := l.Clock.Now()
	early := now-l.renewed < time.Duration(earlyPart*float64(l.ttl()))
	return early && now-l.since >= guardTimes*l.ttl()
}
