// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peers

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/quarantine"
)

// Parameters of the simulations.
const (
	// contactTime is the time for which a host must have run undisturbed for the limit to apply to it: the
	// contact time of the smallest sites.
	contactTime = 3 * time.Second
	// maxLateSends limits the number of times that such hosts send a request later than contactTime after the
	// third crash under it.
	maxLateSends = 3
	// faultSpan is the time in which faults occur; crashDelay is the time from a send to the crash.
	faultSpan  = 25 * time.Second
	crashDelay = 100 * time.Millisecond
	// lateCrashDelay is the crash delay of a request that lets endpoints work for a while.
	lateCrashDelay = 1500 * time.Millisecond
)

// crashSimulation is a fleet that repeatedly gets a request that crashes the endpoint that runs it, while hosts
// and network have faults.
type crashSimulation struct {
	rand  *rand.Rand
	ctx   context.Context
	net   *network
	hosts []*crashHost

	mu              sync.Mutex
	up              []bool
	healthySince    []time.Duration // by host: end of its last trouble, or its start if it lasts
	store           map[quarantine.Fingerprint]quarantine.Record
	lateCrash       bool // the request lets endpoints work for a while
	storeDown       bool
	incarnations    int
	thirdCrash      time.Duration // when the third endpoint crashed, 0 until then
	crashes         int
	lateSends       int
	sendsAfterThird int // by all hosts
}

// newCrashSimulation starts a fleet.
func newCrashSimulation(ctx context.Context, hosts int, seed uint64) *crashSimulation {
	h := &crashSimulation{
		rand: rand.New(rand.NewPCG(seed, uint64(hosts))), ctx: ctx, lateCrash: seed%2 == 1, store: make(map[quarantine.Fingerprint]quarantine.Record),
		up: make([]bool, hosts), healthySince: make([]time.Duration, hosts),
	}
	h.hosts = crashFleet(ctx, hosts, []float64{0, 0.02, 0.1}[seed%3])
	h.net = h.hosts[0].conn.network
	for i := range h.up {
		h.up[i] = true
	}
	return h
}

// isUp reports whether a host's process runs.
func (h *crashSimulation) isUp(i int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.up[i]
}

// setUp records whether a host's process runs; it returns false if that is unchanged.
func (h *crashSimulation) setUp(i int, up bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	changed := h.up[i] != up
	h.up[i] = up
	return changed
}

// setStoreDown makes the store unavailable or available again.
func (h *crashSimulation) setStoreDown(down bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.storeDown = down
}

// storedRecords returns the records in the store, or nothing while it is down.
func (h *crashSimulation) storedRecords() []quarantine.Record {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.storeDown {
		return nil
	}
	return slices.Collect(maps.Values(h.store))
}

// now returns the time, which is the same at all hosts.
func (h *crashSimulation) now() time.Duration { return h.hosts[0].now() }

// noteTrouble records that hosts have faults now.
func (h *crashSimulation) noteTrouble(hosts []int) {
	now := h.now()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, i := range hosts {
		h.healthySince[i] = now
	}
}

// randomHosts returns each host with probability part.
func (h *crashSimulation) randomHosts(part float64) []int {
	var out []int
	for i := range h.hosts {
		if h.rand.Float64() < part {
			out = append(out, i)
		}
	}
	return out
}

// kill ends the processes of hosts, which restart after one second with nothing but the records in the store.
func (h *crashSimulation) kill(hosts []int) {
	for _, i := range hosts {
		if h.setUp(i, false) {
			h.hosts[i].cancel()
			h.hosts[i].conn.isolate()
		}
	}
	h.noteTrouble(hosts)
	time.Sleep(time.Second)
	for _, i := range hosts {
		if h.isUp(i) {
			continue
		}
		o, records := h.hosts[i], h.storedRecords()
		o.mu.Lock()
		o.registry = quarantine.Registry{Host: o.agent.Table.Host}
		for k := range records {
			o.registry.Restore(o.now(), o.now().Milliseconds(), &records[k])
		}
		o.mu.Unlock()
		o.conn = h.net.open(i)
		o.start(h.ctx, i, h.hosts[0].info.Address)
		o.agent.SetExtraSeeds([]string{h.hosts[1].info.Address, h.hosts[2].info.Address}) // settings list three hosts
		h.setUp(i, true)
	}
	h.noteTrouble(hosts)
}

// suspend makes hosts send and receive nothing for a while, as if suspended or frozen.
func (h *crashSimulation) suspend(hosts []int) {
	for _, i := range hosts {
		h.hosts[i].conn.setSuspended(true)
	}
	h.noteTrouble(hosts)
	began := h.now()
	time.Sleep(time.Duration(500+h.rand.IntN(3500)) * time.Millisecond)
	for _, i := range hosts {
		if h.isUp(i) {
			h.hosts[i].conn.setSuspended(false)
			h.hosts[i].agent.NoteGap(h.now() - began)
		}
	}
	h.noteTrouble(hosts)
}

// partition partitions the fleet for a while, in both directions or in one.
func (h *crashSimulation) partition() {
	side := make(map[string]bool)
	for _, i := range h.randomHosts(0.5) {
		side[h.hosts[i].conn.address.String()] = true
	}
	oneWay := h.rand.IntN(3) == 0
	h.net.setBlocked(func(from, to string) bool { return side[from] && !side[to] || !oneWay && !side[from] && side[to] })
	h.noteTrouble(h.randomHosts(1))
	time.Sleep(time.Duration(500+h.rand.IntN(4000)) * time.Millisecond)
	h.net.setBlocked(nil)
	h.noteTrouble(h.randomHosts(1))
}

