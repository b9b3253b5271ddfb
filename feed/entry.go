// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package feed

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/go-logr/logr"
)

// HostEntry is what a host tells of itself in the store.
type HostEntry struct {
	// Address is where it hears heartbeats.
	Address string `json:"address"`
	// HostCount is about the number of hosts that it knows, itself included.
	HostCount int `json:"hosts"`
}

// ParseHostEntry reads an entry. One that holds nothing but an address is taken too, with one host.
func ParseHostEntry(value []byte) HostEntry {
	var e HostEntry
	if json.Unmarshal(value, &e) != nil || e.Address == "" {
		e = HostEntry{Address: string(value)}
	}
	e.HostCount = max(1, e.HostCount)
	return e
}

// Encode writes an entry.
func (e HostEntry) Encode() []byte {
	b, _ := json.Marshal(e) // a string and a number are always written
	return b
}

// HostRegistry reads the hosts' entries in the store now and then, and keeps this host's if it is one of
// those that do, so that hosts find each other when no address that they were given answers.
type HostRegistry struct {
	// Store is where the entries lie, below Prefix.
	Store  Store
	Prefix string
	// Key is where this host's entry is and Value gives what it is to hold.
	Key   string
	Value func() []byte
	// ShouldRegister tells whether this host keeps an entry; nil means that it does.
	ShouldRegister func() bool
	// HostCount is about the number of hosts, of which all read the entries; nil means 1.
	HostCount func() int
	// TTL is the time to live of the entry.
	TTL time.Duration
	// OnEntries is called with the entries of all hosts.
	OnEntries func([]Item)
	// Log takes changes of state.
	Log logr.Logger

	lease   uint64
	written []byte
	nudge   nudge
}

// settleTime is the time after a start after which a host knows of others, if any can be heard, so
// that it can tell whether it is one of those that keep entries: a few heartbeats.
const settleTime = time.Second

// Run keeps the entry until ctx ends. Nothing depends on any single call. The others' entries
// are read first: a host that starts is to know how many there are before it serves.
func (e *HostRegistry) Run(ctx context.Context) {
	e.List(ctx)
	sleep(ctx, settleTime)
	for n := 1; ctx.Err() == nil; n++ {
		turn, end := e.nudge.turn(ctx)
		e.step(turn, n)
		end()
	}
}

// NoteGap makes this host renew its entry at once: it did not run for a while, and the lease may be over.
func (e *HostRegistry) NoteGap() { e.nudge.now() }

// step reads the entries if they are due, keeps the own one, and waits.
func (e *HostRegistry) step(ctx context.Context, n int) {
	if n%e.listEvery() == 0 {
		e.List(ctx)
	}
	if e.ShouldRegister == nil || e.ShouldRegister() {
		if err := e.keep(ctx); err != nil {
			e.Log.V(1).Info("entry not kept", "cause", err.Error())
		}
	} else {
		e.lease = 0 // what was written goes with its lease
	}
	sleep(ctx, e.TTL/3)
}

// listed is the number of hosts that read the entries with each fourth renewal; of more hosts each
// reads more seldom, so that the calls of all do not grow with them.
const (
	listEvery = 4
	listed    = 8
)

// listEvery is the number of renewals between two readings of all entries. A host that hears no
// other reads them each time.
func (e *HostRegistry) listEvery() int {
	if e.HostCount == nil || e.HostCount() <= 1 {
		return 1
	}
	return listEvery * max(1, e.HostCount()/listed)
}

// List reads the entries of all hosts.
func (e *HostRegistry) List(ctx context.Context) {
	cctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	p, err := e.Store.Range(cctx, e.Prefix, true)
	if err != nil {
		e.Log.V(1).Info("entries not read", "cause", err.Error())
		return
	}
	e.OnEntries(p.Items)
}

// keep renews the lease, or writes the entry under a new one, or anew if its value changed.
func (e *HostRegistry) keep(ctx context.Context) error {
	cctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	value := e.Value()
	lease := e.lease
	if lease != 0 {
		err := e.Store.Renew(cctx, lease)
		switch {
		case errors.Is(err, ErrLeaseExpired):
			lease = 0
		case err != nil || bytes.Equal(value, e.written):
			return err
		}
	}
	if lease == 0 {
		var err error
		if lease, err = e.Store.Grant(cctx, e.TTL); err != nil {
			return err
		}
	}
	if err := e.Store.Put(cctx, e.Key, value, lease); err != nil {
		return err
	}
	e.lease, e.written = lease, value
	return nil
}
