// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package sched

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/heathkeel/heathkeel/settings"
)

// epoch turns times since the start into the instants that the rate library wants.
var epoch = time.Unix(0, 0)

// scopeLimit holds the rate and concurrency of one scope on this host. A scope's
// limit is divided by the number of hosts that serve its workspace.
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

// newLimits returns limits under which nothing has run yet.
func newLimits() limits {
	return limits{scopes: make(map[string]*scopeLimit), budgets: make(map[string]*budget)}
}

// budget is a workspace's credit for retries.
type budget struct{ credit float64 }

// Figures of the retry budget.
const (
	// budgetBurst is the largest credit, in retries.
	budgetBurst = 10
	// rateBurst is the time whose requests a rate limit lets through at once.
	rateBurst = 0.5
	// maxBudgets bounds the budgets remembered; scopes are as many as settings declare.
	maxBudgets = 1 << 15
)

// scope returns the limit of a scope.
func (l *limits) scope(name string) *scopeLimit {
	x := l.scopes[name]
	if x == nil {
		x = &scopeLimit{}
		l.scopes[name] = x
	}
	return x
}

// takeRate reports whether the rate of the request's scope lets it through, and
// if not, after what time one would be.
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

// release counts the end of a request that enter let in.
func (l *limits) release(e *settings.Effective) {
	if e.Concurrency != 0 {
		l.scope(e.ConcurrencyScope).running--
	}
}

// takeRetry earns credit with a first try and spends it with a retry; it
// reports whether the request may go on.
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
