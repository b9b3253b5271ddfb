// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestStartWithoutFlood starts all hosts at once under 1.2 times the capacity, with requests that take less time than peer state is
// old. It guards against hosts that each fill the same slots because they know nothing of each other: without owners, 800 requests are
// at 360 slots.
func TestStartWithoutFlood(t *testing.T) {
	for _, hosts := range []int{6, 64, 300} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			f := newOwnerFleet(fleetConfig{
				hosts: hosts, endpoints: 90, slots: 4, minDelay: time.Millisecond, maxDelay: 6 * time.Millisecond, age: 450 * time.Millisecond,
				loads: []load{{rate: 1200, service: 360 * time.Millisecond, retries: 1}},
			})
			f.run(2 * time.Second)
			t.Log(f)
			must.LessEq(t, 540, f.peak) // the top tier may exceed the slots by 0.4, which is 504
			must.LessEq(t, 15, f.maxAt)
			must.GreaterEq(t, 0.9, f.utilization())
			must.LessEq(t, 150*time.Millisecond, f.hostWait/time.Duration(f.dispatched))
		})
	}
}

// TestGrantAddsMilliseconds checks that waiting for a grant delays requests by milliseconds while slots are free.
func TestGrantAddsMilliseconds(t *testing.T) {
	f := newOwnerFleet(fleetConfig{
		hosts: 64, endpoints: 90, slots: 4, minDelay: 4 * time.Millisecond, maxDelay: 15 * time.Millisecond, age: 450 * time.Millisecond,
		loads: []load{{rate: 500, service: 360 * time.Millisecond, retries: 1}},
	})
	f.run(3 * time.Second)
	t.Log(f)
	must.LessEq(t, 25*time.Millisecond, f.hostWait/time.Duration(f.dispatched))
	must.EqOp(t, 0, f.stats[0].refused)
}
