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

// TestOutageCalls checks that a large fleet calls a failing store only a little more often than a
// small one, and that all its hosts know of changes soon after the store's return. A host calls at
// least once per contact time, which is longer in large fleets.
func TestOutageCalls(t *testing.T) {
	const outage = 10 * time.Second
	cases := []struct {
		hosts   int
		contact time.Duration
		maxRate float64 // calls per second of all hosts together
	}{
		{1, 3 * time.Second, 6}, {6, 3 * time.Second, 36}, {40, 4 * time.Second, 95}, {120, 4 * time.Second, 130}, {300, 5 * time.Second, 210},
	}
	for _, tc := range cases {
		t.Run(fmt.Sprint(tc.hosts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				lapses := testLapseTimes
				lapses.MaxKeep = tc.contact * 9 / 10
				s := startFleetWith(ctx, tc.hosts, lapses)
				time.Sleep(3 * time.Second)
				s.store.locked(func() { s.store.down = true })
				time.Sleep(2 * time.Second)
				before := s.store.count()
				time.Sleep(outage)
				rate := float64(s.store.count()-before) / outage.Seconds()
				t.Logf("%.1f calls a second", rate)
				must.LessEq(t, tc.maxRate, rate)
				s.store.put("servers/c", "ready")
				s.store.put("op/config", "two")
				s.store.locked(func() { s.store.down = false })
				time.Sleep(2 * time.Second)
				for i := range tc.hosts {
					l, _ := s.endpoints[i].List()
					must.Len(t, 3, l.Endpoints)
					must.EqOp(t, "two", s.settings[i].Current().Table.Document.Routes[0].Name)
				}
				cancel()
				synctest.Wait()
			})
		})
	}
}

// TestLapseAfterLongPause checks that a host that calls a failing store rarely keeps lapsed entries as
// long after the outage as one that calls it often.
func TestLapseAfterLongPause(t *testing.T) {
	cases := []struct {
		name string
		rank int
	}{
		{"calls often", 0}, {"calls rarely", 100},
	}
	for _, tc := range cases {
		// The store returns at different moments of a retry interval.
		for outage := 8 * time.Second; outage < 9600*time.Millisecond; outage += 200 * time.Millisecond {
			t.Run(fmt.Sprint(tc.name, outage), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(t.Context())
					defer cancel()
					start := time.Now()
					store := newMemoryStore()
					store.put("servers/a", "ready")
					e := &Endpoints{
						Store: store, Prefix: "servers/", Interval: 800 * time.Millisecond, WatchTimeout: 100 * time.Millisecond, RetryInterval: 400 * time.Millisecond,
						Rank: func() int { return tc.rank }, Parse: parseEndpoint,
						Now: func() time.Duration { return time.Since(start) }, OnChange: func([]Endpoint) {}, Log: logr.Discard(),
					}
					e.StoreHealth = testHealth(e.Now)
					e.Init()
					go e.Run(ctx)
					time.Sleep(time.Second)
					store.locked(func() { store.down = true })
					time.Sleep(outage)
					store.remove("servers/a")
					store.locked(func() { store.down = false })
					// The entry is missing in the store; the endpoint may be live and write it within
					// 2 s.
					time.Sleep(1650 * time.Millisecond)
					l, _ := e.List()
					must.Len(t, 1, l.Endpoints)
					time.Sleep(3 * time.Second)
					l, _ = e.List()
					must.Len(t, 0, l.Endpoints)
					cancel()
					synctest.Wait()
				})
			})
		}
	}
}

// TestOutageOfOneHost checks that an endpoint whose entry is removed while the store serves is dropped
// by all hosts except the one that could not reach the store until recently, although that one is the
// first reader.
func TestOutageOfOneHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := startFleet(ctx, 6)
		time.Sleep(3 * time.Second)
		for round := range 6 {
			s.store.put("servers/c", fmt.Sprint("ready", round))
			time.Sleep(4 * time.Second)
			s.store.locked(func() { s.cut[0] = true })
			time.Sleep(5 * time.Second)
			s.store.locked(func() { s.cut[0] = false })
			time.Sleep(time.Duration(round) * 100 * time.Millisecond)
			s.store.remove("servers/c")
			time.Sleep(1400 * time.Millisecond)
			for i := 1; i < 6; i++ {
				l, _ := s.endpoints[i].List()
				must.Len(t, 2, l.Endpoints)
			}
		}
		cancel()
		synctest.Wait()
	})
}

// TestListIsReadWhenStoreReturns checks that a host reads the endpoints as soon as it finds by the settings that the store is back.
func TestListIsReadWhenStoreReturns(t *testing.T) {
	for outage := 5 * time.Second; outage < 5400*time.Millisecond; outage += 30 * time.Millisecond {
		t.Run(fmt.Sprint(outage), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				f := startFleet(ctx, 1)
				time.Sleep(3 * time.Second)
				f.store.locked(func() { f.store.down = true })
				time.Sleep(outage)
				f.store.locked(func() { f.store.down = false })
				back := f.now()
				for age := time.Hour; f.now()-age < back; age, _ = f.settings[0].Age.At(f.now()) {
					time.Sleep(10 * time.Millisecond)
				}
				time.Sleep(150 * time.Millisecond) // the read may wait for 0.1 s for changes
				v, _ := f.endpoints[0].View()
				must.GreaterEq(t, back, v.ProvenAt)
				cancel()
				synctest.Wait()
			})
		})
	}
}
