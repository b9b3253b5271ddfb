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

// Figures of the histories.
const (
	// touchTime is the time for which a host must have run undisturbed to be held to the bound: the contact time of the smallest sites.
	touchTime = 3 * time.Second
	// mostLater is the number of sends of a request by such hosts later than that time after the third crash under it.
	mostLater = 3
	// historySpan is the time in which trouble strikes; killTime is that from a send to the crash.
	historySpan = 25 * time.Second
	killTime    = 100 * time.Millisecond
	// lateKillTime is that of a request which lets endpoints work for a while.
	lateKillTime = 1500 * time.Millisecond
)

// crashHistory is a fleet to which a request comes again and again that crashes what runs it, while hosts and network are in trouble.
type crashHistory struct {
	rand  *rand.Rand
	ctx   context.Context
	net   *network
	hosts []*holder

	mu     sync.Mutex
	up     []bool
	calm   []time.Duration // by host: when its last trouble was over, or began if it lasts
	store  map[quarantine.Fingerprint]quarantine.Record
	late   bool // the request lets endpoints work for a while
	down   bool // the store
	lives  int
	third  time.Duration // when the third endpoint crashed, 0 until then
	crash  int
	later  int
	beyond int // sends in all
}

// newCrashHistory starts a fleet.
func newCrashHistory(ctx context.Context, hosts int, seed uint64) *crashHistory {
	h := &crashHistory{
		rand: rand.New(rand.NewPCG(seed, uint64(hosts))), ctx: ctx, late: seed%2 == 1, store: make(map[quarantine.Fingerprint]quarantine.Record),
		up: make([]bool, hosts), calm: make([]time.Duration, hosts),
	}
	h.hosts = holders(ctx, hosts, []float64{0, 0.02, 0.1}[seed%3])
	h.net = h.hosts[0].conn.network
	for i := range h.up {
		h.up[i] = true
	}
	return h
}

// isUp tells whether a host's process runs.
func (h *crashHistory) isUp(i int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.up[i]
}

// setUp notes whether a host's process runs; it returns false if that is known.
func (h *crashHistory) setUp(i int, up bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	changed := h.up[i] != up
	h.up[i] = up
	return changed
}

// setDown takes the store away, or gives it back.
func (h *crashHistory) setDown(down bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.down = down
}

// kept gives what the store holds, or nothing while it is down.
func (h *crashHistory) kept() []quarantine.Record {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.down {
		return nil
	}
	return slices.Collect(maps.Values(h.store))
}

// now is the time of all hosts.
func (h *crashHistory) now() time.Duration { return h.hosts[0].now() }

// trouble notes that hosts are in trouble now.
func (h *crashHistory) trouble(hosts []int) {
	now := h.now()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, i := range hosts {
		h.calm[i] = now
	}
}

// some draws hosts.
func (h *crashHistory) some(part float64) []int {
	var out []int
	for i := range h.hosts {
		if h.rand.Float64() < part {
			out = append(out, i)
		}
	}
	return out
}

// kill ends the processes of hosts, which are back after a second with nothing but what the store holds.
func (h *crashHistory) kill(hosts []int) {
	for _, i := range hosts {
		if h.setUp(i, false) {
			h.hosts[i].cancel()
			h.hosts[i].conn.silence()
		}
	}
	h.trouble(hosts)
	time.Sleep(time.Second)
	for _, i := range hosts {
		if h.isUp(i) {
			continue
		}
		o, kept := h.hosts[i], h.kept()
		o.mu.Lock()
		o.book = quarantine.Registry{Host: o.agent.Table.Host}
		for k := range kept {
			o.book.Restore(o.now(), o.now().Milliseconds(), &kept[k])
		}
		o.mu.Unlock()
		o.conn = h.net.open(i)
		o.start(h.ctx, i, h.hosts[0].row.Address)
		o.agent.SetExtraSeeds([]string{h.hosts[1].row.Address, h.hosts[2].row.Address}) // settings name three hosts
		h.setUp(i, true)
	}
	h.trouble(hosts)
}

// doze lets hosts hear and send nothing for a while, as if suspended or frozen.
func (h *crashHistory) doze(hosts []int) {
	for _, i := range hosts {
		h.hosts[i].conn.asleep(true)
	}
	h.trouble(hosts)
	began := h.now()
	time.Sleep(time.Duration(500+h.rand.IntN(3500)) * time.Millisecond)
	for _, i := range hosts {
		if h.isUp(i) {
			h.hosts[i].conn.asleep(false)
			h.hosts[i].agent.NoteGap(h.now() - began)
		}
	}
	h.trouble(hosts)
}

