// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import "time"

// leavers are the endpoints that said themselves that they leave, by incarnation. What an endpoint says stands against any list, whether
// read before or after: its entry may be written late, and a list may be old. No incarnation takes it back. The zero value has none.
type leavers struct {
	saidAt map[string]time.Duration // when they said so first
}

// maxLeavers limits the endpoints remembered.
const maxLeavers = 10000

// add records that an endpoint said so and reports whether that is new. Beyond maxLeavers it forgets the one that said so first among
// those that are not listed.
func (l *leavers) add(now time.Duration, incarnation string, listed func(incarnation string) bool) bool {
	if l.has(incarnation) {
		return false
	}
	if l.saidAt == nil {
		l.saidAt = make(map[string]time.Duration)
	}
	if len(l.saidAt) >= maxLeavers {
		l.forgetOldest(listed)
	}
	l.saidAt[incarnation] = now
	return true
}

// forgetOldest forgets the endpoint that said so first among those that are not listed.
func (l *leavers) forgetOldest(listed func(incarnation string) bool) {
	oldest, found := "", false
	for incarnation, at := range l.saidAt {
		if !listed(incarnation) && (!found || at < l.saidAt[oldest]) {
			oldest, found = incarnation, true
		}
	}
	if found {
		delete(l.saidAt, oldest)
	}
}

// has reports whether an endpoint said so.
func (l *leavers) has(incarnation string) bool {
	_, ok := l.saidAt[incarnation]
	return ok
}
