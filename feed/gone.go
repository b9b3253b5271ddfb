// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package feed

import (
	"maps"
	"time"
)

// gone remembers the incarnations of endpoints whose entries were removed, and when and in which era of the store. A store that comes
// back from an older copy shows such entries again although their endpoints have left; only an entry that was written since counts. The
// store removes it after some seconds, since nobody renews it.
type gone map[string]removal

// removal is the removal of an entry.
type removal struct {
	at  time.Duration
	era uint64
}

// add records that the entry of an incarnation was removed at a revision.
func (g gone) add(incarnation string, now time.Duration, revision uint64) {
	g[incarnation] = removal{now, eraOf(revision)}
}

// holds reports whether an entry read at a revision is one that was removed in an earlier era.
func (g gone) holds(incarnation string, revision uint64) bool {
	r, ok := g[incarnation]
	return ok && r.era < eraOf(revision)
}

// prune forgets the removals of longer than leaverTTL ago, and those of endpoints that have an entry again.
func (g gone) prune(now time.Duration, known map[string]Endpoint) {
	for _, n := range known {
		if len(g) == 0 {
			return
		}
		delete(g, n.Incarnation())
	}
	maps.DeleteFunc(g, func(_ string, r removal) bool { return now-r.at > leaverTTL })
}

// noteEra records the first revision known of a later era of the store, and reports whether this is one; mu must be held.
func (e *Endpoints) noteEra(revision uint64) bool {
	if !e.loaded || eraOf(revision) <= eraOf(e.revision) {
		return false
	}
	renewTime := e.StoreHealth.LapseTimes.RenewTime
	e.eraBegin, e.eraKeepUntil = revision, e.Now()+renewTime
	e.expiryTimer.Reset(renewTime)
	return true
}

// noteRemovals remembers the endpoints that the next list lacks, which has a revision; mu must be held.
func (e *Endpoints) noteRemovals(next map[string]Endpoint, revision uint64) {
	for name, n := range e.known {
		if _, ok := next[name]; !ok {
			e.gone.add(n.Incarnation(), e.Now(), revision)
		}
	}
}
