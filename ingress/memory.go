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

// Holder holds bytes of an account until it is released.
type Holder struct {
	account *MemoryAccount
	end     func() // ends the response that is being written; nil if the holder writes none
	used    map[Purpose]int64
	total   int64
	// writing says that a write to the caller is in progress since writingSince.
	writing      bool
	writingSince time.Duration
	ended        bool
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

// Reserve adds bytes to what is held. It returns false if they do not fit, even after all callers that do not read were ended.
func (h *Holder) Reserve(p Purpose, n int64) bool {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	for a.limit > 0 && a.total-a.ending+n > a.limit {
		slowest := a.slowest(h)
		if slowest == nil {
			return false
		}
		slowest.ended = true
		a.ending += slowest.total
		slowest.end()
	}
	h.add(p, n)
	return true
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

// add adds bytes; the account's lock must be held.
func (h *Holder) add(p Purpose, n int64) {
	a := h.account
	h.used[p] += n
	h.total += n
	a.used[p] += n
	a.total += n
	if h.ended {
		a.ending += n
	}
}

// Free removes bytes from what is held.
func (h *Holder) Free(p Purpose, n int64) {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.add(p, -n)
}

// Release ends the holder.
func (h *Holder) Release() {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	for p, n := range h.used {
		h.add(p, -n)
	}
	delete(a.holders, h)
}

// beginWrite records that a write begins, and calls arm with the lock held. It returns false if the holder was ended.
func (h *Holder) beginWrite(arm func()) bool {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	if h.ended {
		return false
	}
	h.writing, h.writingSince = true, h.account.now()
	arm()
	return true
}

// endWrite records that a write is over, and calls disarm with the lock held unless the holder was ended.
func (h *Holder) endWrite(disarm func()) {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.writing = false
	if !h.ended {
		disarm()
	}
}

// unlessEnded calls f with the lock held, unless the holder was ended. writing says that a write is in progress.
func (h *Holder) unlessEnded(f func(writing bool)) {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	if !h.ended {
		f(h.writing)
	}
}

// wasEnded reports whether the account ended the holder.
func (h *Holder) wasEnded() bool {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	return h.ended
}
