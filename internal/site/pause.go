// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package site

import (
	"slices"
	"time"
)

// Pause is a time in which an endpoint writes nothing.
type Pause struct{ From, Until time.Time }

// Pause makes the endpoint write nothing for a time. It still reads, neither crashes nor closes a connection, and goes on where it was.
// Pauses may overlap.
func (e *Endpoint) Pause(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.pauses = append(e.pauses, Pause{now, now.Add(d)})
}

// Pauses returns the pauses so far, in the order in which they began.
func (e *Endpoint) Pauses() []Pause {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.pauses)
}

// awaitPauses returns when the endpoint is not paused.
func (e *Endpoint) awaitPauses() {
	for {
		left := e.pauseLeft()
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}

// pauseLeft returns the time until the end of all pauses that have begun; it is not positive without one.
func (e *Endpoint) pauseLeft() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	var left time.Duration
	for _, p := range e.pauses {
		left = max(left, time.Until(p.Until))
	}
	return left
}
