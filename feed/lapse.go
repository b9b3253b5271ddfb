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

// mayHaveLapsed reports whether an endpoint without an entry as of a moment may still serve; mu must be
// held. An outage that this host has seen since a gap says nothing about entries that it knows only from
// before the gap: they may have been removed in between, while the store served.
func (e *Endpoints) mayHaveLapsed(n Endpoint, asOf time.Duration) bool {
	return !n.Leaving && e.provenAt >= e.gapEndedAt && e.StoreHealth.mayLapse(asOf)
}

// dropExpired drops lapsed entries that were not renewed in time.
func (e *Endpoints) dropExpired() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.publish()
}

// dropLapsed drops the endpoints that did not write their entries again; mu must be held.
func (e *Endpoints) dropLapsed() {
	for name, n := range e.known {
		if n.Lapsed {
			delete(e.known, name)
			e.gone.add(n.Incarnation(), e.Now(), e.revision)
		}
	}
}
