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

// revokeTime is the time for which hosts of a Site may still accept a withdrawn key.
const revokeTime = 5 * time.Second

// suspension is a suspension of a host.
type suspension struct {
	start  time.Time
	length time.Duration
}

// scenario suspends hosts at random while keys are withdrawn, endpoints come and leave, and the
// store fails.
type scenario struct {
	*Site
	rand      *rand.Rand
	hosts     []*Host
	startedAt time.Time

	mu          sync.Mutex
	config      Config
	keyNumber   int
	withdrawn   map[string]time.Time // time of withdrawal, by key
	removed     map[string]bool      // endpoints whose entry was removed
	endpoints   []*Endpoint
	suspensions [][]suspension // by host
	sent        map[string]sentRequest
	violations  []string
}

// sentRequest is a request that a caller sent and its answer.
type sentRequest struct {
	host   int
	key    string
	answer Answer
}

// maxTransit is the longest time that a request takes from its host's last check to the endpoint. A
// suspension in that time is detected only after the request has arrived.
const maxTransit = 20 * time.Millisecond

// hostTime returns the time since the start by a host's clock, which counts suspensions, except
// those that began within maxTransit before at.
func (h *scenario) hostTime(host int, at time.Time) time.Duration {
	elapsed := at.Sub(h.startedAt)
	for _, s := range h.suspensions[host] {
		if s.start.Before(at.Add(-maxTransit)) {
			elapsed += s.length
		}
	}
	return elapsed
}

// writeConfig writes the configuration with the next version.
func (h *scenario) writeConfig() {
	h.config.Version++
	h.Store.Put(platform.KeyConfig, h.config)
}

// rotateKey replaces the current key by a new one.
func (h *scenario) rotateKey() {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.config.Tenants[0].Keys[0]
	h.keyNumber++
	h.config.Tenants[0].Keys = []string{fmt.Sprint("key-", h.keyNumber)}
	h.writeConfig()
	h.withdrawn[old] = time.Now()
}

// removeEndpoint adds an endpoint and removes the entry of an older one, which continues to serve.
func (h *scenario) removeEndpoint(t *testing.T) {
	h.addEndpoint(t)
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, e := range h.endpoints {
		if !h.removed[e.Instance] {
			h.Store.Remove(platform.PrefixEndpoints + e.Instance)
			h.removed[e.Instance] = true
			return
		}
	}
}

// addEndpoint starts an endpoint of the plain service.
func (h *scenario) addEndpoint(t *testing.T) {
	h.mu.Lock()
	defer h.mu.Unlock()
	e := &Endpoint{Instance: fmt.Sprint("p-", len(h.endpoints))}
	must.NoError(t, h.AddEndpoint(Plain, e))
	h.endpoints = append(h.endpoints, e)
}

// suspend suspends some hosts, or all, for the same time. The changes that happen meanwhile are
// written to the store before the suspended hosts receive anything. In reality the running hosts
// would learn of the changes during the suspension, but no time passes for them here, so the
// function waits until they know. Otherwise one of them would truthfully report that it knew of no
// newer data some milliseconds ago, and mean a moment before the suspension.
func (h *scenario) suspend(t *testing.T) {
	d := suspensionTimes[h.rand.IntN(len(suspensionTimes))]
	var suspended, running []int
	all := h.rand.IntN(2) == 0
	for i := range h.hosts {
		if all || h.rand.IntN(2) == 0 {
			suspended = append(suspended, i)
			h.hosts[i].StallStore(true)
		} else {
			running = append(running, i)
		}
	}
	if h.rand.IntN(2) == 0 {
		h.rotateKey()
	}
	if h.rand.IntN(2) == 0 {
		h.removeEndpoint(t)
	}
	for _, i := range running {
		(&testSite{Site: h.Site}).await(t, "the running hosts know the current key", func() bool {
			return Do(h.hosts[i].Boot.Front, Call{Path: "/ask/a", Key: fmt.Sprint("key-", h.keyNumber), ID: "known"}).Status == 200
		})
	}
	h.mu.Lock()
	for _, i := range suspended {
		h.suspensions[i] = append(h.suspensions[i], suspension{time.Now(), d})
		h.hosts[i].Suspend(d)
	}
	h.mu.Unlock()
	time.Sleep(time.Duration(h.rand.IntN(60)) * time.Millisecond)
	for _, i := range suspended {
		h.hosts[i].StallStore(false)
	}
}

