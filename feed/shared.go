// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package feed

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Hosts pass on to each other what they read from the store, with a proof of its age. So
// that the store is not asked by all of them, each has a turn: the host whose turn is 0
// reads when the view is as old as it may be, the next ones only if that did not happen.

const (
	// proofShare is the part of the time between two readings that a proof may take from
	// the host that read to the others: two heartbeats of 0.2 s, at a time of 0.8 s or more.
	proofShare = 0.6
	// turnShare is the part of that time by which each later turn waits longer, so that
	// not all read at once when the first ones fail; lastTurn is the turn from which all
	// wait alike.
	turnShare = 0.06
	lastTurn  = 4
	// triers is the number of hosts that ask a failing store again after the usual pause. With
	// later turns the pause grows with the square of the turn up to longestPause, so that a store which turns
	// nearly all hosts away is still asked by one that it serves. The others learn of its return
	// from those that go first, within a second.
	triers       = 8
	longestPause = 5 * time.Second
	// farProof is the time in which a proof reaches a host by way of relays: three heartbeats
	// until it is told, and half of that besides, so that a lost one makes no call.
	farProof = 900 * time.Millisecond
)

// pauseAfterFailure is the time before a host with a turn asks a failing store again. A host
// that hears no other has turn 0.
func pauseAfterFailure(pause time.Duration, turn func() int) time.Duration {
	if turn == nil {
		return pause
	}
	times := max(1, float64(turn())/triers)
	return min(time.Duration(times*times*float64(pause)), max(pause, longestPause))
}

// WatcherCount is the number of hosts, those with the first turns, that always watch the
// settings: one more than needed, so that the loss of one delays no change.
const WatcherCount = 2

// ReadAge is the age of a view at which a host with a turn of 1 or more reads it itself; far says that proofs
// reach it by way of relays.
func ReadAge(every time.Duration, turn int, far bool) time.Duration {
	part := 1 + proofShare + turnShare*float64(min(turn, lastTurn)-1)
	age := time.Duration(part * float64(every))
	if far {
		age = max(age, every+farProof)
	}
	return age
}

// EndpointList is the endpoints as one host passes them on.
type EndpointList struct {
	// Revision is the store's revision that they speak of.
	Revision uint64 `json:"revision"`
	// Endpoints are sorted by instance.
	Endpoints []Endpoint `json:"endpoints"`
	// RecentlyLeft are the lives of endpoints that said lately that they leave, and how long ago that was last
	// seen, in nanoseconds. A host that takes a list now and then may have missed it.
	RecentlyLeft map[string]time.Duration `json:"left,omitempty"`
	// Held are entries that name older lives than were known.
	Held []HeldEntry `json:"held,omitempty"`
}

// View names what a host knows of the endpoints.
type View struct {
	// Revision is the store's revision that it speaks of.
	Revision uint64
	// Checksum tells views of different content apart.
	Checksum uint64
	// ProvenAt is when it was surely the newest.
	ProvenAt time.Duration
}

// View names the view in force, and false if there is none.
func (e *Endpoints) View() (View, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return View{Revision: e.at, Checksum: e.sum(), ProvenAt: e.proven}, e.read
}

// List gives the endpoints to pass on, and false if none are known.
func (e *Endpoints) List() (EndpointList, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return EndpointList{Revision: e.at, Endpoints: e.told, RecentlyLeft: e.left.ages(e.Now()), Held: e.lives.holds(e.Now())}, e.read
}

// ReceiveView takes what a peer knows, and reports whether its list is to be asked for: the
// same content is proven as of the peer's moment, newer content is wanted.
func (e *Endpoints) ReceiveView(v View) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.StoreHealth.answer(v.ProvenAt)
	if e.read && v.Checksum == e.sum() {
		if v.Revision > e.at {
			clear(e.foreign) // the view does not tell of them
		}
		e.at = max(e.at, v.Revision)
		e.prove(v.ProvenAt)
		return false
	}
	return !e.read || v.Revision > e.at
}

// Offer puts a peer's list in force if it is newer. Entries that lapsed are kept only if the
// store failed for this host too: the peer may be the only one that the store turned away, and
// an endpoint whose entry goes while the store serves has left.
func (e *Endpoints) Offer(l EndpointList) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.read && l.Revision <= e.at {
		return
	}
	now := e.Now()
	e.left.add(l.RecentlyLeft, now)
	known := make(map[string]Endpoint, len(l.Endpoints))
	for _, n := range l.Endpoints {
		e.lives.adopt(n, now)
		known[n.Instance] = e.left.mark(n, now)
	}
	e.lives.adoptHeld(l.Held, now)
	clear(e.foreign)
	e.known, e.read, e.at, e.before = known, true, l.Revision, e.proven
	e.forgot = false
	e.tell()
}

// sum tells views of different content apart; mu must be held.
func (e *Endpoints) sum() uint64 {
	list := e.told
	for _, h := range e.lives.holds(e.Now()) {
		list = append(list[:len(list):len(list)], h.Endpoint)
	}
	return checksum(list)
}

// checksum sums up what tells lists apart that matter: how long an endpoint stays slow
// after its start changes all the time and is left out.
func checksum(list []Endpoint) uint64 {
	d := xxhash.New()
	var slots [8]byte
	for i := range list {
		n := &list[i]
		for _, s := range []string{n.Incarnation(), n.Service, n.Address, n.Zone} {
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
		binary.LittleEndian.PutUint64(slots[:], uint64(n.Slots))
		_, _ = d.Write(append(slots[:], flags))
	}
	return d.Sum64()
}