// cut parts the fleet in two for a while, or one way.
func (h *crashHistory) cut() {
	side := make(map[string]bool)
	for _, i := range h.some(0.5) {
		side[h.hosts[i].conn.address.String()] = true
	}
	oneWay := h.rand.IntN(3) == 0
	h.net.setCut(func(from, to string) bool { return side[from] && !side[to] || !oneWay && !side[from] && side[to] })
	h.trouble(h.some(1))
	time.Sleep(time.Duration(500+h.rand.IntN(4000)) * time.Millisecond)
	h.net.setCut(nil)
	h.trouble(h.some(1))
}

// step does one thing.
func (h *crashHistory) step() {
	switch h.rand.IntN(8) {
	case 0:
		h.kill(h.some(1))
	case 1:
		h.kill(h.some(0.5))
	case 2, 3:
		h.kill([]int{h.rand.IntN(len(h.hosts))})
	case 4:
		h.doze(h.some(0.5))
	case 5:
		h.cut()
	case 6:
		h.setDown(true)
		time.Sleep(time.Duration(h.rand.IntN(4000)) * time.Millisecond)
		h.setDown(false)
	}
	time.Sleep(time.Duration(h.rand.IntN(2500)) * time.Millisecond)
}

// keep writes records as hosts do: the first in the order of hosts.
func (h *crashHistory) keep() {
	for i, o := range h.hosts {
		if !h.isUp(i) || o.agent.Rank() > 0 {
			continue
		}
		o.mu.Lock()
		h.mu.Lock()
		for _, r := range o.book.Unsaved(o.now(), o.now().Milliseconds()) {
			if h.down {
				break
			}
			if stands, ok := h.store[r.Fingerprint]; !ok || !stands.Covers(&r) {
				h.store[r.Fingerprint] = r
			}
			stands := h.store[r.Fingerprint]
			o.book.Restore(o.now(), o.now().Milliseconds(), &stands)
		}
		h.mu.Unlock()
		o.mu.Unlock()
	}
}

// grants tells whether a host may send the request, as ingress does it: a send on trial is granted by the store.
func (h *crashHistory) grants(i int, f quarantine.Fingerprint) bool {
	o := h.hosts[i]
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.now()
	if _, held := o.book.Held(now, f); held {
		return false
	}
	if !o.book.OnTrial(now, f) {
		return true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.down {
		return false
	}
	if stands, ok := h.store[f]; ok {
		o.book.Restore(now, now.Milliseconds(), &stands)
	}
	r := o.book.Record(now, now.Milliseconds(), f)
	if !r.Grant(now.Milliseconds()) {
		return false
	}
	h.store[f] = r
	o.book.Restore(now, now.Milliseconds(), &r)
	return true
}

// send lets the request come to a host.
func (h *crashHistory) send(i int, f quarantine.Fingerprint) {
	if !h.isUp(i) || !h.grants(i, f) {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.third != 0 {
		h.beyond++
		if h.now() > h.third+touchTime && h.now() > h.calm[i]+touchTime {
			h.later++
		}
	}
	h.lives++
	life := fmt.Sprint("life-", h.lives)
	o := h.hosts[i]
	ran := killTime
	if h.late {
		ran = lateKillTime
	}
	time.AfterFunc(ran, func() {
		h.mu.Lock()
		if h.crash++; h.crash == 3 {
			h.third = o.now()
		}
		h.mu.Unlock()
		if h.isUp(i) {
			o.ended(f, quarantine.Termination{Incarnation: life, At: o.now(), RequestAge: ran, NoResponse: !h.late})
		}
	})
}

// TestCrashHistories plays requests that crash what runs them to fleets in which hosts are killed, one, half or all of them, sleep, are cut off and
// lose datagrams, and the store is down: hosts that have run undisturbed for the contact time send such a request three times at most
// later than that time after the third crash. HEATHKEEL_SEEDS plays more, HEATHKEEL_TEST_BIG larger fleets.
func TestCrashHistories(t *testing.T) {
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
					h := newCrashHistory(ctx, c.hosts, seed)
					time.Sleep(4 * time.Second)
					r := quarantine.Request{URI: "/a"}
					f := r.Fingerprint()
					stop, done := make(chan struct{}), make(chan struct{})
					go func() {
						defer close(done)
						for h.now() < historySpan {
							h.step()
						}
						time.Sleep(2 * touchTime)
						close(stop)
					}()
					pause := rand.New(rand.NewPCG(seed, 7))
					for n := 0; ; n++ {
						select {
						case <-stop:
						default:
							h.send(pause.IntN(len(h.hosts)), f)
							if n%4 == 0 {
								h.keep()
							}
							time.Sleep(time.Duration(100+pause.IntN(900)) * time.Millisecond)
							continue
						}
						break
					}
					<-done
					cancel()
					time.Sleep(time.Second)
					synctest.Wait()
					t.Logf("%d endpoints crashed, %d sends after the third, %d of them by hosts in touch later than the contact time", h.crash, h.beyond, h.later)
					must.LessEq(t, mostLater, h.later)
				})
			})
		}
	}
}
