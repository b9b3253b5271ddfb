// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import "time"

// dispatchBy returns the time by which a request must get the slot that it asks for at asked, or 0 for no limit: a request that
// waits longer is refused while its caller can still retry in time. The rest of a stream waits longer: other requests would get the slot
// while its caller, who returns a few times only, is away.
func (c *call) dispatchBy(asked time.Duration) time.Duration {
	if c.route.Objective <= 0 {
		return 0
	}
	wait := time.Duration(queueShare * float64(c.route.Objective))
	if c.stream.started || c.continuesStream() {
		rest := min(time.Duration(restQueueShare*float64(c.deadline-asked)), maxRestQueue)
		wait = max(wait, rest)
	}
	return asked + wait
}

// Limits of the time for which a request may wait for a slot.
const (
	// queueShare is the share of the objective.
	queueShare = 0.22
	// restQueueShare is the share of the time that the caller has left, for the rest of a stream, and maxRestQueue the limit: callers
	// give a stream up after some seconds without an event.
	restQueueShare = 1.0 / 8
	maxRestQueue   = 600 * time.Millisecond
)
