// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package feed

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"
)

// TestIncarnations plays writes of one instance's lives to a host that reads the store, and tells what it
// takes the instance for some time after the last.
func TestIncarnations(t *testing.T) {
	const short, long = 1500 * time.Millisecond, holdTime + 1500*time.Millisecond
	down := func(m *memoryStore) { m.locked(func() { m.down = true }) }
	up := func(m *memoryStore) { m.locked(func() { m.down = false }) }
	compact := func(m *memoryStore) { m.locked(func() { m.compactedTo = m.revision }) }
	cases := []struct {
		name string
		// writes are done one second apart; an empty one removes the entry.
		writes []string
		// last is done after them.
		then  []func(*memoryStore)
		after time.Duration
		want  string // "life state", or empty for an instance that is not in the list
	}{
		{"without a time of its start", []string{"ready", "ready"}, nil, short, "a ready"},
		{"starts again", []string{"ready@5", "ready@9"}, nil, short, "a@9 ready"},
		{"starts again after it said that it leaves", []string{"ready@5", "leaving@5", "ready@9"}, nil, short, "a@9 ready"},
		{"starts again after its entry went", []string{"ready@5", "", "ready@9"}, nil, short, "a@9 ready"},
		{"starts again after it left", []string{"ready@5", "leaving@5", "", "ready@9"}, nil, short, "a@9 ready"},
		{"an older life's write is late", []string{"ready@5", "ready@9", "ready@5"}, nil, short, ""},
		{"an older life's leaving is late", []string{"ready@5", "ready@9", "leaving@5"}, nil, short, ""},
		{"an older life's write is late, after the newer one's entry went", []string{"ready@5", "ready@9", "", "ready@5"}, nil, short, ""},
		{"a late write, and the next heartbeat", []string{"ready@9", "ready@5", "ready@9"}, nil, long, "a@9 ready"},
		{"a late write comes again and again", []string{"ready@9", "ready@5", "ready@9", "ready@5", "ready@9", "ready@5", "ready@9", "ready@5", "ready@9"}, nil, short, "a@9 ready"},
		{"a late write that goes", []string{"ready@9", "ready@5", ""}, nil, long, ""},
		{"a clock that was set back", []string{"ready@9", "ready@5"}, nil, long, "a@5 ready"},
		{"a clock that was set back, and the older one's write is late", []string{"ready@9", "ready@5", "ready@9"}, nil, short, "a@9 ready"},
		{"the newer life leaves", []string{"ready@5", "ready@9", "leaving@9"}, nil, short, "a@9 leaving"},
		{"the newer life leaves, and its word is written late", []string{"ready@9", "leaving@9", "ready@9"}, nil, short, "a@9 leaving"},
		{"an entry that does not name its life", []string{"leaving@9", "ready"}, nil, short, "a@9 leaving"},
		{"lives begin to be told", []string{"ready", "ready@9"}, nil, short, "a@9 ready"},
		{"lives begin to be told by one that had left", []string{"ready", "leaving", "ready@9"}, nil, short, "a@9 ready"},
		{"an older life's write, and the history is gone", []string{"ready@5", "ready@9"}, []func(*memoryStore){
			func(m *memoryStore) { m.put("servers/a", "ready@5") }, compact, func(m *memoryStore) { m.put("servers/a", "ready@9") },
		}, short, "a@9 ready"},
		{"an older life's write that stands, and the history is gone", []string{"ready@5", "ready@9"}, []func(*memoryStore){
			func(m *memoryStore) { m.put("servers/a", "ready@5") }, compact,
		}, short, ""},
		{"starts again in an outage", []string{"ready@5"}, []func(*memoryStore){
			down, func(m *memoryStore) { m.put("servers/a", "ready@9") }, up,
		}, short, "a@9 ready"},
		{"starts several times between two readings", []string{"ready@5"}, []func(*memoryStore){
			down, func(m *memoryStore) {
				for born := 6; born < 20; born++ {
					m.put("servers/a", fmt.Sprint("ready@", born))
				}
				m.put("servers/a", "ready@12") // one of them, late
				m.put("servers/a", "ready@19")
			}, up,
		}, short, "a@19 ready"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				m := newMemoryStore()
				list := startEndpoints(ctx, m)
				for _, w := range tc.writes {
					if w == "" {
						m.remove("servers/a")
					} else {
						m.put("servers/a", w)
					}
					time.Sleep(time.Second)
				}
				for _, do := range tc.then {
					do(m)
					time.Sleep(time.Second)
				}
				time.Sleep(tc.after)
				got := ""
				for _, n := range list() {
					got += n.Incarnation() + " " + string(n.State())
				}
				must.EqOp(t, tc.want, got)
			})
		})
	}
}

