// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package feed

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// lives remembers the newest life of each instance. Lives are ordered by the time of their start,
// and the entries of one life by the store's revision: a write that an older life sent may be done after the
// newer life has written its entry, and says nothing of it.
//
// While such an entry stands, the newer life's is not there: the endpoint counts as one whose entry went until its
// next heartbeat. The time of the start is the endpoint's own, and its clock may have been set back between two
// lives. An entry of an older life that still stands after heldFor is therefore taken for the newest: a
// living endpoint would have written over it, and that of a dead one would have gone.
type lives map[string]*life

// life is the newest life of an instance.
type life struct {
	born int64
	seen time.Duration // when its entry was last read
	// held is an entry that names an older life, and since when it stands; nil for none.
	held  *Endpoint
	since time.Duration
}

// heldFor is the time for which an entry of an older life is held back: an entry goes after three heartbeats of
// 1.2 s without a write, and 1.4 s for the readings of it.
const heldFor = 5 * time.Second

// admit returns an entry with the life that it speaks of, and false if it is held back as that of an
// older life. An entry that names no life speaks of the one that is known.
func (l lives) admit(n Endpoint, now time.Duration) (Endpoint, bool) {
	known := l[n.Instance]
	if known == nil {
		known = &life{born: n.StartedMS}
		l[n.Instance] = known
	}
	if n.StartedMS == 0 {
		n.StartedMS = known.born
	}
	if n.StartedMS < known.born {
		if known.held == nil || known.held.StartedMS != n.StartedMS {
			known.since = now
		}
		known.held = &n
		return n, false
	}
	*known = life{born: n.StartedMS, seen: now}
	return n, true
}

// adopt takes the life that a peer takes for the newest: all hosts follow the one that read the store last. A
// peer that has just started may take a late write of an older life for the newest, until
// the next heartbeat of the endpoint.
func (l lives) adopt(n Endpoint, now time.Duration) {
	l[n.Instance] = &life{born: n.StartedMS, seen: now}
}

// gone notes that the entry of an instance went, and with it one that was held back.
func (l lives) gone(instance string) {
	if known := l[instance]; known != nil {
		known.held = nil
	}
}

// keep notes that no entries are there but those of some instances.
func (l lives) keep(here map[string]bool) {
	for instance, known := range l {
		if !here[instance] {
			known.held = nil
		}
	}
}

// HeldEntry is an entry that is held back, since it names an older life than another one did before.
type HeldEntry struct {
	// Endpoint is what it says, and Age for how long it has stood, in nanoseconds.
	Endpoint Endpoint      `json:"endpoint"`
	Age      time.Duration `json:"age"`
	// NewestStartedMS is the time of the start of the life that is taken for the newest. A host that is told of the entry alone
	// would take a late write of a life it knew before, older than both, for the newest.
	NewestStartedMS int64 `json:"newest"`
}

// holds gives the entries that are held back.
func (l lives) holds(now time.Duration) []HeldEntry {
	var out []HeldEntry
	for _, known := range l {
		if known.held != nil {
			out = append(out, HeldEntry{*known.held, now - known.since, known.born})
		}
	}
	slices.SortFunc(out, func(a, b HeldEntry) int { return strings.Compare(a.Endpoint.Instance, b.Endpoint.Instance) })
	return out
}

// adoptHeld takes the entries that a peer holds back.
func (l lives) adoptHeld(list []HeldEntry, now time.Duration) {
	for _, known := range l {
		known.held = nil
	}
	for _, h := range list {
		known := l[h.Endpoint.Instance]
		if known == nil {
			known = &life{seen: now}
			l[h.Endpoint.Instance] = known
		}
		known.held, known.since, known.born = &h.Endpoint, now-h.Age, cmp.Or(h.NewestStartedMS, known.born)
	}
}

// due returns the entries that surely stood for long enough, which are the newest from now on, and forgets
// the lives of instances that have had no entry for as long as leavers are remembered. What is known was proven
// at a moment.
func (l lives) due(now, proven time.Duration, here map[string]Endpoint) []Endpoint {
	var out []Endpoint
	for instance, known := range l {
		switch {
		case known.held != nil && proven-known.since >= heldFor:
			n := *known.held
			*known = life{born: n.StartedMS, seen: now}
			out = append(out, n)
		case known.held != nil || has(here, instance):
			known.seen = now
		case now-known.seen > leftFor:
			delete(l, instance)
		}
	}
	return out
}

// has reports whether an instance is in a list.
func has(list map[string]Endpoint, instance string) bool {
	_, ok := list[instance]
	return ok
}
