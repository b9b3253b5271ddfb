// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package quota

import "time"

// Figures of the shares.
const (
	// reserve is the part of the burst that a host leaves to the shares of all hosts.
	reserve = 0.12
	// deepest is how far below zero an account may go, in seconds of its rate.
	deepest = 4
	// heardWithin is the silence of any peer after which only the own level counts.
	heardWithin = 450 * time.Millisecond
	// ownCap is the most of the own level, as a part of an equal share of the burst.
	ownCap = 0.3
)

// Bound is what a workspace may use.
type Bound struct {
	// Rate is in units a second and Burst in units, over all hosts.
	Rate, Burst float64
}

// Book keeps the accounts of one host. It is not safe for concurrent use.
//
// Each account holds two levels. The common one is this host's view of what all
// hosts together have left: it fills at Rate up to Burst and sinks by own use, by
// the use that peers tell, and by an equal share of the rate for each peer that has
// not told yet. The own one fills at Rate/hosts up to a small part of the burst. A
// request is let through while the common level is above the reserve; below it, and
// while any peer is silent, only by the own level, which may go below zero once, so
// that a request larger than the level passes some time. So the hosts together use
// no more than Burst, Rate and the own levels, and, if they lose sight of each
// other, what they use until they notice.
type Book struct {
	accounts map[string]*account
	peers    map[string]*peer
	first    time.Duration
	hosts    int
}

// account is what is known of a workspace.
type account struct {
	bound  Bound
	at     time.Duration
	common float64
	own    float64
	used   float64
}

// peer is another host.
type peer struct {
	life  uint64
	heard time.Duration
	used  map[string]float64
	taken map[string]float64 // taken as used while it was silent
}

// NewBook returns an empty book. Its accounts begin empty: what others used
// before is not known.
func NewBook(now time.Duration) *Book {
	return &Book{accounts: make(map[string]*account), peers: make(map[string]*peer), first: now, hosts: 1}
}

// SetHosts sets the number of hosts that share the amounts, this one included.
func (b *Book) SetHosts(n int) { b.hosts = max(1, n) }

// account returns an account, filled up to now.
func (b *Book) account(now time.Duration, name string, bound Bound) *account {
	a := b.accounts[name]
	if a == nil {
		a = &account{bound: bound, at: b.first}
		b.accounts[name] = a
	}
	if a.bound != bound {
		a.common = min(a.common, bound.Burst)
		a.bound = bound
	}
	b.fill(now, name, a)
	return a
}

// fill lets an account rise to now.
func (b *Book) fill(now time.Duration, name string, a *account) {
	dt := (now - a.at).Seconds()
	if dt <= 0 {
		return
	}
	a.at = now
	share := a.bound.Rate / float64(b.hosts)
	a.common += a.bound.Rate * dt
	for _, p := range b.peers {
		p.taken[name] += share * dt
		a.common -= share * dt
	}
	a.common = min(max(a.common, -deepest*a.bound.Rate), a.bound.Burst)
	a.own = min(a.own+share*dt, ownCap*a.bound.Burst/float64(b.hosts))
}

// Take lets an amount through, or tells when to come back.
func (b *Book) Take(now time.Duration, name string, bound Bound, amount float64) (bool, time.Duration) {
	if bound.Rate <= 0 {
		return true, 0
	}
	a := b.account(now, name, bound)
	keep := reserve * bound.Burst
	free := a.common-amount >= keep && !b.blind(now)
	if free || a.own > 0 {
		if !free {
			a.own -= amount
		}
		a.common -= amount
		a.used += amount
		return true, 0
	}
	share := bound.Rate / float64(b.hosts)
	wait := min((keep+amount-a.common)/bound.Rate, -a.own/share)
	return false, time.Duration(max(wait, 0) * float64(time.Second))
}

// blind tells whether a peer has been silent too long for the common level to be trusted.
func (b *Book) blind(now time.Duration) bool {
	for _, p := range b.peers {
		if now-p.heard > heardWithin {
			return true
		}
	}
	return len(b.peers)+1 < b.hosts
}

// Return gives back an amount that was taken and surely not used.
func (b *Book) Return(name string, amount float64) {
	if a := b.accounts[name]; a != nil {
		a.common = min(a.common+amount, a.bound.Burst)
		a.used -= amount
	}
}

// Used tells what this host used in its life, by workspace.
func (b *Book) Used() map[string]float64 {
	out := make(map[string]float64, len(b.accounts))
	for name, a := range b.accounts {
		out[name] = a.used
	}
	return out
}

// Heard takes what a peer used in its life. The first tell of a life is where
// the counting starts.
func (b *Book) Heard(now time.Duration, name string, life uint64, used map[string]float64) {
	p := b.peers[name]
	if p == nil {
		p = &peer{life: life, heard: now, used: used, taken: make(map[string]float64)}
		b.peers[name] = p
		return
	}
	if p.life != life {
		p.life, p.used = life, nil
	}
	for ws, a := range b.accounts {
		b.fill(now, ws, a)
		a.common -= max(0, used[ws]-p.used[ws]) - p.taken[ws]
		a.common = min(max(a.common, -deepest*a.bound.Rate), a.bound.Burst)
	}
	clear(p.taken)
	p.heard, p.used = now, used
}

// Forget drops a peer that is surely gone.
func (b *Book) Forget(name string) { delete(b.peers, name) }
