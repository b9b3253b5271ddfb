// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package edge_test

import (
	"fmt"
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

// sendFromAll sends requests to all hosts at the same time for d, each host getting one every interval. It returns the numbers of
// requests sent and served.
func sendFromAll(s *simsite.Site, d, interval time.Duration) (sent, served int64) {
	var wg sync.WaitGroup
	var all, ok atomic.Int64
	end := time.Now().Add(d)
	for _, h := range s.Hosts {
		time.Sleep(interval / time.Duration(len(s.Hosts)))
		wg.Go(func() {
			for time.Now().Before(end) {
				all.Add(1)
				if s.SendRequest(h) == http.StatusOK {
					ok.Add(1)
				}
				time.Sleep(interval)
			}
		})
	}
	wg.Wait()
	return all.Load(), ok.Load()
}

// maxArrivalsInSecond returns the largest number of requests that reached an endpoint within a second, of those from one moment to
// another.
func maxArrivalsInSecond(e *simsite.Endpoint, from, to time.Time) int {
	var times []time.Time
	for _, a := range e.Arrivals() {
		if !a.ReceivedAt.Before(from) && a.ReceivedAt.Before(to) {
			times = append(times, a.ReceivedAt)
		}
	}
	most, first := 0, 0
	for i, t := range times {
		for t.Sub(times[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestColdEndpointsKeepRate checks that an endpoint that is cold gets no more requests in any second than it bears, summed over all
// hosts, although callers send several times as many: after an evacuation, when its entry says that it is cold, and when all hosts
// start again. Cold endpoints are used nevertheless, and requests that find room elsewhere are served.
func TestColdEndpointsKeepRate(t *testing.T) {
	const (
		coldTime = 3 * time.Second
		rate     = 8.7
		limit    = rate*1.5 + 5
		// noticed is the time after which all hosts know a change in the store.
		noticed = 2 * time.Second
	)
	c := site.Example()
	c.Services[0].ColdS, c.Services[0].ColdPerS = coldTime.Seconds(), rate
	small, large := smallBoot, largeBoot
	for _, b := range []*platform.Boot{&small, &large} {
		b.EvacuationTime, b.ColdOvershoot, b.ColdSlack = 5*time.Second, 1.5, 5
	}
	evacuation := platform.PrefixEvacuations + evacuatedZone
	cases := []struct {
		name string
		// begin is done before the endpoints of the zone turn cold, and turnCold then. They stay cold for coldTime after it.
		begin, turnCold func(s *simsite.Site)
	}{
		{"an evacuation is canceled", func(s *simsite.Site) { s.Store.Put(evacuation, struct{}{}) }, func(s *simsite.Site) { s.Store.Remove(evacuation) }},
		{"their entries say so", func(*simsite.Site) {}, func(s *simsite.Site) {
			for _, e := range s.Endpoints {
				if e.Zone() == evacuatedZone {
					e.TurnCold(coldTime + noticed)
				}
			}
			time.Sleep(noticed)
		}},
		{"all hosts start again", func(s *simsite.Site) {
			for _, e := range s.Endpoints {
				if e.Zone() == evacuatedZone {
					e.TurnCold(coldTime + 2*noticed)
				}
			}
		}, func(s *simsite.Site) {
			for _, h := range s.Hosts {
				h.Kill()
			}
			for _, h := range s.Hosts {
				s.StartHost(h)
			}
		}},
	}
	for _, boot := range []struct {
		platform.Boot
		hosts    int
		interval time.Duration
	}{{small, 6, 20 * time.Millisecond}, {large, 85, 250 * time.Millisecond}} {
		for _, tc := range cases {
			t.Run(fmt.Sprint(tc.name, ", ", boot.hosts, " hosts"), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					s := &simsite.Site{Boot: boot.Boot, Zones: 3, StrongPerZone: 2, Latency: time.Millisecond, Log: logr.Discard()}
					defer s.Stop()
					must.NoError(t, s.Start(c, 9, boot.hosts))
					time.Sleep(5 * time.Second)
					tc.begin(s)
					time.Sleep(noticed)
					tc.turnCold(s)
					from := time.Now()
					sendFromAll(s, coldTime, boot.interval)
					used := 0
					for _, e := range s.Endpoints {
						if e.Zone() == evacuatedZone {
							n := maxArrivalsInSecond(e, from, from.Add(coldTime))
							must.LessEq(t, limit, float64(n))
							used += n
						}
					}
					if tc.name != "all hosts start again" {
						must.Positive(t, used)
					}
					time.Sleep(2 * noticed)
					sent, served := sendFromAll(s, 2*time.Second, boot.interval)
					must.Greater(t, 9*sent/10, served)
				})
			})
		}
	}
}
