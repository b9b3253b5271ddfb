// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package feed

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// Errors of a Store that mean more than "ask again".
var (
	// ErrCompacted means that the changes asked for are forgotten.
	ErrCompacted = eris.New("history is gone; read the whole range again")
	// ErrLeaseExpired means that a lease is over.
	ErrLeaseExpired = eris.New("lease is over; ask for a new one")
)

// Item is a key as a write left it.
type Item struct {
	// Key and Value are what was written.
	Key   string
	Value []byte
	// Revision is the number of the write.
	Revision uint64
	// Deleted says that the key was removed.
	Deleted bool
}

// Page is what a range or a watch gives.
type Page struct {
	// Items are the keys, or the changes in order.
	Items []Item
	// Revision is the revision up to which Items speak.
	Revision uint64
}

// heardKey is the key under which a context holds what is called as soon as a call has some of its answer.
type heardKey struct{}

// withHeard returns a context for a call that tells when some of its answer has come.
func withHeard(ctx context.Context, heard func()) context.Context {
	return context.WithValue(ctx, heardKey{}, heard)
}

// AnswerStarted is to be called by a Store as soon as the store has begun to answer a call. What follows may take long for other reasons than the
// store's silence: a large answer, a slow link, a process that hardly gets the processor.
func AnswerStarted(ctx context.Context) {
	if heard, ok := ctx.Value(heardKey{}).(func()); ok {
		heard()
	}
}

// Store is the part of a key-value service that hosts need.
type Store interface {
	// Range returns the items below a prefix; a stale one may be seconds old and costs less.
	Range(ctx context.Context, prefix string, stale bool) (Page, error)
	// Watch returns the changes below a prefix after a revision, or none after wait.
	Watch(ctx context.Context, prefix string, since uint64, wait time.Duration) (Page, error)
	// Grant returns a lease that lapses ttl after its last renewal.
	Grant(ctx context.Context, ttl time.Duration) (uint64, error)
	// Renew extends a lease.
	Renew(ctx context.Context, lease uint64) error
	// Put writes a key that goes when its lease does.
	Put(ctx context.Context, key string, value []byte, lease uint64) error
}
