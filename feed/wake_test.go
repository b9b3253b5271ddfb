// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package feed

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"
)

// sleeper is a host's clock that goes on by itself.
type sleeper struct {
	mu    sync.Mutex
	start time.Time
	ahead time.Duration
}

func (s *sleeper) now() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.start) + s.ahead
}

// sleep lets a time pass that timers do not see.
func (s *sleeper) sleep(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ahead += d
}

// TestWakeForgetsOutage suspends a host, with the store there or in an outage that it had seen. An entry that went meanwhile is that of a leaver: it
// is out of the list with the first answer of the store, and not kept as lapsed.
func TestWakeForgetsOutage(t *testing.T) {
	for _, outage := range []bool{false, true} {
		for _, d := range []time.Duration{300 * time.Millisecond, 8 * time.Second, time.Minute} {
			t.Run(fmt.Sprint("outage before ", outage, ", ", d), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(t.Context())
					defer cancel()
					m := newMemoryStore()
					s := &sleeper{start: time.Now()}
					e := &Endpoints{
						Store: m, Prefix: "servers/", Interval: 800 * time.Millisecond, WatchTimeout: 100 * time.Millisecond, RetryInterval: 400 * time.Millisecond,
						StoreHealth: testReach(s.now), Now: s.now, Log: logr.Discard(), OnChange: func([]Endpoint) {}, Parse: parseEndpoint,
					}
					e.Init()
					m.put("servers/a", "ready")
					m.put("servers/b", "ready")
					go e.Run(ctx)
					time.Sleep(2 * time.Second)
					if outage {
						m.set(func() { m.dark = true })
						time.Sleep(5 * time.Second)
					}
					m.remove("servers/a")
					m.set(func() { m.dark = false })
					s.sleep(d)
					woke := s.now()
					e.NoteGap()
					time.Sleep(200 * time.Millisecond)
					l, ok := e.List()
					must.True(t, ok)
					must.SliceLen(t, 1, l.Endpoints)
					v, _ := e.View()
					must.GreaterEq(t, woke, v.ProvenAt)
					cancel()
					synctest.Wait()
				})
			})
		}
	}
}

// TestWakeEndsWaits checks that a host which woke reads at once: from a pause after a failure, from a call that hangs, and from the
// pause between two readings.
func TestWakeEndsWaits(t *testing.T) {
	cases := []struct {
		name  string
		state func(m *memoryStore)
	}{
		{"a pause", func(*memoryStore) {}},
		{"a pause after a failure", func(m *memoryStore) { m.dark = true }},
		{"a call that hangs", func(m *memoryStore) { m.dark, m.hang = true, time.Hour }},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				m := newMemoryStore()
				s := &sleeper{start: time.Now()}
				m.put("op/config", "one")
				set := followBy(ctx, m, s.now)
				time.Sleep(2 * time.Second)
				m.set(func() { tc.state(m) })
				time.Sleep(2200 * time.Millisecond)
				m.set(func() { m.dark, m.hang = false, 0 })
				s.sleep(8 * time.Second)
				woke := s.now()
				set.NoteGap()
				time.Sleep(10 * time.Millisecond)
				age, ok := set.Age.At(s.now())
				must.True(t, ok)
				must.GreaterEq(t, woke, s.now()-age)
				cancel()
				synctest.Wait()
			})
		})
	}
}
