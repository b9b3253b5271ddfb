// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package feed

import (
	"context"
	"errors"
	"math"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
)

// Endpoints follows the entries of the endpoints in the store. The fields must be set before Run.
type Endpoints struct {
	// Store holds the entries, below Prefix.
	Store  Store
	Prefix string
	// Parse reads an entry; it fails for one that no endpoint of this deployment can have written.
	Parse func(key string, value []byte) (Endpoint, error)
	// Now is the host's clock; it also counts the time in which the host is suspended.
	Now func() time.Duration
	// StoreHealth decides whether the store fails for this host.
	StoreHealth *StoreHealth
	// Interval is the time between reads; WatchTimeout is how long a read may wait for changes.
	Interval, WatchTimeout time.Duration
	// RetryInterval is the time between attempts while the store fails.
	RetryInterval time.Duration
	// Rank returns this host's rank among the readers, see ReadAge; nil means that this host always
	// reads.
	Rank func() int
	// ViaRelay tells whether proofs of peers reach this host through relays; nil means no.
	ViaRelay func() bool
	// MaxAge is the age up to which requests may be sent by the list while the store does not fail for
	// this host; 0 means any age.
	MaxAge time.Duration
	// OnChange is called with the list, sorted by instance, when it changes.
	OnChange func([]Endpoint)
	// Log receives changes of state.
	Log logr.Logger

	mu           sync.Mutex
	known        map[string]Endpoint
	published    []Endpoint
	publishedSum uint64 // checksum of published
	changes      changeLog
	loaded       bool          // known comes from the store or from a peer
	followedFrom time.Duration // since when this host has followed the entries without a gap
	gapEndedAt   time.Duration // end of the last gap
	compacted    bool          // the store no longer has the changes since revision
	revision     uint64        // the store's revision of known
	provenAt     time.Duration // when known was surely the newest; negative before this host's start
	provenBefore time.Duration // provenAt before the last change
	poller       poller
	leavers      leavers
	gone         gone
	eraBegin     uint64        // the first revision that this host knew of the store's era
	eraKeepUntil time.Duration // until then entries that an older copy lacks are kept as lapsed
	incarnations incarnations
	foreign      foreign
	expiryTimer  *time.Timer // drops lapsed entries
	failing      bool
	interrupter  interrupter
	readPending  atomic.Bool // the next step reads, whatever the list's age
	readNow      bool        // so does this one; used by Run only
}

// Init prepares the Endpoints; call it before any other method.
func (e *Endpoints) Init() {
	e.known = make(map[string]Endpoint)
	e.leavers, e.gone = make(leavers), make(gone)
	e.incarnations = make(incarnations)
	e.foreign = make(foreign)
	e.publishedSum = checksum(nil)
	e.provenAt, e.provenBefore = neverProven, neverProven
	p := &e.poller
	p.health, p.rank, p.retryInterval, p.waitTime, p.call = e.StoreHealth, e.Rank, e.RetryInterval, e.waitTime, e.callStore
	p.isDue = func() bool { return e.readNow || e.untilRead() <= 0 }
	p.init()
	e.expiryTimer = time.AfterFunc(time.Hour, e.dropExpired)
	e.expiryTimer.Stop() // until entries lapse
	// Lapsed entries are dropped at their time, even if nothing is read until then.
	e.StoreHealth.onOutageEnd = func(lapsed time.Duration) { e.expiryTimer.Reset(lapsed) }
}

// Run follows the store until ctx ends.
func (e *Endpoints) Run(ctx context.Context) {
	defer e.expiryTimer.Stop()
	for ctx.Err() == nil {
		e.step(e.interrupter.context(ctx))
	}
}

// NoteGap makes this host call the store at once after the process did not run for a while. What the
// host knew of the store's state no longer holds, and an entry that disappeared in the meantime is
// taken for one whose endpoint left, as at a start.
func (e *Endpoints) NoteGap() {
	e.mu.Lock()
	e.StoreHealth.reset()
	e.gapEndedAt = e.Now()
	e.followedFrom = e.gapEndedAt
	if e.loaded {
		e.publish()
	}
	e.mu.Unlock()
	e.readPending.Store(true)
	e.interrupter.interrupt()
}

// step waits until this host has to read, or polls the store once.
func (e *Endpoints) step(ctx context.Context) {
	e.readNow = e.readPending.Swap(false)
	if wait := e.untilRead(); wait > 0 && !e.readNow {
		sleep(ctx, wait)
		return
	}
	if !e.refresh(ctx) {
		e.poller.backOff(ctx)
	}
}

