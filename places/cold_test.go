// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package places

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// fleetOf returns the candidates of a fleet of n hosts in zones.
func fleetOf(n, zones int) []Candidate {
	out := make([]Candidate, n)
	for i := range out {
		out[i] = Candidate{Host: fmt.Sprint("host-", i), Zone: fmt.Sprint("zone-", i%zones)}
	}
	return out
}

// maxInSecond returns the largest number of requests that a host with an interval sends within a second.
func maxInSecond(interval time.Duration) int {
	if interval == 0 {
		return 0
	}
	return 1 + int(time.Second/interval)
}

// TestColdIntervalKeepsLimit checks that all hosts together keep the limit of a cold endpoint in each second, however the fleet is
// cut in parts that do not hear each other, if some hosts know less than others, and that whole fleets use a good part of it.
func TestColdIntervalKeepsLimit(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	for _, hosts := range []int{1, 6, 85, 300} {
		all := fleetOf(hosts, 4)
		for _, limit := range []float64{0.5, 1, 2, 5, 18, 100} {
			for _, parts := range []int{1, 2, 3, 5, hosts} {
				for _, missing := range []float64{0, 0.05, 0.2} {
					for n := range 6 {
						endpoint, zone := fmt.Sprint("endpoint-", n), fmt.Sprint("zone-", n%5)
						total, part := 0, make([]int, hosts)
						for i := range part {
							part[i] = r.IntN(parts)
						}
						for i, self := range all {
							f := Fleet{Self: self, Count: hosts}
							for j, c := range all {
								if c == self || (part[i] == part[j] && r.Float64() >= missing) {
									f.Hosts = append(f.Hosts, c)
								}
							}
							total += maxInSecond(ColdInterval(endpoint, zone, &f, limit))
						}
						must.LessEq(t, limit, float64(total), must.Sprintf("%d hosts in %d parts, %g missing, limit %g", hosts, parts, missing, limit))
						if parts == 1 && missing == 0 && limit >= 5 {
							must.GreaterEq(t, 0.3*limit, float64(total))
						}
					}
				}
			}
		}
	}
}

// TestColdIntervalPrefersZone checks that hosts of the endpoint's zone send, if there are enough.
func TestColdIntervalPrefersZone(t *testing.T) {
	all := fleetOf(84, 4)
	for _, self := range all {
		f := Fleet{Self: self, Hosts: all, Count: len(all)}
		if ColdInterval("endpoint", "zone-2", &f, 18) > 0 {
			must.EqOp(t, "zone-2", self.Zone)
		}
	}
}
