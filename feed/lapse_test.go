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

// contact is the time after the end of a trouble from which a host is held to the drain time
// again: an endpoint that left during the trouble must not be in its list any more.
const contact = 3 * time.Second

// testLapses are the times for endpoints with a heartbeat each 1.2 s and a contact time of 3 s.
var testLapses = LapseTimes{MinOutage: 2400 * time.Millisecond, RenewTime: 2 * time.Second, MaxKeep: 2700 * time.Millisecond}

// testReach judges whether the store fails for a host of a deployment with these times.
func testReach(now func() time.Duration) *StoreHealth {
	return &StoreHealth{Now: now, LapseTimes: testLapses, RetryInterval: 400 * time.Millisecond, OutageAfter: 400 * time.Millisecond}
}

// TestLeftInTrouble holds that an endpoint which left while the store was in trouble is in no
// host's list from the contact time after the trouble's end on, whenever the trouble ends.
func TestLeftInTrouble(t *testing.T) {
	const leaver = "servers/c"
	all := func(s *sharers) {
		for i := range s.cut {
			s.cut[i] = true
		}
	}
	hang := func(s *sharers) { s.store.dark, s.store.hang = true, time.Minute }
	light := func(s *sharers) { s.store.dark = false }
	cases := []struct {
		name  string
		hosts int
		begin func(s *sharers)
		// end is done at the moment of the trouble's end.
		end func(s *sharers)
	}{
		{"the store fails, one host", 1, all, func(*sharers) {}},
		{"the store hangs, one host", 1, hang, light},
		{"the store hangs, six hosts", 6, hang, light},
		{"the store hangs and forgets, one host", 1, hang, func(s *sharers) {
			light(s)
			forget(s)
		}},
		{"the store fails, six hosts", 6, all, func(*sharers) {}},
		{"the store fails, forty hosts", 40, all, func(*sharers) {}},
		{"the store turns the first reader away", 6, func(s *sharers) { s.cut[0] = true }, func(*sharers) {}},
		{"the store turns two away", 6, func(s *sharers) { s.cut[0], s.cut[1] = true, true }, func(*sharers) {}},
		{"the store turns one away that hears nobody", 6, func(s *sharers) { s.cut[3], s.silent[3] = true, true }, func(*sharers) {}},
		{"the store fails and forgets, one host", 1, all, forget},
		{"the store fails and forgets, six hosts", 6, all, forget},
		{"the store fails and forgets, forty hosts", 40, all, forget},
	}
	for _, tc := range cases {
		for late := time.Duration(0); late < 1200*time.Millisecond; late += 50 * time.Millisecond {
			t.Run(fmt.Sprint(tc.name, " ", late), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(t.Context())
					defer cancel()
					s := share(ctx, tc.hosts)
					s.store.put(leaver, "ready")
					time.Sleep(3 * time.Second)
					s.store.set(func() { tc.begin(s) })
					// By now no watch of before waits any more.
					time.Sleep(2500 * time.Millisecond)
					s.store.remove(leaver)
					time.Sleep(6500*time.Millisecond + late)
					s.store.set(func() {
						clear(s.cut)
						tc.end(s)
					})
					time.Sleep(contact)
					s.without(t, "c")
					cancel()
					synctest.Wait()
				})
			})
		}
	}
}

// without checks that an endpoint is in no host's list.
func (s *sharers) without(t *testing.T, name string) {
	t.Helper()
	for i := range s.ends {
		l, _ := s.ends[i].List()
		for _, e := range l.Endpoints {
			must.NotEqOp(t, name, e.Instance, must.Sprintf("host %d", i))
		}
	}
}

// forget makes the store forget its history.
func forget(s *sharers) { s.store.log, s.store.forgotten = nil, s.store.at }

// TestLeftWhileConnectionsSilent lets the connections of all hosts to the store fall silent at one moment, while the
// store and new connections work. That is no outage: an endpoint that leaves then has left, and is in no host's list
// from the contact time on.
func TestLeftWhileConnectionsSilent(t *testing.T) {
	for _, hosts := range []int{1, 6, 12} {
		for late := time.Duration(0); late < 1200*time.Millisecond; late += 50 * time.Millisecond {
			for leaves := time.Duration(0); leaves <= 900*time.Millisecond; leaves += 300 * time.Millisecond {
				t.Run(fmt.Sprint(hosts, " ", late, " ", leaves), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						ctx, cancel := context.WithCancel(t.Context())
						defer cancel()
						s := share(ctx, hosts)
						s.store.put("servers/c", "ready")
						time.Sleep(3*time.Second + late)
						s.store.set(func() {
							for i := range s.stale {
								s.stale[i] = true
							}
						})
						time.Sleep(leaves)
						s.store.remove("servers/c")
						time.Sleep(contact - leaves)
						s.without(t, "c")
						cancel()
						synctest.Wait()
					})
				})
			}
		}
	}
}
