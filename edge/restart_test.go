// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package edge_test

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/internal/simsite"
	"github.com/heathkeel/heathkeel/internal/site"
	"github.com/heathkeel/heathkeel/platform"
)

// TestRestartsMakeNoSettingsYoung checks that hosts that restart in an outage of the store, and get the
// settings from others, do not make all hosts accept a withdrawn key for longer than the revocation time.
func TestRestartsMakeNoSettingsYoung(t *testing.T) {
	const watched = 15 * time.Second
	cases := []struct {
		hosts    int
		interval time.Duration // between two restarts
		behavior simsite.Behavior
	}{
		{2, 2 * time.Second, simsite.Refuse}, {2, 3 * time.Second, simsite.Hang},
		{4, time.Second, simsite.Refuse}, {4, 1500 * time.Millisecond, simsite.Hang},
		{24, time.Second, simsite.Refuse},
	}
	for _, tc := range cases {
		t.Run(fmt.Sprintf("%d hosts, one restarted every %s, behavior %d", tc.hosts, tc.interval, tc.behavior), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &simsite.Site{Boot: smallBoot, Zones: 2, StrongPerZone: 2, Latency: time.Millisecond, Log: logr.Discard()}
				s.Boot.StrictRevoke = true
				defer s.Stop()
				must.NoError(t, s.Start(site.Example(), 4, tc.hosts))
				time.Sleep(3 * time.Second)
				s.SetStoreBehavior(tc.behavior)
				time.Sleep(time.Second) // watches that began before it are over
				next := site.Example()
				next.Version, next.Tenants[0].Keys = 2, []string{"new-key"}
				s.Store.Put(platform.KeyConfig, next)
				withdrawn := time.Now()
				served, last := 0, time.Duration(0)
				for n := 0; time.Since(withdrawn) < watched; time.Sleep(20 * time.Millisecond) {
					if time.Since(withdrawn) > time.Duration(n+1)*tc.interval {
						h := s.Hosts[n%tc.hosts]
						h.Kill()
						s.StartHost(h)
						n++
					}
					for _, h := range s.Hosts[:min(4, tc.hosts)] {
						sent := time.Since(withdrawn)
						if s.SendRequestWithKey(h, site.Key) == http.StatusOK {
							served, last = served+1, sent
						}
					}
				}
				must.Positive(t, served)
				must.LessEq(t, s.Boot.RevokeTime, last)
			})
		})
	}
}
