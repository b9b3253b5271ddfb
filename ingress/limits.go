// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import (
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/heathkeel/heathkeel/outcome"
	"github.com/heathkeel/heathkeel/places"
)

// An endpoint may state in its responses how many requests a second it takes from all hosts together, or that it crashes when it has
// to reject more than a few for lack of room. Hosts tell each other what endpoints stated, and one host, the owner of the endpoint's
// slots, grants each request to it: no host could keep its part of a rate of two a second in a fleet of hundreds, and hosts that learn
// of each other's requests late overfill an endpoint. The owner sends its own requests without asking while no other host wants a slot,
// so that the endpoint is used, and is heard when it takes the statement back.

const (
	// badLimitLine limits the log lines about stated limits that are no numbers.
	badLimitLine outcome.Kind = "bad limit"
	// rejectLimitDelayShare is the share of the contact time after which a host keeps a limit on rejections. Endpoints keep their room
	// for the contact time after they first say so, and the owner of the slots needs the numbers of all hosts before it grants any.
	rejectLimitDelayShare = 0.5
	// ownerDelay is the time for which a new owner of the slots of an endpoint with such a limit grants none: by then all hosts have told
	// it what they have running there.
	ownerDelay = 500 * time.Millisecond
)

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

// statedLimits is what an endpoint stated about its limits.
type statedLimits struct {
	// rate is about the requests per second that it takes, rejects about those that it rejects in a second before it crashes.
	rate, rejects places.StatedLimit
}

// merge adds statements.
func (s *statedLimits) merge(o *statedLimits) {
	s.rate.Merge(o.rate)
	s.rejects.Merge(o.rejects)
}

// known reports whether the endpoint ever stated a limit.
func (s *statedLimits) known() bool { return s.rate.Known || s.rejects.Known }

// limitsInForce are the limits of an endpoint that hosts keep now.
type limitsInForce struct {
	rateLimited       bool
	rate              float64 // in requests per second, if rateLimited
	rejectLimited     bool
	soonRejectLimited bool // it has stated such a limit, and keeps its room for a while
}

// grantsOnly reports whether each request needs a grant.
func (l *limitsInForce) grantsOnly() bool { return l.rateLimited || l.rejectLimited }

// any reports whether the owner of the endpoint's slots has to know what all hosts have running there.
func (l *limitsInForce) any() bool { return l.grantsOnly() || l.soonRejectLimited }

// SetOwners sets the hosts that may own the slots of endpoints, and the share of the hosts that this one hears.
func (s *Server) SetOwners(candidates []places.Candidate, share float64) {
	b := s.balance
	b.mu.Lock()
	defer b.mu.Unlock()
	changed := !slices.Equal(candidates, b.owners.candidates)
	b.owners = owners{self: s.Host, candidates: candidates, share: share}
	if changed {
		b.findOwnLimited()
		b.slots.lastFullSend = 0 // new owners know nothing
		b.requestSlots()
	}
}

// NeedsOwners reports whether any endpoint stated a limit, so that SetOwners has to be called.
func (s *Server) NeedsOwners() bool {
	return s.balance.anyStating.Load()
}

// findOwnLimited finds the limited endpoints whose slots this host owns; mu must be held.
func (b *balancer) findOwnLimited() {
	now := b.now()
	b.ownLimited = b.ownLimited[:0]
	for _, t := range b.stating {
		owned := t.inForce.any() && b.owners.owns(t)
		if owned != t.owned {
			t.owned, t.ownedSince = owned, now
		}
		if owned {
			b.ownLimited = append(b.ownLimited, t)
		}
	}
}

