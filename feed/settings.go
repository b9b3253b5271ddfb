// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package feed

import (
	"bytes"
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/heathkeel/heathkeel/route"
)

// Settings follows the configuration and the other orders of the operators in the store. The fields must be
// set before Run.
type Settings struct {
	// Store holds the configuration, under Key below Prefix, and the other orders below Prefix.
	Store       Store
	Prefix, Key string
	// Parse reads a configuration.
	Parse func([]byte) (*route.Document, error)
	// Now is the host's clock; it also counts the time in which the host is suspended.
	Now func() time.Duration
	// WatchTimeout is how long a watch may wait for changes.
	WatchTimeout time.Duration
	// RetryInterval is the time between attempts while the store fails.
	RetryInterval time.Duration
	// Rank returns this host's rank among the watchers, see ReadAge; nil means that this host always
	// watches.
	Rank func() int
	// ViaRelay tells whether proofs of peers reach this host through relays; nil means no.
	ViaRelay func() bool
	// StoreHealth decides whether the store fails for this host.
	StoreHealth *StoreHealth
	// MaxAge is the age up to which requests may be decided by the settings while the store does not
	// fail for this host; 0 means any age.
	MaxAge time.Duration
	// OnChange is called with each new table, in their order; calls do not overlap. It must not call Offer.
	OnChange func(*route.Table)
	// OnOrders is called with all orders when they change; it may be nil. Calls do not overlap.
	OnOrders func([]Order)
	// Log receives changes of state.
	Log logr.Logger

	// Age tracks how old the configuration may be.
	Age Age

	offerMu    sync.Mutex // held while current changes and OnChange learns it
	current    atomic.Pointer[Config]
	orders     atomic.Pointer[Orders]
	ordersMu   sync.Mutex // held while orders change
	ordersRead bool       // all orders were read
	ordersEra  uint64     // the latest era of the store in which all orders were read
	// ordersKeptUntil is the time until which orders stay that were known when the store came back from an older copy, and ordersDue
	// says that they have to be read then.
	ordersKeptUntil time.Duration
	ordersDue       atomic.Bool
	refusedCount    atomic.Int64
	failing         bool
	poller          poller
	interrupter     interrupter
	rereadPending   atomic.Bool // the next step reads the key again
	readNow         bool        // so does this one; used by Run only

	mu       sync.Mutex
	revision uint64 // the store's revision that was read last
	loaded   bool   // the key was read, and the store still has the changes since
}

// Config is a configuration as it was written, so that it can be passed on to peers.
type Config struct {
	// Value is the document and Revision the number of its write.
	Value    []byte
	Revision uint64
	// Table is the routing table made from the document.
	Table *route.Table

	kept bool // the store came back with an older document, whose revision is Revision
}

// Current returns the configuration in force, or nil.
func (s *Settings) Current() *Config { return s.current.Load() }

// RefusedCount counts documents that could not be read.
func (s *Settings) RefusedCount() int64 { return s.refusedCount.Load() }

// Run follows the store until ctx ends.
func (s *Settings) Run(ctx context.Context) {
	p := &s.poller
	p.health, p.rank, p.retryInterval, p.waitTime, p.call = s.StoreHealth, s.Rank, s.RetryInterval, s.waitTime, s.callStore
	p.lastReader, p.isDue = WatcherCount-1, func() bool { return s.readNow || s.untilWatch() <= 0 }
	p.init()
	for ctx.Err() == nil {
		s.step(s.interrupter.context(ctx))
	}
}

// NoteGap makes this host read the settings at once after the process did not run for a while: calls
// and waits from before say nothing about the present. The key is read, since a watch would prove
// nothing until it ends without changes.
func (s *Settings) NoteGap() {
	s.rereadPending.Store(true)
	s.interrupter.interrupt()
}

