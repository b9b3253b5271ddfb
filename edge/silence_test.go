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

// silenceCase is a fleet whose engines are silent for a while, again and again, and then go on.
type silenceCase struct {
	boot           platform.Boot
	hosts, engines int
	silent         float64 // share of the engines that are silent at a time
	pause          time.Duration
	perSecond      int // streams that begin
}

// TestSilentEndpointsCutNoStreams checks that no stream which has begun is cut because its endpoint sends nothing for a while.
func TestSilentEndpointsCutNoStreams(t *testing.T) {
	for _, tc := range []silenceCase{
		{smallBoot, 6, 6, 1, 1200 * time.Millisecond, 30},
		{smallBoot, 6, 6, 0.6, 1200 * time.Millisecond, 30},
		{smallBoot, 6, 6, 0.6, 3 * time.Second, 20},
		{smallBoot, 6, 6, 1, 3 * time.Second, 20},
		{largeBoot, 85, 24, 1, 1200 * time.Millisecond, 100},
		{largeBoot, 85, 24, 0.6, 3 * time.Second, 80},
	} {
		t.Run(fmt.Sprintf("%d hosts, %g silent for %v", tc.hosts, tc.silent, tc.pause), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, tc.play)
		})
	}
}

// silenceInterval is the time from one silence of the engines to the next.
const silenceInterval = 6 * time.Second

// play sends streams for some silences and checks how they end.
func (tc silenceCase) play(t *testing.T) {
	c := site.Example()
	for i := range c.Routes {
		c.Routes[i].SloMs, c.Routes[i].GapSloMs = 300, 250
	}
	s := &simsite.Site{Boot: tc.boot, Zones: 3, StrongPerZone: 2, Latency: time.Millisecond, Log: logr.Discard()}
	defer s.Stop()
	must.NoError(t, s.Start(c, 0, tc.hosts))
	for range tc.engines {
		must.NoError(t, s.AddEngine("v1", simsite.Streams{Events: 20, Pace: 50 * time.Millisecond}))
	}
	time.Sleep(4 * time.Second)
	var mu sync.Mutex
	begun, cut := 0, 0
	var wg sync.WaitGroup
	const silences = 3
	for n := range silences * int(silenceInterval/time.Second) * tc.perSecond {
		if n%(int(silenceInterval/time.Second)*tc.perSecond) == 2*tc.perSecond {
			for _, e := range s.Endpoints[:int(tc.silent*float64(tc.engines))] {
				e.Pause(tc.pause)
			}
		}
		wg.Go(func() {
			a := s.SendStream(s.Hosts[n%tc.hosts], simsite.StreamCall{ID: fmt.Sprint("stream-", n)})
			mu.Lock()
			defer mu.Unlock()
			if a.Status == http.StatusOK {
				begun++
			}
			if a.Status == http.StatusOK && !a.Complete {
				cut++
			}
		})
		time.Sleep(time.Second / time.Duration(tc.perSecond))
	}
	wg.Wait()
	t.Logf("%d begun, %d cut", begun, cut)
	must.Greater(t, silences*int(silenceInterval/time.Second)*tc.perSecond/2, begun)
	must.EqOp(t, 0, cut)
}
