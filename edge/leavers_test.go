// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package edge_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
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

// largeBoot is the configuration of hosts in a deployment of tens of hosts.
var largeBoot = platform.Boot{
	ConfigTime: 3 * time.Second, RevokeTime: 5 * time.Second, ContactTime: 4 * time.Second, DrainTime: 3 * time.Second, GracePeriod: 8 * time.Second,
	HeartbeatInterval: 1200 * time.Millisecond, AnswerTTL: 5 * time.Second, RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 196,
}

// lastReader returns the host with the last rank in the order of reading the store, which is
// derived from the hosts' names.
func lastReader(hosts []*simsite.Host) *simsite.Host {
	return slices.MaxFunc(hosts, func(a, b *simsite.Host) int {
		return cmp.Compare(xxhash.Sum64String(a.Boot.Host), xxhash.Sum64String(b.Boot.Host))
	})
}

// TestNoRequestsToLeavingEndpoints checks that no request reaches an endpoint later than the drain
// time after the store has recorded that it leaves, even if the store refuses or does not answer a
// host's first calls.
//
// The failure was seen in a fleet of 78 hosts run as real processes, with a drain time of 3 s and a
// sound store, at hosts that nothing disturbed: a host learns from others how recent the list of
// endpoints is and then loses contact with them. Endpoints leave. When its own rank makes it read
// the store, its first calls are refused, as for exceeding the store's rate, or get no answer, and
// it keeps sending requests by the old list.
//
// The cause was that the age of the list was not checked when a request was sent. It was assumed
// from typical durations: reads by rank, proofs through relays, one call and its repetition. A
// single refused call was taken for an outage, after which a host paused for up to 5 s and kept
// entries that were removed. Evidence: in a run of 78 processes on one core the hosts logged lists
// 4.7 to 6.2 s old at the late sends while the store was sound. In this test all calls but the
// given ones are answered, and the delay of the late requests followed the pause.
func TestNoRequestsToLeavingEndpoints(t *testing.T) {
	const hosts, endpoints, leaving = 78, 12, 4
	calls := func(m simsite.Behavior, n int) []simsite.Behavior { return slices.Repeat([]simsite.Behavior{m}, n) }
	cases := []struct {
		name string
		next []simsite.Behavior // results of the host's next reads of the endpoints
		wait time.Duration      // from the start of the hosts until endpoints leave
	}{
		{"all calls are answered", nil, 6 * time.Second},
		{"one call is refused", calls(simsite.Refuse, 1), 6200 * time.Millisecond},
		{"two calls are refused", calls(simsite.Refuse, 2), 6400 * time.Millisecond},
		{"three calls are refused", calls(simsite.Refuse, 3), 6600 * time.Millisecond},
		{"one call hangs", calls(simsite.Hang, 1), 6800 * time.Millisecond},
		{"two calls hang", calls(simsite.Hang, 2), 7 * time.Second},
		{"three calls hang", calls(simsite.Hang, 3), 7200 * time.Millisecond},
		{"four calls are refused", calls(simsite.Refuse, 4), 7400 * time.Millisecond},
		{"four calls are refused or hang", []simsite.Behavior{simsite.Refuse, simsite.Hang, simsite.Refuse, simsite.Hang}, 7600 * time.Millisecond},
		{"five calls are refused", calls(simsite.Refuse, 5), 7800 * time.Millisecond},
	}
	for _, tc := range cases {
		for _, announced := range []bool{true, false} {
			t.Run(fmt.Sprint(tc.name, ", announced by the endpoints ", announced), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := &simsite.Site{Boot: largeBoot, Zones: 3, StrongPerZone: 2, Latency: time.Millisecond, Log: logr.Discard()}
					defer s.Stop()
					must.NoError(t, s.Start(site.Example(), endpoints, hosts))
					time.Sleep(tc.wait)
					h := lastReader(s.Hosts)
					s.KillOthers(h)
					s.Store.SetNextBehaviors(h.Boot.IP, platform.PrefixEndpoints, tc.next...)
					for _, e := range s.Endpoints[:leaving] {
						e.Leave(announced)
					}
					served := 0
					const sent = 400
					for range sent {
						time.Sleep(20 * time.Millisecond)
						if s.SendRequest(h) == http.StatusOK {
							served++
						}
					}
					latest := s.MaxArrivalAfterLeaving()
					must.LessEq(t, largeBoot.DrainTime, latest)
					must.Greater(t, sent/2, served)
				})
			})
		}
	}
}

// smallBoot is the configuration of hosts in a deployment of a few hosts.
var smallBoot = platform.Boot{
	ConfigTime: 2 * time.Second, RevokeTime: 5 * time.Second, ContactTime: 3 * time.Second, DrainTime: 2 * time.Second, GracePeriod: 8 * time.Second,
	HeartbeatInterval: 1200 * time.Millisecond, AnswerTTL: 5 * time.Second, RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 52,
}

