// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package quota

import (
	"math"
	"time"
)

// Figures of the shares.
const (
	// debtShare is the part of the tolerance that requests may use; the rest covers
	// what hosts use before they hear of each other, and restarts.
	debtShare = 0.2
	// startShare is the level with which accounts begin, as a part of that debt, when what
	// was used before is not known.
	startShare = 0.5
	// deepest is how far below zero an account may go, in seconds of its rate.
	deepest = 4
	// heardWithin is the silence of a peer after which it is taken to serve on alone.
	heardWithin = 450 * time.Millisecond
	// tellBelow is the part of the burst below which a level is told to new hosts.
	tellBelow = 0.5
	// learnFor is the time from a book's start in which it takes levels from peers.
	learnFor = 2 * time.Second
)

// Tolerance is how far beyond its bound a workspace may get in a window:
// Overshoot·(Rate·Window + Burst) + Slack. The zero value tolerates nothing.
type Tolerance struct {
	// Window is the span over which use is counted.
	Window time.Duration
	// Overshoot is a part of what the bound allows in a window.
	Overshoot float64
	// Slack is in units.
	Slack float64
}

// debt is how far below zero a level may go and requests still pass.
func (t Tolerance) debt(b Bound) float64 {
	return debtShare * (t.Overshoot*(b.Rate*t.Window.Seconds()+b.Burst) + t.Slack)
}

// Bound is what a workspace may use.
type Bound struct {
	// Rate is in units a second and Burst in units, over all hosts.
	Rate, Burst float64
}

// Told is what a host tells of its accounts, by workspace.
type Told struct {
	// Used is what it used in its life.
	Used map[string]float64
	// Left is the level of those accounts that are low.
	Left map[string]float64
}

// Book keeps the accounts of one host. It is not safe for concurrent use. The exported
// fields must be set before the first call.
//
// The level of an account is this host's view of what all hosts together have left: it
// fills at Rate up to Burst and sinks by own use, by the use that peers tell, and by an
// equal share of the rate for each host that has not told yet. A request passes while
// the level is above a part of the tolerance below zero, whatever its size, so that
// large ones are not starved by small ones, and while the host has used less than an
// equal share of the level since it heard of all others. A peer that falls silent
// is taken to use an equal share of the level and then its share of the rate; what it really
// used sets that right when it is heard again. So hosts that lose sight of each other
// use no more together than they would have done.
type Book struct {
	// Tolerance is what the hosts together may get wrong.
	Tolerance Tolerance
	// Full says that nothing was used before, as at the first start of all hosts:
	// accounts begin full. Else they begin with a part of the tolerance, or at what peers tell.
	Full bool

	accounts map[string]*account
	peers    map[string]*peer
	left     map[string]float64 // the least that peers told in the first time
	first    time.Duration
	hosts    int
}

// account is what is known of a workspace.
type account struct {
	bound  Bound
	at     time.Duration
	level  float64
	used   float64
	recent float64 // own use since all others were heard
}

// peer is another host.
type peer struct {
	life   uint64
	heard  time.Duration
	used   map[string]float64
	taken  map[string]float64 // taken as used since it was heard
	told   bool               // heard since the last time that all were
	silent bool
}

// NewBook returns an empty book.
func NewBook(now time.Duration) *Book {
	return &Book{
		accounts: make(map[string]*account), peers: make(map[string]*peer), left: make(map[string]float64),
		first: now, hosts: 1,
	}
}

// SetHosts sets the number of hosts that share the amounts, this one included.
func (b *Book) SetHosts(n int) { b.hosts = max(1, n) }

// account returns an account, filled up to now.
func (b *Book) account(now time.Duration, name string, bound Bound) *account {
	a := b.accounts[name]
	if a == nil {
		a = &account{bound: bound, at: b.first, level: startShare * b.Tolerance.debt(bound)}
		if b.Full {
			a.level = bound.Burst
		}
		if left, ok := b.left[name]; ok {
			a.level, a.at = left, now
		}
		b.accounts[name] = a
	}
	if a.bound != bound {
		a.level = min(a.level, bound.Burst)
		a.bound = bound
	}
	b.fill(now, name, a)
	return a
}

