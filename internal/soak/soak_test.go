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
	shortRun   = 15 * time.Second
	longRun    = 40 * time.Second
	shortSeed  = 1
	callers    = 16
	fewHosts   = 3
	regainTime = 12 * time.Second
)

// number reads a variable, or gives what holds without it.
func number(t *testing.T, name string, def int) int {
	v := os.Getenv(name)
	if v == "" {
		return def
	}
	n, err := strconv.Atoi(v)
	must.NoError(t, err, must.Sprintf("%s: write a whole number", name))
	return n
}

// TestSoak plays one short run, or as many as HEATHKEEL_SOAK says, each with a seed of its own.
func TestSoak(t *testing.T) {
	runs := number(t, "HEATHKEEL_SOAK", 0)
	if runs == 0 {
		play(t, run{seed: shortSeed, hosts: fewHosts, span: shortRun})
		return
	}
	first := number(t, "HEATHKEEL_SOAK_SEED", rand.IntN(1e6))
	hosts := number(t, "HEATHKEEL_SOAK_HOSTS", fewHosts)
	for i := range runs {
		seed := first + i
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			play(t, run{seed: seed, hosts: hosts, span: longRun, timely: true})
		})
	}
}

// run is what a run of the soak is like.
type run struct {
	seed, hosts int
	span        time.Duration
	timely      bool // the promises about time are checked, too
}

// play plays a run.
func play(t *testing.T, r run) {
	f := newFleet(t, r.seed, r.hosts)
	for _, h := range f.hosts {
		await(t, h.name+" is ready", h.isReady)
	}
	c := &clients{f: f, withdrawn: make(map[int]time.Time)}
	source := rand.New(rand.NewPCG(uint64(r.seed), 0))
	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i := range callers {
		own := rand.New(rand.NewPCG(uint64(r.seed), uint64(i)+1))
		wg.Go(func() { c.run(ctx, own) })
	}
	w := &watch{f: f, c: c}
	watching, over := context.WithCancel(context.Background())
	wg.Go(func() { w.run(watching) })
	x := &chaos{f: f, c: c, rand: source, busy: make(map[*host]bool), began: time.Now(), version: 1}
	faulty, calm := context.WithTimeout(context.Background(), r.span)
	x.run(faulty)
	calm()
	if r.timely {
		time.Sleep(regainTime)
	}
	regained := 0
	for _, h := range f.hosts {
		if r.timely {
			regained += serves(c, h)
			continue
		}
		await(t, h.name+" serves again", func() bool { return serves(c, h) > 0 })
	}
	stop()
	over()
	wg.Wait()
	rec := look(f, c)
	rec.late = w.late
	w.mark(rec)
	check(t, rec, always)
	if r.timely {
		check(t, rec, timely)
		must.GreaterEq(t, len(f.hosts)*asks*9/10, regained, must.Sprint("requests served after the last fault"))
	}
	if t.Failed() {
		for _, line := range x.story() {
			t.Log(line)
		}
	}
	t.Logf("seed %d: %d requests, %d runs, %d of %d served after the last fault, %s", r.seed, len(rec.sent), len(rec.arrivals), regained, len(f.hosts)*asks, tally(rec))
}

// asks is the number of requests to each host after the last fault.
const asks = 10

// serves counts the requests that a host serves of a few.
func serves(c *clients, h *host) int {
	n := 0
	r := rand.New(rand.NewPCG(1, 1))
	for range asks {
		transport := &http.Transport{}
		s := c.next(h, r)
		s.generation, s.small, s.kind = c.inForce(), false, kinds[1]
		c.do(transport, s, 0)
		transport.CloseIdleConnections()
		if s.status == http.StatusOK {
			n++
		}
	}
	return n
}

// check reports what breaks promises.
func check(t *testing.T, r *record, list []promise) {
	for _, p := range list {
		broken := p.broken(r)
		for _, b := range broken[:min(5, len(broken))] {
			t.Errorf("%s: %s", p.name, b)
		}
	}
}

// tally counts answers by status.
func tally(r *record) string {
	n := make(map[int]int)
	for _, s := range r.sent {
		n[s.status]++
	}
	return fmt.Sprint("answers by status ", n)
}

// await waits until something holds; the wait is long, since it only ends early if it does.
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

// watch looks at new arrivals while hosts and links are as they were when these came.
type watch struct {
	f *fleet
	c *clients

	seen map[*member]int
	calm map[string]map[time.Time]bool
	late []string
}

// watchEvery is the time between two looks.
const watchEvery = 20 * time.Millisecond

// run looks until ctx ends.
func (w *watch) run(ctx context.Context) {
	w.seen, w.calm = make(map[*member]int), make(map[string]map[time.Time]bool)
	for ctx.Err() == nil {
		byID := make(map[string]*sent)
		for _, s := range w.c.recent() {
			byID[s.id] = s
		}
		for _, m := range w.f.all() {
			runs := m.Runs()
			for _, run := range runs[w.seen[m]:] {
				w.note(m, run, byID[run.AttemptID])
			}
			w.seen[m] = len(runs)
		}
		time.Sleep(watchEvery)
	}
}

// note holds an arrival against what was known of its endpoint.
func (w *watch) note(m *member, run site.Run, s *sent) {
	calm := m.calm(run.ReceivedAt)
	if w.calm[run.AttemptID] == nil {
		w.calm[run.AttemptID] = make(map[time.Time]bool)
	}
	w.calm[run.AttemptID][run.ReceivedAt] = calm
	m.mu.Lock()
	left := m.left
	m.mu.Unlock()
	if s == nil || left.IsZero() || !calm || run.ReceivedAt.Sub(left) < m.drain+slack || !s.host.inTouch(run.ReceivedAt) {
		return
	}
	w.late = append(w.late, fmt.Sprintf("%s reached %s from %s %s after it left", s.id, m.Instance, s.host.name, run.ReceivedAt.Sub(left)))
}

// mark gives a record what was seen of links at arrivals.
func (w *watch) mark(r *record) {
	for id, runs := range r.runs {
		for i := range runs {
			runs[i].calm = w.calm[id][runs[i].ReceivedAt]
		}
	}
}