// untilRead is the time until this host has to read. While peers prove the list, a host of a higher
// rank waits longer.
func (e *Endpoints) untilRead() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.incarnations.heldEntries(e.Now())) > 0 {
		e.publish() // a held entry may have stood for long enough
	}
	if !e.loaded {
		return 0
	}
	return e.provenAt + e.poller.readAge(e.Interval, e.MaxAge, e.ViaRelay) - e.Now()
}

// refresh polls the store and reports whether that succeeded.
func (e *Endpoints) refresh(ctx context.Context) bool {
	err := e.poller.poll(ctx)
	if err != nil && ctx.Err() != nil {
		return false // cancelled by this host
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.logStoreState(err)
	return err == nil
}

// waitTime is how long a call waits for changes: only on the host that reads for all.
func (e *Endpoints) waitTime() time.Duration {
	if e.Rank != nil && e.Rank() > 0 {
		return 0
	}
	return e.WatchTimeout
}

// callStore does one call. sent is when it is sent, wait how long it waits for changes.
func (e *Endpoints) callStore(ctx context.Context, sent, wait time.Duration) error {
	e.mu.Lock()
	watch, revision := e.loaded && !e.compacted, e.revision
	e.mu.Unlock()
	var err error
	if watch {
		err = e.watch(ctx, revision, sent, wait)
	} else {
		err = e.readAll(ctx, sent)
	}
	if errors.Is(err, ErrCompacted) {
		e.noteCompacted(sent)
	}
	return err
}

// noteCompacted records that the store answered a call but no longer has the changes asked for.
func (e *Endpoints) noteCompacted(sent time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.compacted = true
	e.StoreHealth.noteAnswer(sent)
	e.Log.Info("store compacted its history; reading all entries", "for", e.Prefix, "revision", ownRevision(e.revision), "era", eraOf(e.revision))
}

// logStoreState logs when the store is lost or regained; mu must be held.
func (e *Endpoints) logStoreState(err error) {
	if bad := err != nil; bad != e.failing {
		e.failing = bad
		if bad {
			e.Log.Info("store lost", "for", e.Prefix, "cause", err.Error())
			return
		}
		e.Log.Info("store regained", "for", e.Prefix)
	}
}

// readAll reads all entries again, with a call sent at the given moment.
func (e *Endpoints) readAll(ctx context.Context, sent time.Duration) error {
	p, err := e.Store.Range(ctx, e.Prefix, false)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.StoreHealth.noteAnswer(sent)
	if e.loaded && p.Revision < e.revision {
		e.compacted = false
		return nil // a peer has reported newer entries in the meantime
	}
	older := e.noteEra(p.Revision)
	present := make(map[string]bool, len(p.Items))
	for _, it := range p.Items {
		present[e.instanceOf(it)] = true
		e.applyEntry(it, sent)
	}
	for name, n := range e.known {
		switch {
		case present[name]:
		case older && !n.Leaving:
			n.Lapsed = true // its endpoint writes it again
			e.known[name] = n
		default:
			e.noteDeleted(name, sent)
		}
	}
	e.foreign.retain(present)
	e.incarnations.retain(present)
	e.noteLoaded()
	e.compacted, e.revision = false, max(e.revision, p.Revision)
	e.prove(sent)
	e.publish()
	return nil
}

// watch reads the changes since a revision, with a call sent at the given moment. The answer proves the
// state of that moment.
func (e *Endpoints) watch(ctx context.Context, since uint64, sent, wait time.Duration) error {
	p, err := e.Store.Watch(ctx, e.Prefix, since, wait)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.StoreHealth.noteAnswer(sent)
	for _, it := range p.Items {
		if it.Revision <= e.revision && e.revision > since {
			continue // a peer has reported it in the meantime
		}
		if it.Deleted {
			e.noteDeleted(e.instanceOf(it), sent)
			e.foreign.remove(e.instanceOf(it))
			continue
		}
		e.applyEntry(it, sent)
	}
	e.revision = max(e.revision, p.Revision)
	e.prove(sent)
	e.publish() // under the same lock: a peer must never get the old list with the new revision
	return nil
}

// neverProven is the moment as of which a list is proven of which nothing is known: longer ago than any
// limit on its age.
const neverProven = time.Duration(math.MinInt64 / 2)

// noteLoaded records that known comes from the store or from a peer; mu must be held.
func (e *Endpoints) noteLoaded() {
	if !e.loaded {
		e.loaded, e.followedFrom = true, e.Now()
	}
}

// prove records that known was surely the newest at a moment; mu must be held.
func (e *Endpoints) prove(at time.Duration) {
	e.provenBefore, e.provenAt = e.provenAt, max(e.provenAt, at)
}

// Usable reports whether requests may be sent by the list now. A list older than MaxAge is used only
// while the store fails for this host: the host cannot get a newer one then.
func (e *Endpoints) Usable() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Now()
	if !e.loaded || e.MaxAge == 0 || now-e.provenAt <= e.MaxAge {
		return e.loaded
	}
	return e.StoreHealth.FailedRecently(e.poller.lastAnswer())
}

