// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package edge_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/internal/simnet"
	"github.com/heathkeel/heathkeel/internal/simsite"
	"github.com/heathkeel/heathkeel/internal/site"
	"github.com/heathkeel/heathkeel/platform"
)

// answersByHost are the answers to requests, by the index of the host that got them.
type answersByHost map[int][]simsite.Answer

// sendToEach sends requests to the hosts in turn for d and returns the answers.
func sendToEach(s *simsite.Site, d time.Duration, perSecond float64, path string) answersByHost {
	var wg sync.WaitGroup
	var mu sync.Mutex
	out := make(answersByHost)
	end := time.Now().Add(d)
	for n := 0; time.Now().Before(end); n++ {
		i := n % len(s.Hosts)
		wg.Go(func() {
			a := s.Send(s.Hosts[i], path, site.Key)
			mu.Lock()
			defer mu.Unlock()
			out[i] = append(out[i], a)
		})
		time.Sleep(time.Duration(float64(time.Second) / perSecond))
	}
	wg.Wait()
	return out
}

// served returns the numbers of requests sent to, and served at, the hosts from index first on and before index last.
func (b answersByHost) served(first, last int) (sent, served int) {
	for i := first; i < last; i++ {
		for _, a := range b[i] {
			sent++
			if a.Status == http.StatusOK && a.Stamped {
				served++
			}
		}
	}
	return sent, served
}

// checkPromises checks that no request that may run once ran twice, and that none ran whose caller was told that it did not.
func checkPromises(t *testing.T, s *simsite.Site, answers answersByHost, once bool) {
	runs := make(map[string]int)
	for _, e := range s.Endpoints {
		for _, a := range e.Arrivals() {
			runs[a.ID]++
		}
	}
	for _, list := range answers {
		for _, a := range list {
			if once {
				must.LessEq(t, 1, runs[a.ID], must.Sprint(a))
			}
			if a.Status == http.StatusServiceUnavailable && once {
				must.Zero(t, runs[a.ID], must.Sprint(a))
			}
		}
	}
}

// cutPlay is a play in which some hosts reach no endpoint for a while.
type cutPlay struct {
	boot       platform.Boot
	hosts, cut int // numbers of hosts, and of those that are cut off
	endpoints  int
	perSecond  float64
	once       bool // requests may run once only
}

// cutFor is the time for which hosts reach no endpoint.
const cutFor = 12 * time.Second

// path returns the path of the play's requests.
func (p *cutPlay) path() string {
	if p.once {
		return "/push/x"
	}
	return "/ask/x"
}

// run plays a cut. It checks promises on all answers, and that all requests are served afterwards; it returns the answers from the
// contact time after the begin of the cut until its end.
func (p *cutPlay) run(t *testing.T, mode simnet.CutMode) answersByHost {
	s := startWorking(t, site.Example(), p.boot, p.hosts, p.endpoints, 30*time.Millisecond)
	defer s.Stop()
	sendToEach(s, 2*time.Second, p.perSecond, p.path())
	for _, h := range s.Hosts[:p.cut] {
		h.CutOffEndpoints(mode)
	}
	early := sendToEach(s, p.boot.ContactTime, p.perSecond, p.path())
	bound := sendToEach(s, cutFor-p.boot.ContactTime, p.perSecond, p.path())
	for _, h := range s.Hosts[:p.cut] {
		h.Heal()
	}
	time.Sleep(2 * time.Second)
	after := sendToEach(s, 2*time.Second, p.perSecond, p.path())
	for _, answers := range []answersByHost{early, bound, after} {
		checkPromises(t, s, answers, p.once)
	}
	sent, served := after.served(0, p.hosts)
	must.Eq(t, sent, served)
	return bound
}

// TestHostsWithoutEndpoints checks that callers of hosts that reach no endpoint, while other hosts do, are served nearly as often as
// those of the others from the contact time on, that nothing runs twice or after a refusal, and that all are served once the paths
// are back.
func TestHostsWithoutEndpoints(t *testing.T) {
	modes := []struct {
		name string
		mode simnet.CutMode
	}{{"silent", simnet.Silent}, {"reset", simnet.Reset}, {"new ones refused", simnet.RefuseNew}}
	plays := []cutPlay{
		{boot: smallBoot, hosts: 6, cut: 1, endpoints: 6, perSecond: 60},
		{boot: smallBoot, hosts: 6, cut: 1, endpoints: 6, perSecond: 60, once: true},
		{boot: smallBoot, hosts: 6, cut: 2, endpoints: 6, perSecond: 60},
		{boot: smallBoot, hosts: 6, cut: 4, endpoints: 6, perSecond: 60, once: true},
		{boot: largeBoot, hosts: 85, cut: 28, endpoints: 12, perSecond: 150},
	}
	for _, p := range plays {
		for _, m := range modes {
			t.Run(fmt.Sprintf("%d of %d hosts, %s, once %v", p.cut, p.hosts, m.name, p.once), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					answers := p.run(t, m.mode)
					sentCut, servedCut := answers.served(0, p.cut)
					sent, served := answers.served(p.cut, p.hosts)
					t.Logf("%d of %d, the others %d of %d", servedCut, sentCut, served, sent)
					failed := sentCut - servedCut + sent - served
					ratio := float64(servedCut) / float64(sentCut) / (float64(served) / float64(sent))
					must.True(t, ratio >= 2.0/3 || failed <= 10+(sentCut+sent)/50)
				})
			})
		}
	}
}

