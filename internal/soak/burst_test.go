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

	"github.com/shoenig/test/must"
)

// TestBurst lets one workspace send more than the endpoints serve and retry immediately, while
// another sends a little and nothing fails. It guards against a burst that takes the answers of others.
func TestBurst(t *testing.T) {
	const (
		burstRun     = 186
		burstHosts   = 12 // slot owners share slots among workspaces in fleets that use relays
		smallCallers = 3
	)
	f := newFleet(t, burstRun, burstHosts)
	c := &clients{fleet: f, withdrawn: make(map[int]time.Time)}
	for _, h := range f.hosts {
		await(t, h.name+" is ready", h.isReady)
		await(t, h.name+" serves", func() bool { return c.ask(h, 0) == http.StatusOK })
	}
	time.Sleep(f.contact) // since the start counts as a disturbance
	ctx, stop := context.WithTimeout(context.Background(), 10*time.Second)
	defer stop()
	var wg sync.WaitGroup
	for i := range smallCallers {
		own := rand.New(rand.NewPCG(uint64(i), 1))
		wg.Go(func() {
			transport := &http.Transport{DisableCompression: true}
			defer transport.CloseIdleConnections()
			for ctx.Err() == nil {
				s := c.nextRequest(f.hosts[own.IntN(len(f.hosts))], own)
				c.mu.Lock()
				s.small, s.kind = true, kinds[2+own.IntN(2)] // the engines are short
				c.mu.Unlock()
				c.do(transport, s, 0)
				pause(ctx, 50*time.Millisecond)
			}
		})
	}
	wg.Go(func() { c.bursts(ctx, rand.New(rand.NewPCG(1, 2))) })
	wg.Wait()
	r := newRecord(f, c)
	checkPromises(t, r, alwaysPromises)
	sent, refused := r.smallInBursts()
	t.Logf("%d of %d requests of the small workspace refused in bursts, %s", refused, sent, statusCounts(r))
	must.GreaterEq(t, minBurstRequests, sent)
	must.SliceEmpty(t, r.lostToBursts())
}
