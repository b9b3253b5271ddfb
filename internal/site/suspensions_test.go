// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package site

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/platform"
)

// revokeTime is the time for which a withdrawn key may be used, by the settings of a Site's hosts.
const revokeTime = 5 * time.Second

// suspension is one of a host.
type suspension struct {
	at time.Time
	d  time.Duration
}

// history plays random suspensions of hosts while keys are withdrawn, endpoints come and leave, and the store fails.
type history struct {
	*Site
	rand  *rand.Rand
	hosts []*Host
	began time.Time

	mu          sync.Mutex
	config      Config
	keys        int
	withdrawn   map[string]time.Time // by key
	left        map[string]bool      // endpoints whose entry is gone
	endpoints   []*Endpoint
	suspensions [][]suspension // by host
	sent        map[string]sending
	wrong       []string
}

// sending is a request as a caller sent it.
type sending struct {
	host   int
	key    string
	answer Answer
}

// onTheWay is the time that a request may take from the last look of its host to the endpoint: a suspension in that time is seen by nobody
// before the request is there.
const onTheWay = 20 * time.Millisecond

// clock gives a host's time, without suspensions of the last moment.
func (h *history) clock(host int, at time.Time) time.Duration {
	now := at.Sub(h.began)
	for _, s := range h.suspensions[host] {
		if s.at.Before(at.Add(-onTheWay)) {
			now += s.d
		}
	}
	return now
}

// put writes the configuration with its newest key.
func (h *history) put() {
	h.config.Version++
	h.Store.Put(platform.KeyConfig, h.config)
}

// rekey withdraws the key in use and gives another one.
func (h *history) rekey() {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.config.Tenants[0].Keys[0]
	h.keys++
	h.config.Tenants[0].Keys = []string{fmt.Sprint("key-", h.keys)}
	h.put()
	h.withdrawn[old] = time.Now()
}

// leave removes the entry of an endpoint, which serves on, and adds another one.
func (h *history) leave(t *testing.T) {
	h.add(t)
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, e := range h.endpoints {
		if !h.left[e.Instance] {
			h.Store.Remove(platform.PrefixEndpoints + e.Instance)
			h.left[e.Instance] = true
			return
		}
	}
}

// add starts an endpoint of the plain service.
func (h *history) add(t *testing.T) {
	h.mu.Lock()
	defer h.mu.Unlock()
	e := &Endpoint{Instance: fmt.Sprint("p-", len(h.endpoints))}
	must.NoError(t, h.AddEndpoint(Plain, e))
	h.endpoints = append(h.endpoints, e)
}

// suspend suspends some hosts, or all, for the same time. What happens in the world meanwhile is done before they hear of anything. Those that
// stay awake would hear of it in that time, which passes for nobody here: so they are let to, first. Else one of them would truly say that
// it knew of nothing newer some milliseconds ago, and mean a moment before the sleep.
func (h *history) suspend(t *testing.T) {
	d := suspensions[h.rand.IntN(len(suspensions))]
	var some, awake []int
	all := h.rand.IntN(2) == 0
	for i := range h.hosts {
		if all || h.rand.IntN(2) == 0 {
			some = append(some, i)
			h.hosts[i].StallStore(true)
		} else {
			awake = append(awake, i)
		}
	}
	if h.rand.IntN(2) == 0 {
		h.rekey()
	}
	if h.rand.IntN(2) == 0 {
		h.leave(t)
	}
	for _, i := range awake {
		(&scene{Site: h.Site}).await(t, "those awake know the key in use", func() bool {
			return Do(h.hosts[i].Boot.Front, Call{Path: "/ask/a", Key: fmt.Sprint("key-", h.keys), ID: "known"}).Status == 200
		})
	}
	h.mu.Lock()
	for _, i := range some {
		h.suspensions[i] = append(h.suspensions[i], suspension{time.Now(), d})
		h.hosts[i].Suspend(d)
	}
	h.mu.Unlock()
	time.Sleep(time.Duration(h.rand.IntN(60)) * time.Millisecond)
	for _, i := range some {
		h.hosts[i].StallStore(false)
	}
}

