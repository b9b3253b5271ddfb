// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package edge_test

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/internal/simsite"
	"github.com/heathkeel/heathkeel/internal/site"
	"github.com/heathkeel/heathkeel/platform"
)

// manyBoot is the settings of the hosts of a deployment of tens.
var manyBoot = platform.Boot{
	ConfigTime: 3 * time.Second, RevokeTime: 5 * time.Second, ContactTime: 4 * time.Second, DrainTime: 3 * time.Second, Grace: 8 * time.Second,
	Heartbeat: 1200 * time.Millisecond, AnswerLife: 5 * time.Second, RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 196,
}

// lastToRead is the host that reads the store last, by the order drawn from names.
func lastToRead(hosts []*simsite.Host) *simsite.Host {
	return slices.MaxFunc(hosts, func(a, b *simsite.Host) int {
		return cmp.Compare(xxhash.Sum64String(a.Boot.Host), xxhash.Sum64String(b.Boot.Host))
	})
}

// TestLeaverGetsNoWork plays what users saw in a fleet of 78 hosts, run as real processes: requests reached endpoints later than
// the drain time of 3 s after the store had taken that they leave, from hosts that nothing disturbed, while the store was sound.
//
// What happens, in order: a host hears from the others how young the list of endpoints is, and then hears nothing more. Endpoints leave. Once
// its own turn has come, the host asks the store; its first calls are refused, as beyond the store's rate, or get no answer. The host goes on
// sending requests by the list that it has.
func TestLeaverGetsNoWork(t *testing.T) {
	const hosts, endpoints, leave = 78, 12, 4
	calls := func(m simsite.Mood, n int) []simsite.Mood { return slices.Repeat([]simsite.Mood{m}, n) }
	cases := []struct {
		name string
		next []simsite.Mood // what the host's next readings of the endpoints meet
		wait time.Duration  // from the start of the hosts to the leaving
	}{
		{"all calls are answered", nil, 6 * time.Second},
		{"one call is refused", calls(simsite.Refuse, 1), 6200 * time.Millisecond},
		{"two calls are refused", calls(simsite.Refuse, 2), 6400 * time.Millisecond},
		{"three calls are refused", calls(simsite.Refuse, 3), 6600 * time.Millisecond},
		{"one call hangs", calls(simsite.Hang, 1), 6800 * time.Millisecond},
		{"two calls hang", calls(simsite.Hang, 2), 7 * time.Second},
		{"three calls hang", calls(simsite.Hang, 3), 7200 * time.Millisecond},
	}
	for _, tc := range cases {
		for _, says := range []bool{true, false} {
			t.Run(fmt.Sprint(tc.name, ", the endpoints say so ", says), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := &simsite.Site{Boot: manyBoot, Zones: 3, Strong: 2, Delay: time.Millisecond, Log: logr.Discard()}
					must.NoError(t, s.Start(site.Example(), endpoints, hosts))
					time.Sleep(tc.wait)
					h := lastToRead(s.Hosts)
					s.KillOthers(h)
					s.Store.Next(h.Boot.IP, tc.next...)
					for _, e := range s.Endpoints[:leave] {
						e.Leave(says)
					}
					served := 0
					const asked = 400
					for range asked {
						time.Sleep(20 * time.Millisecond)
						if s.Ask(h) == http.StatusOK {
							served++
						}
					}
					latest := s.LatestArrival()
					s.Stop()
					must.LessEq(t, manyBoot.DrainTime, latest)
					must.Greater(t, asked/2, served)
				})
			})
		}
	}
}