// TestRandomCuts plays random sequences of cuts, of restarts and suspensions of hosts and of lost datagrams, while endpoints state rates:
// nothing that may run once runs twice or after a refusal, and all requests are served once all is over.
func TestRandomCuts(t *testing.T) {
	const play = 20 * time.Second
	for seed := range uint64(12) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				s := startWorking(t, site.Example(), smallBoot, 6, 6, 30*time.Millisecond)
				defer s.Stop()
				done := make(chan struct{})
				go func() {
					defer close(done)
					disturbRandomly(s, rand.New(rand.NewPCG(seed, 65)), play)
				}()
				answers := sendToEach(s, play, 60, "/push/x")
				<-done
				time.Sleep(5 * time.Second)
				after := sendToEach(s, 2*time.Second, 60, "/push/x")
				checkPromises(t, s, answers, true)
				checkPromises(t, s, after, true)
				sent, served := after.served(0, len(s.Hosts))
				must.Eq(t, sent, served)
			})
		})
	}
}

// disturbRandomly disturbs a site for d, and ends all disturbances.
func disturbRandomly(s *simsite.Site, r *rand.Rand, d time.Duration) {
	modes := []simnet.CutMode{simnet.Silent, simnet.Reset, simnet.RefuseNew}
	for end := time.Now().Add(d); time.Now().Before(end); {
		h, e := s.Hosts[r.IntN(len(s.Hosts))], s.Endpoints[r.IntN(len(s.Endpoints))]
		switch r.IntN(8) {
		case 0, 1:
			h.CutOffEndpoints(modes[r.IntN(len(modes))])
		case 2:
			h.Heal()
		case 3:
			h.Kill()
			s.StartHost(h)
		case 4:
			h.Suspend(time.Duration(r.Int64N(int64(5 * time.Second))))
		case 5:
			h.DropDatagrams(r.IntN(2) == 0)
		case 6:
			e.StateRate(1 + 5*r.Float64())
		case 7:
			e.StateRate(-1)
		}
		time.Sleep(time.Duration(r.Int64N(int64(time.Second))))
	}
	for _, h := range s.Hosts {
		h.Heal()
		h.DropDatagrams(false)
	}
	for _, e := range s.Endpoints {
		e.StateRate(-1)
	}
}

// TestStreamsOfHostsWithoutEndpointsGoOn checks that streams which run at a host when it loses its paths to all endpoints go on by other
// hosts, although their own connections only fall silent.
func TestStreamsOfHostsWithoutEndpointsGoOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		boot := smallBoot
		boot.RetrySlack, boot.RetryRatio = 600, 1
		s := &simsite.Site{Boot: boot, Zones: 3, StrongPerZone: 2, Latency: time.Millisecond, Log: logr.Discard()}
		defer s.Stop()
		must.NoError(t, s.Start(shortObjectives(), 0, 6))
		for range 6 {
			must.NoError(t, s.AddEngine("v1", simsite.Streams{Events: 60, Pace: 50 * time.Millisecond}))
		}
		time.Sleep(4 * time.Second)
		const streams = 24
		whole := 0
		var mu sync.Mutex
		var wg sync.WaitGroup
		for n := range streams {
			wg.Go(func() {
				a := s.SendStream(s.Hosts[0], simsite.StreamCall{ID: fmt.Sprint("stream-", n)})
				mu.Lock()
				defer mu.Unlock()
				if a.Complete {
					whole++
				}
			})
			time.Sleep(40 * time.Millisecond)
		}
		s.Hosts[0].CutOffEndpoints(simnet.Silent)
		wg.Wait()
		s.Hosts[0].Heal()
		time.Sleep(5 * time.Second)
		must.EqOp(t, streams, whole)
	})
}
