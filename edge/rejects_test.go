// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package edge_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/internal/site"
	"github.com/heathkeel/heathkeel/platform"
)

// TestRejectLimits checks that endpoints which crash when they have to reject requests, and say so in their answers, get no
// more than they have room for, summed over all hosts, and that nearly all of their capacity is used.
func TestRejectLimits(t *testing.T) {
	const (
		work       = 400 * time.Millisecond
		slots      = 8
		room       = 16
		lessRoom   = 2
		maxRejects = 3
		play       = 20 * time.Second
	)
	for _, tc := range []struct {
		boot             platform.Boot
		hosts, endpoints int
		load             float64 // of the capacity
		restarts         bool    // two hosts start again on the way
	}{{smallBoot, 6, 6, 0.8, false}, {smallBoot, 6, 6, 1.5, false}, {smallBoot, 6, 6, 3, false}, {smallBoot, 6, 6, 1.5, true}, {largeBoot, 85, 12, 1.5, false}, {largeBoot, 85, 12, 1.5, true}} {
		t.Run(fmt.Sprint(tc.hosts, " hosts, load ", tc.load, ", restarts ", tc.restarts), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				c := site.Example()
				for i := range c.Routes {
					c.Routes[i].SloMs = 1500
				}
				s := startWorking(t, c, tc.boot, tc.hosts, tc.endpoints, work)
				defer s.Stop()
				for _, e := range s.Endpoints {
					e.Room = room
				}
				capacity := float64(tc.endpoints*slots) / work.Seconds()
				sendAtRate(s, 2*time.Second, tc.load*capacity)
				for _, e := range s.Endpoints {
					e.LimitRejects(maxRejects, lessRoom, tc.boot.ContactTime)
				}
				if tc.restarts {
					go func() {
						time.Sleep(play / 2)
						for _, h := range s.Hosts[:2] {
							h.Kill()
							s.StartHost(h)
						}
					}()
				}
				sent, served := sendAtRate(s, play, tc.load*capacity)
				crashes := 0
				for _, e := range s.Endpoints {
					crashes += e.Crashes()
				}
				t.Logf("%d crashes, served %d of %d, capacity %.0f", crashes, served, sent, capacity*play.Seconds())
				must.LessEq(t, 2+float64(tc.endpoints)/10, float64(crashes))
				minServed := 0.9
				if tc.restarts {
					minServed = 0.8 // callers of the two hosts are not served for a second or two
				}
				must.GreaterEq(t, minServed*min(float64(sent), capacity*play.Seconds()), float64(served))
			})
		})
	}
}
