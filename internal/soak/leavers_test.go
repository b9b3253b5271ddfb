// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/internal/site"
	"github.com/heathkeel/heathkeel/platform"
)

// Sizes of a run with leaving endpoints.
const (
	leaverHosts   = 78
	leaverEngines = 90
	leaverPlain   = 3
	leaverCallers = 60
	leaverRunTime = 40 * time.Second
	// roundInterval is the time between two rounds, in each of which leaversPerRound endpoints
	// leave.
	roundInterval   = 4 * time.Second
	leaversPerRound = 8
	// leaverServeTime is the time for which an endpoint serves after its leaving.
	leaverServeTime = 15 * time.Second
	// extraRoutes is the number of routes added in a large configuration.
	extraRoutes = 1400
	// stopShare is the part of the time for which each process is stopped, for minStop to maxStop
	// at a time.
	stopShare = 0.3
	minStop   = 20 * time.Millisecond
	maxStop   = 200 * time.Millisecond
)

// TestLeaversAtSize makes tens of endpoints leave in a fleet of real processes that share one core
// and are stopped for short times, as on a machine short of processor time. The store works
// throughout, and such stops do not excuse a host. Every arrival at an endpoint is checked against
// the drain time. The test needs a machine to itself: any other process on it is a further fault.
//
// The test guards against requests that reach endpoints later than the drain time after the store
// has accepted their leaving. That comes about in three ways: the host sends by an old list (19.4 s
// old at worst); it sends to an endpoint that it has already logged as leaving; or it takes a call
// that is late because its own process waited for the processor for an outage of the store, which
// excuses an old list.
func TestLeaversAtSize(t *testing.T) {
	runs := envInt(t, "HEATHKEEL_SOAK_LEAVERS", 0)
	if runs == 0 {
		t.Skip("needs a machine to itself; set HEATHKEEL_SOAK_LEAVERS=1")
	}
	first := envInt(t, "HEATHKEEL_SOAK_SEED", rand.IntN(1e6))
	kinds := []struct {
		name  string
		round func(l *leaverRun)
	}{
		{"large configurations", (*leaverRun).writeLargeConfig},
		{"strong hosts killed", (*leaverRun).killStrong},
		{"one host refused by the store", (*leaverRun).refuseStore},
	}
	for i := range runs {
		for _, k := range kinds {
			t.Run(fmt.Sprintf("%s, seed %d", k.name, first+i), func(t *testing.T) { playLeavers(t, first+i, k.round) })
		}
	}
}

// leaverRun is a run with leaving endpoints.
type leaverRun struct {
	*faultInjector
	configVersion int
	tasks         sync.WaitGroup
}

// playLeavers performs a run and calls round in each of its rounds.
func playLeavers(t *testing.T, seed int, round func(l *leaverRun)) {
	hosts := envInt(t, "HEATHKEEL_SOAK_HOSTS", leaverHosts)
	f := newFleetWith(t, seed, fleetOptions{limits: largeFleetLimits, hosts: hosts, plain: leaverPlain, engines: leaverEngines, cores: []int{0}})
	for _, h := range f.hosts {
		await(t, h.name+" is ready", h.isReady)
	}
	time.Sleep(f.contact)
	c := &clients{fleet: f, withdrawn: make(map[int]time.Time)}
	ctx, stop := context.WithCancel(context.Background())
	l := &leaverRun{configVersion: 1, faultInjector: &faultInjector{fleet: f, clients: c, rand: rand.New(rand.NewPCG(uint64(seed), 0)), claimed: make(map[*host]bool), startedAt: time.Now()}}
	for i := range leaverCallers {
		own := rand.New(rand.NewPCG(uint64(seed), uint64(i)+1))
		l.tasks.Go(func() { c.run(ctx, own) })
	}
	for i, h := range f.hosts {
		own := rand.New(rand.NewPCG(uint64(seed), uint64(leaverCallers+i)+1))
		l.tasks.Go(func() { stopRepeatedly(ctx, h, own) })
	}
	for end := time.Now().Add(leaverRunTime); time.Now().Before(end); time.Sleep(roundInterval) {
		for range leaversPerRound {
			l.leave()
		}
		round(l)
	}
	stop()
	l.tasks.Wait()
	late, violations := f.lateArrivals(c.requests())
	for _, b := range violations {
		t.Log(b)
	}
	refused := 0
	for _, s := range c.requests() {
		if s.status != 200 {
			refused++
		}
	}
	t.Logf("seed %d: %d requests, %d not served, %d arrivals after a leaving, the latest of them %s after it", seed, len(c.requests()), refused, len(late), slices.Max(append(late, 0)))
	must.SliceEmpty(t, violations)
}

