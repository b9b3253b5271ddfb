// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package spill_test

import (
	"fmt"
	"time"

	"github.com/heathkeel/heathkeel/spill"
)

// Zone a has twice the demand that it can serve; b is closer than c, and has less room.
func Example() {
	delays := map[string]time.Duration{"ab": time.Millisecond, "ac": 20 * time.Millisecond, "bc": 20 * time.Millisecond}
	service := &spill.Service{
		Zones: []spill.Zone{
			{Name: "a", Capacity: 100, Arrivals: 200},
			{Name: "b", Capacity: 100, Arrivals: 50},
			{Name: "c", Capacity: 100, Arrivals: 30},
		},
		Delay: func(from, to string) time.Duration { return delays[min(from, to)+max(from, to)] },
	}
	var planner spill.Planner
	plan := planner.Plan(0, service)
	fmt.Printf("a sends %.2f to b and %.2f to c\n", plan["a"]["b"], plan["a"]["c"])
	// Output: a sends 0.24 to b and 0.28 to c
}
