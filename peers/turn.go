// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peers

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ReadRank returns this host's position in the order in which hosts read the store for each other; viaRelay
// reports whether proofs arrive through relays. In small fleets the order is that of the hashes of the names.
// In fleets with relays the relays come first, because their reports reach all hosts of their zone soonest. A
// host that hears from no other host has rank 0.
func (a *Agent) ReadRank() (rank int, viaRelay bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Now()
	live := a.Table.Live(now)
	if len(live) == 0 {
		return 0, false
	}
	self := &Member{Host: a.Table.Host, Incarnation: a.Table.Incarnation, Info: a.info}
	if !a.usesRelays() {
		return countBefore(live, self.Host), false
	}
	all := append(live, self)
	var relays []*Member
	for _, zone := range zonesOf(all) {
		if candidates := relayCandidates(all, zone); len(candidates) > 0 {
			relays = append(relays, candidates[0])
		}
	}
	if slices.Contains(relays, self) {
		return countBefore(relays, self.Host), true
	}
	return len(relays) + countBefore(live, self.Host), true
}

// countBefore returns the number of members before a host in the order of the hashes of their names.
func countBefore(ms []*Member, host string) int {
	hash, n := xxhash.Sum64String(host), 0
	for _, m := range ms {
		if xxhash.Sum64String(m.Host) < hash {
			n++
		}
	}
	return n
}

// Rank returns this host's position among all hosts in the order of the hashes of their names.
func (a *Agent) Rank() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return countBefore(a.Table.Live(a.Now()), a.Table.Host)
}