// InForce returns the configuration in force, or nil if there is none, and its age, which is negative
// if it is unknown. The age is that of this configuration, also if a newer one comes at this moment.
func (s *Settings) InForce() (c *Config, age time.Duration) {
	for {
		c = s.current.Load()
		newest := s.newestRevision()
		revision, age, ok := s.Age.at(s.Now())
		switch {
		case c == nil || !ok:
			return c, unknownAge
		case revision <= newest && c == s.current.Load():
			return c, age
		}
	}
}

// unknownAge is the age of a configuration that was never proven to be the newest.
const unknownAge = -time.Millisecond

// Usable reports whether requests may be decided by settings of an age. Settings older than MaxAge are
// used only while the store fails for this host: the host cannot get newer ones then.
func (s *Settings) Usable(age time.Duration) bool {
	if s.MaxAge == 0 {
		return true
	}
	return age >= 0 && (age <= s.MaxAge || s.StoreHealth.FailedRecently(s.poller.lastAnswer()))
}

// ReceiveProof takes a peer's proof that a revision was the newest at a moment, with the version of the configuration in force there. It
// reports whether what is in force there is newer than here, so that it has to be fetched: the revision, or the version where the store came
// back with an older configuration than the peer has kept.
func (s *Settings) ReceiveProof(revision uint64, version int64, at time.Duration) bool {
	newest := s.newestRevision()
	if newest == 0 || revision > newest {
		return true
	}
	if revision < newest {
		return false
	}
	own := s.current.Load().Version()
	if version == own || version == 0 { // hosts of earlier releases do not tell the version
		s.Age.Prove(revision, at)
	}
	return version > own
}

// step waits until this host has to watch, or polls the store once.
func (s *Settings) step(ctx context.Context) {
	s.readNow = s.rereadPending.Swap(false)
	if wait := s.untilWatch(); wait > 0 && !s.readNow {
		sleep(ctx, wait)
		return
	}
	if s.readNow {
		s.requireRead()
	}
	err := s.poller.poll(ctx)
	switch {
	case err == nil:
		s.logRegained()
	case ctx.Err() == nil: // otherwise cancelled by this host
		s.logLost(err)
		s.poller.backOff(ctx)
	}
}

// requireRead makes the next call read the key instead of its changes.
func (s *Settings) requireRead() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loaded = false
}

// waitTime is how long a call waits for changes: only on the hosts that always watch, and not for so
// long that a slow answer comes too late. The others call when the settings must be proven soon.
func (s *Settings) waitTime() time.Duration {
	if s.Rank != nil && s.Rank() >= WatcherCount {
		return 0
	}
	age, _ := s.Age.At(s.Now())
	return max(0, min(s.WatchTimeout, s.StoreHealth.latestRead(s.MaxAge)-age))
}

// callStore does one call. sent is when it is sent, wait how long it waits for changes.
func (s *Settings) callStore(ctx context.Context, sent, wait time.Duration) error {
	s.mu.Lock()
	revision, loaded := s.revision, s.loaded
	s.mu.Unlock()
	if s.ordersDue.Load() && s.ordersAreDue() {
		loaded = false
	}
	if !loaded {
		return s.readKey(ctx, sent)
	}
	err := s.watch(ctx, revision, sent, wait)
	if errors.Is(err, ErrCompacted) {
		s.StoreHealth.noteAnswer(sent)
		s.requireRead()
	}
	return err
}

// noteRead records up to which of the store's revisions the settings were read.
func (s *Settings) noteRead(revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision, s.loaded = max(s.revision, revision), true
}

// untilWatch is the time until this host has to watch. The first WatcherCount hosts always watch and
// learn of changes at once; the others watch while no peer proves the settings to them.
func (s *Settings) untilWatch() time.Duration {
	age, ok := s.Age.At(s.Now())
	if s.Rank == nil || !ok {
		return 0
	}
	if s.Rank() < WatcherCount {
		return 0
	}
	// A watcher's proof is as old as its watch was long, and ages while the next watch waits.
	return s.poller.readAge(2*s.WatchTimeout, s.MaxAge, s.ViaRelay) - age
}