// noteLimits records what a response says about the limits of its endpoint. sent is when the request was sent.
func (c *call) noteLimits(h http.Header, sent time.Duration) {
	var stated statedLimits
	now, n := c.s.Now(), &c.s.Headers
	if !c.parseLimit(h, n.Rate, sent, now, &stated.rate) || !c.parseLimit(h, n.Rejects, sent, now, &stated.rejects) {
		return
	}
	if !stated.rate.Limited && !stated.rejects.Limited && !c.s.balance.anyStating.Load() {
		return
	}
	limits, changed := c.s.balance.noteLimits(c.endpoint.Incarnation(), &stated)
	if changed {
		c.s.Log.Info("endpoint states other limits", "endpoint", c.endpoint.Instance, "rate_limited", limits.rateLimited, "rate", limits.rate,
			"rejects_limited", limits.rejectLimited || limits.soonRejectLimited)
		c.s.balance.notifyPeers()
	}
}

// parseLimit parses one limit of a response. A value that is no number is logged, and parseLimit returns false: what was stated before
// stays in force.
func (c *call) parseLimit(h http.Header, name string, sent, now time.Duration, to *places.StatedLimit) bool {
	*to = places.StatedLimit{Known: true, After: sent, Before: now}
	v := h.Get(name)
	if v == "" {
		return true
	}
	value, err := strconv.ParseFloat(strings.TrimSpace(v), 64)
	if err != nil || math.IsNaN(value) || value < 0 {
		c.s.Count.BadLimits.Add(1)
		if c.allowLine(badLimitLine, now) {
			c.s.Log.Info("endpoint states a limit that is no number; what it stated before stays in force", "endpoint", c.endpoint.Instance, "header", name, "value", v)
		}
		return false
	}
	to.Limited, to.Value = true, value
	return true
}

// noteLimits records statements that this host read itself, and reports whether the limits in force changed.
func (b *balancer) noteLimits(incarnation string, stated *statedLimits) (limitsInForce, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.targets[incarnation]
	if t == nil || (!stated.rate.Limited && !stated.rejects.Limited && !t.stated.known()) {
		return limitsInForce{}, false
	}
	t.ownStated.merge(stated)
	changed := b.mergeLimits(t, stated, b.rejectLimitDelay)
	return t.inForce, changed
}

// mergeLimits adds statements and reports whether the limits in force changed. A limit on rejections comes into force after
// rejectLimitDelay at the latest. mu must be held.
func (b *balancer) mergeLimits(t *target, stated *statedLimits, rejectLimitDelay time.Duration) bool {
	t.stated.merge(stated)
	if t.stated.known() {
		b.stating[t.Incarnation()] = t
		b.anyStating.Store(true)
	}
	now := b.now()
	t.rejectLimitedAt = min(t.rejectLimitedAt, now+rejectLimitDelay)
	if !t.applyLimits(now, rejectLimitDelay) {
		return false
	}
	b.applyLimits()
	return true
}

// applyLimits puts the stated limits in force and reports whether they changed.
func (t *target) applyLimits(now, rejectLimitDelay time.Duration) bool {
	var l limitsInForce
	l.rate, l.rateLimited = t.stated.rate.InForce(now)
	if !l.rateLimited {
		l.rate = 0
	}
	_, rejects := t.stated.rejects.InForce(now)
	if rejects && !t.inForce.rejectLimited && !t.inForce.soonRejectLimited {
		t.rejectLimitedAt = now + rejectLimitDelay
	}
	l.rejectLimited, l.soonRejectLimited = rejects && now >= t.rejectLimitedAt, rejects && now < t.rejectLimitedAt
	changed := l != t.inForce
	t.inForce = l
	return changed
}

// applyLimits tells the scheduler about changed limits, and makes the hosts tell the owners of the slots what they have running; mu must
// be held.
func (b *balancer) applyLimits() {
	now := b.now()
	b.findOwnLimited()
	b.syncEndpoints(now)
	b.poll(now)
	b.requestSlots()
}

