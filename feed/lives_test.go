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

// TestIncarnations applies writes of one instance's incarnations to a host that reads the store, and
// checks how the host sees the instance some time after the last write.
func TestIncarnations(t *testing.T) {
	const short, long = 1500 * time.Millisecond, holdTime + 1500*time.Millisecond
	down := func(m *memoryStore) { m.locked(func() { m.down = true }) }
	up := func(m *memoryStore) { m.locked(func() { m.down = false }) }
	compact := func(m *memoryStore) { m.locked(func() { m.compactedTo = m.revision }) }
	cases := []struct {
		name string
		// writes are done one second apart; an empty one removes the entry.
		writes []string
		// then is done after them.
		then  []func(*memoryStore)
		after time.Duration
		want  string // "incarnation state", or empty for an instance that is not in the list
	}{
		{"without a start time", []string{"ready", "ready"}, nil, short, "a ready"},
		{"restarts", []string{"ready@5", "ready@9"}, nil, short, "a@9 ready"},
		{"restarts after it announced that it leaves", []string{"ready@5", "leaving@5", "ready@9"}, nil, short, "a@9 ready"},
		{"restarts after its entry was removed", []string{"ready@5", "", "ready@9"}, nil, short, "a@9 ready"},
		{"restarts after it left", []string{"ready@5", "leaving@5", "", "ready@9"}, nil, short, "a@9 ready"},
		{"a late write of an older incarnation", []string{"ready@5", "ready@9", "ready@5"}, nil, short, ""},
		{"a late leaving entry of an older incarnation", []string{"ready@5", "ready@9", "leaving@5"}, nil, short, ""},
		{"a late write of an older incarnation, after the newer one's entry was removed", []string{"ready@5", "ready@9", "", "ready@5"}, nil, short, ""},
		{"a late write, and the next heartbeat", []string{"ready@9", "ready@5", "ready@9"}, nil, long, "a@9 ready"},
		{"repeated late writes", []string{"ready@9", "ready@5", "ready@9", "ready@5", "ready@9", "ready@5", "ready@9", "ready@5", "ready@9"}, nil, short, "a@9 ready"},
		{"a late write that is removed", []string{"ready@9", "ready@5", ""}, nil, long, ""},
		{"a clock that was set back", []string{"ready@9", "ready@5"}, nil, long, "a@5 ready"},
		{"a clock that was set back, and a late write of the older incarnation", []string{"ready@9", "ready@5", "ready@9"}, nil, short, "a@9 ready"},
		{"the newer incarnation leaves", []string{"ready@5", "ready@9", "leaving@9"}, nil, short, "a@9 leaving"},
		{"the newer incarnation leaves, and an earlier write of it is late", []string{"ready@9", "leaving@9", "ready@9"}, nil, short, "a@9 leaving"},
		{"an entry without a start time after one with it", []string{"leaving@9", "ready"}, nil, short, "a@9 leaving"},
		{"entries begin to have start times", []string{"ready", "ready@9"}, nil, short, "a@9 ready"},
		{"entries begin to have start times after one that left", []string{"ready", "leaving", "ready@9"}, nil, short, "a@9 ready"},
		{"a late write of an older incarnation, and the history is compacted", []string{"ready@5", "ready@9"}, []func(*memoryStore){
			func(m *memoryStore) { m.put("servers/a", "ready@5") }, compact, func(m *memoryStore) { m.put("servers/a", "ready@9") },
		}, short, "a@9 ready"},
		{"a write of an older incarnation that stands, and the history is compacted", []string{"ready@5", "ready@9"}, []func(*memoryStore){
			func(m *memoryStore) { m.put("servers/a", "ready@5") }, compact,
		}, short, ""},
		{"restarts in an outage", []string{"ready@5"}, []func(*memoryStore){
			down, func(m *memoryStore) { m.put("servers/a", "ready@9") }, up,
		}, short, "a@9 ready"},
		{"restarts several times between two reads", []string{"ready@5"}, []func(*memoryStore){
			down, func(m *memoryStore) {
				for startedMS := 6; startedMS < 20; startedMS++ {
					m.put("servers/a", fmt.Sprint("ready@", startedMS))
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

// TestHeldEntryFromPeer passes a host a peer's list with an entry that is held back because a newer
// incarnation is known. The host must then ignore a late write of the incarnation that it knew last
// itself, too.
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
		passList := func() {
			must.NoError(t, reader.callStore(ctx, reader.Now(), reader.WatchTimeout))
			l, ok := reader.List()
			must.True(t, ok)
			receiver.Offer(l)
		}
		m.put("servers/a", "ready@5")
		passList()
		m.put("servers/a", "ready@9")
		m.put("servers/a", "ready@7")
		passList()
		m.put("servers/a", "ready@5")
		must.NoError(t, receiver.callStore(ctx, receiver.Now(), receiver.WatchTimeout))
		l, _ := receiver.List()
		must.SliceEmpty(t, l.Endpoints)
	})
}

// TestForeignEntries checks that an entry that no endpoint wrote names no usable endpoint: it is
// treated like a removed entry, is counted, and affects no other entry.
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
		{"overwritten", []string{"ready", "foreign", "ready"}, 3, 0},
		{"removed", []string{"ready", "foreign", ""}, 2, 0},
		{"one of an older incarnation, then foreign", []string{"ready@9", "ready@5", "foreign"}, 2, 1},
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
