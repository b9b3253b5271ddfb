// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package feed

import "time"

// LapseTimes are the times that decide for how long an endpoint whose entry went is still taken
// for one that serves. Entries go when endpoints leave, and also when the store fails
// for so long that endpoints cannot renew them.
type LapseTimes struct {
	// MinOutage is the shortest failure of the store in which entries can lapse: two
	// heartbeats of the endpoints, since an entry goes with the third that is missing.
	MinOutage time.Duration
	// RenewTime is the time after the store's return in which the entries of endpoints that live
	// are back.
	RenewTime time.Duration
	// MaxKeep is the time after the earliest moment at which the store may have returned for which
	// entries are taken for lapsed. It must be shorter than the time after which a
	// host is held to the drain time again.
	MaxKeep time.Duration
}
