// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package simsite

import "time"

// Pause makes the endpoint write nothing for a time. It neither crashes nor forgets a request, and goes on afterwards.
func (e *Endpoint) Pause(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pausedUntil = time.Now().Add(d)
}

// awaitPauses returns when the endpoint is not paused.
func (e *Endpoint) awaitPauses() {
	for {
		e.mu.Lock()
		left := time.Until(e.pausedUntil)
		e.mu.Unlock()
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}