// ProvenAt returns when the list was surely the newest, and false if there is no list.
func (e *Endpoints) ProvenAt() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.provenAt, e.loaded
}

// instanceOf returns the name of the endpoint that an item describes.
func (e *Endpoints) instanceOf(it Item) string { return strings.TrimPrefix(it.Key, e.Prefix) }

// applyEntry applies an entry that was read as of a moment; mu must be held. An entry that no endpoint of
// this deployment wrote names no usable endpoint: an endpoint known under its key is treated as one whose
// entry was removed.
func (e *Endpoints) applyEntry(it Item, asOf time.Duration) {
	n, err := e.Parse(it.Key, it.Value)
	if err != nil {
		if e.foreign.add(e.instanceOf(it), err) {
			e.Log.Error(err, "endpoint entry refused", "key", it.Key, "bytes", len(it.Value), "revision", ownRevision(it.Revision))
		}
		e.noteDeleted(e.instanceOf(it), asOf)
		return
	}
	e.foreign.remove(n.Instance)
	now := e.Now()
	if it.Revision <= e.eraBegin && e.gone.holds(n.Incarnation(), it.Revision) {
		e.drop(n.Instance, asOf)
		return
	}
	n, ok := e.incarnations.admit(n, now)
	if !ok {
		e.Log.Info("endpoint entry of an older incarnation held back", "instance", n.Instance, "born", n.StartedMS, "revision", ownRevision(it.Revision))
		e.drop(n.Instance, asOf)
		return
	}
	e.known[n.Instance] = e.leavers.mark(n, now)
}

// noteDeleted records that there was no entry as of a moment; mu must be held. In an outage of the store,
// and for a while after it, entries disappear although their endpoints serve.
func (e *Endpoints) noteDeleted(name string, asOf time.Duration) {
	e.incarnations.noteDeleted(name)
	e.drop(name, asOf)
}

// drop removes an endpoint without an entry as of a moment from known, or marks it as lapsed; mu must be
// held.
func (e *Endpoints) drop(name string, asOf time.Duration) {
	n, ok := e.known[name]
	if !ok {
		return
	}
	if !e.mayHaveLapsed(n, asOf) {
		delete(e.known, name)
		e.gone.add(n.Incarnation(), e.Now(), e.revision)
		return
	}
	n.Lapsed = true
	e.known[name] = n
}

// publish drops the entries whose time as lapsed is over, and passes the list on if it changed; mu
// must be held.
func (e *Endpoints) publish() {
	now := e.Now()
	for _, n := range e.incarnations.promoteHeld(now, e.provenAt, e.known) {
		e.Log.Info("endpoint's clock was set back before its last start", "instance", n.Instance, "born", n.StartedMS)
		e.known[n.Instance] = e.leavers.mark(n, now)
	}
	e.leavers.prune(now, e.known)
	e.gone.prune(now, e.known)
	if now >= e.eraKeepUntil && !e.StoreHealth.mayLapse(e.provenAt) {
		e.dropLapsed()
	}
	list := make([]Endpoint, 0, len(e.known))
	for _, n := range e.known {
		list = append(list, n)
	}
	slices.SortFunc(list, func(a, b Endpoint) int { return strings.Compare(a.Instance, b.Instance) })
	if slices.Equal(list, e.published) {
		return
	}
	e.logTransitions(list)
	sum := checksum(list)
	e.changes.add(e.publishedSum, sum, e.published, list)
	e.published, e.publishedSum = list, sum
	e.OnChange(list)
}

// logTransitions writes a line for each kind of change between the list in force and the next one; mu
// must be held. There are few lines, since entries change only when endpoints come, leave or lapse.
func (e *Endpoints) logTransitions(next []Endpoint) {
	now := e.Now()
	answered, failed := e.StoreHealth.lastCalls()
	for _, t := range transitions(e.published, next) {
		e.Log.Info("endpoints changed", "was", t.From, "now", t.To, "instances", t.Instances, "revision", ownRevision(e.revision),
			"proven_ms", (now - e.provenAt).Milliseconds(), "proven_before_ms", (now - e.provenBefore).Milliseconds(), "answered_ms", (now - answered).Milliseconds(),
			"failed_ms", (now - failed).Milliseconds(), "failing", e.failing)
	}
}