// stopRepeatedly stops a host's process again and again for a short time until ctx ends.
func stopRepeatedly(ctx context.Context, h *host, r *rand.Rand) {
	for ctx.Err() == nil {
		d := minStop + time.Duration(r.Int64N(int64(maxStop-minStop)))
		h.signal(syscall.SIGSTOP)
		time.Sleep(d)
		h.signal(syscall.SIGCONT)
		time.Sleep(time.Duration(float64(d) * (1 - stopShare) / stopShare * 2 * r.Float64()))
	}
}

// lateArrivals returns the time after the endpoint's leaving of each request that arrived later,
// and describes those beyond the drain time whose host was undisturbed.
func (f *fleet) lateArrivals(all []*sentRequest) (late []time.Duration, violations []string) {
	byID := make(map[string]*sentRequest, len(all))
	for _, s := range all {
		byID[s.id] = s
	}
	for _, m := range f.allEndpoints() {
		for _, run := range m.Runs() {
			if m.leftAt.IsZero() || run.ReceivedAt.Before(m.leftAt) {
				continue
			}
			d := run.ReceivedAt.Sub(m.leftAt)
			late = append(late, d)
			if s := byID[run.AttemptID]; d > f.drain && s != nil && s.host.isUndisturbed(run.ReceivedAt) {
				violations = append(violations, fmt.Sprintf("%s reached %s from %s %s after it left, %s after it was sent", s.id, m.Instance, s.host.name, d, run.ReceivedAt.Sub(s.sentAt)))
			}
		}
	}
	return late, violations
}

// leave retires a random endpoint, which serves for leaverServeTime.
func (l *leaverRun) leave() {
	m, announced := l.randomEndpoint(), l.rand.IntN(3) > 0
	if m.service == site.Plain && len(l.fleet.stayingEndpoints(m.service)) < 2 {
		return
	}
	m.mu.Lock()
	m.leftAt = time.Now() // no later call draws it again
	m.mu.Unlock()
	l.tasks.Go(func() { l.fleet.retireEndpoint(m, announced, leaverServeTime, 0) })
}

// writeLargeConfig writes a large configuration with a new version.
func (l *leaverRun) writeLargeConfig() {
	l.configVersion++
	d := newConfig(l.configVersion, workspaceKeys(0))
	for i := range extraRoutes {
		r := d.Routes[0]
		r.Name, r.PathPrefix = fmt.Sprint("more-", i), fmt.Sprintf("/more/%d/", i)
		d.Routes = append(d.Routes, r)
	}
	l.fleet.store.Put(platform.KeyConfig, d)
}

// strongHosts is the number of hosts with a larger processor share than the others.
const strongHosts = 6

// killStrong kills one of the strongest hosts, which relay for others, and restarts it.
func (l *leaverRun) killStrong() {
	h := l.fleet.hosts[l.rand.IntN(min(strongHosts, len(l.fleet.hosts)))]
	l.tasks.Go(func() {
		defer h.beginDisturbance()()
		h.signal(syscall.SIGKILL)
		<-h.done()
		time.Sleep(startTime)
		if err := l.fleet.start(h); err != nil {
			panic(err)
		}
	})
}

// refuseStore refuses a host's connections to the store for startTime.
func (l *leaverRun) refuseStore() {
	h := l.randomHost()
	l.tasks.Go(func() {
		defer h.beginDisturbance()()
		h.storeProxy.Refuse(true)
		h.storeProxy.Reset()
		time.Sleep(startTime)
		h.storeProxy.Refuse(false)
	})
}
