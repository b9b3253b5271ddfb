// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package feed

import (
	"maps"
	"time"
)

// leavers remembers the incarnations of endpoints that announced that they leave, and when that was
// last seen. An incarnation never becomes ready again after that; the same instance may start again.
// The store may do a write late: an older entry may appear after the one that announced the leaving,
// and even after that one was removed.
type leavers map[string]time.Duration

// leaverTTL is the time for which a leaver is remembered after it was last seen or reported: several
// times the 6 s by which the store may do a write late.
const leaverTTL = 30 * time.Second

// mark returns an entry as leaving if its incarnation ever announced that it leaves.
func (l leavers) mark(n Endpoint, now time.Duration) Endpoint {
	id := n.Incarnation()
	if _, ok := l[id]; ok {
		n.Leaving = true
	}
	if n.Leaving {
		l[id] = now
	}
	return n
}

// ages returns how long ago each leaver was last seen.
func (l leavers) ages(now time.Duration) map[string]time.Duration {
	out := make(map[string]time.Duration, len(l))
	for id, lastSeen := range l {
		out[id] = now - lastSeen
	}
	return out
}

// add records the leavers that a peer knows. Leavers known already keep their time, so that hosts do
// not keep reminding each other of the same ones forever.
func (l leavers) add(ages map[string]time.Duration, now time.Duration) {
	for id, age := range ages {
		if _, ok := l[id]; !ok && age < leaverTTL {
			l[id] = now - age
		}
	}
}

// prune forgets the leavers that were not seen for leaverTTL. Those that still have an entry count as
// seen now.
func (l leavers) prune(now time.Duration, known map[string]Endpoint) {
	for _, n := range known {
		if _, ok := l[n.Incarnation()]; ok {
			l[n.Incarnation()] = now
		}
	}
	maps.DeleteFunc(l, func(_ string, lastSeen time.Duration) bool { return now-lastSeen > leaverTTL })
}
