// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package feed

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// TestNoRequestAfterDrainTime runs random histories in which endpoints leave, announced or not.
// Meanwhile single hosts hear from no other host for a while, and up to three of a host's next calls
// to the store are refused or get no answer, or its process hardly runs and reads answers seconds
// late. The store works, so nothing excuses an old list: no host may send a request to an endpoint
// later than the drain time after it left, and a host without trouble may always send.
//
// Without a bound on the age of lists, one refused call of one host in a large fleet, which heard from
// no other host, kept a leaver in that host's list for 6.7 s.
func TestNoRequestAfterDrainTime(t *testing.T) {
	runs, first := 3, 1
	if n, err := strconv.Atoi(os.Getenv("HEATHKEEL_SEEDS")); err == nil {
		runs, first = n, rand.IntN(1e9)
	}
	for _, hosts := range []int{6, 40, 78} {
		for seed := first; seed < first+runs; seed++ {
			t.Run(fmt.Sprintf("%d hosts, seed %d", hosts, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { runListBound(t, hosts, uint64(seed)) })
			})
		}
	}
}

// randomFaults draws calls that fail, or a time in which the process hardly runs.
func randomFaults(r *rand.Rand, now time.Duration) callFaults {
	if r.IntN(3) == 0 {
		span := time.Duration(r.Int64N(int64(8 * time.Second)))
		return callFaults{answerDelay: time.Duration(r.Int64N(int64(5 * time.Second))), until: now + span, stalled: span}
	}
	refused := r.IntN(outageCalls)
	return callFaults{refused: refused, unanswered: r.IntN(outageCalls - refused)}
}

// runListBound runs one history.
func runListBound(t *testing.T, hosts int, seed uint64) {
	const (
		drain = 3 * time.Second
		step  = 50 * time.Millisecond
		steps = 280
	)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	r := rand.New(rand.NewPCG(seed, uint64(hosts)))
	f := startFleet(ctx, hosts)
	staying := 0
	for ; staying < 8; staying++ {
		f.store.put(fmt.Sprint("servers/l", staying), "ready")
	}
	time.Sleep(3 * time.Second)
	leftAt := make(map[string]time.Duration)
	isolatedUntil := make([]time.Duration, hosts) // until when hosts hear from no other host
	troubled := make([]bool, hosts)
	for n := range steps {
		time.Sleep(step)
		now := f.now()
		if n%30 == 0 && staying > 0 {
			staying--
			name := fmt.Sprint("l", staying)
			if r.IntN(2) == 0 {
				f.store.put("servers/"+name, "leaving")
			} else {
				f.store.remove("servers/" + name)
			}
			leftAt[name] = now
		}
		// Each host has trouble once, so that its failed calls never suffice for an outage.
		if i := r.IntN(hosts); r.IntN(4) == 0 && !troubled[i] {
			troubled[i], isolatedUntil[i] = true, now+time.Duration(r.Int64N(int64(8*time.Second)))
			f.store.locked(func() { f.faults[i] = randomFaults(r, now) })
		}
		f.store.locked(func() {
			for i := range isolatedUntil {
				f.isolated[i] = isolatedUntil[i] > now
			}
		})
		for i, e := range f.endpoints {
			if !e.Usable() {
				must.True(t, troubled[i], must.Sprintf("host %d without trouble does not send at %s", i, now))
				continue
			}
			l, _ := e.List()
			for _, end := range l.Endpoints {
				if at, hasLeft := leftAt[end.Instance]; hasLeft && !end.Leaving && now-at > drain {
					t.Fatalf("host %d sends to %s %s after it left", i, end.Instance, now-at)
				}
			}
		}
	}
	cancel()
	synctest.Wait()
}
