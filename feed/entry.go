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

// HostEntry is what a host writes about itself to the store.
type HostEntry struct {
	// Address is where it receives heartbeats.
	Address string `json:"address"`
	// HostCount is the approximate number of hosts that it knows, itself included.
	HostCount int `json:"hosts"`
}

// ParseHostEntry reads an entry. An entry that holds only an address is accepted too, and counts one
// host.
func ParseHostEntry(value []byte) HostEntry {
	var e HostEntry
	if json.Unmarshal(value, &e) != nil || e.Address == "" {
		e = HostEntry{Address: string(value)}
	}
	e.HostCount = max(1, e.HostCount)
	return e
}

// Encode returns the entry as it is stored.
func (e HostEntry) Encode() []byte {
	b, _ := json.Marshal(e) // a string and a number can always be encoded
	return b
}

// HostRegistry reads the hosts' entries in the store from time to time, and keeps this host's own
// entry if this host is one of those that do. Hosts find each other by these entries when none of
// their configured addresses answers.
type HostRegistry struct {
	// Store holds the entries, below Prefix.
	Store  Store
	Prefix string
	// Key is the key of this host's entry; Value returns its content.
	Key   string
	Value func() []byte
	// ShouldRegister tells whether this host keeps an entry; nil means that it does.
	ShouldRegister func() bool
	// HostCount returns the approximate number of hosts, all of which read the entries; nil means 1.
	HostCount func() int
	// TTL is the time to live of the entry.
	TTL time.Duration
	// Era returns the era of the store; nil means that it has one only. In a later era the store may lack the entry and its lease.
	Era func() uint64
	// OnEntries is called with the entries of all hosts.
	OnEntries func([]Item)
	// Log receives changes of state.
	Log logr.Logger

	lease       uint64
	era         uint64 // in which the entry was written under that lease
	written     []byte
	interrupter interrupter
}

// discoveryTime is the time after a start within which a host learns of the other hosts, if it can
// reach any, so that it can decide whether to keep an entry: a few heartbeats.
const discoveryTime = time.Second

// Run keeps the entry until ctx ends. No single call is essential. The others' entries are read first:
// a host that starts must know how many hosts there are before it serves.
func (r *HostRegistry) Run(ctx context.Context) {
	r.List(ctx)
	sleep(ctx, discoveryTime)
	for n := 1; ctx.Err() == nil; n++ {
		r.step(r.interrupter.context(ctx), n)
	}
}

// NoteGap makes this host renew its entry at once after the process did not run for a while, since the
// lease may have expired.
func (r *HostRegistry) NoteGap() { r.interrupter.interrupt() }

// step reads the entries if it is time to, renews this host's entry, and waits.
func (r *HostRegistry) step(ctx context.Context, n int) {
	if n%r.renewalsPerList() == 0 {
		r.List(ctx)
	}
	if r.ShouldRegister == nil || r.ShouldRegister() {
		if err := r.renew(ctx); err != nil {
			r.Log.V(1).Info("host entry not renewed", "cause", err.Error())
		}
	} else {
		r.lease = 0 // the entry disappears when its lease expires
	}
	sleep(ctx, r.TTL/3)
}

// minRenewalsPerList is the number of renewals between two reads of the entries in fleets of up to
// fullRateHosts hosts. In larger fleets each host reads less often, so that the calls of all hosts
// together do not grow with their number.
const (
	minRenewalsPerList = 4
	fullRateHosts      = 8
)

// renewalsPerList is the number of renewals between two reads of all entries. A host that hears from
// no other host reads them at each renewal.
func (r *HostRegistry) renewalsPerList() int {
	if r.HostCount == nil || r.HostCount() <= 1 {
		return 1
	}
	return minRenewalsPerList * max(1, r.HostCount()/fullRateHosts)
}

// List reads the entries of all hosts.
func (r *HostRegistry) List(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, shortCallTimeout)
	defer cancel()
	p, err := r.Store.Range(callCtx, r.Prefix, true)
	if err != nil {
		r.Log.V(1).Info("host entries not read", "cause", err.Error())
		return
	}
	r.OnEntries(p.Items)
}

// renew renews the lease. It writes the entry under a new lease if the old one expired, and again if
// its value changed.
func (r *HostRegistry) renew(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, shortCallTimeout)
	defer cancel()
	value := r.Value()
	era := r.currentEra()
	if era != r.era {
		r.lease = 0
	}
	lease := r.lease
	if lease != 0 {
		err := r.Store.Renew(callCtx, lease)
		switch {
		case errors.Is(err, ErrLeaseExpired):
			lease = 0
		case err != nil || bytes.Equal(value, r.written):
			return err
		}
	}
	if lease == 0 {
		var err error
		if lease, err = r.Store.Grant(callCtx, r.TTL); err != nil {
			return err
		}
	}
	if err := r.Store.Put(callCtx, r.Key, value, lease); err != nil {
		return err
	}
	r.lease, r.era, r.written = lease, era, value
	return nil
}

// currentEra returns the era of the store.
func (r *HostRegistry) currentEra() uint64 {
	if r.Era == nil {
		return 0
	}
	return r.Era()
}
