// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import "time"

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
