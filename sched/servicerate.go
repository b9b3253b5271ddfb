// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package sched

import "time"

// servedRate caches a pool's service rate.
type servedRate struct {
	perSecond float64
	at        time.Duration
	known     bool
}

// servedRateTTL is the time for which a service rate is used: computing it takes 7 us at 140
// endpoints, and it changes by a few percent in this time.
const servedRateTTL = 50 * time.Millisecond

// serviceRate returns the number of requests per second that the endpoints of a pool serve for all
// hosts together.
func (s *Scheduler) serviceRate(now time.Duration, p *pool) float64 {
	if !p.served.known || now-p.served.at > servedRateTTL {
		p.served = servedRate{s.sumServiceRates(now, p), now, true}
	}
	return p.served.perSecond
}

// sumServiceRates computes serviceRate: slots over the time of a request, at most the rate that an
// endpoint states.
func (s *Scheduler) sumServiceRates(now time.Duration, p *pool) float64 {
	sum := 0.0
	for _, e := range p.members {
		if !p.usable(now, e) {
			continue
		}
		rate := float64(e.slots()) / (s.serviceTime(e).Seconds() * s.slowness(now, e))
		if e.RateLimited {
			rate = min(rate, e.Rate)
		}
		sum += rate
	}
	return sum
}
