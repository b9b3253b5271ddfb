// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package feed

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/heathkeel/heathkeel/route"
)

// Settings follows the configuration. The fields must be set before Run.
type Settings struct {
	// Store is where it lies, under Key below Prefix.
	Store       Store
	Prefix, Key string
	// Parse reads a configuration.
	Parse func([]byte) (*route.Document, error)
	// Now is the host's clock; it counts the time in which the host is suspended.
	Now func() time.Duration
	// WatchTimeout is how long a watch may be idle.
	WatchTimeout time.Duration
	// RetryInterval is the time between tries while the store fails.
	RetryInterval time.Duration
	// Rank is this host's turn to watch, see Turns; nil means that it always watches.
	Rank func() int
	// ViaRelay tells whether proofs of peers reach this host by way of relays; nil means not.
	ViaRelay func() bool
	// StoreHealth judges whether the store fails for this host.
	StoreHealth *StoreHealth
	// MaxAge is the age up to which requests may be decided by the settings while the store does not fail for this host; 0 means any.
	MaxAge time.Duration
	// OnChange is called with each new table.
	OnChange func(*route.Table)
	// Log takes changes of state.
	Log logr.Logger

	// Age knows how old the configuration may be.
	Age Age

	current atomic.Pointer[Config]
	refused atomic.Int64
	failing bool
	nudge   nudge
	woke    atomic.Bool // read anew

	mu   sync.Mutex
	at   uint64 // the store's revision that was read last
	read bool   // one was, and the store knows the changes since
}

// Config is a configuration as it was written, for passing on.
type Config struct {
	// Value is the document and Revision the number of its write.
	Value    []byte
	Revision uint64
	// Table is the document made ready.
	Table *route.Table
}

// Current returns the configuration in force, or nil.
func (s *Settings) Current() *Config { return s.current.Load() }

// RefusedCount counts documents that could not be read.
func (s *Settings) RefusedCount() int64 { return s.refused.Load() }

// Run follows the store until ctx ends.
func (s *Settings) Run(ctx context.Context) {
	a := asker{reach: s.StoreHealth, turn: s.Rank, pause: s.RetryInterval, wait: s.wait, call: s.ask}
	for ctx.Err() == nil {
		turn, end := s.nudge.turn(ctx)
		s.step(turn, &a)
		end()
	}
}

// NoteGap makes this host read the settings at once: it did not run for a while, and calls and pauses that were under way
// say nothing of now. A watch would prove nothing before it has been idle to its end.
func (s *Settings) NoteGap() {
	s.woke.Store(true)
	s.nudge.now()
}

// Usable reports whether requests may be decided by the settings now. Settings that are older than they may be are used only while the
// store fails for this host: what no host can know, none is held to.
func (s *Settings) Usable() bool {
	if s.MaxAge == 0 {
		return true
	}
	age, ok := s.Age.At(s.Now())
	return ok && (age <= s.MaxAge || s.StoreHealth.FailedRecently())
}

// step waits for this host's turn, or asks the store once.
func (s *Settings) step(ctx context.Context, a *asker) {
	woke := s.woke.Swap(false)
	if pause := s.untilTurn(); pause > 0 && !woke {
		sleep(ctx, pause)
		return
	}
	if woke {
		s.readAnew()
	}
	err := a.try(ctx)
	switch {
	case err == nil:
		s.healthy()
	case ctx.Err() == nil: // else ended by this host
		s.unhealthy(err)
		a.rest(ctx)
	}
}

// readAnew makes the next call read the key, and not its changes.
func (s *Settings) readAnew() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.read = false
}

// wait is how long a call waits for changes: only the hosts that always watch do. The others' turn comes when the settings are to be
// proven soon.
func (s *Settings) wait() time.Duration {
	if s.Rank != nil && s.Rank() >= WatcherCount {
		return 0
	}
	return s.WatchTimeout
}