// outage makes the store refuse all calls for a while.
func (h *scenario) outage() {
	h.Store.SetFault(StoreFault{Status: 503})
	time.Sleep(time.Duration(h.rand.IntN(800)) * time.Millisecond)
	h.Store.SetFault(StoreFault{})
}

// step makes one random change.
func (h *scenario) step(t *testing.T) {
	switch h.rand.IntN(6) {
	case 0:
		h.rotateKey()
	case 1:
		h.removeEndpoint(t)
	case 2:
		h.outage()
	default:
		h.suspend(t)
	}
	time.Sleep(time.Duration(h.rand.IntN(300)) * time.Millisecond)
}

// runCaller sends requests of all kinds, with the current key and with older ones, until stop is
// closed.
func (h *scenario) runCaller(k int, r *rand.Rand, stop chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		h.mu.Lock()
		key := fmt.Sprint("key-", max(0, h.keyNumber-r.IntN(3)))
		h.mu.Unlock()
		s := sentRequest{host: r.IntN(len(h.hosts)), key: key}
		id := fmt.Sprintf("call-%d-%d", k, n)
		path := []string{"/ask/a", "/push/a", "/brief/a"}[r.IntN(3)]
		s.answer = Do(h.hosts[s.host].Boot.Front, Call{Path: path, Key: key, ID: id, Body: "b"})
		h.mu.Lock()
		h.sent[id] = s
		h.mu.Unlock()
		time.Sleep(2 * time.Millisecond)
	}
}

// check compares each run at an endpoint with the keys that were withdrawn when it began, and each
// refusal with the runs.
func (h *scenario) check() {
	runs := make(map[string]int)
	for _, e := range h.endpoints {
		for _, r := range e.Runs() {
			runs[r.AttemptID]++
			s, known := h.sent[r.AttemptID]
			since, withdrawn := h.withdrawn[s.key]
			if !known || !withdrawn {
				continue
			}
			if age := h.hostTime(s.host, r.ReceivedAt) - h.hostTime(s.host, since); age > revokeTime {
				h.violations = append(h.violations, fmt.Sprintf("%s ran at host %d under %s, withdrawn %v before", r.AttemptID, s.host, s.key, age))
			}
		}
	}
	for id, s := range h.sent {
		refused := s.answer.Status == 503 || s.answer.Status == 429
		if refused && runs[id] > 0 {
			h.violations = append(h.violations, fmt.Sprintf("%s was refused as not run, but ran", id))
		}
	}
}

// TestSuspensionsAtRandom runs random scenarios with suspensions. No request may run later than
// the revocation time after its key was withdrawn, by the host's clock, which counts suspensions,
// and no refusal may be untrue. HEATHKEEL_SEEDS sets the number of scenarios.
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
			h := &scenario{
				Site: s, rand: rand.New(rand.NewPCG(seed, 41)), startedAt: time.Now(), config: Example(), withdrawn: make(map[string]time.Time),
				removed: make(map[string]bool), sent: make(map[string]sentRequest), suspensions: make([][]suspension, 3),
			}
			h.config.Tenants[0].Keys = []string{"key-0"}
			h.writeConfig()
			for range 2 {
				h.addEndpoint(t)
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
			must.SliceEmpty(t, h.violations, must.Sprint(strings.Join(h.violations, "\n")))
			must.Positive(t, len(h.sent))
		})
	}
}

// play makes some steps while callers send requests.
func (h *scenario) play(t *testing.T, steps int) {
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for c := range 6 {
		r := rand.New(rand.NewPCG(h.rand.Uint64(), uint64(c)))
		callers.Go(func() { h.runCaller(c, r, stop) })
	}
	for range steps {
		h.step(t)
	}
	close(stop)
	callers.Wait()
	h.check()
}
