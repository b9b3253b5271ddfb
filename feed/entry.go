// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package feed

import (
	"context"
	"errors"
	"time"

	"github.com/go-logr/logr"
)

// Entry keeps this host's entry in the store and reads the others' now and then,
// so that hosts find each other when no address that they were given answers.
type Entry struct {
	// Store is where the entries lie, below Prefix.
	Store  Store
	Prefix string
	// Key and Value are this host's entry.
	Key   string
	Value []byte
	// Life is the time to live of the entry.
	Life time.Duration
	// Found is called with the entries of all hosts.
	Found func([]Item)
	// Log takes changes of state.
	Log logr.Logger

	lease uint64
}

// Run keeps the entry until ctx ends. Nothing depends on any single call. The others' entries
// are read first: a host that starts is to know how many there are before it serves.
func (e *Entry) Run(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		if n < firstLists || n%listEvery == 0 {
			if p, err := e.list(ctx); err == nil {
				e.Found(p.Items)
			}
		}
		if err := e.keep(ctx); err != nil {
			e.Log.V(1).Info("entry not kept", "cause", err.Error())
		}
		sleep(ctx, e.Life/3)
	}
}

// The entries of all hosts are read with each of the first renewals of the own one, when
// hosts may know few others, and then with each so many of them.
const (
	firstLists = 3
	listEvery  = 4
)

// list reads the entries of all hosts.
func (e *Entry) list(ctx context.Context) (Page, error) {
	cctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return e.Store.Range(cctx, e.Prefix, true)
}

// keep renews the lease, or writes the entry under a new one.
func (e *Entry) keep(ctx context.Context) error {
	cctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if e.lease != 0 {
		err := e.Store.Renew(cctx, e.lease)
		if !errors.Is(err, ErrLease) {
			return err
		}
	}
	lease, err := e.Store.Grant(cctx, e.Life)
	if err != nil {
		return err
	}
	if err := e.Store.Put(cctx, e.Key, e.Value, lease); err != nil {
		return err
	}
	e.lease = lease
	return nil
}