// updateLimits puts limits in force whose time has come, and ends those that no response repeated for long; mu must be held.
func (b *balancer) updateLimits(now time.Duration) {
	changed := false
	for incarnation, t := range b.stating {
		if b.targets[incarnation] != t {
			delete(b.stating, incarnation)
			changed = true
			continue
		}
		changed = t.applyLimits(now, b.rejectLimitDelay) || changed
	}
	b.anyStating.Store(len(b.stating) > 0)
	if changed {
		b.applyLimits()
	}
	if len(b.stating) > 0 && now-b.slots.lastFullSend >= fullSendInterval {
		b.requestSlots()
	}
}

// holdGrants grants the host's own requests slots of the limited endpoints whose slots it owns, unless other hosts want them; mu must be
// held.
func (b *balancer) holdGrants(now time.Duration) {
	for _, t := range b.ownLimited {
		name := t.Incarnation()
		if !t.inForce.grantsOnly() || !t.mayGrant(now) || b.sched.Rests(now, name) {
			continue
		}
		a := b.allocator(now, t)
		switch {
		case a.Wanted(now):
			for range b.sched.DropGrants(now, name) {
				a.ReturnOwn()
			}
		case !b.sched.RenewGrant(now, name) && a.TakeOwn(now, b.sched.TierLimit(now, name)(0)):
			b.sched.HoldGrant(now, name)
		}
	}
}

// mayGrant reports whether this host may grant slots of a limited endpoint.
func (t *target) mayGrant(now time.Duration) bool {
	return t.owned && (!t.inForce.rejectLimited || now-t.ownedSince >= ownerDelay)
}

// allocator returns the allocator of an endpoint's slots with the limits in force; mu must be held.
func (b *balancer) allocator(now time.Duration, t *target) *places.Allocator {
	name := t.Incarnation()
	a := b.slots.allocators[name]
	if a == nil {
		a = &places.Allocator{}
		b.slots.allocators[name] = a
	}
	if t.inForce.rateLimited {
		a.SetRate(t.inForce.rate * b.owners.share)
	} else {
		a.LiftRate()
	}
	a.GrantAhead = !t.inForce.any()
	if t.inForce.any() && t.owned {
		a.NoteOwn(now, b.owners.self, b.sched.InFlight(name), b.sched.Grants(now, name))
	}
	return a
}

// maxReportedLimits limits the endpoints in one heartbeat or digest, which must fit into a datagram.
const maxReportedLimits = 400

// Limits returns what endpoints stated, for other hosts: what this host read itself, or all that it knows.
func (s *Server) Limits(all bool) map[string]places.LimitReports {
	b := s.balance
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.stating) == 0 {
		return nil
	}
	out := make(map[string]places.LimitReports)
	now := b.now()
	for incarnation, t := range b.stating {
		if len(out) >= maxReportedLimits {
			break // others, in the random order of maps, with the next heartbeats
		}
		stated := &t.ownStated
		if all {
			stated = &t.stated
		}
		r := places.LimitReports{Rate: stated.rate.Report(now), Rejects: stated.rejects.Report(now)}
		if r.Rejects != nil {
			r.Rejects.InForce = t.inForce.rejectLimited
		}
		if r.Rate != nil || r.Rejects != nil {
			out[incarnation] = r
		}
	}
	return out
}

// MergeLimits adds what endpoints stated to other hosts.
func (s *Server) MergeLimits(reports map[string]places.LimitReports) {
	b := s.balance
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	for incarnation, r := range reports {
		t := b.targets[incarnation]
		if t == nil {
			continue
		}
		delay := b.rejectLimitDelay
		if r.Rejects != nil && r.Rejects.InForce {
			delay = 0 // the endpoint first stated the limit long ago, before this host started or while it was suspended
		}
		b.mergeLimits(t, &statedLimits{rate: r.Rate.Stated(now), rejects: r.Rejects.Stated(now)}, delay)
	}
}

// LimitedEndpoints returns the number of endpoints that take requests with grants only, because of limits that they stated.
func (s *Server) LimitedEndpoints() int {
	b := s.balance
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, t := range b.stating {
		if t.inForce.grantsOnly() {
			n++
		}
	}
	return n
}
