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

	"github.com/heathkeel/heathkeel/internal/simsite"
	"github.com/heathkeel/heathkeel/internal/site"
	"github.com/heathkeel/heathkeel/platform"
)

// Times of endpoints that end in the plays of this file.
const (
	endingEvents = 40
	endingPace   = 100 * time.Millisecond
	// servedOn is the time for which an endpoint that leaves takes new connections, and endingBegin when it begins to leave.
	servedOn    = 2500 * time.Millisecond
	endingBegin = 1200 * time.Millisecond
	// rebornAfter is the time after which another process listens at the address of one that was killed.
	rebornAfter = 20 * time.Millisecond
	// maxUntold is the number of answers that may be cut at an endpoint which leaves: those that end within a probe interval of the
	// closing of its port, where their host has no other at that endpoint.
	maxUntold = 3
)

// endingCase is an endpoint whose answers end with their connections, and the way in which it ends.
type endingCase struct {
	name string
	end  func(s *simsite.Site, e *simsite.Endpoint)
	// maxCut is the number of whole streams that may be cut; negative where the endpoint does not complete them.
	maxCut int
}

// closePort closes the port of an endpoint once it has served on.
func closePort(_ *simsite.Site, e *simsite.Endpoint) {
	time.Sleep(servedOn)
	e.ClosePort()
}

// endingCases are planned ends, and ends that leave streams short.
var endingCases = []endingCase{
	{"it says that it drains", func(s *simsite.Site, e *simsite.Endpoint) {
		e.Leave(true)
		closePort(s, e)
	}, maxUntold},
	{"its entry goes", func(s *simsite.Site, e *simsite.Endpoint) {
		e.Leave(false)
		closePort(s, e)
	}, maxUntold},
	{"its entry goes with its port", func(s *simsite.Site, e *simsite.Endpoint) {
		e.Leave(true)
		closePort(s, e)
		e.Lapse()
	}, maxUntold},
	{"it is killed while it drains", func(_ *simsite.Site, e *simsite.Endpoint) {
		e.Leave(true)
		time.Sleep(servedOn)
		e.Kill()
	}, -1},
	{"it is killed", func(_ *simsite.Site, e *simsite.Endpoint) {
		time.Sleep(servedOn)
		e.Kill()
	}, -1},
	{"it is killed while it drains, and another starts at its address", func(s *simsite.Site, e *simsite.Endpoint) {
		e.Leave(true)
		time.Sleep(servedOn)
		e.Kill()
		time.Sleep(rebornAfter)
		if err := s.StartAgain(e, true); err != nil {
			panic(err)
		}
	}, -1},
	// Hosts learn of the end once another process listens at the port.
	{"it is killed behind a cut, and another starts at its address", func(s *simsite.Site, e *simsite.Endpoint) {
		e.CutOff()
		time.Sleep(300 * time.Millisecond)
		e.Kill()
		time.Sleep(time.Second)
		if err := s.StartAgain(e, false); err != nil {
			panic(err)
		}
		time.Sleep(time.Second)
		e.Reconnect()
	}, -1},
	{"it is cut off for a while", func(_ *simsite.Site, e *simsite.Endpoint) {
		e.CutOff()
		time.Sleep(1400 * time.Millisecond)
		e.Reconnect()
	}, 0},
}

// TestEndsOfLeavingEndpoints checks that hosts pass on the whole streams of an endpoint that stops in order, whose port refuses
// connections when they end, and take no stream for whole whose endpoint was killed.
func TestEndsOfLeavingEndpoints(t *testing.T) {
	for _, fleet := range []struct {
		boot  platform.Boot
		hosts int
	}{{smallBoot, 6}, {largeBoot, 85}} {
		for _, tc := range endingCases {
			t.Run(fmt.Sprintf("%s, %d hosts", tc.name, fleet.hosts), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { tc.play(t, fleet.boot, fleet.hosts) })
			})
		}
	}
}

// play plays streams that may not be resumed while one of eight engines ends.
func (tc *endingCase) play(t *testing.T, boot platform.Boot, hosts int) {
	const streams = 56
	s := &simsite.Site{Boot: boot, Zones: 3, StrongPerZone: 2, Latency: time.Millisecond, Log: logr.Discard()}
	defer s.Stop()
	must.NoError(t, s.Start(site.Example(), 0, hosts))
	for range 8 {
		must.NoError(t, s.AddEngine("v1", simsite.Streams{Events: endingEvents, Pace: endingPace, Unframed: true}))
	}
	time.Sleep(4 * time.Second)
	var mu sync.Mutex
	cut, short, whole := 0, 0, 0
	var wg sync.WaitGroup
	for i := range streams {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 20 * time.Millisecond)
			a := s.SendStream(s.Hosts[i%hosts], simsite.StreamCall{ID: fmt.Sprint("ending-", i), Path: "/draft/x"})
			mu.Lock()
			defer mu.Unlock()
			switch all := len(a.Versions) == endingEvents; {
			case a.Status != http.StatusOK:
			case a.Complete && all:
				whole++
			case a.Complete:
				short++
			case all:
				cut++
			}
		})
	}
	time.Sleep(endingBegin)
	tc.end(s, s.Endpoints[0])
	wg.Wait()
	must.EqOp(t, 0, short)
	must.Greater(t, streams/2, whole)
	if tc.maxCut >= 0 {
		must.LessEq(t, tc.maxCut, cut)
		must.GreaterEq(t, streams-tc.maxCut, whole)
	}
}

// TestPlainAnswersOfLeavingEndpoints checks that plain answers which end with their connections are passed on, and run once, when their
// endpoint closes its port before it writes them.
func TestPlainAnswersOfLeavingEndpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const requests = 48
		c := site.Example()
		for i := range c.Routes {
			c.Routes[i].SloMs, c.Routes[i].TimeoutMs = 3000, 8000
		}
		s := &simsite.Site{Boot: smallBoot, Zones: 3, StrongPerZone: 2, Latency: time.Millisecond, Log: logr.Discard()}
		defer s.Stop()
		must.NoError(t, s.Start(c, 0, 6))
		for range 8 {
			must.NoError(t, s.AddPlain(3*time.Second, true))
		}
		time.Sleep(4 * time.Second)
		var mu sync.Mutex
		served := 0
		var wg sync.WaitGroup
		for i := range requests {
			wg.Go(func() {
				if s.SendRequestWithKey(s.Hosts[i%len(s.Hosts)], site.Key) == http.StatusOK {
					mu.Lock()
					served++
					mu.Unlock()
				}
			})
		}
		time.Sleep(200 * time.Millisecond)
		e := s.Endpoints[0]
		e.Leave(true)
		time.Sleep(servedOn - 700*time.Millisecond)
		e.ClosePort()
		wg.Wait()
		arrivals := 0
		for _, e := range s.Endpoints {
			arrivals += len(e.Arrivals())
		}
		must.EqOp(t, requests, served)
		must.EqOp(t, requests, arrivals)
	})
}
