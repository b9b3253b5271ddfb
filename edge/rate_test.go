// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package edge_test

import (
	"math"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/internal/simsite"
	"github.com/heathkeel/heathkeel/internal/site"
	"github.com/heathkeel/heathkeel/platform"
)

// startWorking starts hosts and endpoints at which a request takes work, and waits until all hosts serve. The caller stops the site.
func startWorking(t *testing.T, c site.Config, boot platform.Boot, hosts, endpoints int, work time.Duration) *simsite.Site {
	t.Helper()
	s := &simsite.Site{Boot: boot, Zones: 3, StrongPerZone: 2, Latency: time.Millisecond, Log: logr.Discard()}
	must.NoError(t, s.Start(c, endpoints, hosts))
	for _, e := range s.Endpoints {
		e.Work = work
	}
	time.Sleep(5 * time.Second)
	return s
}

// sendAtRate sends requests to the hosts in turn for d, at a rate that does not depend on their answers. It returns the numbers of
// requests sent and served.
func sendAtRate(s *simsite.Site, d time.Duration, perSecond float64) (sent, served int64) {
	var wg sync.WaitGroup
	var ok atomic.Int64
	end := time.Now().Add(d)
	for n := 0; time.Now().Before(end); n++ {
		sent++
		h := s.Hosts[n%len(s.Hosts)]
		wg.Go(func() {
			if s.SendRequest(h) == http.StatusOK {
				ok.Add(1)
			}
		})
		time.Sleep(time.Duration(float64(time.Second) / perSecond))
	}
	wg.Wait()
	return sent, ok.Load()
}

// Figures of the rule on stated rates.
const (
	// rateWindow is the time within which an endpoint may get rateOvershoot times what its rate allows, plus rateSlack requests.
	rateWindow    = 4 * time.Second
	rateOvershoot = 1.5
	rateSlack     = 5
	// toldFor is the time after passing on an answer with a rate from which a host is bound by it.
	toldFor = 500 * time.Millisecond
)

// excessOverRate returns by how many requests an endpoint got more than its stated rates allow, in the worst window that ends at
// bound or later: negative if it never got more. Requests count from hosts that had an answer with a rate toldFor before.
func excessOverRate(e *simsite.Endpoint, bound time.Time) float64 {
	all := e.Arrivals()
	toldAt := make(map[string]time.Time)
	for _, a := range all {
		if a.Rate >= 0 && (toldAt[a.From].IsZero() || a.AnsweredAt.Before(toldAt[a.From])) {
			toldAt[a.From] = a.AnsweredAt
		}
	}
	var counted []simsite.Arrival
	for _, a := range all {
		if at := toldAt[a.From]; !at.IsZero() && a.ReceivedAt.Sub(at) >= toldFor {
			counted = append(counted, a)
		}
	}
	worst, first := math.Inf(-1), 0
	for i, a := range counted {
		for a.ReceivedAt.Sub(counted[first].ReceivedAt) >= rateWindow {
			first++
		}
		if a.ReceivedAt.Before(bound) {
			continue
		}
		rate := 0.0
		for _, b := range counted[first : i+1] {
			rate = max(rate, b.Rate)
		}
		worst = max(worst, float64(i-first+1)-(rateOvershoot*rate*rateWindow.Seconds()+rateSlack))
	}
	return worst
}