// outage takes the store away for a while.
func (h *history) outage() {
	h.Store.SetFault(StoreFault{Status: 503})
	time.Sleep(time.Duration(h.rand.IntN(800)) * time.Millisecond)
	h.Store.SetFault(StoreFault{})
}

// step does one thing.
func (h *history) step(t *testing.T) {
	switch h.rand.IntN(6) {
	case 0:
		h.rekey()
	case 1:
		h.leave(t)
	case 2:
		h.outage()
	default:
		h.suspend(t)
	}
	time.Sleep(time.Duration(h.rand.IntN(300)) * time.Millisecond)
}

// call sends requests of all kinds, under the key in use and under old ones, until it is stopped.
func (h *history) call(k int, r *rand.Rand, stop chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		h.mu.Lock()
		key := fmt.Sprint("key-", max(0, h.keys-r.IntN(3)))
		h.mu.Unlock()
		s := sending{host: r.IntN(len(h.hosts)), key: key}
		id := fmt.Sprintf("call-%d-%d", k, n)
		path := []string{"/ask/a", "/push/a", "/brief/a"}[r.IntN(3)]
		s.answer = Do(h.hosts[s.host].Boot.Front, Call{Path: path, Key: key, ID: id, Body: "b"})
		h.mu.Lock()
		h.sent[id] = s
		h.mu.Unlock()
		time.Sleep(2 * time.Millisecond)
	}
}

// check holds each run at an endpoint against what was withdrawn when it began, and each refusal against the runs.
func (h *history) check() {
	runs := make(map[string]int)
	for _, e := range h.endpoints {
		for _, r := range e.Runs() {
			runs[r.AttemptID]++
			s, known := h.sent[r.AttemptID]
			since, withdrawn := h.withdrawn[s.key]
			if !known || !withdrawn {
				continue
			}
			if old := h.clock(s.host, r.ReceivedAt) - h.clock(s.host, since); old > revokeTime {
				h.wrong = append(h.wrong, fmt.Sprintf("%s ran at host %d under %s, withdrawn %v before", r.AttemptID, s.host, s.key, old))
			}
		}
	}
	for id, s := range h.sent {
		refused := s.answer.Status == 503 || s.answer.Status == 429
		if refused && runs[id] > 0 {
			h.wrong = append(h.wrong, fmt.Sprintf("%s was told not to have run, and ran", id))
		}
	}
}

// TestSuspensionsAtRandom plays random histories of suspensions: no key runs longer after its withdrawal than the revocation time by the clock of the
// host, which counts suspensions; no refusal is untrue. HEATHKEEL_SEEDS plays more of them.
func TestSuspensionsAtRandom(t *testing.T) {
	seeds := 3
	if v, err := strconv.Atoi(os.Getenv("HEATHKEEL_SEEDS")); err == nil {
		seeds = v
	}
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			s := &Site{Log: logr.Discard()}
			must.NoError(t, s.Start())
			t.Cleanup(s.Stop)
			h := &history{
				Site: s, rand: rand.New(rand.NewPCG(seed, 41)), began: time.Now(), config: Example(), withdrawn: make(map[string]time.Time),
				left: make(map[string]bool), sent: make(map[string]sending), suspensions: make([][]suspension, 3),
			}
			h.config.Tenants[0].Keys = []string{"key-0"}
			h.put()
			for range 2 {
				h.add(t)
			}
			for range 3 {
				host, err := s.AddHost()
				must.NoError(t, err)
				h.hosts = append(h.hosts, host)
			}
			h.play(t, 12)
			t.Cleanup(func() {
				for _, e := range h.endpoints {
					e.Stop()
				}
			})
			must.SliceEmpty(t, h.wrong, must.Sprint(strings.Join(h.wrong, "\n")))
			must.Positive(t, len(h.sent))
		})
	}
}

// play does some steps while callers send.
func (h *history) play(t *testing.T, steps int) {
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for c := range 6 {
		r := rand.New(rand.NewPCG(h.rand.Uint64(), uint64(c)))
		callers.Go(func() { h.call(c, r, stop) })
	}
	for range steps {
		h.step(t)
	}
	close(stop)
	callers.Wait()
	h.check()
}