// ask does one call, which is sent at a moment and waits for changes for a time.
func (s *Settings) ask(ctx context.Context, sent, wait time.Duration) error {
	s.mu.Lock()
	at, read := s.at, s.read
	s.mu.Unlock()
	if !read {
		return s.readKey(ctx, sent)
	}
	err := s.watch(ctx, at, sent, wait)
	if errors.Is(err, ErrCompacted) {
		s.StoreHealth.answer(sent)
		s.readAnew()
	}
	return err
}

// noteRead notes up to which of the store's revisions the settings were read.
func (s *Settings) noteRead(at uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at, s.read = max(s.at, at), true
}

// untilTurn is the time until this host has to watch: the first hosts always do, and are
// told of changes at once; the others do while nobody proves the settings to them.
func (s *Settings) untilTurn() time.Duration {
	age, ok := s.Age.At(s.Now())
	if s.Rank == nil || !ok {
		return 0
	}
	turn := s.Rank()
	if turn < WatcherCount {
		return 0
	}
	return ReadAge(s.WatchTimeout, turn-WatcherCount+1, s.ViaRelay != nil && s.ViaRelay()) - age
}

// readKey reads the key anew, with a call that is sent at a moment.
func (s *Settings) readKey(ctx context.Context, sent time.Duration) error {
	p, err := s.Store.Range(ctx, s.Prefix, false)
	if err != nil {
		return err
	}
	s.StoreHealth.answer(sent)
	s.take(p.Items)
	s.prove(sent)
	s.noteRead(p.Revision)
	return nil
}

// watch waits for the next change, with a call that is sent at a moment. A watch that was idle for its whole time proves
// that nothing had changed when that time ended, which is not before sent+wait.
func (s *Settings) watch(ctx context.Context, at uint64, sent, wait time.Duration) error {
	p, err := s.Store.Watch(ctx, s.Prefix, at, wait)
	if err != nil {
		return err
	}
	s.StoreHealth.answer(sent)
	s.take(p.Items)
	switch took := s.Now() - sent; {
	case len(p.Items) > 0:
	case took >= wait:
		sent += wait
	default:
		// The store cut the watch; asking again at once would be a storm.
		sleep(ctx, pauseAfterFailure(s.RetryInterval, s.Rank))
	}
	s.prove(sent)
	s.noteRead(p.Revision)
	return nil
}

// take puts the newest value of the key in force.
func (s *Settings) take(items []Item) {
	for i := len(items) - 1; i >= 0; i-- {
		if it := items[i]; it.Key == s.Key && !it.Deleted {
			s.Offer(it.Value, it.Revision)
			return
		}
	}
}

// prove notes that what is in force was the newest at a moment.
func (s *Settings) prove(at time.Duration) {
	if c := s.current.Load(); c != nil {
		s.Age.Prove(c.Revision, at)
	}
}

// Offer puts a document in force unless an equal or newer one is. A document that
// cannot be read is refused whole and the last one stays.
func (s *Settings) Offer(value []byte, revision uint64) {
	for {
		old := s.current.Load()
		if old != nil && old.Revision >= revision {
			return
		}
		d, err := s.Parse(value)
		if err != nil {
			s.refused.Add(1)
			s.Log.Error(err, "configuration refused", "revision", revision)
			return
		}
		next := &Config{Value: value, Revision: revision, Table: route.NewTable(d, revision)}
		if s.current.CompareAndSwap(old, next) {
			s.Log.Info("configuration in force", "revision", revision, "version", d.Version, "routes", len(d.Routes))
			s.OnChange(next.Table)
			return
		}
	}
}

// healthy and unhealthy log changes of state only.
func (s *Settings) healthy() {
	if s.failing {
		s.failing = false
		s.Log.Info("store regained", "for", s.Key)
	}
}

func (s *Settings) unhealthy(err error) {
	if !s.failing {
		s.failing = true
		s.Log.Info("store lost", "for", s.Key, "cause", err.Error())
	}
}

// sleep waits, or returns early when ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
