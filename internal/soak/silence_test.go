// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/heathkeel/heathkeel/platform"
)

// TestSilenceAtOnce measures how long hosts need until they serve, know a new configuration and give first
// events after all connections to the store and to endpoints fell silent, or were reset, at one
// moment. It gives figures, no verdict; it is run by hand.
func TestSilenceAtOnce(t *testing.T) {
	if number(t, "HEATHKEEL_SOAK", 0) == 0 {
		t.Skip("a measurement; set HEATHKEEL_SOAK=1")
	}
	cases := []struct {
		name    string
		callers int
		fault   func(f *fleet)
	}{
		{"nothing, quiet", 1, func(*fleet) {}},
		{"reset, quiet", 1, (*fleet).reset},
		{"silent, quiet", 1, (*fleet).silence},
		{"nothing, busy", 4 * callers, func(*fleet) {}},
		{"reset, busy", 4 * callers, (*fleet).reset},
		{"silent, busy", 4 * callers, (*fleet).silence},
	}
	for i, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFleet(t, 150+i, 6)
			c := &clients{f: f, withdrawn: make(map[int]time.Time)}
			for _, h := range f.hosts {
				await(t, h.name, h.isReady)
			}
			ctx, stop := context.WithCancel(context.Background())
			var wg sync.WaitGroup
			for j := range tc.callers {
				wg.Go(func() { c.run(ctx, rand.New(rand.NewPCG(uint64(j), 7))) })
			}
			time.Sleep(3 * time.Second)
			tc.fault(f)
			f.store.Put(platform.KeyConfig, config(2, keys(1)))
			began := time.Now()
			for what, ask := range map[string]func(h *host) bool{
				"serves":            func(h *host) bool { return one(c, h, kinds[1], 0) },
				"knows the new key": func(h *host) bool { return one(c, h, kinds[1], 1) },
				"first event":       func(h *host) bool { return one(c, h, kinds[3], 1) },
			} {
				var most time.Duration
				var mu sync.Mutex
				var hosts sync.WaitGroup
				for _, h := range f.hosts {
					hosts.Go(func() {
						for !ask(h) && time.Since(began) < time.Minute {
							time.Sleep(10 * time.Millisecond)
						}
						mu.Lock()
						defer mu.Unlock()
						most = max(most, time.Since(began))
					})
				}
				wg.Go(func() {
					hosts.Wait()
					t.Logf("%s: last host %s after %.2f s", tc.name, what, most.Seconds())
				})
			}
			time.Sleep(8 * time.Second)
			stop()
			wg.Wait()
		})
	}
}

// reset resets all connections of all hosts to the store and to endpoints.
func (f *fleet) reset() {
	for _, h := range f.hosts {
		h.store.Reset()
	}
	for _, m := range f.all() {
		m.Proxy.Reset()
	}
}

// silence silences them.
func (f *fleet) silence() {
	for _, h := range f.hosts {
		h.store.Silence()
	}
	for _, m := range f.all() {
		m.Proxy.Silence()
	}
}

// one sends one request to a host and reports whether it was answered well, or, with a
// key that is not in force any more, that it was not served for that reason.
func one(c *clients, h *host, k kind, generation int) bool {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	s := c.next(h, rand.New(rand.NewPCG(1, 1)))
	s.generation, s.small, s.kind = generation, false, k
	c.do(transport, s, time.Second)
	return s.status == http.StatusOK || (generation == 0 && s.status == http.StatusUnauthorized)
}
