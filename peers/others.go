// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peers

import "time"

// Mean ages of the loads known of other hosts. Directly: half an updateInterval until they are sent, the time
// of a datagram, and half an updateInterval until they are read. By relays, in digests of one part: two
// heartbeats and the relays' waiting times.
const (
	directAge  = 30 * time.Millisecond
	relayedAge = 450 * time.Millisecond
)

// PeerLoads is what the other hosts have running and waiting.
type PeerLoads struct {
	// Load is what runs, by endpoint, and Waiting the number of waiting requests, by service and tier.
	Load    map[string]Load
	Waiting map[string][]int
	// Zones is the demand by zone and service.
	Zones ZoneDemands
	// Age is the mean age of these numbers.
	Age time.Duration
	// Unreported is the number of hosts that may be serving and whose loads are not included.
	Unreported int
}

// PeerLoads returns the sum of what the other hosts have running and waiting.
func (a *Agent) PeerLoads() PeerLoads {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Now()
	serving := a.Table.ServingCount(now)
	if a.usesRelays() {
		o, reporting := a.uplink.peerLoads(now, &a.sentReports)
		o.Age, o.Unreported = a.uplink.loadAge(), max(0, serving-reporting)
		return o
	}
	var sum loadSum
	live := a.Table.Live(now)
	for _, m := range live {
		sum.add(&Words{Load: m.Load, Waiting: m.Waiting, Zones: m.zones})
	}
	return PeerLoads{Load: sum.loads(), Waiting: sum.waiting, Zones: sum.zones, Age: directAge, Unreported: max(0, serving-len(live))}
}
