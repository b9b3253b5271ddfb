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
	// Parse reads an entry; it fails for one that no endpoint of ours can have written.
	Parse func(key string, value []byte) (Endpoint, error)
	// Now is the host's clock; it counts the time in which the host is suspended.
	Now func() time.Duration
	// StoreHealth judges whether the store fails for this host.
	StoreHealth *StoreHealth
	// Interval is the time between readings, Wait how long one may be idle.
	Interval, WatchTimeout time.Duration
	// RetryInterval is the time between tries while the store fails.
	RetryInterval time.Duration
	// Rank is this host's turn to read, see Turns; nil means that it always reads.
	Rank func() int
	// ViaRelay tells whether proofs of peers reach this host by way of relays; nil means not.
	ViaRelay func() bool
	// MaxAge is the age up to which work may be sent by the list while the store does not fail for this host; 0 means any.
	MaxAge time.Duration
	// OnChange is called with the list when it changes, sorted by instance.
	OnChange func([]Endpoint)
	// Log takes changes of state.
	Log logr.Logger

	mu      sync.Mutex
	known   map[string]Endpoint
	told    []Endpoint
	read    bool          // known is what the store, or a peer, told
	forgot  bool          // the store does not know the changes since at any more
	at      uint64        // the store's revision of known
	proven  time.Duration // when known was surely the newest
	before  time.Duration // the same until the last change
	asker   asker
	left    leavers
	lives   lives
	foreign foreign
	expiry  *time.Timer // of entries that lapsed
	bad     bool
	nudge   nudge
}

// Init makes it ready; call it before all else.
func (e *Endpoints) Init() {
	e.known = make(map[string]Endpoint)
	e.left = make(leavers)
	e.lives = make(lives)
	e.foreign = make(foreign)
	e.asker = asker{reach: e.StoreHealth, turn: e.Rank, pause: e.RetryInterval, wait: e.wait, call: e.ask}
	e.expiry = time.AfterFunc(time.Hour, e.expire)
	e.expiry.Stop() // until entries lapse
	// What has lapsed is dropped at its time, whether or not anything is read until then.
	e.StoreHealth.ended = func(lapsed time.Duration) { e.expiry.Reset(lapsed) }
}

// Run follows the store until ctx ends.
func (e *Endpoints) Run(ctx context.Context) {
	defer e.expiry.Stop()
	for ctx.Err() == nil {
		turn, end := e.nudge.turn(ctx)
		e.step(turn)
		end()
	}
}

// NoteGap makes this host ask the store at once: it did not run for a while. What it knew of the store's state says nothing
// of now, and an entry that went meanwhile is taken for one whose endpoint left, as at a start.
func (e *Endpoints) NoteGap() {
	e.mu.Lock()
	e.StoreHealth.restart()
	if e.read {
		e.tell()
	}
	e.mu.Unlock()
	e.nudge.now()
}

// step waits for this host's turn, or asks the store once and waits.
func (e *Endpoints) step(ctx context.Context) {
	if pause := e.untilTurn(); pause > 0 {
		sleep(ctx, pause)
		return
	}
	began := e.Now()
	if !e.follow(ctx) {
		e.asker.rest(ctx)
		return
	}
	// What a reading took beyond the usual has made the list older.
	late := max(0, e.Now()-began-e.WatchTimeout-tryPace)
	sleep(ctx, e.Interval-late)
}

// untilTurn is the time until this host has to read: while peers prove the list it waits
// longer, the later its turn is.
func (e *Endpoints) untilTurn() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.lives.holds(e.Now())) > 0 {
		e.tell() // one may have stood for long enough
	}
	if e.Rank == nil || !e.read {
		return 0
	}
	turn := e.Rank()
	if turn == 0 {
		return 0
	}
	return e.proven + ReadAge(e.Interval, turn, e.ViaRelay != nil && e.ViaRelay()) - e.Now()
}

