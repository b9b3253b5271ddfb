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

// TestLives plays writes of one instance's lives to a host that reads the store, and tells what it
// takes the instance for some time after the last.
func TestLives(t *testing.T) {
	const soon, surely = 1500 * time.Millisecond, heldFor + 1500*time.Millisecond
	dark := func(m *memoryStore) { m.set(func() { m.dark = true }) }
	light := func(m *memoryStore) { m.set(func() { m.dark = false }) }
	forget := func(m *memoryStore) { m.set(func() { m.forgotten = m.at }) }
	cases := []struct {
		name string
		// writes are done one second apart; an empty one removes the entry.
		writes []string
		// last is done after them.
		last  []func(*memoryStore)
		after time.Duration
		want  string // "life state", or empty for an instance that is not in the list
	}{
		{"without a time of its start", []string{"ready", "ready"}, nil, soon, "a ready"},
		{"starts again", []string{"ready@5", "ready@9"}, nil, soon, "a@9 ready"},
		{"starts again after it said that it leaves", []string{"ready@5", "leaving@5", "ready@9"}, nil, soon, "a@9 ready"},
		{"starts again after its entry went", []string{"ready@5", "", "ready@9"}, nil, soon, "a@9 ready"},
		{"starts again after it left", []string{"ready@5", "leaving@5", "", "ready@9"}, nil, soon, "a@9 ready"},
		{"an older life's write is late", []string{"ready@5", "ready@9", "ready@5"}, nil, soon, ""},
		{"an older life's leaving is late", []string{"ready@5", "ready@9", "leaving@5"}, nil, soon, ""},
		{"an older life's write is late, after the newer one's entry went", []string{"ready@5", "ready@9", "", "ready@5"}, nil, soon, ""},
		{"a late write, and the next heartbeat", []string{"ready@9", "ready@5", "ready@9"}, nil, surely, "a@9 ready"},
		{"a late write comes again and again", []string{"ready@9", "ready@5", "ready@9", "ready@5", "ready@9", "ready@5", "ready@9", "ready@5", "ready@9"}, nil, soon, "a@9 ready"},
		{"a late write that goes", []string{"ready@9", "ready@5", ""}, nil, surely, ""},
		{"a clock that was set back", []string{"ready@9", "ready@5"}, nil, surely, "a@5 ready"},
		{"a clock that was set back, and the older one's write is late", []string{"ready@9", "ready@5", "ready@9"}, nil, soon, "a@9 ready"},
		{"the newer life leaves", []string{"ready@5", "ready@9", "leaving@9"}, nil, soon, "a@9 leaving"},
		{"the newer life leaves, and its word is written late", []string{"ready@9", "leaving@9", "ready@9"}, nil, soon, "a@9 leaving"},
		{"an entry that does not name its life", []string{"leaving@9", "ready"}, nil, soon, "a@9 leaving"},
		{"lives begin to be told", []string{"ready", "ready@9"}, nil, soon, "a@9 ready"},
		{"lives begin to be told by one that had left", []string{"ready", "leaving", "ready@9"}, nil, soon, "a@9 ready"},
		{"an older life's write, and the history is gone", []string{"ready@5", "ready@9"}, []func(*memoryStore){
			func(m *memoryStore) { m.put("servers/a", "ready@5") }, forget, func(m *memoryStore) { m.put("servers/a", "ready@9") },
		}, soon, "a@9 ready"},
		{"an older life's write that stands, and the history is gone", []string{"ready@5", "ready@9"}, []func(*memoryStore){
			func(m *memoryStore) { m.put("servers/a", "ready@5") }, forget,
		}, soon, ""},
		{"starts again in an outage", []string{"ready@5"}, []func(*memoryStore){
			dark, func(m *memoryStore) { m.put("servers/a", "ready@9") }, light,
		}, soon, "a@9 ready"},
		{"starts several times between two readings", []string{"ready@5"}, []func(*memoryStore){
			dark, func(m *memoryStore) {
				for born := 6; born < 20; born++ {
					m.put("servers/a", fmt.Sprint("ready@", born))
				}
				m.put("servers/a", "ready@12") // one of them, late
				m.put("servers/a", "ready@19")
			}, light,
		}, soon, "a@19 ready"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				m := newMemoryStore()
				list := listen(ctx, m)
				for _, w := range tc.writes {
					if w == "" {
						m.remove("servers/a")
					} else {
						m.put("servers/a", w)
					}
					time.Sleep(time.Second)
				}
				for _, do := range tc.last {
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

// TestHeldLifeIsLearned tells a host by a peer's list that an entry is held back, since a newer life is known: a late write of the
// life that the host itself knew last is then no news either.
func TestHeldLifeIsLearned(t *testing.T) {
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
			e.StoreHealth = testReach(e.Now)
			e.Init()
			return e
		}
		reads, hears := newEndpoints(), newEndpoints()
		pass := func() {
			must.NoError(t, reads.ask(ctx, reads.Now(), reads.WatchTimeout))
			l, ok := reads.List()
			must.True(t, ok)
			hears.Offer(l)
		}
		m.put("servers/a", "ready@5")
		pass()
		m.put("servers/a", "ready@9")
		m.put("servers/a", "ready@7")
		pass()
		m.put("servers/a", "ready@5")
		must.NoError(t, hears.ask(ctx, hears.Now(), hears.WatchTimeout))
		l, _ := hears.List()
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
		for _, forgets := range []bool{false, true} {
			t.Run(fmt.Sprint(tc.name, " ", forgets), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(t.Context())
					defer cancel()
					s := share(ctx, 3)
					s.store.put("servers/c", "ready")
					s.store.remove("servers/a")
					time.Sleep(contact)
					for _, w := range tc.writes {
						if w == "" {
							s.store.remove("servers/a")
						} else {
							s.store.put("servers/a", w)
						}
						if forgets {
							s.store.set(func() { s.store.forgotten = s.store.at })
						}
						time.Sleep(contact)
					}
					for _, e := range s.ends {
						l, ok := e.List()
						must.True(t, ok)
						must.EqOp(t, tc.want, usable(l.Endpoints))
					}
					most := 0
					for _, e := range s.ends {
						most = max(most, e.ForeignCount())
					}
					must.EqOp(t, tc.count, most)
				})
			})
		}
	}
}
