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
)

// TestSuspendedHostsAreBack suspends one host, half of them or all, with the store there and away, and holds that requests are served
// again soon, as a waiting caller would want it.
func TestSuspendedHostsAreBack(t *testing.T) {
	cases := []struct {
		name      string
		suspended int // of four hosts
		storeDown bool
		most      time.Duration
	}{
		{"one", 1, false, 500 * time.Millisecond},
		{"half", 2, false, 500 * time.Millisecond},
		{"all", 4, false, 500 * time.Millisecond},
		{"one, the store down", 1, true, time.Second},
		{"half, the store down", 2, true, time.Second},
	}
	for _, tc := range cases {
		for _, d := range []time.Duration{2 * time.Second, 8 * time.Second, time.Minute} {
			t.Run(fmt.Sprint(tc.name, " ", d), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := &simsite.Site{Boot: fewBoot, Zones: 2, StrongPerZone: 2, Latency: time.Millisecond, Log: logr.Discard()}
					defer s.Stop()
					must.NoError(t, s.Start(site.Example(), 4, 4))
					time.Sleep(3 * time.Second)
					for _, h := range s.Hosts {
						must.EqOp(t, http.StatusOK, s.SendRequest(h))
						if tc.storeDown {
							s.Store.SetBehavior(h.Boot.IP, simsite.Refuse)
						}
					}
					suspended := s.Hosts[:tc.suspended]
					for _, h := range suspended {
						h.Suspend(d)
					}
					began := time.Now()
					for _, h := range suspended {
						for s.SendRequest(h) != http.StatusOK {
							time.Sleep(10 * time.Millisecond)
							must.Less(t, tc.most, time.Since(began))
						}
					}
				})
			})
		}
	}
}
