// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package places

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Parameters of the requests to cold endpoints.
const (
	// coldMargin is the share of an endpoint's limit that the hosts use together. The rest is for hosts that
	// know different sets of hosts.
	coldMargin = 0.6
	// coldPerHost is the number of requests a second for which one more host is allowed to send: fewer
	// hosts would leave the endpoint idle if one of them has few requests, more would get one request each
	// in many seconds.
	coldPerHost = 3
	// minColdRate is the lowest rate, in requests per second, of a host that is allowed to send.
	minColdRate = 0.5
)

// Fleet is what a host knows of the hosts that may send requests.
type Fleet struct {
	// Self is the host, and Hosts are all hosts that may be running, Self included.
	Self  Candidate
	Hosts []Candidate
	// Count is the number of hosts that there may be, including those that this host does not hear.
	Count int
}

// ColdInterval returns the shortest time between two requests of the host f.Self to a cold endpoint to
// which all hosts together may send limit requests within a second, or 0 if the host may send none.
//
// Without an exchange of messages, all hosts come to the same few hosts that may send, by rendezvous
// hashing and those of the endpoint's zone first. A host that hears only a part of the fleet uses the
// same part of the limit, so that hosts which do not hear each other keep it together.
func ColdInterval(endpoint, zone string, f *Fleet, limit float64) time.Duration {
	budget := coldMargin * limit * float64(len(f.Hosts)) / float64(max(f.Count, len(f.Hosts), 1))
	if budget < 1 {
		return 0
	}
	senders := min(len(f.Hosts), max(1, int(budget/coldPerHost)))
	if f.rank(endpoint, zone) >= senders {
		return 0
	}
	// A host that sends at a rate r sends at most 1+r requests within a second.
	rate := max(minColdRate, budget/float64(senders)-1)
	return time.Duration(float64(time.Second) / rate)
}

// rank returns the position of f.Self in the order of the hosts that may send to an endpoint.
func (f *Fleet) rank(endpoint, zone string) int {
	own := sum(endpoint, f.Self)
	rank := 0
	for _, c := range f.Hosts {
		if c == f.Self {
			continue
		}
		switch {
		case (c.Zone == zone) != (f.Self.Zone == zone):
			if c.Zone == zone {
				rank++
			}
		case sum(endpoint, c) > own:
			rank++
		}
	}
	return rank
}

// sum returns the value by which a host is ranked for an endpoint.
func sum(endpoint string, c Candidate) uint64 {
	return xxhash.Sum64String(c.Host + "\x00" + endpoint)
}