// fill lets an account rise to now. Hosts that were never heard use their shares too.
func (b *Book) fill(now time.Duration, name string, a *account) {
	dt := (now - a.at).Seconds()
	if dt <= 0 {
		return
	}
	a.at = now
	share := a.bound.Rate / float64(b.hosts) * dt
	a.level += a.bound.Rate * dt
	a.level -= share * float64(max(0, b.hosts-1-len(b.peers)))
	for _, p := range b.peers {
		p.taken[name] += share
		a.level -= share
	}
	a.clamp()
}

// clamp keeps the level within its bounds.
func (a *account) clamp() {
	a.level = min(max(a.level, -deepest*a.bound.Rate), a.bound.Burst)
}

// Take lets an amount through, or tells when to come back.
func (b *Book) Take(now time.Duration, name string, bound Bound, amount float64) (bool, time.Duration) {
	if bound.Rate <= 0 {
		return true, 0
	}
	a := b.account(now, name, bound)
	b.doubt(now)
	free := a.level + b.Tolerance.debt(bound)
	if free <= 0 {
		return false, time.Duration(-free / bound.Rate * float64(time.Second))
	}
	if a.recent > 0 && a.recent >= (free+a.recent)/float64(b.hosts) {
		return false, heardWithin / 2
	}
	a.level -= amount
	a.used += amount
	a.recent += amount
	return true, 0
}

// Return gives back an amount that was taken and surely not used.
func (b *Book) Return(name string, amount float64) {
	if a := b.accounts[name]; a != nil {
		a.level = min(a.level+amount, a.bound.Burst)
		a.used -= amount
	}
}

// young tells whether peers know better than this book what was used of late.
func (b *Book) young(now time.Duration) bool { return !b.Full && now-b.first < learnFor }

// Tell tells what this host used in its life and, once it knows, which levels are low.
func (b *Book) Tell(now time.Duration) Told {
	t := Told{Used: make(map[string]float64, len(b.accounts)), Left: make(map[string]float64)}
	for name, a := range b.accounts {
		b.fill(now, name, a)
		t.Used[name] = a.used
		if !b.young(now) && a.level < tellBelow*a.bound.Burst {
			t.Left[name] = math.Floor(a.level)
		}
	}
	return t
}

// Heard takes what a peer told. The first tell of a life is where the counting starts.
func (b *Book) Heard(now time.Duration, name string, life uint64, told Told) {
	b.learn(now, told.Left)
	p := b.peers[name]
	if p == nil {
		p = &peer{life: life, heard: now, used: told.Used, taken: make(map[string]float64)}
		b.peers[name] = p
		return
	}
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
	b.refresh()
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
		if !p.silent && now-p.heard > heardWithin {
			b.lose(p)
		}
	}
	b.refresh()
}

// lose takes a peer that is not heard any more to use its equal share of what was left
// when it was heard last.
func (b *Book) lose(p *peer) {
	if p.silent {
		return
	}
	p.silent = true
	heard := 2.0 // with this host and p
	for _, q := range b.peers {
		if !q.silent {
			heard++
		}
	}
	for ws, a := range b.accounts {
		free := max(0, a.level+b.Tolerance.debt(a.bound))
		part := free - max(0, (free+a.recent)*(heard-1)/heard-a.recent)
		a.level -= part
		p.taken[ws] += part
	}
}

// refresh begins the count of recent use anew once all others have been heard.
func (b *Book) refresh() {
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

// Keep drops the peers that are surely gone: those not named.
func (b *Book) Keep(names map[string]bool) {
	for name := range b.peers {
		if !names[name] {
			delete(b.peers, name)
		}
	}
}
