// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package places

// Candidate is a host that may own slots.
type Candidate struct {
	// Host is the name of the host, and Zone that of its zone.
	Host, Zone string
}

// Owner returns the name of the host that owns the slots of an endpoint: the one with the largest
// hash of both names (Thaler and Ravishankar, "Using name-based mappings to increase hit rates",
// 1998) among the hosts in the endpoint's zone, or among all hosts if that zone has none. It is
// empty without hosts.
func Owner(endpoint, zone string, hosts []Candidate) string {
	if name := maxHash(endpoint, hosts, func(c Candidate) bool { return c.Zone == zone }); name != "" {
		return name
	}
	return maxHash(endpoint, hosts, func(Candidate) bool { return true })
}

// maxHash returns the name of the accepted candidate with the largest hash, or "".
func maxHash(endpoint string, hosts []Candidate, ok func(Candidate) bool) string {
	name, maxSum := "", uint64(0)
	for _, c := range hosts {
		if !ok(c) {
			continue
		}
		if s := sum(endpoint, c); name == "" || s > maxSum {
			name, maxSum = c.Host, s
		}
	}
	return name
}
