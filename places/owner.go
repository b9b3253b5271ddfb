// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package places

import "github.com/cespare/xxhash/v2"

// Candidate is a host that may own places.
type Candidate struct {
	// Host and Zone name it.
	Host, Zone string
}

// Owner names the host that gives the places of an endpoint: of the hosts in its zone, or of all if there are none, the one
// with the largest hash of both names (Thaler and Ravishankar, "Using name-based mappings to increase hit rates",
// 1998). It is empty without hosts.
func Owner(endpoint, zone string, hosts []Candidate) string {
	if name := maxHash(endpoint, hosts, func(c Candidate) bool { return c.Zone == zone }); name != "" {
		return name
	}
	return maxHash(endpoint, hosts, func(Candidate) bool { return true })
}

// maxHash names the candidate with the largest hash.
func maxHash(endpoint string, hosts []Candidate, ok func(Candidate) bool) string {
	name, maxSum := "", uint64(0)
	for _, c := range hosts {
		if !ok(c) {
			continue
		}
		if sum := xxhash.Sum64String(c.Host + "\x00" + endpoint); name == "" || sum > maxSum {
			name, maxSum = c.Host, sum
		}
	}
	return name
}
