// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestPausedEndpoints lets endpoints pause beside changes of the configuration, and nothing else. Hosts take an endpoint for silent after
// a second. The test guards against hosts that end a request at a silent endpoint, which would go on, and then do not complete it.
func TestPausedEndpoints(t *testing.T) {
	const (
		pausedRun     = 196
		pausedSeed    = 1
		pausedEngines = 6
		pausedReaders = 40 // the engines have 48 slots
		pausedTime    = 12 * time.Second
		minPaused     = 50 // requests to judge, for a run that shows something
	)
	f := newFleetWith(t, pausedRun, fleetOptions{limits: smallFleetLimits, hosts: fewHosts, plain: 3, engines: pausedEngines})
	c := &clients{fleet: f, withdrawn: make(map[int]time.Time)}
	for _, h := range f.hosts {
		await(t, h.name+" is ready", h.isReady)
		await(t, h.name+" serves", func() bool { return c.ask(h, 0) == http.StatusOK })
	}
	injector := &faultInjector{fleet: f, clients: c, startedAt: time.Now(), configVersion: 1}
	injector.changeVariant(func(v *configVariant) { v.shortObjectives = true })
	time.Sleep(applyTime)
	ctx, stop := context.WithTimeout(context.Background(), pausedTime)
	defer stop()
	var wg sync.WaitGroup
	for i := range pausedReaders {
		own := rand.New(rand.NewPCG(pausedSeed, uint64(i)+1))
		wg.Go(func() { c.readWholeStreams(ctx, own) })
	}
	for i := range callers {
		own := rand.New(rand.NewPCG(pausedSeed, readerSource+uint64(i)))
		wg.Go(func() { c.run(ctx, own) })
	}
	injector.pauseEndpoints(ctx, rand.New(rand.NewPCG(pausedSeed, pauseSource)), pauseOptions{longestGap: time.Second, changes: limitChanges})
	wg.Wait()
	r := newRecord(f, c)
	checkPromises(t, r, append(slices.Clone(alwaysPromises), promise{"what an endpoint goes on with is not ended by its host", (*record).endedByHosts}))
	counted, ended := r.pausedRequests()
	t.Logf("%d of %d requests ended whose endpoints paused and went on, %s", ended, counted, statusCounts(r))
	if t.Failed() {
		for _, line := range injector.faultLog() {
			t.Log(line)
		}
	}
	must.GreaterEq(t, minPaused, counted)
}

// readWholeStreams sends requests for streams that may be repeated, with pauses between them, until ctx ends.
func (c *clients) readWholeStreams(ctx context.Context, r *rand.Rand) {
	transport := &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true}
	defer transport.CloseIdleConnections()
	for ctx.Err() == nil {
		s := c.nextStreamRequest(c.fleet.hosts[r.IntN(len(c.fleet.hosts))], "", 0)
		c.do(transport, s, 0)
		pause(ctx, time.Duration(r.IntN(60))*time.Millisecond)
	}
}
