// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package feed

import "time"

// LapseTimes decide for how long an endpoint whose entry disappeared is still treated as serving.
// Entries disappear when endpoints leave, and also when the store fails for so long that endpoints
// cannot renew them.
type LapseTimes struct {
	// MinOutage is the shortest outage of the store in which entries can lapse: two heartbeats of the
	// endpoints, since an entry expires at the third missed heartbeat.
	MinOutage time.Duration
	// RenewTime is the time after the store's return within which live endpoints have written their
	// entries again.
	RenewTime time.Duration
	// MaxKeep is the time for which entries are kept as lapsed, counted from the earliest moment at
	// which the store may have returned. It must be shorter than the contact time, after which a host
	// must observe the drain time again.
	MaxKeep time.Duration
}
