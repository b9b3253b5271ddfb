// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import (
	"time"

	"github.com/heathkeel/heathkeel/feed"
	"github.com/heathkeel/heathkeel/places"
	"github.com/heathkeel/heathkeel/sched"
)

// ColdTolerance is by how much all hosts together may exceed the rate of a cold endpoint in a second: the rate times Overshoot, plus
// Slack.
type ColdTolerance struct{ Overshoot, Slack float64 }

// limit returns the number of requests to a cold endpoint that all hosts together may send within a second.
func (c ColdTolerance) limit(rate float64) float64 { return rate*c.Overshoot + c.Slack }

// coldStartTime is the time after its start for which a host sends nothing to cold endpoints: until then it may not know which other
// hosts send to them.
const coldStartTime = 3 * time.Second

// LimitsCold reports whether the requests to cold endpoints of any service are limited.
func (s *Server) LimitsCold() bool { return s.balance.limitsCold.Load() }

// SetFleet sets what the host knows of all hosts. The hosts that may send requests to cold endpoints follow from it.
func (s *Server) SetFleet(f places.Fleet) { s.balance.setFleet(s.Now(), f) }

// setFleet implements Server.SetFleet. The scheduler is told only if there are cold endpoints.
func (b *balancer) setFleet(now time.Duration, f places.Fleet) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fleet = f
	for _, t := range b.targets {
		if now < t.coldUntil {
			b.syncEndpoints(now)
			b.poll(now)
			return
		}
	}
}

// update replaces what is known of an endpoint by its newest entry.
func (t *target) update(now time.Duration, e feed.Endpoint) {
	switch {
	case e.ColdLeft == 0:
		t.coldUntil = 0
	case e.ColdLeft != t.ColdLeft || t.Instance == "":
		t.coldUntil = now + e.ColdLeft
	}
	t.Endpoint = e
}

// markCold takes the endpoints of zones that are no longer evacuated for cold: they got no requests for a while, and their entries
// may not say so yet. mu must be held.
func (b *balancer) markCold(now time.Duration, zones map[string]bool) {
	for _, t := range b.targets {
		if s := b.service(t.Service); s != nil && s.ColdRate > 0 && zones[t.Zone] && !b.evacuated[t.Zone] {
			t.coldUntil = max(t.coldUntil, now+s.ColdTime)
		}
	}
}

// coldLimit returns the limit on this host's requests to an endpoint while it is cold; mu must be held.
func (b *balancer) coldLimit(now time.Duration, t *target) sched.ColdLimit {
	s := b.service(t.Service)
	if s == nil || s.ColdRate <= 0 || now >= t.coldUntil {
		return sched.ColdLimit{}
	}
	l := sched.ColdLimit{Until: t.coldUntil}
	if now >= coldStartTime {
		l.Interval = places.ColdInterval(t.Incarnation(), t.Zone, &b.fleet, b.coldTolerance.limit(s.ColdRate))
	}
	return l
}
