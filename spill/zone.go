// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package spill

import "time"

// Zone is the state of a service in one availability zone, summed over hosts.
type Zone struct {
	// Name identifies the zone.
	Name string
	// Capacity is the number of requests per second that the zone's endpoints can serve.
	Capacity float64
	// Arrivals is the number of requests per second that callers send to the zone's hosts, and
	// Waiting the number that wait there.
	Arrivals float64
	Waiting  int
	// Age is the age of Arrivals and Waiting.
	Age time.Duration
	// Evacuated says that the endpoints get no new requests by an operator's order, and Hostless that
	// no host of the zone was heard from.
	Evacuated, Hostless bool
}
