// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package edge_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/internal/simsite"
	"github.com/heathkeel/heathkeel/internal/site"
)

// TestNoRequestsToLeaversAfterSuspension checks that a host that was suspended while endpoints left, and
// that finds a silent or refusing store when it wakes, sends them no request once the store is back, and
// that it serves with the others at once. It must not take them for lapsed because of an outage that it
// has seen only since it woke, nor rest while the store already answers.
func TestNoRequestsToLeaversAfterSuspension(t *testing.T) {
	const (
		callsEnd = 500 * time.Millisecond // by then calls that the store has taken are answered
		watched  = 3 * time.Second
		// maxRecovery is the time after the store's return in which a host that was suspended serves by
		// what the store knows, the same as for a host that wakes in an outage (TestSuspendedHostsRecover).
		maxRecovery = time.Second
	)
	waits := []time.Duration{0, 300, 600, 700, 800, 850, 900, 950, 1000, 1100, 1300, 1600, 1900, 2200, 2500, 3000, 4000, 6000} // in milliseconds
	cases := []struct {
		hosts, suspended int
		behavior         simsite.Behavior
		gaps             int // the last one ends when the wait before the store's return begins
	}{
		{1, 1, simsite.Refuse, 1}, {1, 1, simsite.Stall, 1}, {1, 1, simsite.Stall, 2},
		{4, 1, simsite.Refuse, 1}, {4, 1, simsite.Stall, 1},
		{4, 4, simsite.Refuse, 1}, {4, 4, simsite.Stall, 1}, {4, 4, simsite.Stall, 2},
	}
	for _, tc := range cases {
		for _, wait := range waits {
			wait *= time.Millisecond
			t.Run(fmt.Sprintf("%d of %d hosts, behavior %d, %d gaps, %s", tc.suspended, tc.hosts, tc.behavior, tc.gaps, wait), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					s := &simsite.Site{Boot: smallBoot, Zones: 2, StrongPerZone: 2, Latency: time.Millisecond, Log: logr.Discard()}
					defer s.Stop()
					must.NoError(t, s.Start(site.Example(), 4, tc.hosts))
					time.Sleep(3 * time.Second)
					leavers, suspended := s.Endpoints[:2], s.Hosts[:tc.suspended]
					for _, h := range suspended {
						s.Store.SetBehavior(h.Boot.IP, tc.behavior)
						h.Stall(2 * callsEnd) // hears nothing of what the others read
					}
					time.Sleep(callsEnd)
					for _, e := range leavers {
						e.Leave(false)
					}
					time.Sleep(callsEnd)
					s.SetStoreBehavior(tc.behavior)
					for range tc.gaps {
						for _, h := range suspended {
							h.Suspend(8 * time.Second)
						}
						time.Sleep(50 * time.Millisecond)
					}
					sendRequests(s, wait, suspended)
					s.SetStoreBehavior(simsite.Normal)
					returned := time.Now()
					sendRequests(s, maxRecovery, suspended)
					sent, served := sendRequests(s, watched, suspended)
					must.EqOp(t, sent, served)
					for _, e := range leavers {
						for _, a := range e.Arrivals() {
							must.LessEq(t, maxRecovery, a.ReceivedAt.Sub(returned))
						}
					}
				})
			})
		}
	}
}

// TestSuspendedHostsDoNotConfirmEachOther checks that hosts that were suspended together do not take what
// the others knew before for a confirmation of what they know themselves: endpoints may have left and keys
// may have been withdrawn meanwhile.
func TestSuspendedHostsDoNotConfirmEachOther(t *testing.T) {
	// unconfirmed is a little shorter than the time for which a host waits for a confirmation.
	const unconfirmed = 900 * time.Millisecond
	for _, hosts := range []int{2, 4, 24} {
		for _, d := range []time.Duration{300 * time.Millisecond, 2 * time.Second, 8 * time.Second, time.Minute} {
			t.Run(fmt.Sprintf("%d hosts, %s", hosts, d), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := &simsite.Site{Boot: smallBoot, Zones: 2, StrongPerZone: 2, Latency: time.Millisecond, Log: logr.Discard()}
					defer s.Stop()
					must.NoError(t, s.Start(site.Example(), 4, hosts))
					time.Sleep(3 * time.Second)
					s.SetStoreBehavior(simsite.Stall)
					time.Sleep(100 * time.Millisecond)
					for _, h := range s.Hosts {
						h.Suspend(d)
					}
					_, served := sendRequests(s, unconfirmed, s.Hosts[:2])
					must.EqOp(t, 0, served)
				})
			})
		}
	}
}
