// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peers

import "time"

// Mean ages of what is known of other hosts' loads: half an updateEvery until they are
// told, a datagram, and half of one until it is looked at; by way of relays two
// heartbeats and what a relay waits.
const (
	directAge  = 30 * time.Millisecond
	relayedAge = 450 * time.Millisecond
)

// PeerLoads is what the other hosts have running and waiting.
type PeerLoads struct {
	// Load is what runs, by endpoint, and Waiting the number of requests that wait, by
	// service and tier.
	Load    map[string]Load
	Waiting map[string][]int
	// Age is how old that is in the mean.
	Age time.Duration
	// Unreported is the number of hosts that may be serving and whose words are not in it.
	Unreported int
}

// PeerLoads sums up what the other hosts have running and waiting.
func (a *Agent) PeerLoads() PeerLoads {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Now()
	serving := a.Table.ServingCount(now)
	if a.usesRelays() {
		o, heard := a.uplink.peerLoads(now, &a.sentWords)
		o.Age, o.Unreported = relayedAge, max(0, serving-heard)
		return o
	}
	var sum loadSum
	live := a.Table.Live(now)
	for _, m := range live {
		sum.add(&Words{Load: m.Load, Waiting: m.Waiting})
	}
	return PeerLoads{Load: sum.loads(), Waiting: sum.waiting, Age: directAge, Unreported: max(0, serving-len(live))}
}
