// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package edge_test

import (
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/internal/site"
)

// TestSilentEndpointsFailNoPlainRequests checks that no plain request which may be repeated fails because all endpoints are silent for a
// while: a request that may run once only waits for its endpoint and gets its answer.
func TestSilentEndpointsFailNoPlainRequests(t *testing.T) {
	for _, pause := range []time.Duration{time.Second, 1500 * time.Millisecond, 2200 * time.Millisecond, 3 * time.Second} {
		t.Run(pause.String(), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				failed := make(map[string]int)
				for _, path := range []string{"/push/x", "/ask/x"} {
					failed[path] = sendDuringSilences(t, path, pause)
				}
				t.Log("answered with 502 or 504:", failed)
				must.Zero(t, failed["/push/x"])
				must.Zero(t, failed["/ask/x"])
			})
		})
	}
}

// sendDuringSilences sends plain requests for 18 s, while all endpoints are silent every 6 s. It returns the number of those that were
// answered with 502 or 504.
func sendDuringSilences(t *testing.T, path string, pause time.Duration) int {
	t.Helper()
	s := startWorking(t, site.Example(), smallBoot, 6, 6, 100*time.Millisecond)
	defer s.Stop()
	const perSecond, silences = 60, 3
	interval := int(silenceInterval/time.Second) * perSecond
	failed := 0
	var mu sync.Mutex
	var wg sync.WaitGroup
	for n := range silences * interval {
		if n%interval == interval/2 {
			for _, e := range s.Endpoints {
				e.Pause(pause)
			}
		}
		wg.Go(func() {
			a := s.Send(s.Hosts[n%len(s.Hosts)], path, site.Key)
			mu.Lock()
			defer mu.Unlock()
			if a.Status == http.StatusBadGateway || a.Status == http.StatusGatewayTimeout {
				failed++
			}
		})
		time.Sleep(time.Second / perSecond)
	}
	wg.Wait()
	return failed
}
