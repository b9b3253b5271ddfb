// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package quota

import "time"

// Parameters of the shares.
const (
	// initialLevelRatio is the initial level of accounts, as a fraction of the allowed debt, when what was used
	// before is not known.
	initialLevelRatio = 0.5
	// maxDebtSeconds limits how far below zero a level may go, in seconds of the account's rate.
	maxDebtSeconds = 4
	// silenceIntervals is the number of report intervals after which a silent peer is assumed to continue
	// serving on its own, and defaultInterval is the interval where none is given.
	silenceIntervals = 2.25
	defaultInterval  = 200 * time.Millisecond
)

// Book keeps the accounts of one host. It is not safe for concurrent use. The exported fields must be set
// before the first call.
//
// The level of an account is this host's estimate of what all hosts together have left. It is refilled at Rate
// up to Burst, and decreases by this host's use, by the use that peers report, and by an equal share of the
// rate for each host that has not reported yet. A request passes if two conditions hold. The level plus the
// debt that the kind of request may use is above zero, whatever the size of the request, so that large requests are
// not starved by small ones. And since all other hosts last reported, this host has used less than
// an equal share of what is left. A peer that becomes silent is assumed to use an equal share of the level and
// then its share of the rate; its next report replaces the assumed use by the real one. So hosts that lose contact
// use together no more than they would have used otherwise.
//
// Most of the debt is for streams that go on: when hosts fail, many of them come at once, after requests that
// begin something have used up the rest.
type Book struct {
	// Tolerance is how far the hosts together may exceed a limit.
	Tolerance Tolerance
	// StartFull says that nothing was used before, as at the first start of all hosts: accounts begin full.
	// Otherwise they begin with a fraction of the allowed debt, or at the levels that peers report.
	StartFull bool

	accounts       map[string]*account
	peers          map[string]*peer
	startLevels    map[string]float64 // lowest levels reported by peers in the learning period
	startedAt      time.Duration
	hosts          int
	silenceTimeout time.Duration
}

// account is the state of one workspace.
type account struct {
	limit     Limit
	updatedAt time.Duration
	level     float64
	used      float64
	recentUse float64 // this host's use since all others last reported
}

// peer is another host, or a relay that reports for several hosts.
type peer struct {
	incarnation uint64
	hosts       int
	reportedAt  time.Duration
	used        map[string]float64
	assumed     map[string]float64 // use assumed since its last report
	reported    bool               // since the last time that all peers had reported
	silent      bool
}

// NewBook returns an empty book.
func NewBook(now time.Duration) *Book {
	return &Book{
		accounts: make(map[string]*account), peers: make(map[string]*peer), startLevels: make(map[string]float64),
		startedAt: now, hosts: 1, silenceTimeout: time.Duration(silenceIntervals * float64(defaultInterval)),
	}
}

// SetHosts sets the number of hosts that share the amounts, including this one, and the interval between two
// reports of a host, which grows with their number.
func (b *Book) SetHosts(n int, interval time.Duration) {
	b.hosts = max(1, n)
	b.silenceTimeout = time.Duration(silenceIntervals * float64(max(interval, defaultInterval)))
}

// account returns an account, refilled up to now.
func (b *Book) account(now time.Duration, name string, limit Limit) *account {
	a := b.accounts[name]
	if a == nil {
		a = &account{limit: limit, updatedAt: b.startedAt, level: initialLevelRatio * b.Tolerance.allowedDebt(limit)}
		if b.StartFull {
			a.level = limit.Burst
		}
		if left, ok := b.startLevels[name]; ok {
			a.level, a.updatedAt = left, now
		}
		b.accounts[name] = a
	}
	if a.limit != limit {
		a.level = min(a.level, limit.Burst)
		a.limit = limit
	}
	b.refill(now, name, a)
	return a
}

// Open begins an account. An account does not count what peers used before it was begun; if it were begun with
// a host's first request, it would be full.
func (b *Book) Open(now time.Duration, name string, limit Limit) {
	if limit.Rate > 0 {
		b.account(now, name, limit)
	}
}

// refill refills an account up to now. Hosts that have never reported are assumed to use their shares, too.
func (b *Book) refill(now time.Duration, name string, a *account) {
	dt := (now - a.updatedAt).Seconds()
	if dt <= 0 {
		return
	}
	a.updatedAt = now
	share := a.limit.Rate / float64(b.hosts) * dt
	a.level += a.limit.Rate * dt
	unreported := b.hosts - 1
	for _, p := range b.peers {
		assumed := share * float64(p.hosts)
		p.assumed[name] += assumed
		a.level -= assumed
		unreported -= p.hosts
	}
	a.level -= share * float64(max(0, unreported))
	a.clamp()
}

// clamp keeps the level within its limits.
func (a *account) clamp() {
	a.level = min(max(a.level, -maxDebtSeconds*a.limit.Rate), a.limit.Burst)
}

// Take takes an amount for a request that begins something, or returns false and the time after which to retry.
func (b *Book) Take(now time.Duration, name string, limit Limit, amount float64) (bool, time.Duration) {
	return b.take(now, name, limit, amount, beginRatio*b.Tolerance.allowedDebt(limit))
}

// TakeToContinue takes an amount for a request that goes on with a stream, or returns false and the time after which to retry.
func (b *Book) TakeToContinue(now time.Duration, name string, limit Limit, amount float64) (bool, time.Duration) {
	return b.take(now, name, limit, amount, b.Tolerance.allowedDebt(limit))
}

// take takes an amount if the level is not below -debt.
func (b *Book) take(now time.Duration, name string, limit Limit, amount, debt float64) (bool, time.Duration) {
	if limit.Rate <= 0 {
		return true, 0
	}
	a := b.account(now, name, limit)
	b.markSilentPeers(now)
	available := a.level + debt
	if available <= 0 {
		return false, time.Duration(-available / limit.Rate * float64(time.Second))
	}
	if a.recentUse > 0 && a.recentUse >= (available+a.recentUse)/float64(b.hosts) {
		return false, b.silenceTimeout / 2
	}
	a.level -= amount
	a.used += amount
	a.recentUse += amount
	return true, 0
}

// Return gives back an amount that was taken and certainly not used.
func (b *Book) Return(name string, amount float64) {
	if a := b.accounts[name]; a != nil {
		a.level = min(a.level+amount, a.limit.Burst)
		a.used -= amount
	}
}
