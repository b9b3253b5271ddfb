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

// incarnations holds the newest incarnation of each instance. Incarnations are ordered by their start
// time, and the entries of one incarnation by the store's revision. A write that an older incarnation
// sent may be done after the newer one has written its entry; it says nothing about the newer one.
//
// While such a late entry stands, the newer incarnation's entry is missing, and the endpoint counts as
// one whose entry disappeared until its next heartbeat. The start time is by the endpoint's own clock,
// which may have been set back between two incarnations. Therefore an entry of an older incarnation
// that still stands after holdTime is taken for the newest: a live endpoint would have overwritten it,
// and that of a dead endpoint would have expired.
type incarnations map[string]*incarnation

// incarnation is the newest incarnation of an instance.
type incarnation struct {
	startedMS int64
	lastSeen  time.Duration // when its entry was last read
	// held is an entry that names an older incarnation, or nil; heldSince is since when it stands.
	held      *Endpoint
	heldSince time.Duration
}

// holdTime is the time for which an entry of an older incarnation is held back: an entry expires after
// three heartbeats of 1.2 s without a write, and reading that may take another 1.4 s.
const holdTime = 5 * time.Second

// admit returns an entry with the incarnation that it describes, and false if the entry is held back
// because that incarnation is an older one. An entry without a start time describes the known
// incarnation.
func (i incarnations) admit(n Endpoint, now time.Duration) (Endpoint, bool) {
	known := i[n.Instance]
	if known == nil {
		known = &incarnation{startedMS: n.StartedMS}
		i[n.Instance] = known
	}
	if n.StartedMS == 0 {
		n.StartedMS = known.startedMS
	}
	if n.StartedMS < known.startedMS {
		if known.held == nil || known.held.StartedMS != n.StartedMS {
			known.heldSince = now
		}
		known.held = &n
		return n, false
	}
	*known = incarnation{startedMS: n.StartedMS, lastSeen: now}
	return n, true
}

// adopt takes over the incarnation that a peer considers the newest: all hosts follow the host that
// read the store last. A peer that has just started may take a late write of an older incarnation for
// the newest, until the next heartbeat of the endpoint.
func (i incarnations) adopt(n Endpoint, now time.Duration) {
	i[n.Instance] = &incarnation{startedMS: n.StartedMS, lastSeen: now}
}

// noteDeleted records that the entry of an instance was removed, and with it any held entry.
func (i incarnations) noteDeleted(instance string) {
	if known := i[instance]; known != nil {
		known.held = nil
	}
}

// retain records that only the given instances have entries.
func (i incarnations) retain(present map[string]bool) {
	for instance, known := range i {
		if !present[instance] {
			known.held = nil
		}
	}
}

// HeldEntry is an entry that is held back because it names an older incarnation than an earlier entry
// did.
type HeldEntry struct {
	// Endpoint is its content; Age is for how long it has stood, in nanoseconds.
	Endpoint Endpoint      `json:"endpoint"`
	Age      time.Duration `json:"age"`
	// NewestStartedMS is the start time of the incarnation that is considered the newest. Without it,
	// a host that gets the held entry could take a late write of an incarnation that it knew before,
	// older than both, for the newest.
	NewestStartedMS int64 `json:"newest"`
}

// heldEntries returns the entries that are held back.
func (i incarnations) heldEntries(now time.Duration) []HeldEntry {
	var out []HeldEntry
	for _, known := range i {
		if known.held != nil {
			out = append(out, HeldEntry{*known.held, now - known.heldSince, known.startedMS})
		}
	}
	slices.SortFunc(out, func(a, b HeldEntry) int { return strings.Compare(a.Endpoint.Instance, b.Endpoint.Instance) })
	return out
}

// adoptHeld takes over the entries that a peer holds back.
func (i incarnations) adoptHeld(list []HeldEntry, now time.Duration) {
	for _, known := range i {
		known.held = nil
	}
	for _, h := range list {
		known := i[h.Endpoint.Instance]
		if known == nil {
			known = &incarnation{lastSeen: now}
			i[h.Endpoint.Instance] = known
		}
		known.held, known.heldSince, known.startedMS = &h.Endpoint, now-h.Age, cmp.Or(h.NewestStartedMS, known.startedMS)
	}
}

// promoteHeld returns the held entries that surely stood for holdTime; they are the newest from now
// on. It also forgets instances that have had no entry for leaverTTL. provenAt is when the known
// entries were surely the newest.
func (i incarnations) promoteHeld(now, provenAt time.Duration, present map[string]Endpoint) []Endpoint {
	var out []Endpoint
	for instance, known := range i {
		switch {
		case known.held != nil && provenAt-known.heldSince >= holdTime:
			n := *known.held
			*known = incarnation{startedMS: n.StartedMS, lastSeen: now}
			out = append(out, n)
		case known.held != nil || has(present, instance):
			known.lastSeen = now
		case now-known.lastSeen > leaverTTL:
			delete(i, instance)
		}
	}
	return out
}

// has reports whether an instance is in a list.
func has(list map[string]Endpoint, instance string) bool {
	_, ok := list[instance]
	return ok
}
