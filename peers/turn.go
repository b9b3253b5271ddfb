// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peers

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ReadRank is this host's place in the order in which hosts read the store for each other, and far tells
// whether proofs reach it by way of relays. In small fleets the order is drawn from names. In those with relays these
// come first, whose words reach all hosts of their zone soonest. A host that hears no other has turn 0.
func (a *Agent) ReadRank() (turn int, far bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Now()
	live := a.Table.Live(now)
	if len(live) == 0 {
		return 0, false
	}
	self := &Member{Host: a.Table.Host, Incarnation: a.Table.Incarnation, Info: a.row}
	if !a.relayed() {
		return before(live, self.Host), false
	}
	all := append(live, self)
	var relays []*Member
	for _, zone := range zonesOf(all) {
		if first := preferred(all, zone); len(first) > 0 {
			relays = append(relays, first[0])
		}
	}
	if slices.Contains(relays, self) {
		return before(relays, self.Host), true
	}
	return len(relays) + before(live, self.Host), true
}

// before counts the members before a host in an order drawn from names.
func before(ms []*Member, host string) int {
	own, n := xxhash.Sum64String(host), 0
	for _, m := range ms {
		if xxhash.Sum64String(m.Host) < own {
			n++
		}
	}
	return n
}

// Rank is this host's place among all in an order drawn from names.
func (a *Agent) Rank() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return before(a.Table.Live(a.Now()), a.Table.Host)
}
