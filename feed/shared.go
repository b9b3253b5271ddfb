// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package feed

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Hosts pass on to each other what they read from the store, with a proof of its age. So that not all
// of them call the store, each has a rank: the host of rank 0 reads at regular intervals, and the next
// ones read only if that did not happen.

const (
	// proofDelayShare is the part of the time between two reads that a proof may take from the host
	// that read to the others: two heartbeats of 0.2 s, with reads every 0.8 s or more.
	proofDelayShare = 0.6
	// rankDelayShare is the part of that time by which each further rank waits longer, so that not all
	// hosts read at once when the first ones fail. From lastDelayedRank on all hosts wait equally
	// long.
	rankDelayShare  = 0.06
	lastDelayedRank = 4
	// fastRetryHosts is the number of hosts that call a failing store again after the usual retry
	// interval. For higher ranks the interval grows with the square of the rank, up to
	// maxRetryInterval, so that a store that refuses nearly all hosts is still called by one that it
	// serves. The other hosts learn within a second of its return from the hosts that call first.
	fastRetryHosts   = 8
	maxRetryInterval = 5 * time.Second
	// relayProofDelay is the time in which a proof reaches a host through relays: three heartbeats
	// until it is received, plus half of that, so that a lost proof causes no call.
	relayProofDelay = 900 * time.Millisecond
)

// outageRetryInterval is the time before a host of a rank calls a failing store again. A host that
// hears from no other host has rank 0.
func outageRetryInterval(interval time.Duration, rank func() int) time.Duration {
	if rank == nil {
		return interval
	}
	factor := max(1, float64(rank())/fastRetryHosts)
	return min(time.Duration(factor*factor*float64(interval)), max(interval, maxRetryInterval))
}

// WatcherCount is the number of hosts, those of the lowest ranks, that always watch the settings: one
// more than needed, so that the loss of one delays no change.
const WatcherCount = 2

// ReadAge is the age of a view at which a host of rank 1 or higher reads it itself; viaRelay says that
// proofs reach the host through relays.
func ReadAge(interval time.Duration, rank int, viaRelay bool) time.Duration {
	share := 1 + proofDelayShare + rankDelayShare*float64(min(rank, lastDelayedRank)-1)
	age := time.Duration(share * float64(interval))
	if viaRelay {
		age = max(age, interval+relayProofDelay)
	}
	return age
}

// EndpointList is the list of endpoints as one host passes it on.
type EndpointList struct {
	// Revision is the store's revision of the list.
	Revision uint64 `json:"revision"`
	// Endpoints are sorted by instance. If Since is not 0, they are only those that have changed since the
	// list with that checksum, and Removed are the names of those that are gone since.
	Endpoints []Endpoint `json:"endpoints"`
	Since     uint64     `json:"since,omitempty"`
	Removed   []string   `json:"removed,omitempty"`
	// RecentlyLeft are the incarnations of endpoints that recently announced that they leave, and how
	// long ago that was last seen, in nanoseconds. A host that takes a list only from time to time may
	// have missed it.
	RecentlyLeft map[string]time.Duration `json:"left,omitempty"`
	// Held are the entries that name older incarnations than the newest known ones.
	Held []HeldEntry `json:"held,omitempty"`
	// FollowedFor is for how long the host has followed the entries without a gap, in nanoseconds. What
	// disappeared earlier is missing in the list, whether it lapsed or left.
	FollowedFor time.Duration `json:"followed,omitempty"`
}

// View identifies what a host knows of the endpoints.
type View struct {
	// Revision is the store's revision of the view.
	Revision uint64
	// Checksum distinguishes views of different content.
	Checksum uint64
	// ProvenAt is when the view was surely the newest.
	ProvenAt time.Duration
}

// View returns the view in force, and false if there is none.
func (e *Endpoints) View() (View, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return View{Revision: e.revision, Checksum: e.viewChecksum(), ProvenAt: e.provenAt}, e.loaded
}

// List returns the endpoints to pass on, and false if none are known.
func (e *Endpoints) List() (EndpointList, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Now()
	return EndpointList{
		Revision: e.revision, Endpoints: e.published, RecentlyLeft: e.leavers.ages(now), Held: e.incarnations.heldEntries(now), FollowedFor: now - e.followedFrom,
	}, e.loaded
}

