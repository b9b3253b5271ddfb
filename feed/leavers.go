// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package feed

import (
	"maps"
	"time"
)

// leavers remembers the lives of endpoints that said that they leave, and when that was last
// seen. A life never comes back from that; the same instance may start again. An
// entry may be written late, after the one that said so, and also after that one went.
type leavers map[string]time.Duration

// leftFor is the time for which a leaver is remembered after it was last seen or heard of: several
// times the 6 s by which the store may do a write late.
const leftFor = 30 * time.Second

// mark returns an entry as leaving if its life ever said that it leaves.
func (l leavers) mark(n Endpoint, now time.Duration) Endpoint {
	name := n.Incarnation()
	if _, ok := l[name]; ok {
		n.Leaving = true
	}
	if n.Leaving {
		l[name] = now
	}
	return n
}

// ages tells how long ago each was last seen.
func (l leavers) ages(now time.Duration) map[string]time.Duration {
	out := make(map[string]time.Duration, len(l))
	for name, seen := range l {
		out[name] = now - seen
	}
	return out
}

// add notes the leavers that a peer knows. Those known already keep their time, so that hosts do
// not remind each other of the same ones for ever.
func (l leavers) add(ages map[string]time.Duration, now time.Duration) {
	for name, age := range ages {
		if _, ok := l[name]; !ok && age < leftFor {
			l[name] = now - age
		}
	}
}

// prune forgets those not seen for long. Those whose entries still stand are seen now.
func (l leavers) prune(now time.Duration, known map[string]Endpoint) {
	for _, n := range known {
		if _, ok := l[n.Incarnation()]; ok {
			l[n.Incarnation()] = now
		}
	}
	maps.DeleteFunc(l, func(_ string, seen time.Duration) bool { return now-seen > leftFor })
}
