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

// offsetClock is a host's clock that can be moved ahead of the timers.
type offsetClock struct {
	mu     sync.Mutex
	start  time.Time
	offset time.Duration
}

func (c *offsetClock) now() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.start) + c.offset
}

// advance lets a time pass that timers do not see.
func (c *offsetClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.offset += d
}

// TestGapForgetsOutage suspends a host, with the store available or in an outage that the host had
// detected. An entry that disappeared meanwhile is that of a leaver: it is out of the list with the
// store's first answer, and is not kept as lapsed.
func TestGapForgetsOutage(t *testing.T) {
	for _, outage := range []bool{false, true} {
		for _, d := range []time.Duration{300 * time.Millisecond, 8 * time.Second, time.Minute} {
			t.Run(fmt.Sprint("outage before ", outage, ", ", d), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(t.Context())
					defer cancel()
					m := newMemoryStore()
					clock := &offsetClock{start: time.Now()}
					e := &Endpoints{
						Store: m, Prefix: "servers/", Interval: 800 * time.Millisecond, WatchTimeout: 100 * time.Millisecond, RetryInterval: 400 * time.Millisecond,
						StoreHealth: testHealth(clock.now), Now: clock.now, Log: logr.Discard(), OnChange: func([]Endpoint) {}, Parse: parseEndpoint,
					}
					e.Init()
					m.put("servers/a", "ready")
					m.put("servers/b", "ready")
					go e.Run(ctx)
					time.Sleep(2 * time.Second)
					if outage {
						m.locked(func() { m.down = true })
						time.Sleep(5 * time.Second)
					}
					m.remove("servers/a")
					m.locked(func() { m.down = false })
					clock.advance(d)
					resumedAt := clock.now()
					e.NoteGap()
					time.Sleep(200 * time.Millisecond)
					l, ok := e.List()
					must.True(t, ok)
					must.SliceLen(t, 1, l.Endpoints)
					v, _ := e.View()
					must.GreaterEq(t, resumedAt, v.ProvenAt)
					cancel()
					synctest.Wait()
				})
			})
		}
	}
}

// TestGapEndsWaits checks that a host reads at once after a gap: from a wait after a failure, from a
// call that hangs, and from the wait between two reads.
func TestGapEndsWaits(t *testing.T) {
	cases := []struct {
		name  string
		state func(m *memoryStore)
	}{
		{"the wait between two reads", func(*memoryStore) {}},
		{"the wait after a failure", func(m *memoryStore) { m.down = true }},
		{"a call that hangs", func(m *memoryStore) { m.down, m.failDelay = true, time.Hour }},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				m := newMemoryStore()
				clock := &offsetClock{start: time.Now()}
				m.put("op/config", "one")
				set := startSettingsBy(ctx, m, clock.now)
				time.Sleep(2 * time.Second)
				m.locked(func() { tc.state(m) })
				time.Sleep(2200 * time.Millisecond)
				m.locked(func() { m.down, m.failDelay = false, 0 })
				clock.advance(8 * time.Second)
				resumedAt := clock.now()
				set.NoteGap()
				time.Sleep(10 * time.Millisecond)
				age, ok := set.Age.At(clock.now())
				must.True(t, ok)
				must.GreaterEq(t, resumedAt, clock.now()-age)
				cancel()
				synctest.Wait()
			})
		})
	}
}
