// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package sched

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/heathkeel/heathkeel/settings"
)

// epoch converts times since the start to the time.Time values of package rate.
var epoch = time.Unix(0, 0)

// scopeLimit is the rate and concurrency of one scope on this host. A scope's limit is divided by
// the number of hosts that serve its workspace.
type scopeLimit struct {
	rate        *rate.Limiter
	running     int
	perHostRate float64
}

// limits holds the limits of all scopes and the retry budgets of workspaces.
type limits struct {
	scopes  map[string]*scopeLimit
	budgets map[string]*budget
}

// newLimits returns unused limits.
func newLimits() limits {
	return limits{scopes: make(map[string]*scopeLimit), budgets: make(map[string]*budget)}
}

// budget is a workspace's credit for retries.
type budget struct{ credit float64 }

// Parameters of rate limits and retry budgets.
const (
	// budgetBurst is the largest credit, in retries.
	budgetBurst = 10
	// rateBurst is the burst of a rate limit, in seconds of its rate.
	rateBurst = 0.5
	// maxBudgets limits the budgets kept; the number of scopes is limited by the settings.
	maxBudgets = 1 << 15
)

// scope returns the limit of a scope and creates it if needed.
func (l *limits) scope(name string) *scopeLimit {
	x := l.scopes[name]
	if x == nil {
		x = &scopeLimit{}
		l.scopes[name] = x
	}
	return x
}

// takeRate reports whether the rate limit of the request's scope admits it, and if not, after what
// time it would.
func (l *limits) takeRate(now time.Duration, e *settings.Effective, hosts int) (bool, time.Duration) {
	if e.Rate == 0 {
		return true, 0
	}
	x := l.scope(e.RateScope)
	share := e.Rate / float64(max(hosts, 1))
	if x.rate == nil || x.perHostRate != share {
		x.perHostRate = share
		x.rate = rate.NewLimiter(rate.Limit(share), max(1, int(share*rateBurst)))
	}
	res := x.rate.ReserveN(epoch.Add(now), 1)
	wait := res.DelayFrom(epoch.Add(now))
	if wait == 0 {
		return true, 0
	}
	res.CancelAt(epoch.Add(now))
	return false, wait
}

// acquire counts a running request unless its scope is full.
func (l *limits) acquire(e *settings.Effective, hosts int) bool {
	if e.Concurrency == 0 {
		return true
	}
	x := l.scope(e.ConcurrencyScope)
	if x.running >= max(1, e.Concurrency/max(hosts, 1)) {
		return false
	}
	x.running++
	return true
}

// release ends a request that acquire counted.
func (l *limits) release(e *settings.Effective) {
	if e.Concurrency != 0 {
		l.scope(e.ConcurrencyScope).running--
	}
}

// takeRetry adds credit for a first attempt and spends it for a retry. It reports whether the
// request may proceed.
func (l *limits) takeRetry(e *settings.Effective, retry bool) bool {
	b := l.budgets[e.Workspace]
	if b == nil {
		if len(l.budgets) >= maxBudgets {
			clear(l.budgets)
		}
		b = &budget{credit: budgetBurst}
		l.budgets[e.Workspace] = b
	}
	if !retry {
		b.credit = min(b.credit+e.RetryBudget, budgetBurst)
		return true
	}
	if b.credit < 1 {
		return false
	}
	b.credit--
	return true
}