// TestServeDuringStoreOutage checks that hosts continue to serve with the endpoints that they know
// while the store fails in any way, for all hosts or for one. From the contact time after the
// store's return, they notice leaving endpoints again.
func TestServeDuringStoreOutage(t *testing.T) {
	const outage = 9 * time.Second
	cases := []struct {
		boot           platform.Boot
		hosts          int
		behavior       simsite.Behavior
		onlyLastReader bool // only for the host that reads last
	}{
		{smallBoot, 6, simsite.Refuse, false}, {smallBoot, 6, simsite.Hang, false}, {smallBoot, 6, simsite.Refuse, true}, {smallBoot, 6, simsite.Hang, true},
		{smallBoot, 1, simsite.Refuse, false}, {smallBoot, 1, simsite.Hang, false},
		{largeBoot, 78, simsite.Refuse, false}, {largeBoot, 78, simsite.Hang, false}, {largeBoot, 78, simsite.Hang, true},
	}
	for i, tc := range cases {
		t.Run(fmt.Sprintf("%d hosts, behavior %d, one %t", tc.hosts, tc.behavior, tc.onlyLastReader), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &simsite.Site{Boot: tc.boot, Zones: 3, StrongPerZone: 2, Latency: time.Millisecond, Log: logr.Discard()}
				defer s.Stop()
				must.NoError(t, s.Start(site.Example(), 12, tc.hosts))
				time.Sleep(6*time.Second + time.Duration(i)*130*time.Millisecond)
				lastHost := lastReader(s.Hosts)
				for _, h := range s.Hosts {
					if !tc.onlyLastReader || h == lastHost {
						s.Store.SetBehavior(h.Boot.IP, tc.behavior)
					}
				}
				calls := s.Store.TotalCalls()
				sent, served := 0, 0
				sendRequests := func(d time.Duration) {
					for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
						for _, h := range []*simsite.Host{lastHost, s.Hosts[0]} {
							sent++
							if s.SendRequest(h) == http.StatusOK {
								served++
							}
						}
					}
				}
				sendRequests(outage)
				t.Logf("%d of %d served, %d calls", served, sent, s.Store.TotalCalls()-calls)
				must.GreaterEq(t, sent*99/100, served)
				for _, h := range s.Hosts {
					s.Store.SetBehavior(h.Boot.IP, simsite.Normal)
				}
				sent, served = 0, 0
				sendRequests(tc.boot.ContactTime - tc.boot.DrainTime)
				must.GreaterEq(t, sent*99/100, served)
				for _, e := range s.Endpoints[:4] {
					e.Leave(true)
				}
				sendRequests(2 * tc.boot.DrainTime)
				must.GreaterEq(t, sent*99/100, served)
				must.LessEq(t, tc.boot.DrainTime, s.MaxArrivalAfterLeaving())
			})
		})
	}
}

// TestNoRequestsToLeaversInRandomFleets checks that up to five calls of a host in a row that are refused or hang excuse no old list.
func TestNoRequestsToLeaversInRandomFleets(t *testing.T) {
	fleets, first := 4, uint64(1)
	if n, err := strconv.Atoi(os.Getenv("HEATHKEEL_SEEDS")); err == nil {
		fleets, first = n, rand.Uint64N(1e9)
	}
	const failedCalls, leavers, sent = 5, 4, 400
	for seed := first; seed < first+uint64(fleets); seed++ {
		r := rand.New(rand.NewPCG(seed, 0))
		hosts, boot := []int{6, 24, 78, 120}[r.IntN(4)], largeBoot
		if hosts == 6 {
			boot = smallBoot
		}
		killOthers := r.IntN(2) == 0
		t.Run(fmt.Sprintf("seed %d, %d hosts, others killed %t", seed, hosts, killOthers), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &simsite.Site{Boot: boot, Zones: 3, StrongPerZone: 2, Latency: time.Millisecond, Log: logr.Discard()}
				defer s.Stop()
				must.NoError(t, s.Start(site.Example(), 12, hosts))
				time.Sleep(6*time.Second + time.Duration(r.Int64N(int64(2*time.Second))))
				h := lastReader(s.Hosts)
				if killOthers {
					s.KillOthers(h)
				}
				for _, e := range s.Endpoints[:leavers] {
					announced := r.IntN(2) == 0
					time.AfterFunc(time.Duration(r.Int64N(int64(2*time.Second))), func() { e.Leave(announced) })
				}
				for range 1 + r.IntN(2) {
					var next []simsite.Behavior
					for range 1 + r.IntN(failedCalls) {
						next = append(next, []simsite.Behavior{simsite.Refuse, simsite.Hang}[r.IntN(2)])
					}
					time.AfterFunc(time.Duration(r.Int64N(int64(3*time.Second))), func() {
						s.Store.SetNextBehaviors(h.Boot.IP, platform.PrefixEndpoints, next...)
					})
				}
				served := 0
				for range sent {
					time.Sleep(20 * time.Millisecond)
					if s.SendRequest(h) == http.StatusOK {
						served++
					}
				}
				t.Logf("the latest request %s after a leaving, %d of %d served", s.MaxArrivalAfterLeaving(), served, sent)
				must.LessEq(t, boot.DrainTime, s.MaxArrivalAfterLeaving())
				must.Greater(t, sent*9/10, served)
			})
		})
	}
}