// readKey reads the key again, with a call sent at the given moment.
func (s *Settings) readKey(ctx context.Context, sent time.Duration) error {
	p, err := s.Store.Range(ctx, s.Prefix, false)
	if err != nil {
		return err
	}
	s.StoreHealth.noteAnswer(sent)
	s.applyItems(p.Items)
	s.readOrders(p.Items, p.Revision)
	s.prove(sent)
	s.noteRead(p.Revision)
	return nil
}

// watch waits for the next change, with a call sent at the given moment. The answer proves the state of
// that moment and no later one, also if it says that nothing changed: the store may end a watch early,
// and the answer may be read late.
func (s *Settings) watch(ctx context.Context, since uint64, sent, wait time.Duration) error {
	p, err := s.Store.Watch(ctx, s.Prefix, since, wait)
	if err != nil {
		return err
	}
	s.StoreHealth.noteAnswer(sent)
	s.applyItems(p.Items)
	s.applyOrderChanges(p.Items)
	s.prove(sent)
	s.noteRead(p.Revision)
	if len(p.Items) == 0 && s.Now()-sent < wait {
		// The store ended the watch early; calling it again at once would flood it with calls.
		sleep(ctx, outageRetryInterval(s.RetryInterval, s.Rank))
	}
	return nil
}

// applyItems puts the newest value of the key in force.
func (s *Settings) applyItems(items []Item) {
	for i := len(items) - 1; i >= 0; i-- {
		if it := items[i]; it.Key == s.Key && !it.Deleted {
			s.Offer(it.Value, it.Revision)
			return
		}
	}
}

// prove records that the settings in force were the newest at a moment.
func (s *Settings) prove(at time.Duration) {
	if revision := s.newestRevision(); revision > 0 {
		s.Age.Prove(revision, at)
	}
}

// Offer puts a document in force unless the one in force is equally new or newer. A document that
// cannot be read is refused whole, and the one in force stays.
func (s *Settings) Offer(value []byte, revision uint64) {
	s.offerMu.Lock()
	defer s.offerMu.Unlock()
	old := s.current.Load()
	if old != nil && (old.Revision > revision || (old.Revision == revision && bytes.Equal(old.Value, value))) {
		return
	}
	d, err := s.Parse(value)
	if err != nil {
		s.refusedCount.Add(1)
		s.Log.Error(err, "configuration refused", "revision", ownRevision(revision))
		return
	}
	next := &Config{Value: value, Revision: revision, Table: route.NewTable(d, revision)}
	if old != nil && old.outlasts(d.Version, revision) {
		next = &Config{Value: old.Value, Revision: revision, Table: old.Table, kept: true}
	}
	if old != nil && old.Revision == revision && next.Version() <= old.Version() {
		return
	}
	s.current.Store(next)
	if next.kept {
		s.Log.Info("store came back with an older configuration; the one in force stays", "version", next.Version(), "stored_version", d.Version, "revision", ownRevision(revision))
		return
	}
	s.Log.Info("configuration in force", "revision", ownRevision(revision), "era", eraOf(revision), "version", d.Version, "routes", len(d.Routes))
	s.OnChange(next.Table)
}

// Version returns the version that the operator gave the document.
func (c *Config) Version() int64 { return c.Table.Document.Version }

// outlasts reports whether the document stays in force although one of a version was read at a later revision: within an era the later
// write is the newer one, but a store that came back from an older copy holds older documents until the operator has written the newest
// one again.
func (c *Config) outlasts(version int64, revision uint64) bool {
	return version < c.Version() && (c.kept || eraOf(revision) != eraOf(c.Revision))
}

// logRegained and logLost log changes of state only.
func (s *Settings) logRegained() {
	if s.failing {
		s.failing = false
		s.Log.Info("store regained", "for", s.Key)
	}
}

func (s *Settings) logLost(err error) {
	if !s.failing {
		s.failing = true
		s.Log.Info("store lost", "for", s.Key, "cause", err.Error())
	}
}

// sleep waits for d, or returns early when ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
