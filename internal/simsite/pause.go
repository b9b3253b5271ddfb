// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package simsite

import "time"

// pausePoll is the time between two checks whether a pause is over.
const pausePoll = 50 * time.Millisecond

// Pause makes the endpoint write nothing for a time. It neither crashes nor forgets a request, and goes on afterwards. A further call
// replaces the time; 0 ends the pause.
func (e *Endpoint) Pause(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pausedUntil = time.Now().Add(d)
}

// awaitPauses returns when the endpoint is not paused.
func (e *Endpoint) awaitPauses() {
	for e.isPaused() {
		time.Sleep(pausePoll)
	}
}

// isPaused reports whether the endpoint is paused.
func (e *Endpoint) isPaused() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Now().Before(e.pausedUntil)
}