// ListSince returns the endpoints to pass on to a host whose view has the given checksum: only the changes if
// they are known, otherwise the whole list. It returns false if no endpoints are known.
func (e *Endpoints) ListSince(sum uint64) (EndpointList, bool) {
	l, ok := e.List()
	if !ok || sum == 0 || len(l.Held) > 0 {
		return l, ok
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	changed, removed, known := e.changes.since(sum)
	if !known || e.revision != l.Revision || len(changed) >= len(l.Endpoints) {
		return l, true
	}
	l.Endpoints, l.Removed, l.Since = changed, removed, sum
	return l, true
}

// ReceiveView takes a peer's view and reports whether to fetch the peer's list: a view of the same
// content proves this host's list as of the peer's moment, and newer content has to be fetched.
func (e *Endpoints) ReceiveView(v View) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.StoreHealth.notePeerAnswer(v.ProvenAt)
	if e.loaded && v.Checksum == e.viewChecksum() {
		if v.Revision > e.revision {
			clear(e.foreign) // the view does not say whether they are still there
		}
		e.noteEra(v.Revision)
		e.revision = max(e.revision, v.Revision)
		e.prove(v.ProvenAt)
		return false
	}
	return !e.loaded || v.Revision > e.revision
}

// Offer puts a peer's list in force if it is newer. Lapsed entries are kept only if the store failed
// for this host too: the peer may be the only host that the store refused, and an endpoint whose entry
// disappears while the store serves has left.
//
// Conversely, a peer that has started or had a gap since this host's list was proven cannot tell lapsed
// entries from those of endpoints that left, and its list holds neither. Without a verdict of its own,
// one such peer that reads the store first after an outage would empty the lists of all hosts. Entries that
// this host already holds as lapsed are dropped at their time only: such a peer may offer further lists, with
// any newer revision, before the endpoints have renewed them.
func (e *Endpoints) Offer(l EndpointList) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.loaded && l.Revision <= e.revision {
		return
	}
	if l.Since != 0 {
		if !e.loaded || l.Since != e.viewChecksum() {
			return // this host's list has changed meanwhile; the next proof leads to another fetch
		}
		l.Endpoints = applyChanges(e.published, l.Endpoints, l.Removed)
	}
	now := e.Now()
	older := e.noteEra(l.Revision)
	e.leavers.add(l.RecentlyLeft, now)
	known := make(map[string]Endpoint, len(l.Endpoints))
	for _, n := range l.Endpoints {
		if e.gone.holds(n.Incarnation(), l.Revision) {
			continue // the peer may not know that it was removed
		}
		e.incarnations.adopt(n, now)
		known[n.Instance] = e.leavers.mark(n, now)
	}
	e.incarnations.adoptHeld(l.Held, now)
	clear(e.foreign)
	if e.loaded {
		e.keepLapsed(known, now, now-l.FollowedFor > e.provenAt)
	}
	e.noteLoaded()
	if !older {
		e.noteRemovals(known, l.Revision)
	}
	e.known, e.revision, e.provenBefore = known, l.Revision, e.provenAt
	e.compacted = false
	e.publish()
}

// keepLapsed adds to a peer's list the endpoints that it lacks and that may have lapsed: those that are held as
// lapsed and, if the peer knows no more than this host, all others; mu must be held.
func (e *Endpoints) keepLapsed(list map[string]Endpoint, now time.Duration, others bool) {
	for name, n := range e.known {
		if _, ok := list[name]; ok || !(n.Lapsed || others) {
			continue
		}
		if n = e.leavers.mark(n, now); e.mayHaveLapsed(n, e.provenAt) {
			n.Lapsed = true
			list[name] = n
		}
	}
}

// viewChecksum distinguishes views of different content; mu must be held.
func (e *Endpoints) viewChecksum() uint64 {
	held := e.incarnations.heldEntries(e.Now())
	if len(held) == 0 {
		return e.publishedSum
	}
	list := e.published
	for _, h := range held {
		list = append(list[:len(list):len(list)], h.Endpoint)
	}
	return checksum(list)
}

// checksum covers what matters when lists are compared. It leaves out for how long an endpoint stays cold,
// which changes all the time, but not whether it is cold.
func checksum(list []Endpoint) uint64 {
	d := xxhash.New()
	var slots [8]byte
	for i := range list {
		n := &list[i]
		for _, s := range []string{n.Incarnation(), n.Service, n.Address, n.Zone, n.Version} {
			_, _ = d.WriteString(s) // never fails
			_, _ = d.Write([]byte{0})
		}
		flags := byte(0)
		if n.Leaving {
			flags |= 1
		}
		if n.Lapsed {
			flags |= 2
		}
		if n.ColdLeft > 0 {
			flags |= 4
		}
		binary.LittleEndian.PutUint64(slots[:], uint64(n.Slots))
		_, _ = d.Write(append(slots[:], flags))
	}
	return d.Sum64()
}
