// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import (
	"maps"
	"sync"
	"time"
)

// Purpose is what a host holds bytes for.
type Purpose string

// The purposes.
const (
	// RequestBodies are the bodies of requests, held until their responses are complete.
	RequestBodies Purpose = "request_bodies"
	// Responses are responses, and events of streams, that are buffered for callers.
	Responses Purpose = "responses"
	// Heads are the headers of requests and the fixed buffers of their connections.
	Heads Purpose = "heads"
	// Peers are answers to and of other hosts.
	Peers Purpose = "peers"
)

// minWriteTime is the time for which a write to a caller must have been blocked before the caller may be ended for its memory.
// Shorter ones are usual on slow links.
const minWriteTime = 100 * time.Millisecond

// MemoryAccount counts the bytes that a host holds, by purpose. When they would exceed the limit, it ends the responses of the
// callers that have read nothing for the longest time.
type MemoryAccount struct {
	now   func() time.Duration
	limit int64

	mu      sync.Mutex
	used    map[Purpose]int64
	total   int64
	ending  int64 // bytes of holders that were ended and will be released
	holders map[*Holder]struct{}
}

// newMemoryAccount returns an account with a limit in bytes; 0 means none.
func newMemoryAccount(limit int64, now func() time.Duration) *MemoryAccount {
	return &MemoryAccount{now: now, limit: limit, used: make(map[Purpose]int64), holders: make(map[*Holder]struct{})}
}

// Used returns the bytes held by purpose, and the limit of their sum.
func (a *MemoryAccount) Used() (used map[Purpose]int64, limit int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	used = map[Purpose]int64{RequestBodies: 0, Responses: 0, Heads: 0, Peers: 0}
	maps.Copy(used, a.used)
	return used, a.limit
}

// Open returns a new holder.
func (a *MemoryAccount) Open() *Holder { return a.open(nil) }

// open returns a new holder. end makes the write in progress fail; it is called with the account's lock held.
func (a *MemoryAccount) open(end func()) *Holder {
	h := &Holder{account: a, end: end, used: make(map[Purpose]int64, 2)}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.holders[h] = struct{}{}
	return h
}

// slowest returns the holder, other than h, whose write has been blocked for the longest time, or nil.
func (a *MemoryAccount) slowest(h *Holder) *Holder {
	now := a.now()
	var found *Holder
	for o := range a.holders {
		if o == h || o.ended || !o.writing || o.end == nil || now-o.writingSince < minWriteTime {
			continue
		}
		if found == nil || o.writingSince < found.writingSince || (o.writingSince == found.writingSince && o.total > found.total) {
			found = o
		}
	}
	return found
}
