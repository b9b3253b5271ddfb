// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package feed

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"
)

// Endpoints follows the entries of the endpoints. The fields must be set before Run.
type Endpoints struct {
	// Store is where they lie, below Prefix.
	Store  Store
	Prefix string
	// Parse reads an entry.
	Parse func(key string, value []byte) (Endpoint, error)
	// Now is the steady clock.
	Now func() time.Duration
	// Every is the time between readings, Wait how long one may be idle.
	Every, Wait time.Duration
	// Pause is the time between tries while the store fails.
	Pause time.Duration
	// Turn is this host's turn to read, see Turns; nil means that it always reads.
	Turn func() int
	// LapseFor is how long after the sending of the last call that failed an entry
	// that went is still taken for an endpoint that serves. It must be shorter than
	// the time after which the host counts as in touch again.
	LapseFor time.Duration
	// Changed is called with the list when it changes, sorted by instance.
	Changed func([]Endpoint)
	// Log takes changes of state.
	Log logr.Logger

	mu      sync.Mutex
	known   map[string]Endpoint
	told    []Endpoint
	read    bool          // known is what the store, or a peer, told
	forgot  bool          // the store does not know the changes since at any more
	at      uint64        // the store's revision of known
	proven  time.Duration // when known was surely the newest
	trouble time.Duration // when the last call that failed was sent
	bad     bool
}

// Init makes it ready; call it before all else.
func (e *Endpoints) Init() {
	e.known = make(map[string]Endpoint)
	e.trouble = -e.LapseFor
}

// Run follows the store until ctx ends.
func (e *Endpoints) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if pause := e.untilTurn(); pause > 0 {
			sleep(ctx, pause)
			continue
		}
		pause := e.Every
		if !e.follow(ctx) {
			pause = pauseAfterFailure(e.Pause, e.Turn)
		}
		sleep(ctx, pause)
	}
}

// untilTurn is the time until this host has to read: while peers prove the list it waits
// longer, the later its turn is.
func (e *Endpoints) untilTurn() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.Turn == nil || !e.read {
		return 0
	}
	turn := e.Turn()
	if turn == 0 {
		return 0
	}
	return e.proven + Turns(e.Every, turn) - e.Now()
}

// follow reads once and reports whether that succeeded.
func (e *Endpoints) follow(ctx context.Context) bool {
	e.mu.Lock()
	changes, at := e.read && !e.forgot, e.at
	e.mu.Unlock()
	sent := e.Now()
	var err error
	var idle time.Duration
	if changes {
		idle, err = e.watch(ctx, at)
	} else {
		err = e.readAll(ctx)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if errors.Is(err, ErrHistory) {
		e.forgot = true
	}
	switch {
	case err != nil:
		e.trouble = sent
	case e.bad:
		// The store may have failed until shortly before this call, however long ago the
		// last one was.
		e.trouble = max(e.trouble, sent-e.Pause)
		fallthrough
	default:
		e.proven = max(e.proven, sent+idle)
	}
	e.note(err)
	e.tell()
	return err == nil
}

// note logs changes of state; mu must be held.
func (e *Endpoints) note(err error) {
	if bad := err != nil; bad != e.bad {
		e.bad = bad
		if bad {
			e.Log.Info("store lost", "for", e.Prefix, "cause", err.Error())
			return
		}
		e.Log.Info("store regained", "for", e.Prefix)
	}
}

// readAll reads all entries anew.
func (e *Endpoints) readAll(ctx context.Context) error {
	cctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	p, err := e.Store.Range(cctx, e.Prefix, false)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	here := make(map[string]bool, len(p.Items))
	for _, it := range p.Items {
		here[strings.TrimPrefix(it.Key, e.Prefix)] = true
		e.take(it)
	}
	for name := range e.known {
		if !here[name] {
			e.gone(name)
		}
	}
	e.read, e.forgot, e.at = true, false, max(e.at, p.At)
	e.tell()
	return nil
}

// watch takes the changes since a revision. It returns the time from its start in which
// there were surely none: all of it, if it was idle to its end.
func (e *Endpoints) watch(ctx context.Context, since uint64) (time.Duration, error) {
	cctx, cancel := context.WithTimeout(ctx, e.Wait+storeTimeout)
	defer cancel()
	sent, wait := e.Now(), e.idle()
	p, err := e.Store.Watch(cctx, e.Prefix, since, wait)
	if err != nil {
		return 0, err
	}
	idle := time.Duration(0)
	if len(p.Items) == 0 && e.Now()-sent >= wait {
		idle = wait
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, it := range p.Items {
		if it.Revision <= e.at && e.at > since {
			continue // a peer has told of it meanwhile
		}
		if it.Gone {
			e.gone(strings.TrimPrefix(it.Key, e.Prefix))
			continue
		}
		e.take(it)
	}
	e.at = max(e.at, p.At)
	e.tell() // under the same lock: a peer must never get the old list with the new revision
	return idle, nil
}

// idle is how long a watch may wait for changes: not long while entries that
// lapsed are to be dropped.
func (e *Endpoints) idle() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, n := range e.known {
		if n.Lapsed {
			return min(e.Wait, e.Every/4)
		}
	}
	return e.Wait
}

// take notes an entry; mu must be held. What once was leaving stays so: entries may be
// written late.
func (e *Endpoints) take(it Item) {
	n, err := e.Parse(it.Key, it.Value)
	if err != nil {
		e.Log.Error(err, "endpoint entry refused", "key", it.Key)
		return
	}
	if old, ok := e.known[n.Instance]; ok && old.Leaving && !old.Lapsed {
		n.Leaving = true
	}
	e.known[n.Instance] = n
}

// gone notes that an entry went; mu must be held. While the store is in trouble, and a
// while after, entries go although their endpoints serve.
func (e *Endpoints) gone(name string) {
	n, ok := e.known[name]
	if !ok {
		return
	}
	if n.Leaving || e.Now()-e.trouble > e.LapseFor {
		delete(e.known, name)
		return
	}
	n.Lapsed = true
	e.known[name] = n
}

// tell drops what lapsed for good and passes the list on if it changed; mu must be held.
func (e *Endpoints) tell() {
	if e.Now()-e.trouble > e.LapseFor {
		maps.DeleteFunc(e.known, func(_ string, n Endpoint) bool { return n.Lapsed })
	}
	list := make([]Endpoint, 0, len(e.known))
	for _, n := range e.known {
		list = append(list, n)
	}
	slices.SortFunc(list, func(a, b Endpoint) int { return strings.Compare(a.Instance, b.Instance) })
	if slices.Equal(list, e.told) {
		return
	}
	e.logBeliefs(list)
	e.told = list
	e.Changed(list)
}

// logBeliefs writes a line for each kind of change between the list in force and the next
// one; mu must be held. Lines are few: entries change when endpoints come, leave or lapse.
func (e *Endpoints) logBeliefs(next []Endpoint) {
	for _, t := range turnovers(e.told, next) {
		e.Log.Info("endpoints changed", "was", t.Was, "now", t.Now, "instances", t.Instances, "revision", e.at,
			"proven_ms", (e.Now() - e.proven).Milliseconds(), "store_failed_ms", (e.Now() - e.trouble).Milliseconds(), "failing", e.bad)
	}
}
