// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package quota

import (
	"math"
	"time"
)

// Figures of what hosts tell each other.
const (
	// tellBelow is the part of the burst below which a level is told to new hosts.
	tellBelow = 0.5
	// learnFor is the time from a book's start in which it takes levels from peers.
	learnFor = 2 * time.Second
)

// Report is what a host tells of its accounts, or a relay of those of several hosts, by workspace.
type Report struct {
	// Hosts is the number of hosts that it speaks of; 0 means 1.
	Hosts int
	// Used is what they used in the life of the one that tells.
	Used map[string]float64
	// Left is the level of those accounts that are low.
	Left map[string]float64
}

// young tells whether peers know better than this book what was used of late.
func (b *Book) young(now time.Duration) bool { return !b.StartFull && now-b.first < learnFor }

// Report tells what this host used in its life and, once it knows, which levels are low.
func (b *Book) Report(now time.Duration) Report {
	t := Report{Used: make(map[string]float64, len(b.accounts)), Left: make(map[string]float64)}
	for name, a := range b.accounts {
		b.fill(now, name, a)
		if a.used != 0 {
			t.Used[name] = a.used
		}
		if !b.young(now) && a.level < tellBelow*a.bound.Burst {
			t.Left[name] = math.Floor(a.level)
		}
	}
	return t
}

// ApplyReport takes what a peer told. The first tell of a life is where the counting starts.
// After a silence, a peer's further words set right what was taken as used meanwhile.
func (b *Book) ApplyReport(now time.Duration, name string, life uint64, told Report) {
	b.learn(now, told.Left)
	p := b.peers[name]
	if p == nil {
		p = &peer{life: life, heard: now, hosts: max(1, told.Hosts), used: told.Used, taken: make(map[string]float64)}
		b.peers[name] = p
		return
	}
	p.hosts = max(1, told.Hosts)
	for ws, a := range b.accounts {
		b.fill(now, ws, a)
	}
	if p.life != life {
		// What the ended life used and did not tell is not known.
		b.lose(p)
		clear(p.taken)
		p.life, p.used = life, nil
	}
	for ws, a := range b.accounts {
		a.level -= max(0, told.Used[ws]-p.used[ws]) - p.taken[ws]
		a.clamp()
	}
	clear(p.taken)
	p.heard, p.used, p.told, p.silent = now, told.Used, true, false
	b.refresh(now)
}

// learn takes the levels that peers tell while the book is young: what was used before
// its start is known to them only.
func (b *Book) learn(now time.Duration, left map[string]float64) {
	if !b.young(now) {
		return
	}
	for ws, level := range left {
		if old, ok := b.left[ws]; !ok || level < old {
			b.left[ws] = level
		}
		if a := b.accounts[ws]; a != nil {
			a.level = min(a.level, level)
		}
	}
}

// doubt finds peers that have fallen silent; nobody waits for their words.
func (b *Book) doubt(now time.Duration) {
	for _, p := range b.peers {
		if !p.silent && now-p.heard > b.silence {
			b.lose(p)
		}
	}
	b.refresh(now)
}

// lose takes a peer that is not heard any more to use its equal share of what was left
// when it was heard last.
func (b *Book) lose(p *peer) {
	if p.silent {
		return
	}
	p.silent = true
	heard := 1 + float64(p.hosts) // with this host
	for _, q := range b.peers {
		if !q.silent {
			heard += float64(q.hosts)
		}
	}
	for ws, a := range b.accounts {
		free := max(0, a.level+b.Tolerance.debt(a.bound))
		part := free - max(0, (free+a.recent)*(heard-float64(p.hosts))/heard-a.recent)
		a.level -= part
		p.taken[ws] += part
	}
}

// refresh begins the count of recent use anew once all others have been heard. A host that has
// just started and heard nobody knows nothing of the others' use, and keeps to one share.
func (b *Book) refresh(now time.Duration) {
	if len(b.peers) == 0 && b.hosts > 1 && b.young(now) {
		return
	}
	for _, p := range b.peers {
		if !p.told && !p.silent {
			return
		}
	}
	for _, p := range b.peers {
		p.told = false
	}
	for _, a := range b.accounts {
		a.recent = 0
	}
}

// RetainPeers drops the peers that are surely gone: those not named.
func (b *Book) RetainPeers(names map[string]bool) {
	for name := range b.peers {
		if !names[name] {
			delete(b.peers, name)
		}
	}
}