// step injects one random fault, or none.
func (h *crashSimulation) step() {
	switch h.rand.IntN(8) {
	case 0:
		h.kill(h.randomHosts(1))
	case 1:
		h.kill(h.randomHosts(0.5))
	case 2, 3:
		h.kill([]int{h.rand.IntN(len(h.hosts))})
	case 4:
		h.suspend(h.randomHosts(0.5))
	case 5:
		h.partition()
	case 6:
		h.setStoreDown(true)
		time.Sleep(time.Duration(h.rand.IntN(4000)) * time.Millisecond)
		h.setStoreDown(false)
	}
	time.Sleep(time.Duration(h.rand.IntN(2500)) * time.Millisecond)
}

// saveRecords saves records as hosts do: only the first host by rank saves.
func (h *crashSimulation) saveRecords() {
	for i, o := range h.hosts {
		if !h.isUp(i) || o.agent.Rank() > 0 {
			continue
		}
		o.mu.Lock()
		h.mu.Lock()
		for _, r := range o.registry.Unsaved(o.now(), o.now().Milliseconds()) {
			if h.storeDown {
				break
			}
			if stored, ok := h.store[r.Fingerprint]; !ok || !stored.Covers(&r) {
				h.store[r.Fingerprint] = r
			}
			stored := h.store[r.Fingerprint]
			o.registry.Restore(o.now(), o.now().Milliseconds(), &stored)
		}
		h.mu.Unlock()
		o.mu.Unlock()
	}
}

// admits reports whether a host may send the request, by the same rules as in package ingress: a trial must be
// granted by the store.
func (h *crashSimulation) admits(i int, f quarantine.Fingerprint) bool {
	o := h.hosts[i]
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.now()
	if _, held := o.registry.Held(now, f); held {
		return false
	}
	if !o.registry.OnTrial(now, f) {
		return true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.storeDown {
		return false
	}
	if stored, ok := h.store[f]; ok {
		o.registry.Restore(now, now.Milliseconds(), &stored)
	}
	r := o.registry.Record(now, now.Milliseconds(), f)
	if !r.Grant(now.Milliseconds()) {
		return false
	}
	h.store[f] = r
	o.registry.Restore(now, now.Milliseconds(), &r)
	return true
}

// send sends the request to a host.
func (h *crashSimulation) send(i int, f quarantine.Fingerprint) {
	if !h.isUp(i) || !h.admits(i, f) {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.thirdCrash != 0 {
		h.sendsAfterThird++
		if h.now() > h.thirdCrash+contactTime && h.now() > h.healthySince[i]+contactTime {
			h.lateSends++
		}
	}
	h.incarnations++
	incarnation := fmt.Sprint("life-", h.incarnations)
	o := h.hosts[i]
	ran := crashDelay
	if h.lateCrash {
		ran = lateCrashDelay
	}
	time.AfterFunc(ran, func() {
		h.mu.Lock()
		if h.crashes++; h.crashes == 3 {
			h.thirdCrash = o.now()
		}
		h.mu.Unlock()
		if h.isUp(i) {
			o.noteEnd(f, quarantine.Termination{Incarnation: incarnation, At: o.now(), RequestAge: ran, NoResponse: !h.lateCrash})
		}
	})
}

// TestCrashSimulations simulates fleets that get requests that crash the endpoints that run them, while one,
// half or all of the hosts are killed, hosts are suspended or partitioned, datagrams are lost and the store is
// down. Hosts that have run undisturbed for contactTime may send such a request at most three times later than
// contactTime after the third crash. HEATHKEEL_SEEDS sets the number of seeds, HEATHKEEL_TEST_BIG adds larger
// fleets.
func TestCrashSimulations(t *testing.T) {
	cases := []struct {
		hosts, seeds int
		big          bool
	}{{6, 20, false}, {24, 4, false}, {85, 1, false}, {300, 1, true}}
	for _, c := range cases {
		if n, err := strconv.Atoi(os.Getenv("HEATHKEEL_SEEDS")); err == nil {
			c.seeds = n
		}
		if c.big && os.Getenv("HEATHKEEL_TEST_BIG") == "" {
			continue
		}
		for seed := range uint64(c.seeds) {
			t.Run(fmt.Sprint(c.hosts, " hosts, seed ", seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(t.Context())
					defer cancel()
					h := newCrashSimulation(ctx, c.hosts, seed)
					time.Sleep(4 * time.Second)
					r := quarantine.Request{URI: "/a"}
					f := r.Fingerprint()
					stop, done := make(chan struct{}), make(chan struct{})
					go func() {
						defer close(done)
						for h.now() < faultSpan {
							h.step()
						}
						time.Sleep(2 * contactTime)
						close(stop)
					}()
					random := rand.New(rand.NewPCG(seed, 7))
					for n := 0; ; n++ {
						select {
						case <-stop:
						default:
							h.send(random.IntN(len(h.hosts)), f)
							if n%4 == 0 {
								h.saveRecords()
							}
							time.Sleep(time.Duration(100+random.IntN(900)) * time.Millisecond)
							continue
						}
						break
					}
					<-done
					cancel()
					time.Sleep(time.Second)
					synctest.Wait()
					t.Logf("%d endpoints crashed, %d sends after the third crash, %d of them by undisturbed hosts later than the contact time", h.crashes, h.sendsAfterThird, h.lateSends)
					must.LessEq(t, maxLateSends, h.lateSends)
				})
			})
		}
	}
}
