// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package feed

import (
	"sync"
	"time"
)

// Age holds the moment up to which a revision was proven to be the newest. All times are of the host's
// clock, which also counts the time in which the host is suspended.
type Age struct {
	mu       sync.Mutex
	revision uint64
	proven   time.Duration
	known    bool
}

// Prove records that revision was the newest at a moment. A proof of an older revision is ignored; a
// newer revision replaces the older one. The moment is negative if it was before this host's start: a
// peer's proof is no younger for a host that has just started.
func (a *Age) Prove(revision uint64, at time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case !a.known:
		a.revision, a.proven, a.known = revision, at, true
	case revision >= a.revision:
		a.revision, a.proven = revision, max(a.proven, at)
	}
}

// At returns the age of the settings at a moment, and false if there are none.
func (a *Age) At(now time.Duration) (time.Duration, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return max(0, now-a.proven), a.known
}

// at returns the revision and its age at a moment, and false if there is none.
func (a *Age) at(now time.Duration) (revision uint64, age time.Duration, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.revision, max(0, now-a.proven), a.known
}

// Revision returns the revision in force.
func (a *Age) Revision() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.revision
}
