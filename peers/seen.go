// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peers

import (
	"slices"
	"time"
)

// Limits of the log lines about hosts that come and go: the rate in lines per second, the burst in lines, and
// the number of hosts named per line. If processes lack CPU time, hosts seem to come and go all the time, and a
// line for each change would keep the CPU busy.
const (
	peerLogRate    = 0.5
	peerLogBurst   = 20
	maxLoggedPeers = 10
)

// logPeerChanges logs in one line which hosts came and went. mu must be held. Changes that exceed the limit of
// lines are logged in a later line.
func (a *Agent) logPeerChanges(now time.Duration) {
	live := make(map[string]bool, len(a.loggedLive))
	for _, m := range a.Table.Live(now) {
		live[m.Host] = true
	}
	seen, lost := difference(live, a.loggedLive), difference(a.loggedLive, live)
	if len(seen)+len(lost) == 0 {
		return
	}
	dropped, ok := a.logBudget.Allow(now)
	if !ok {
		return
	}
	a.loggedLive = live
	a.Log.Info("peers changed", "seen", seen[:min(maxLoggedPeers, len(seen))], "lost", lost[:min(maxLoggedPeers, len(lost))],
		"seen_count", len(seen), "lost_count", len(lost), "live", len(live), "later", dropped)
}

// difference returns the hosts that are in a and not in b, sorted.
func difference(a, b map[string]bool) []string {
	var out []string
	for h := range a {
		if !b[h] {
			out = append(out, h)
		}
	}
	slices.Sort(out)
	return out
}
