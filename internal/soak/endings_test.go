// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/internal/site"
	"github.com/heathkeel/heathkeel/platform"
)

// Sizes of a run in which endpoints end whose answers end with their connections.
const (
	endingRun     = 180 // its run number, and those of 3 others after it
	endingEngines = 5
	endingCallers = 30
	endingPace    = 150 * time.Millisecond
	endingShort   = 12 * time.Second
	endingLong    = 30 * time.Second
	// maxWholeCut is how often a machine may end an answer that its endpoint wrote to the end.
	maxWholeCut = 3
)

// TestEndingEndpoints lets endpoints whose answers end with their connections leave as planned, be killed, and be killed while they leave,
// one after the other and at once. It guards against whole answers that are cut, and short ones that look complete.
func TestEndingEndpoints(t *testing.T) {
	runSeeds(t, endingRun, shortSeed, func(t *testing.T, run, seed int, long bool) {
		duration := endingShort
		if long {
			duration = endingLong
		}
		playEndings(t, run, seed, duration)
	})
}

// runSeeds calls play once with a seed, or as often as HEATHKEEL_SOAK says, each with its own seed, a few at once with run numbers of
// their own.
func runSeeds(t *testing.T, firstRun, seed int, play func(t *testing.T, run, seed int, long bool)) {
	const atOnce = 4
	runs := envInt(t, "HEATHKEEL_SOAK", 0)
	if runs == 0 {
		play(t, firstRun, seed, false)
		return
	}
	first := envInt(t, "HEATHKEEL_SOAK_SEED", rand.IntN(1e6))
	for k := range atOnce {
		t.Run(fmt.Sprint("part ", k), func(t *testing.T) {
			t.Parallel()
			for i := k; i < runs; i += atOnce {
				t.Run(fmt.Sprint("seed ", first+i), func(t *testing.T) { play(t, firstRun+k, first+i, true) })
			}
		})
	}
}

// playEndings plays a run and checks it from both ends.
func playEndings(t *testing.T, run, seed int, duration time.Duration) {
	f := newFleetWith(t, run, fleetOptions{limits: smallFleetLimits, hosts: fewHosts, plain: 1})
	c := &clients{fleet: f, withdrawn: make(map[int]time.Time)}
	r := rand.New(rand.NewPCG(uint64(seed), 0))
	for range endingEngines {
		_, err := f.addEngine(engineVersions[0], endingPace, true)
		must.NoError(t, err)
	}
	for _, h := range f.hosts {
		await(t, h.name+" is ready", h.isReady)
	}
	ctx, stop := context.WithTimeout(context.Background(), duration)
	defer stop()
	var wg sync.WaitGroup
	for i := range endingCallers {
		own := rand.New(rand.NewPCG(uint64(seed), uint64(i)+1))
		wg.Go(func() { c.readDrafts(ctx, own) })
	}
	planned, killed := 0, 0
	for ctx.Err() == nil {
		m := randomOf(f.stayingEndpoints(site.Engines), r)
		_, err := f.addEngine(engineVersions[0], endingPace, true)
		must.NoError(t, err)
		kill, leaves, announced := r.IntN(2) == 0, r.IntN(3) > 0, r.IntN(3) > 0
		if kill {
			killed++
		} else {
			planned++
		}
		serves := f.drain + time.Duration(r.Int64N(int64(time.Second)))
		m.mu.Lock()
		m.leftAt = time.Now() // none draws it again
		m.mu.Unlock()
		wg.Go(func() { f.endEngine(m, leaves || !kill, announced, kill, serves) })
		pause(ctx, time.Duration(200+r.IntN(1200))*time.Millisecond)
	}
	wg.Wait()
	rec := newRecord(f, c)
	checkPromises(t, rec, alwaysPromises)
	whole, cut := rec.wholeDrafts()
	t.Logf("seed %d: %d endpoints left, %d were killed, %d whole streams, %d cut with all events, %s", seed, planned, killed, whole, cut, statusCounts(rec))
	must.Positive(t, whole)
	must.LessEq(t, maxWholeCut, cut)
}

// randomOf returns a random endpoint of a list.
func randomOf(list []*fleetEndpoint, r *rand.Rand) *fleetEndpoint { return list[r.IntN(len(list))] }

// endEngine ends an engine: it leaves, unless leaves is false, serves for a time, and then closes its port and ends what it runs, or is
// killed. Its entry goes with the last of these, or at once if its leaving is not announced.
func (f *fleet) endEngine(m *fleetEndpoint, leaves, announced, kill bool, serves time.Duration) {
	key := platform.PrefixEndpoints + m.Instance
	switch {
	case leaves && announced:
		f.store.Put(key, f.entry(m, "draining"))
	case leaves:
		f.store.Remove(key)
	}
	time.Sleep(serves)
	if kill {
		m.Kill()
	} else {
		m.Stop()
	}
	time.Sleep(f.contact)
	f.store.Remove(key)
}

// readDrafts sends requests for streams that may not be resumed, one after the other, until ctx ends.
func (c *clients) readDrafts(ctx context.Context, r *rand.Rand) {
	transport := &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true}
	defer transport.CloseIdleConnections()
	for ctx.Err() == nil {
		s := c.nextStreamRequest(c.fleet.hosts[r.IntN(len(c.fleet.hosts))], "", 0)
		s.kind = kinds[2]
		c.do(transport, s, 0)
		pause(ctx, time.Duration(r.IntN(60))*time.Millisecond)
	}
}

// wholeDrafts returns how many streams are complete, and how many are not although their callers have all events.
func (r *record) wholeDrafts() (whole, cut int) {
	for _, s := range r.sent {
		switch {
		case s.status != http.StatusOK || s.body != site.StreamBody(streamEvents):
		case s.complete:
			whole++
		default:
			cut++
		}
	}
	return whole, cut
}
