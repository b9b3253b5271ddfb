// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"
)

// The rule on stated rates: within rateWindow an endpoint gets no more than rateOvershoot times what its rate allows, plus rateSlack
// requests.
const (
	rateWindow    = 4 * time.Second
	rateOvershoot = 1.5
	rateSlack     = 5
	// rateKnownAfter is the time after the first statement from which requests count: a host has had an answer with the rate, or heard
	// of it from another host.
	rateKnownAfter = time.Second
)

// statedRate is a time in which an endpoint states a rate, with the requests of hosts that nothing disturbed.
type statedRate struct {
	from, until time.Time // until is zero while it lasts
	perSecond   float64
	arrivals    []time.Time
}

// stateRates makes one endpoint after the other state a rate until ctx ends. It draws from a source of its own, so that the faults of a
// seed stay the same.
func (f *fleet) stateRates(ctx context.Context, r *rand.Rand) {
	for ctx.Err() == nil {
		list := f.stayingEndpoints("")
		m, perSecond := list[r.IntN(len(list))], 1+4*r.Float64()
		m.stateRate(perSecond)
		pause(ctx, 5*time.Second+time.Duration(r.Int64N(int64(5*time.Second))))
		m.liftRate()
		pause(ctx, time.Duration(r.Int64N(int64(3*time.Second))))
	}
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// stateRate makes the endpoint state a rate in its answers.
func (m *fleetEndpoint) stateRate(perSecond float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rates = append(m.rates, statedRate{from: time.Now(), perSecond: perSecond})
	m.StateRate(perSecond)
}

// liftRate ends the last stateRate.
func (m *fleetEndpoint) liftRate() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rates[len(m.rates)-1].until = time.Now()
	m.StateRate(-1)
}

// noteArrival records a request of a host that nothing disturbed.
func (m *fleetEndpoint) noteArrival(at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i := range m.rates {
		s := &m.rates[i]
		if at.Sub(s.from) >= rateKnownAfter && (s.until.IsZero() || at.Before(s.until)) {
			s.arrivals = append(s.arrivals, at)
		}
	}
}

// excess describes how an endpoint got more than a stated rate allows, in windows that end at the contact time or later; it is empty if
// it did not.
func (s *statedRate) excess(contact time.Duration) string {
	allowed := rateOvershoot*s.perSecond*rateWindow.Seconds() + rateSlack
	first := 0
	for i, at := range s.arrivals {
		for at.Sub(s.arrivals[first]) >= rateWindow {
			first++
		}
		if n := i - first + 1; at.Sub(s.from) >= contact && float64(n) > allowed {
			return fmt.Sprintf("%d requests in %s until %s after it stated %.1f a second, %g allowed", n, rateWindow, at.Sub(s.from), s.perSecond, allowed)
		}
	}
	return ""
}

// overRate checks the rates that endpoints stated.
func (r *record) overRate() []string {
	var out []string
	for _, m := range r.endpoints {
		m.mu.Lock()
		for i := range m.rates {
			if excess := m.rates[i].excess(m.contact); excess != "" {
				out = append(out, m.Instance+": "+excess)
			}
		}
		m.mu.Unlock()
	}
	return out
}
