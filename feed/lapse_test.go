// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package feed

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// contactTime is the time after the end of a host's trouble from which the host must observe the drain
// time again: an endpoint that left during the trouble must no longer be in its list.
const contactTime = 3 * time.Second

// testLapseTimes are the times for endpoints with a heartbeat every 1.2 s and a contact time of 3 s.
var testLapseTimes = LapseTimes{MinOutage: 2400 * time.Millisecond, RenewTime: 2 * time.Second, MaxKeep: 2700 * time.Millisecond}

// testHealth returns the StoreHealth of a host in a deployment with these times.
func testHealth(now func() time.Duration) *StoreHealth {
	return &StoreHealth{Now: now, LapseTimes: testLapseTimes, RetryInterval: 400 * time.Millisecond, OutageAfter: 400 * time.Millisecond}
}

// TestLeftDuringOutage checks that an endpoint that left while the store was failing is in no host's
// list once the contact time after the outage is over, whenever the outage ends.
func TestLeftDuringOutage(t *testing.T) {
	const leaver = "servers/c"
	all := func(s *testFleet) {
		for i := range s.cut {
			s.cut[i] = true
		}
	}
	hang := func(s *testFleet) { s.store.down, s.store.failDelay = true, time.Minute }
	up := func(s *testFleet) { s.store.down = false }
	cases := []struct {
		name  string
		hosts int
		begin func(s *testFleet)
		// end is done when the outage ends.
		end func(s *testFleet)
	}{
		{"the store fails, one host", 1, all, func(*testFleet) {}},
		{"the store hangs, one host", 1, hang, up},
		{"the store hangs, six hosts", 6, hang, up},
		{"the store hangs and loses its history, one host", 1, hang, func(s *testFleet) {
			up(s)
			compact(s)
		}},
		{"the store fails, six hosts", 6, all, func(*testFleet) {}},
		{"the store fails, forty hosts", 40, all, func(*testFleet) {}},
		{"the store refuses the first reader", 6, func(s *testFleet) { s.cut[0] = true }, func(*testFleet) {}},
		{"the store refuses two hosts", 6, func(s *testFleet) { s.cut[0], s.cut[1] = true, true }, func(*testFleet) {}},
		{"the store refuses one host, which hears from no other", 6, func(s *testFleet) { s.cut[3], s.isolated[3] = true, true }, func(*testFleet) {}},
		{"the store fails and loses its history, one host", 1, all, compact},
		{"the store fails and loses its history, six hosts", 6, all, compact},
		{"the store fails and loses its history, forty hosts", 40, all, compact},
	}
	for _, tc := range cases {
		for offset := time.Duration(0); offset < 1200*time.Millisecond; offset += 50 * time.Millisecond {
			t.Run(fmt.Sprint(tc.name, " ", offset), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(t.Context())
					defer cancel()
					s := startFleet(ctx, tc.hosts)
					s.store.put(leaver, "ready")
					time.Sleep(3 * time.Second)
					s.store.locked(func() { tc.begin(s) })
					// By now no watch from before the outage is still waiting.
					time.Sleep(2500 * time.Millisecond)
					s.store.remove(leaver)
					time.Sleep(6500*time.Millisecond + offset)
					s.store.locked(func() {
						clear(s.cut)
						tc.end(s)
					})
					time.Sleep(contactTime)
					s.checkAbsent(t, "c")
					cancel()
					synctest.Wait()
				})
			})
		}
	}
}

// checkAbsent checks that an endpoint is in no host's list.
func (f *testFleet) checkAbsent(t *testing.T, name string) {
	t.Helper()
	for i := range f.endpoints {
		l, _ := f.endpoints[i].List()
		for _, e := range l.Endpoints {
			must.NotEqOp(t, name, e.Instance, must.Sprintf("host %d", i))
		}
	}
}

// compact makes the store lose its history.
func compact(f *testFleet) { f.store.log, f.store.compactedTo = nil, f.store.revision }

// TestLeftWhileConnectionsSilent lets the connections of all hosts to the store die at one moment,
// while the store and new connections work. That is no outage: an endpoint that disappears then has
// left, and is in no host's list once the contact time is over.
func TestLeftWhileConnectionsSilent(t *testing.T) {
	for _, hosts := range []int{1, 6, 12} {
		for offset := time.Duration(0); offset < 1200*time.Millisecond; offset += 50 * time.Millisecond {
			for leaves := time.Duration(0); leaves <= 900*time.Millisecond; leaves += 300 * time.Millisecond {
				t.Run(fmt.Sprint(hosts, " ", offset, " ", leaves), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						ctx, cancel := context.WithCancel(t.Context())
						defer cancel()
						s := startFleet(ctx, hosts)
						s.store.put("servers/c", "ready")
						time.Sleep(3*time.Second + offset)
						s.store.locked(func() {
							for i := range s.deadConn {
								s.deadConn[i] = true
							}
						})
						time.Sleep(leaves)
						s.store.remove("servers/c")
						time.Sleep(contactTime - leaves)
						s.checkAbsent(t, "c")
						cancel()
						synctest.Wait()
					})
				})
			}
		}
	}
}