// TestStatedRates checks that an endpoint that states how many requests a second it takes from all hosts gets no more, summed over all
// hosts, although callers send several times as many; that others take what it does not; and that rates are nearly used up if all
// endpoints state one.
func TestStatedRates(t *testing.T) {
	const play = 14 * time.Second
	cases := []struct {
		name      string
		boot      platform.Boot
		hosts     int
		endpoints int
		rates     []float64
		perSecond float64
		during    func(s *simsite.Site) // runs 5 s after the rates are stated, beside the requests
		minServed float64               // least share of the requests served
		minUsed   float64               // least share of the sum of the rates that is used, if all endpoints state one
	}{
		{name: "2 of 6 endpoints", boot: smallBoot, hosts: 6, endpoints: 6, rates: []float64{2.2, 1.6}, perSecond: 60, minServed: 0.99},
		{name: "rates are lowered", boot: smallBoot, hosts: 6, endpoints: 6, rates: []float64{8, 6}, perSecond: 60, minServed: 0.99, during: func(s *simsite.Site) {
			s.Endpoints[0].StateRate(2)
			s.Endpoints[1].StateRate(2)
		}},
		{name: "two hosts start again", boot: smallBoot, hosts: 6, endpoints: 6, rates: []float64{2.2, 1.6}, perSecond: 60, minServed: 0.9, during: func(s *simsite.Site) {
			for _, h := range s.Hosts[:2] {
				h.Kill()
				s.StartHost(h)
			}
		}},
		{name: "a host hears no other", boot: smallBoot, hosts: 6, endpoints: 6, rates: []float64{2.2, 1.6}, perSecond: 60, minServed: 0.99, during: func(s *simsite.Site) {
			s.Hosts[0].DropDatagrams(true)
		}},
		{name: "a host was suspended", boot: smallBoot, hosts: 6, endpoints: 6, rates: []float64{2.2, 1.6}, perSecond: 60, minServed: 0.98, during: func(s *simsite.Site) {
			s.Hosts[0].Suspend(40 * time.Second)
		}},
		{name: "all endpoints", boot: smallBoot, hosts: 6, endpoints: 3, rates: []float64{6, 5, 4}, perSecond: 40, minUsed: 0.9},
		{name: "3 of 12 endpoints, 85 hosts", boot: largeBoot, hosts: 85, endpoints: 12, rates: []float64{2.2, 1.6, 3}, perSecond: 170, minServed: 0.99},
		{name: "all endpoints, 85 hosts", boot: largeBoot, hosts: 85, endpoints: 12, rates: []float64{3, 3, 3, 3, 3, 3, 5, 5, 5, 5, 5, 5}, perSecond: 170, minUsed: 0.9},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				s := startWorking(t, site.Example(), tc.boot, tc.hosts, tc.endpoints, 50*time.Millisecond)
				defer s.Stop()
				sendAtRate(s, 2*time.Second, tc.perSecond)
				for i, rate := range tc.rates {
					s.Endpoints[i].StateRate(rate)
				}
				from := time.Now()
				if tc.during != nil {
					go func() {
						time.Sleep(5 * time.Second)
						tc.during(s)
					}()
				}
				sent, served := sendAtRate(s, play, tc.perSecond)
				sum := 0.0
				for i, rate := range tc.rates {
					must.LessEq(t, 0, excessOverRate(s.Endpoints[i], from.Add(tc.boot.ContactTime)), must.Sprintf("endpoint %d", i))
					sum += rate
				}
				must.GreaterEq(t, tc.minServed*float64(sent), float64(served))
				must.GreaterEq(t, tc.minUsed*sum*play.Seconds(), float64(served))
			})
		})
	}
}

// TestLiftedRates checks that an endpoint that no longer states a rate gets its part of the requests again.
func TestLiftedRates(t *testing.T) {
	for _, tc := range []struct {
		name      string
		boot      platform.Boot
		hosts     int
		perSecond float64
	}{{"6 hosts", smallBoot, 6, 60}, {"85 hosts", largeBoot, 85, 170}} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				s := startWorking(t, site.Example(), tc.boot, tc.hosts, 6, 50*time.Millisecond)
				defer s.Stop()
				limited := s.Endpoints[0]
				limited.StateRate(2)
				sendAtRate(s, 6*time.Second, tc.perSecond)
				limited.StateRate(-1)
				sendAtRate(s, 3*time.Second, tc.perSecond)
				before := len(limited.Arrivals())
				sent, served := sendAtRate(s, 4*time.Second, tc.perSecond)
				must.Eq(t, sent, served)
				must.Greater(t, int(sent)/len(s.Endpoints)/2, len(limited.Arrivals())-before)
			})
		})
	}
}
