// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package feed

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// Errors of a Store that mean more than that the call should be retried.
var (
	// ErrCompacted means that the store no longer has the changes asked for.
	ErrCompacted = eris.New("store history was compacted; read the whole range again")
	// ErrLeaseExpired means that a lease has expired.
	ErrLeaseExpired = eris.New("lease expired; request a new one")
)

// Item is a key as a write left it.
type Item struct {
	// Key and Value are what was written.
	Key   string
	Value []byte
	// Revision is the number of the write.
	Revision uint64
	// Deleted says that the write removed the key.
	Deleted bool
}

// Page is the result of a range read or a watch.
type Page struct {
	// Items are the keys, or the changes in order.
	Items []Item
	// Revision is the store's revision up to which Items are complete.
	Revision uint64
}

// answerStartedKey is the context key of the function to call once part of a call's answer has
// arrived.
type answerStartedKey struct{}

// withAnswerStarted returns a context for a call; onStart is called once part of the answer has
// arrived.
func withAnswerStarted(ctx context.Context, onStart func()) context.Context {
	return context.WithValue(ctx, answerStartedKey{}, onStart)
}

// AnswerStarted must be called by a Store as soon as the store has begun to answer a call. The rest of
// the answer may take long although the store works: a large answer, a slow link, a process that gets
// little CPU time.
func AnswerStarted(ctx context.Context) {
	if onStart, ok := ctx.Value(answerStartedKey{}).(func()); ok {
		onStart()
	}
}

// Store is the part of a key-value service that hosts need.
type Store interface {
	// Range returns the items below a prefix. A stale read may be seconds old and costs less.
	Range(ctx context.Context, prefix string, stale bool) (Page, error)
	// Watch returns the changes below a prefix after a revision, or none after wait.
	Watch(ctx context.Context, prefix string, since uint64, wait time.Duration) (Page, error)
	// Grant returns a lease that expires ttl after its last renewal.
	Grant(ctx context.Context, ttl time.Duration) (uint64, error)
	// Renew extends a lease.
	Renew(ctx context.Context, lease uint64) error
	// Put writes a key that is removed when its lease expires.
	Put(ctx context.Context, key string, value []byte, lease uint64) error
}
