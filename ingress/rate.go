// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/heathkeel/heathkeel/outcome"
	"github.com/heathkeel/heathkeel/places"
)

// An endpoint may state in its responses how many requests a second it takes from all hosts together. Hosts tell each other what
// endpoints stated, and one host, the owner of the endpoint's slots, grants the requests to it: no host could keep its part of a rate of
// two a second in a fleet of hundreds. The owner sends its own requests without asking while no other host wants one, so that the
// endpoint is used, and is heard when it takes the statement back.

// badRateLine limits the log lines about stated rates that are no numbers.
const badRateLine outcome.Kind = "bad rate"

// owners are the hosts that may own the slots of endpoints.
type owners struct {
	self       string
	candidates []places.Candidate
	// share is the share of a stated rate that this host grants as an owner: less than 1 while it does not hear all hosts, since those
	// it does not hear may have an owner of their own.
	share float64
}

// owns reports whether this host owns the slots of an endpoint.
func (o *owners) owns(t *target) bool {
	return places.Owner(t.Incarnation(), t.Zone, o.candidates) == o.self
}

// SetOwners sets the hosts that may own the slots of endpoints, and the share of the hosts that this one hears.
func (s *Server) SetOwners(candidates []places.Candidate, share float64) {
	b := s.balance
	b.mu.Lock()
	defer b.mu.Unlock()
	b.owners = owners{self: s.Host, candidates: candidates, share: share}
	b.findOwnLimited()
}

// findOwnLimited finds the limited endpoints whose slots this host owns; mu must be held.
func (b *balancer) findOwnLimited() {
	b.ownLimited = b.ownLimited[:0]
	for _, t := range b.rated {
		if t.limited && b.owners.owns(t) {
			b.ownLimited = append(b.ownLimited, t)
		}
	}
}

// noteStatedRate records what a response says about the rate that its endpoint takes. sent is when the request was sent.
func (c *call) noteStatedRate(h http.Header, sent time.Duration) {
	stated := places.StatedRate{Known: true, After: sent, Before: c.s.Now()}
	if v := h.Get(c.s.Headers.Rate); v != "" {
		rate, err := strconv.ParseFloat(v, 64)
		if err != nil || math.IsNaN(rate) || rate < 0 {
			c.s.Count.BadRates.Add(1)
			if c.allowLine(badRateLine, stated.Before) {
				c.s.Log.Info("endpoint states a rate that is no number; the rate before stays in force", "endpoint", c.endpoint.Instance, "rate", v)
			}
			return
		}
		stated.Limited, stated.PerSecond = true, rate
	}
	if c.s.balance.noteStatedRate(c.endpoint.Incarnation(), stated) {
		c.s.Log.Info("endpoint states another rate", "endpoint", c.endpoint.Instance, "limited", stated.Limited, "per_second", stated.PerSecond)
		c.s.balance.notifyPeers()
	}
}

// noteStatedRate records a statement that this host read itself, and reports whether the rate in force changed.
func (b *balancer) noteStatedRate(incarnation string, stated places.StatedRate) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.targets[incarnation]
	if t == nil || (!stated.Limited && !t.stated.Known) {
		return false
	}
	t.ownStated.Merge(stated)
	return b.mergeStatedRate(t, stated)
}

// mergeStatedRate adds a statement and reports whether the rate in force changed; mu must be held.
func (b *balancer) mergeStatedRate(t *target, stated places.StatedRate) bool {
	t.stated.Merge(stated)
	if t.stated.Known {
		b.rated[t.Incarnation()] = t
	}
	if !t.applyRate(b.now()) {
		return false
	}
	b.applyRates()
	return true
}

// applyRate puts the stated rate in force and reports whether it changed.
func (t *target) applyRate(now time.Duration) bool {
	rate, limited := t.stated.InForce(now)
	if limited == t.limited && (!limited || rate == t.rate) {
		return false
	}
	t.rate, t.limited = rate, limited
	return true
}

// applyRates tells the scheduler about changed rates; mu must be held.
func (b *balancer) applyRates() {
	now := b.now()
	b.findOwnLimited()
	b.syncEndpoints(now)
	b.poll(now)
}

// expireRates ends the rates that no response repeated for long; mu must be held.
func (b *balancer) expireRates(now time.Duration) {
	changed := false
	for incarnation, t := range b.rated {
		if b.targets[incarnation] != t {
			delete(b.rated, incarnation)
			changed = true
			continue
		}
		changed = t.applyRate(now) || changed
	}
	if changed {
		b.applyRates()
	}
}

// holdGrants grants the host's own requests the rates of the endpoints whose slots it owns, unless other hosts want them; mu must be
// held.
func (b *balancer) holdGrants(now time.Duration) {
	for _, t := range b.ownLimited {
		a := b.allocator(t)
		name := t.Incarnation()
		switch {
		case a.Wanted(now):
			for range b.sched.DropGrants(now, name) {
				a.ReturnOwn()
			}
		case !b.sched.RenewGrant(now, name) && a.TakeOwn(now):
			b.sched.HoldGrant(now, name)
		}
	}
}

// allocator returns the allocator of an endpoint's slots with the rate in force; mu must be held.
func (b *balancer) allocator(t *target) *places.Allocator {
	name := t.Incarnation()
	a := b.slots.allocators[name]
	if a == nil {
		a = &places.Allocator{}
		b.slots.allocators[name] = a
	}
	if t.limited {
		a.SetRate(t.rate * b.owners.share)
	} else {
		a.LiftRate()
	}
	return a
}

// Rates returns what endpoints stated, for other hosts: what this host read itself, or all that it knows.
func (s *Server) Rates(all bool) map[string]places.RateReport {
	b := s.balance
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.rated) == 0 {
		return nil
	}
	out := make(map[string]places.RateReport)
	now := b.now()
	for incarnation, t := range b.rated {
		stated := &t.ownStated
		if all {
			stated = &t.stated
		}
		if r, ok := stated.Report(now); ok {
			out[incarnation] = r
		}
	}
	return out
}

// MergeRates adds what endpoints stated to other hosts.
func (s *Server) MergeRates(reports map[string]places.RateReport) {
	b := s.balance
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	for incarnation, r := range reports {
		if t := b.targets[incarnation]; t != nil {
			b.mergeStatedRate(t, r.Stated(now))
		}
	}
}

// LimitedEndpoints returns the number of endpoints whose stated rate is in force.
func (s *Server) LimitedEndpoints() int {
	b := s.balance
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, t := range b.rated {
		if t.limited {
			n++
		}
	}
	return n
}