// TestHeldEntryFromPeer tells a host by a peer's list that an entry is held back, since a newer life is known: a late write of the
// life that the host itself knew last is then no news either.
func TestHeldEntryFromPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		m := newMemoryStore()
		start := time.Now()
		newEndpoints := func() *Endpoints {
			e := &Endpoints{
				Store: m, Prefix: "servers/", Interval: 800 * time.Millisecond, WatchTimeout: 100 * time.Millisecond, RetryInterval: 400 * time.Millisecond,
				Now: func() time.Duration { return time.Since(start) }, Log: logr.Discard(), OnChange: func([]Endpoint) {}, Parse: parseEndpoint,
			}
			e.StoreHealth = testHealth(e.Now)
			e.Init()
			return e
		}
		reader, receiver := newEndpoints(), newEndpoints()
		pass := func() {
			must.NoError(t, reader.callStore(ctx, reader.Now(), reader.WatchTimeout))
			l, ok := reader.List()
			must.True(t, ok)
			receiver.Offer(l)
		}
		m.put("servers/a", "ready@5")
		pass()
		m.put("servers/a", "ready@9")
		m.put("servers/a", "ready@7")
		pass()
		m.put("servers/a", "ready@5")
		must.NoError(t, receiver.callStore(ctx, receiver.Now(), receiver.WatchTimeout))
		l, _ := receiver.List()
		must.SliceEmpty(t, l.Endpoints)
	})
}

// TestForeignEntries holds that an entry which no endpoint wrote names none to use: it goes the way of one
// that was removed, is counted, and touches no other.
func TestForeignEntries(t *testing.T) {
	cases := []struct {
		name   string
		writes []string // of servers/a; an empty one removes the entry
		want   int      // endpoints that may get work: a and the two others
		count  int
	}{
		{"from the beginning", []string{"foreign"}, 2, 1},
		{"in use before", []string{"ready", "foreign"}, 2, 1},
		{"leaving before", []string{"leaving", "foreign"}, 2, 1},
		{"written over", []string{"ready", "foreign", "ready"}, 3, 0},
		{"removed", []string{"ready", "foreign", ""}, 2, 0},
		{"an older life's, then foreign", []string{"ready@9", "ready@5", "foreign"}, 2, 1},
	}
	for _, tc := range cases {
		for _, compacted := range []bool{false, true} {
			t.Run(fmt.Sprint(tc.name, " ", compacted), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(t.Context())
					defer cancel()
					s := startFleet(ctx, 3)
					s.store.put("servers/c", "ready")
					s.store.remove("servers/a")
					time.Sleep(contactTime)
					for _, w := range tc.writes {
						if w == "" {
							s.store.remove("servers/a")
						} else {
							s.store.put("servers/a", w)
						}
						if compacted {
							s.store.locked(func() { s.store.compactedTo = s.store.revision })
						}
						time.Sleep(contactTime)
					}
					for _, e := range s.endpoints {
						l, ok := e.List()
						must.True(t, ok)
						must.EqOp(t, tc.want, usableCount(l.Endpoints))
					}
					maxCount := 0
					for _, e := range s.endpoints {
						maxCount = max(maxCount, e.ForeignCount())
					}
					must.EqOp(t, tc.count, maxCount)
				})
			})
		}
	}
}
