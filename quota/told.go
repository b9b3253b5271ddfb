// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package quota

import (
	"math"
	"time"
)

// Parameters of the reports that hosts exchange.
const (
	// lowLevelRatio is the fraction of the burst below which a level is reported to new hosts.
	lowLevelRatio = 0.5
	// learningPeriod is the time from a book's start during which it adopts levels that peers report.
	learningPeriod = 2 * time.Second
)

// Report holds the use and the low levels of a host's accounts, or a relay's sum over several hosts, by
// workspace.
type Report struct {
	// Hosts is the number of hosts that the report covers; 0 means 1.
	Hosts int
	// Used is what these hosts used in the current incarnation of the sender.
	Used map[string]float64
	// Left is the level of each account that is low.
	Left map[string]float64
}

// learning reports whether peers know the recent use better than this book does.
func (b *Book) learning(now time.Duration) bool {
	return !b.StartFull && now-b.startedAt < learningPeriod
}

// Report returns what this host used in its incarnation and, after the learning period, the levels that are
// low.
func (b *Book) Report(now time.Duration) Report {
	r := Report{Used: make(map[string]float64, len(b.accounts)), Left: make(map[string]float64)}
	for name, a := range b.accounts {
		b.refill(now, name, a)
		if a.used != 0 {
			r.Used[name] = a.used
		}
		if !b.learning(now) && a.level < lowLevelRatio*a.limit.Burst {
			r.Left[name] = math.Floor(a.level)
		}
	}
	return r
}

// ApplyReport applies a peer's report. Counting starts with the first report of an incarnation. The first
// report after a silence replaces the use that was assumed meanwhile.
func (b *Book) ApplyReport(now time.Duration, source string, incarnation uint64, r Report) {
	b.adoptLevels(now, r.Left)
	p := b.peers[source]
	if p == nil {
		p = &peer{incarnation: incarnation, reportedAt: now, hosts: max(1, r.Hosts), used: r.Used, assumed: make(map[string]float64)}
		b.peers[source] = p
		return
	}
	p.hosts = max(1, r.Hosts)
	for ws, a := range b.accounts {
		b.refill(now, ws, a)
	}
	if p.incarnation != incarnation {
		// What the ended incarnation used and did not report is not known.
		b.chargeSilentPeer(p)
		clear(p.assumed)
		p.incarnation, p.used = incarnation, nil
	}
	for ws, a := range b.accounts {
		a.level -= max(0, r.Used[ws]-p.used[ws]) - p.assumed[ws]
		a.clamp()
	}
	clear(p.assumed)
	p.reportedAt, p.used, p.reported, p.silent = now, r.Used, true, false
	b.resetRecentUse(now)
}

// adoptLevels adopts levels that peers report during the learning period: only they know what was used before
// this book started.
func (b *Book) adoptLevels(now time.Duration, left map[string]float64) {
	if !b.learning(now) {
		return
	}
	for ws, level := range left {
		if old, ok := b.startLevels[ws]; !ok || level < old {
			b.startLevels[ws] = level
		}
		if a := b.accounts[ws]; a != nil {
			a.level = min(a.level, level)
		}
	}
}

// markSilentPeers marks the peers that have become silent. This host does not wait for their reports before it
// resets its recent use.
func (b *Book) markSilentPeers(now time.Duration) {
	for _, p := range b.peers {
		if !p.silent && now-p.reportedAt > b.silenceTimeout {
			b.chargeSilentPeer(p)
		}
	}
	b.resetRecentUse(now)
}

// chargeSilentPeer assumes that a peer that has become silent uses its equal share of what was left at its last
// report.
func (b *Book) chargeSilentPeer(p *peer) {
	if p.silent {
		return
	}
	p.silent = true
	reporting := 1 + float64(p.hosts) // p and this host
	for _, other := range b.peers {
		if !other.silent {
			reporting += float64(other.hosts)
		}
	}
	for ws, a := range b.accounts {
		available := max(0, a.level+b.Tolerance.allowedDebt(a.limit))
		assumed := available - max(0, (available+a.recentUse)*(reporting-float64(p.hosts))/reporting-a.recentUse)
		a.level -= assumed
		p.assumed[ws] += assumed
	}
}

// resetRecentUse starts the count of recent use anew once all other hosts have reported. A host that has just
// started and has no report yet knows nothing of the others' use, and stays within one share.
func (b *Book) resetRecentUse(now time.Duration) {
	if len(b.peers) == 0 && b.hosts > 1 && b.learning(now) {
		return
	}
	for _, p := range b.peers {
		if !p.reported && !p.silent {
			return
		}
	}
	for _, p := range b.peers {
		p.reported = false
	}
	for _, a := range b.accounts {
		a.recentUse = 0
	}
}

// RetainPeers drops the peers that are not in sources: those that are certainly gone.
func (b *Book) RetainPeers(sources map[string]bool) {
	for source := range b.peers {
		if !sources[source] {
			delete(b.peers, source)
		}
	}
}
