// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/internal/site"
)

// Sizes of a run.
const (
	shortRun     = 15 * time.Second
	longRun      = 40 * time.Second
	shortSeed    = 1
	callers      = 16
	fewHosts     = 3
	recoveryTime = 12 * time.Second
)

// envInt returns an environment variable as a number, or def if it is not set.
func envInt(t *testing.T, name string, def int) int {
	v := os.Getenv(name)
	if v == "" {
		return def
	}
	n, err := strconv.Atoi(v)
	must.NoError(t, err, must.Sprintf("%s must be a whole number", name))
	return n
}

// TestSoak performs one short run, or as many runs as HEATHKEEL_SOAK says, each with its own seed.
func TestSoak(t *testing.T) {
	runs := envInt(t, "HEATHKEEL_SOAK", 0)
	if runs == 0 {
		play(t, runOptions{seed: shortSeed, hosts: fewHosts, duration: shortRun})
		return
	}
	first := envInt(t, "HEATHKEEL_SOAK_SEED", rand.IntN(1e6))
	hosts := envInt(t, "HEATHKEEL_SOAK_HOSTS", fewHosts)
	for i := range runs {
		seed := first + i
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			play(t, runOptions{seed: seed, hosts: hosts, duration: longRun, timed: true})
		})
	}
}

// runOptions describes a run.
type runOptions struct {
	seed, hosts int
	duration    time.Duration
	timed       bool // also check timedPromises
}

// play performs a run and checks the promises.
func play(t *testing.T, r runOptions) {
	f := newFleet(t, r.seed, r.hosts)
	for _, h := range f.hosts {
		await(t, h.name+" is ready", h.isReady)
	}
	c := &clients{fleet: f, withdrawn: make(map[int]time.Time)}
	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i := range callers {
		own := rand.New(rand.NewPCG(uint64(r.seed), uint64(i)+1))
		wg.Go(func() { c.run(ctx, own) })
	}
	for i := range readers {
		own := rand.New(rand.NewPCG(uint64(r.seed), readerSource+uint64(i)))
		wg.Go(func() { c.readStreams(ctx, own) })
	}
	w := &arrivalWatcher{fleet: f, clients: c}
	watchCtx, stopWatcher := context.WithCancel(context.Background())
	wg.Go(func() { w.run(watchCtx) })
	injector := &faultInjector{fleet: f, clients: c, rand: rand.New(rand.NewPCG(uint64(r.seed), 0)), claimed: make(map[*host]bool), startedAt: time.Now(), configVersion: 1}
	var senders endlessSenders
	injector.runAll(r, &wg, &senders)
	served := serveAgain(t, c, r.timed)
	stop()
	stopWatcher()
	wg.Wait()
	rec := newRecord(f, c)
	rec.late, rec.endless = w.late, senders.accepted
	var peak int
	peak, rec.memory = f.peakMemory()
	w.markUndisturbed(rec)
	checkPromises(t, rec, alwaysPromises)
	if r.timed {
		checkPromises(t, rec, timedPromises)
		must.GreaterEq(t, len(f.hosts)*finalRequests*9/10, served, must.Sprint("requests served after the last fault"))
	}
	if t.Failed() {
		for _, line := range injector.faultLog() {
			t.Log(line)
		}
	}
	asked, wentOn := rec.resumed()
	small, refused := rec.smallInBursts()
	paused, ended := rec.pausedRequests()
	t.Logf("seed %d: %d requests, %d runs, %d of %d served after the last fault, %d of %d streams that callers resumed went on, at most %d MB, %d of %d of the small workspace refused in bursts, %d of %d ended whose endpoints paused and went on, %s",
		r.seed, len(rec.sent), len(rec.arrivals), served, len(f.hosts)*finalRequests, wentOn, asked, peak, refused, small, ended, paused, statusCounts(rec))
}

// runAll injects the faults of the list and those that have sources of chance of their own, for the duration of the run. Of the latter,
// some may end later, in the group.
func (c *faultInjector) runAll(r runOptions, wg *sync.WaitGroup, senders *endlessSenders) {
	ctx, stop := context.WithTimeout(context.Background(), r.duration)
	defer stop()
	begin := func(source uint64, run func(ctx context.Context, r *rand.Rand)) {
		own := rand.New(rand.NewPCG(uint64(r.seed), source))
		wg.Go(func() { run(ctx, own) })
	}
	begin(rateSource, c.fleet.stateRates)
	begin(loadSource, c.fleet.stateLoads)
	begin(endless, c.fleet.endlessAnswers)
	begin(burstSource, c.clients.bursts)
	begin(slowSource, c.clients.readSlowly)
	begin(senderSource, func(ctx context.Context, r *rand.Rand) { senders.run(ctx, c.fleet, r) })
	begin(eraSource, c.storeGoesBack)
	begin(pauseSource, func(ctx context.Context, r *rand.Rand) { c.pauseEndpoints(ctx, r, soakPauses) })
	c.run(ctx)
}

