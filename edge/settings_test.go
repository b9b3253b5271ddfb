// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package edge_test

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/internal/simsite"
	"github.com/heathkeel/heathkeel/internal/site"
	"github.com/heathkeel/heathkeel/platform"
)

// TestDroppedRouteServesNobody drops a route while a host hears no other, and the first calls by which it would learn of that fail although the
// store is sound: no request that is sent later than the configuration time is served by the route.
//
// Cause: nothing looked at the age of settings but for keys, and after a refused call a host of a late turn paused for up to 5 s. Evidence: here all calls but the named
// ones are answered, and the time after the change follows the pause. It is the cause of the requests that reached leaving endpoints in a fleet of 78 hosts (TestLeaverGetsNoWork), found by looking for the same elsewhere: the age of settings bounded what keys a
// host takes, where that is asked for, and no route.
func TestDroppedRouteServesNobody(t *testing.T) {
	calls := func(m simsite.Behavior, n int) []simsite.Behavior { return slices.Repeat([]simsite.Behavior{m}, n) }
	cases := []struct {
		name  string
		boot  platform.Boot
		hosts int
		next  []simsite.Behavior // what the host's next readings of the settings meet
	}{
		{"few hosts, all calls are answered", fewBoot, 6, nil},
		{"few hosts, three calls are refused", fewBoot, 6, calls(simsite.Refuse, 3)},
		{"few hosts, three calls hang", fewBoot, 6, calls(simsite.Hang, 3)},
		{"all calls are answered", manyBoot, 78, nil},
		{"one call is refused", manyBoot, 78, calls(simsite.Refuse, 1)},
		{"three calls are refused", manyBoot, 78, calls(simsite.Refuse, 3)},
		{"one call hangs", manyBoot, 78, calls(simsite.Hang, 1)},
		{"three calls hang", manyBoot, 78, calls(simsite.Hang, 3)},
	}
	for i, tc := range cases {
		t.Run(fmt.Sprint(tc.name, ", ", tc.hosts, " hosts"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &simsite.Site{Boot: tc.boot, Zones: 3, StrongPerZone: 2, Latency: time.Millisecond, Log: logr.Discard()}
				defer s.Stop()
				must.NoError(t, s.Start(site.Example(), 6, tc.hosts))
				time.Sleep(6*time.Second + time.Duration(i)*170*time.Millisecond)
				h := lastToRead(s.Hosts)
				s.KillOthers(h)
				s.Store.SetNextBehaviors(h.Boot.IP, platform.PrefixConfig, tc.next...)
				next := site.Example()
				next.Version++
				next.Routes = slices.DeleteFunc(next.Routes, func(r site.Route) bool { return r.Name == "open" })
				s.Store.Put(platform.KeyConfig, next)
				changed := time.Now()
				var served time.Duration
				statuses := make(map[int]int)
				for time.Since(changed) < 10*time.Second {
					time.Sleep(20 * time.Millisecond)
					sent := time.Since(changed)
					status := s.SendRequest(h)
					statuses[status]++
					if status == http.StatusOK {
						served = sent
					}
				}
				must.LessEq(t, tc.boot.ConfigTime, served)
				must.Greater(t, 100, statuses[http.StatusNotFound])
			})
		})
	}
}
