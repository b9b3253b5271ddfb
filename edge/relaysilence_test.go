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
)

// relayedStreams are the results of streams that a host which reaches no endpoint relayed.
type relayedStreams struct {
	sent, complete int
	cut            int // begun, and ended without their end
	maxRuns        int // the most endpoints that one stream was sent to
}

// plentifulRetries and fewRetries are settings of the credit for retries, of which each host has about a tenth: more than the streams of a
// test need, and a single one.
const (
	plentifulRetries = 1000
	fewRetries       = 1
)

// relayStreams sends streams for 18 s to a host that reaches no endpoint and calls disturb every 6 s. The other hosts have plenty of
// retries, so that they cut no stream for lack of one; retrySlack is the setting of the host that relays.
func relayStreams(t *testing.T, retrySlack float64, disturb func(s *simsite.Site)) relayedStreams {
	t.Helper()
	c := site.Example()
	for i := range c.Routes {
		c.Routes[i].SloMs, c.Routes[i].GapSloMs = 300, 250
	}
	boot := smallBoot
	boot.RetryRatio, boot.RetrySlack = 1, plentifulRetries
	s := &simsite.Site{Boot: boot, Zones: 3, StrongPerZone: 2, Latency: time.Millisecond, Log: logr.Discard()}
	defer s.Stop()
	must.NoError(t, s.Start(c, 0, 6))
	for range 6 {
		must.NoError(t, s.AddEngine("v1", simsite.Streams{Events: 20, Pace: 50 * time.Millisecond}))
	}
	time.Sleep(4 * time.Second)
	relaying := s.Hosts[0]
	relaying.Kill()
	relaying.Boot.RetryRatio, relaying.Boot.RetrySlack = 0, retrySlack
	s.StartHost(relaying)
	time.Sleep(4 * time.Second)
	relaying.CutOffEndpoints(simnet.RefuseNew)
	const perSecond, silences = 6, 3
	var mu sync.Mutex
	var wg sync.WaitGroup
	var out relayedStreams
	interval := int(silenceInterval/time.Second) * perSecond
	for n := range silences * interval {
		if n%interval == interval/2 {
			disturb(s)
		}
		wg.Go(func() {
			a := s.SendStream(relaying, simsite.StreamCall{ID: fmt.Sprint("stream-", n)})
			mu.Lock()
			defer mu.Unlock()
			out.sent++
			switch {
			case a.Complete && a.Status == http.StatusOK:
				out.complete++
			case a.Status == http.StatusOK:
				out.cut++
			}
		})
		time.Sleep(time.Second / perSecond)
	}
	wg.Wait()
	runs := make(map[string]int)
	for _, e := range s.Endpoints {
		for _, a := range e.Arrivals() {
			runs[a.ID]++
			out.maxRuns = max(out.maxRuns, runs[a.ID])
		}
	}
	t.Logf("%+v", out)
	return out
}

// TestSilentEndpointsEndNoRelayedStreams checks that a host which relays a stream keeps it while the other host waits for its endpoint:
// otherwise the stream is cut, or sent to more endpoints than its route allows.
func TestSilentEndpointsEndNoRelayedStreams(t *testing.T) {
	const attempts = 2 // of the route
	for _, pause := range []time.Duration{1200 * time.Millisecond, 2200 * time.Millisecond, 3 * time.Second} {
		for _, retrySlack := range []float64{plentifulRetries, fewRetries} {
			t.Run(fmt.Sprintf("%v, %v retries", pause, retrySlack), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					r := relayStreams(t, retrySlack, func(s *simsite.Site) {
						for _, e := range s.Endpoints {
							e.Pause(pause)
						}
					})
					must.Zero(t, r.cut)
					must.LessEq(t, attempts, r.maxRuns)
				})
			})
		}
	}
}
