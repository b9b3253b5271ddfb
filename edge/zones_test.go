// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package edge_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/edge"
	"github.com/heathkeel/heathkeel/internal/simsite"
	"github.com/heathkeel/heathkeel/internal/site"
	"github.com/heathkeel/heathkeel/platform"
)

// sendByZone sends requests to the hosts of each zone for d, at rates per second by zone. It returns the
// numbers of requests sent and served, and of those that endpoints got from hosts of other zones.
func sendByZone(s *simsite.Site, d time.Duration, rates []float64) (sent, served, crossed int) {
	zoneOf := make(map[string]string)
	for _, h := range s.Hosts {
		zoneOf[h.Boot.IP] = h.Boot.Zone
	}
	before := make(map[*simsite.Endpoint]int)
	for _, e := range s.Endpoints {
		before[e] = len(e.Arrivals())
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	for zone, rate := range rates {
		wg.Go(func() {
			for n := range int(rate * d.Seconds()) {
				h := s.Hosts[(zone+n*s.Zones)%(len(s.Hosts)/s.Zones*s.Zones)]
				wg.Go(func() {
					status := s.SendRequest(h)
					mu.Lock()
					defer mu.Unlock()
					sent++
					if status == http.StatusOK {
						served++
					}
				})
				time.Sleep(time.Duration(float64(time.Second) / rate))
			}
		})
	}
	wg.Wait()
	for _, e := range s.Endpoints {
		for _, a := range e.Arrivals()[before[e]:] {
			if zoneOf[a.From] != e.Zone() {
				crossed++
			}
		}
	}
	return sent, served, crossed
}

// Guards against hosts that, with --zone-spill observed, send an even load to other zones, do not use
// free capacity of other zones, or send beyond what they are short of; and against log lines of single
// requests. Endpoints serve 80 requests per second in each of 3 zones.
func TestObservedZoneSpill(t *testing.T) {
	for _, c := range []struct {
		name       string
		rates      []float64
		minServed  float64
		maxCrossed float64
	}{
		{"even load", []float64{56, 56, 56}, 0.99, 0.01},
		{"one zone at 1.75", []float64{140, 20, 20}, 0.94, 0.45},
	} {
		for _, boot := range []struct {
			platform.Boot
			hosts int
		}{{smallBoot, 6}, {largeBoot, 66}} {
			for _, mode := range []edge.ZoneSpill{edge.ZoneSpillFixed, edge.ZoneSpillObserved} {
				t.Run(fmt.Sprintf("%s/%d hosts/%s", c.name, boot.hosts, mode), func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) {
						var mu sync.Mutex
						lines := 0
						log := funcr.New(func(_, line string) {
							mu.Lock()
							defer mu.Unlock()
							if strings.Contains(line, "sending requests to other zones") {
								lines++
							}
						}, funcr.Options{})
						s := &simsite.Site{Boot: boot.Boot, Zones: 3, StrongPerZone: 2, Latency: time.Millisecond, ZoneSpill: mode, Log: log}
						defer s.Stop()
						must.NoError(t, s.Start(site.Example(), 6, boot.hosts))
						for _, e := range s.Endpoints {
							e.Work, e.Room = 200*time.Millisecond, 8
						}
						time.Sleep(5 * time.Second)
						sendByZone(s, 4*time.Second, c.rates) // hosts learn the time of requests
						sent, served, crossed := sendByZone(s, 8*time.Second, c.rates)
						t.Logf("%d of %d requests served, %d sent to other zones, %d log lines", served, sent, crossed, lines)
						if mode == edge.ZoneSpillFixed {
							must.Zero(t, lines)
							return
						}
						must.GreaterEq(t, c.minServed, float64(served)/float64(sent))
						must.LessEq(t, c.maxCrossed, float64(crossed)/float64(sent))
						must.LessEq(t, 10*boot.hosts, lines)
					})
				})
			}
		}
	}
}