// serveAgain checks that hosts serve after the last fault, and returns how many of finalRequests they served in a timed run.
func serveAgain(t *testing.T, c *clients, timed bool) int {
	if timed {
		time.Sleep(recoveryTime)
	}
	served := 0
	for _, h := range c.fleet.hosts {
		if timed {
			served += countServed(c, h)
			continue
		}
		await(t, h.name+" serves again", func() bool { return countServed(c, h) > 0 })
	}
	return served
}

// Sources of chance beside those of the callers, which count from 1.
const (
	rateSource   = 1 << 20       // of the stated rates
	burstSource  = 1<<20 + 1<<16 // of the bursts
	loadSource   = 1<<20 + 2<<16 // of the stated loads
	endless      = 1<<20 + 3<<16 // of the endless answers
	slowSource   = 1<<20 + 4<<16 // of the slow readers
	senderSource = 1<<20 + 5<<16 // of the endless senders
	pauseSource  = 1<<20 + 6<<16 // of the pauses of endpoints
	eraSource    = 1 << 21       // of the times at which the store goes back
)

// finalRequests is the number of requests to each host after the last fault.
const finalRequests = 10

// countServed sends finalRequests requests to a host and returns how many it served.
func countServed(c *clients, h *host) int {
	served := 0
	r := rand.New(rand.NewPCG(1, 1))
	for range finalRequests {
		transport := &http.Transport{}
		s := c.nextRequest(h, r)
		s.generation, s.small, s.kind = c.currentGeneration(), false, kinds[1]
		c.do(transport, s, 0)
		transport.CloseIdleConnections()
		if s.status == http.StatusOK {
			served++
		}
	}
	return served
}

// checkPromises reports violations of promises, at most five of each.
func checkPromises(t *testing.T, r *record, list []promise) {
	for _, p := range list {
		violations := p.violations(r)
		for _, b := range violations[:min(5, len(violations))] {
			t.Errorf("%s: %s", p.name, b)
		}
	}
}

// statusCounts returns the numbers of answers by status.
func statusCounts(r *record) string {
	n := make(map[int]int)
	for _, s := range r.sent {
		n[s.status]++
	}
	return fmt.Sprint("answers by status ", n)
}

// await waits up to a minute until holds returns true. The limit is long because it is reached only
// if something is wrong.
func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for range 600 {
		if holds() {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.Fatal("not within a minute: " + what)
}

// arrivalWatcher checks new arrivals at endpoints soon after they come, while the disturbances of
// hosts and proxies are still the same.
type arrivalWatcher struct {
	fleet   *fleet
	clients *clients

	seen        map[*fleetEndpoint]int
	undisturbed map[string]map[time.Time]bool
	late        []string
}

// watchInterval is the time between two checks.
const watchInterval = 20 * time.Millisecond

// run checks new arrivals until ctx ends.
func (w *arrivalWatcher) run(ctx context.Context) {
	w.seen, w.undisturbed = make(map[*fleetEndpoint]int), make(map[string]map[time.Time]bool)
	for ctx.Err() == nil {
		byID := make(map[string]*sentRequest)
		for _, s := range w.clients.recent() {
			byID[s.id] = s
		}
		for _, m := range w.fleet.allEndpoints() {
			runs := m.Runs()
			for _, run := range runs[w.seen[m]:] {
				w.checkArrival(m, run, byID[run.AttemptID])
			}
			w.seen[m] = len(runs)
		}
		time.Sleep(watchInterval)
	}
}

// checkArrival records whether an arrival's endpoint was undisturbed, and whether it came too long
// after the endpoint had left.
func (w *arrivalWatcher) checkArrival(m *fleetEndpoint, run site.Run, s *sentRequest) {
	undisturbed := m.isUndisturbed(run.ReceivedAt)
	if w.undisturbed[run.AttemptID] == nil {
		w.undisturbed[run.AttemptID] = make(map[time.Time]bool)
	}
	w.undisturbed[run.AttemptID][run.ReceivedAt] = undisturbed
	if s != nil && s.host.isUndisturbed(run.ReceivedAt) {
		m.noteArrival(run.ReceivedAt)
	}
	m.mu.Lock()
	left := m.leftAt
	m.mu.Unlock()
	if s == nil || left.IsZero() || !undisturbed || run.ReceivedAt.Sub(left) < m.drain+timingTolerance || !s.host.isUndisturbed(run.ReceivedAt) {
		return
	}
	w.late = append(w.late, fmt.Sprintf("%s reached %s from %s %s after it left", s.id, m.Instance, s.host.name, run.ReceivedAt.Sub(left)))
}

// markUndisturbed sets undisturbed in the arrivals of a record.
func (w *arrivalWatcher) markUndisturbed(r *record) {
	for id, runs := range r.runs {
		for i := range runs {
			runs[i].undisturbed = w.undisturbed[id][runs[i].ReceivedAt]
		}
	}
}
