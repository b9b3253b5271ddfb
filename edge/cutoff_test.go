// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package edge_test

import (
	"fmt"
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

// TestHostsWithoutEndpoints checks that callers of hosts that reach no endpoint, while other hosts do, are served nearly as often as
// those of the others from the contact time on, that nothing runs twice or after a refusal, and that all are served once the paths
// are back.
func TestHostsWithoutEndpoints(t *testing.T) {
	modes := []struct {
		name string
		mode simnet.CutMode
	}{{"silent", simnet.Silent}, {"reset", simnet.Reset}, {"new ones refused", simnet.RefuseNew}}
	fleets := []struct {
		boot       platform.Boot
		hosts, cut int
		endpoints  int
		perSecond  float64
		once       bool
	}{
		{boot: smallBoot, hosts: 6, cut: 1, endpoints: 6, perSecond: 60},
		{boot: smallBoot, hosts: 6, cut: 1, endpoints: 6, perSecond: 60, once: true},
		{boot: smallBoot, hosts: 6, cut: 2, endpoints: 6, perSecond: 60},
		{boot: smallBoot, hosts: 6, cut: 4, endpoints: 6, perSecond: 60, once: true},
		{boot: largeBoot, hosts: 85, cut: 28, endpoints: 12, perSecond: 150},
	}
	const cutFor = 12 * time.Second
	for _, f := range fleets {
		for _, m := range modes {
			t.Run(fmt.Sprintf("%d of %d hosts, %s, once %v", f.cut, f.hosts, m.name, f.once), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					s := &simsite.Site{Boot: f.boot, Zones: 3, StrongPerZone: 2, Latency: time.Millisecond, Log: logr.Discard()}
					defer s.Stop()
					must.NoError(t, s.Start(site.Example(), f.endpoints, f.hosts))
					for _, e := range s.Endpoints {
						e.Work = 30 * time.Millisecond
					}
					path := "/ask/x"
					if f.once {
						path = "/push/x"
					}
					time.Sleep(5 * time.Second)
					sendToEach(s, 2*time.Second, f.perSecond, path)
					for _, h := range s.Hosts[:f.cut] {
						h.CutOffEndpoints(m.mode)
					}
					early := sendToEach(s, f.boot.ContactTime, f.perSecond, path)
					bound := sendToEach(s, cutFor-f.boot.ContactTime, f.perSecond, path)
					for _, h := range s.Hosts[:f.cut] {
						h.Heal()
					}
					time.Sleep(2 * time.Second)
					after := sendToEach(s, 2*time.Second, f.perSecond, path)
					sentCut, servedCut := bound.served(0, f.cut)
					sent, served := bound.served(f.cut, f.hosts)
					t.Logf("%d of %d, the others %d of %d", servedCut, sentCut, served, sent)
					failed := sentCut - servedCut + sent - served
					ratio := float64(servedCut) / float64(sentCut) / (float64(served) / float64(sent))
					must.True(t, ratio >= 2.0/3 || failed <= 10+(sentCut+sent)/50)
					for _, answers := range []answersByHost{early, bound, after} {
						checkPromises(t, s, answers, f.once)
					}
					sentAfter, servedAfter := after.served(0, f.hosts)
					must.Eq(t, sentAfter, servedAfter)
				})
			})
		}
	}
}