// follow reads and reports whether that succeeded.
func (e *Endpoints) follow(ctx context.Context) bool {
	err := e.asker.try(ctx)
	if err != nil && ctx.Err() != nil {
		return false // ended by this host
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.note(err)
	return err == nil
}

// wait is how long a call waits for changes: only the host that reads for all does.
func (e *Endpoints) wait() time.Duration {
	if e.Rank != nil && e.Rank() > 0 {
		return 0
	}
	return e.WatchTimeout
}

// ask does one call, which is sent at a moment and waits for changes for a time.
func (e *Endpoints) ask(ctx context.Context, sent, wait time.Duration) error {
	e.mu.Lock()
	changes, at := e.read && !e.forgot, e.at
	e.mu.Unlock()
	var err error
	if changes {
		err = e.watch(ctx, at, sent, wait)
	} else {
		err = e.readAll(ctx, sent)
	}
	if errors.Is(err, ErrCompacted) {
		e.noteForgotten(sent)
	}
	return err
}

// noteForgotten notes that the store answered a call but has forgotten its history.
func (e *Endpoints) noteForgotten(sent time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.forgot = true
	e.StoreHealth.answer(sent)
	e.Log.Info("store forgot its history; all entries are read", "for", e.Prefix, "revision", e.at)
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

// readAll reads all entries anew, with a call that is sent at a moment.
func (e *Endpoints) readAll(ctx context.Context, sent time.Duration) error {
	p, err := e.Store.Range(ctx, e.Prefix, false)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.StoreHealth.answer(sent)
	if e.read && p.Revision < e.at {
		e.forgot = false
		return nil // a peer has told of newer entries meanwhile
	}
	here := make(map[string]bool, len(p.Items))
	for _, it := range p.Items {
		here[e.instance(it)] = true
		e.take(it)
	}
	for name := range e.known {
		if !here[name] {
			e.gone(name)
		}
	}
	e.foreign.keep(here)
	e.lives.keep(here)
	e.read, e.forgot, e.at = true, false, max(e.at, p.Revision)
	e.prove(sent)
	e.tell()
	return nil
}

// watch takes the changes since a revision, with a call that is sent at a moment. A watch that was idle to its end proves
// that there were none in all of that time.
func (e *Endpoints) watch(ctx context.Context, since uint64, sent, wait time.Duration) error {
	p, err := e.Store.Watch(ctx, e.Prefix, since, wait)
	if err != nil {
		return err
	}
	proven := sent
	if len(p.Items) == 0 && e.Now()-sent >= wait {
		proven += wait
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.StoreHealth.answer(sent)
	for _, it := range p.Items {
		if it.Revision <= e.at && e.at > since {
			continue // a peer has told of it meanwhile
		}
		if it.Deleted {
			e.gone(e.instance(it))
			e.foreign.forget(e.instance(it))
			continue
		}
		e.take(it)
	}
	e.at = max(e.at, p.Revision)
	e.prove(proven)
	e.tell() // under the same lock: a peer must never get the old list with the new revision
	return nil
}

// prove notes that what is known was surely the newest at a moment; mu must be held.
func (e *Endpoints) prove(at time.Duration) {
	e.before, e.proven = e.proven, max(e.proven, at)
}

// Usable reports whether work may be sent by the list now. A list that is older than it may be is used only while the store
// fails for this host: what no host can know, none is held to.
func (e *Endpoints) Usable() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Now()
	if !e.read || e.MaxAge == 0 || now-e.proven <= e.MaxAge {
		return e.read
	}
	return e.StoreHealth.FailedRecently()
}

// ProvenAt tells when the list was surely the newest, and false if there is none.
func (e *Endpoints) ProvenAt() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.proven, e.read
}

// instance names the endpoint that an item speaks of.
func (e *Endpoints) instance(it Item) string { return strings.TrimPrefix(it.Key, e.Prefix) }

// take notes an entry; mu must be held. One that no endpoint of ours wrote names none to use: an
// endpoint that was known under its key is taken for one whose entry went.
func (e *Endpoints) take(it Item) {
	n, err := e.Parse(it.Key, it.Value)
	if err != nil {
		if e.foreign.note(e.instance(it), err) {
			e.Log.Error(err, "endpoint entry refused", "key", it.Key, "bytes", len(it.Value), "revision", it.Revision)
		}
		e.gone(e.instance(it))
		return
	}
	e.foreign.forget(n.Instance)
	now := e.Now()
	n, ok := e.lives.admit(n, now)
	if !ok {
		e.Log.Info("endpoint entry of an older life held back", "instance", n.Instance, "born", n.StartedMS, "revision", it.Revision)
		e.drop(n.Instance)
		return
	}
	e.known[n.Instance] = e.left.mark(n, now)
}

// gone notes that an entry went; mu must be held. In an outage of the store, and a while
// after, entries go although their endpoints serve.
func (e *Endpoints) gone(name string) {
	e.lives.gone(name)
	e.drop(name)
}

// drop takes an endpoint whose entry is not there out of what is known, or for one that lapsed; mu must be held.
func (e *Endpoints) drop(name string) {
	n, ok := e.known[name]
	if !ok {
		return
	}
	if n.Leaving || !e.StoreHealth.mayLapse() {
		delete(e.known, name)
		return
	}
	n.Lapsed = true
	e.known[name] = n
}

// expire drops the entries that lapsed and did not come back in time.
func (e *Endpoints) expire() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tell()
}

// tell drops what lapsed for good and passes the list on if it changed; mu must be held.
func (e *Endpoints) tell() {
	now := e.Now()
	for _, n := range e.lives.due(now, e.proven, e.known) {
		e.Log.Info("endpoint's clock was set back before its last start", "instance", n.Instance, "born", n.StartedMS)
		e.known[n.Instance] = e.left.mark(n, now)
	}
	e.left.prune(now, e.known)
	if !e.StoreHealth.mayLapse() {
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
	e.OnChange(list)
}

// logBeliefs writes a line for each kind of change between the list in force and the next
// one; mu must be held. Lines are few: entries change when endpoints come, leave or lapse.
func (e *Endpoints) logBeliefs(next []Endpoint) {
	now := e.Now()
	answered, failed := e.StoreHealth.last()
	for _, t := range turnovers(e.told, next) {
		e.Log.Info("endpoints changed", "was", t.From, "now", t.To, "instances", t.Instances, "revision", e.at,
			"proven_ms", (now - e.proven).Milliseconds(), "proven_before_ms", (now - e.before).Milliseconds(), "answered_ms", (now - answered).Milliseconds(),
			"failed_ms", (now - failed).Milliseconds(), "failing", e.bad)
	}
}
