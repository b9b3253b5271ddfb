// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package quota

import "time"

// Figures of the shares.
const (
	// startShare is the level with which accounts begin, as a part of that debt, when what
	// was used before is not known.
	startShare = 0.5
	// deepest is how far below zero an account may go, in seconds of its rate.
	deepest = 4
	// silentAfter is the number of times between two words of a peer after which it is
	// taken to serve on alone, and defaultEvery that time where none is given.
	silentAfter  = 2.25
	defaultEvery = 200 * time.Millisecond
)

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
	// StartFull says that nothing was used before, as at the first start of all hosts:
	// accounts begin full. Else they begin with a part of the tolerance, or at what peers tell.
	StartFull bool

	accounts map[string]*account
	peers    map[string]*peer
	left     map[string]float64 // the least that peers told in the first time
	first    time.Duration
	hosts    int
	silence  time.Duration
}

// account is what is known of a workspace.
type account struct {
	bound  Limit
	at     time.Duration
	level  float64
	used   float64
	recent float64 // own use since all others were heard
}

// peer is another host, or a relay that speaks of several.
type peer struct {
	life   uint64
	hosts  int
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
		first: now, hosts: 1, silence: time.Duration(silentAfter * float64(defaultEvery)),
	}
}

// SetHosts sets the number of hosts that share the amounts, this one included, and the
// time between two words of one of them, which grows with their number.
func (b *Book) SetHosts(n int, every time.Duration) {
	b.hosts = max(1, n)
	b.silence = time.Duration(silentAfter * float64(max(every, defaultEvery)))
}

// account returns an account, filled up to now.
func (b *Book) account(now time.Duration, name string, bound Limit) *account {
	a := b.accounts[name]
	if a == nil {
		a = &account{bound: bound, at: b.first, level: startShare * b.Tolerance.debt(bound)}
		if b.StartFull {
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

// Open begins an account. What peers used before an account was begun is not counted in it, and it would be full for a host that is
// asked for something for the first time.
func (b *Book) Open(now time.Duration, name string, bound Limit) {
	if bound.Rate > 0 {
		b.account(now, name, bound)
	}
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
	unheard := b.hosts - 1
	for _, p := range b.peers {
		part := share * float64(p.hosts)
		p.taken[name] += part
		a.level -= part
		unheard -= p.hosts
	}
	a.level -= share * float64(max(0, unheard))
	a.clamp()
}

// clamp keeps the level within its bounds.
func (a *account) clamp() {
	a.level = min(max(a.level, -deepest*a.bound.Rate), a.bound.Burst)
}

// Take lets an amount through, or tells when to come back.
func (b *Book) Take(now time.Duration, name string, bound Limit, amount float64) (bool, time.Duration) {
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
		return false, b.silence / 2
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
