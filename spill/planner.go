// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package spill

import "time"

// Parameters of the decision. docs/design/zones.md has the simulations behind them.
const (
	// startUtilization and stopUtilization are the shares of a zone's capacity that its demand has
	// to exceed to start, and fall below to stop, sending. With one value for both, zones near their
	// capacity start and stop with every fluctuation of the arrival rate.
	startUtilization = 1.0
	stopUtilization  = 0.94
	// keepUtilization is the share of its capacity beyond which a sending zone may send. Hosts use
	// a share only while their zone has no room, so that a value below 1 makes up for the delay of
	// reports and leaves no slot free. With 1, startUtilization 1.04
	// and rates of a half-life of 1 s, 0.956 of the requests were served under moving waves.
	keepUtilization = 0.97
	// fillUtilization is the share of its capacity up to which a zone receives; the rest absorbs
	// fluctuations of its own arrivals.
	fillUtilization = 0.98
	// waitShare is the share of the objective for which requests may wait at home.
	waitShare = 0.5
	// drainTime is the time within which requests that would wait longer are to be served. It is
	// longer than the delay of reports, so that a backlog is not sent away several times.
	drainTime = 1500 * time.Millisecond
	// reverseTime is the time after a zone stopped sending for which it receives nothing: twice the
	// delay of reports. With 2 s, moving waves changed their direction as often.
	reverseTime = 1 * time.Second
	// staleAge is the age of a zone's data from which it receives its last rate only, and lostAge
	// that from which it receives nothing. Reports through relays are up to 0.65 s old. Zones that were
	// not heard of for a while mostly still serve; a host that lost contact with all others keeps
	// sending what it sent.
	staleAge = 1500 * time.Millisecond
	lostAge  = 30 * time.Second
)

// Planner computes plans for one service. The zero value is ready for use. It is not safe for
// concurrent use.
type Planner struct {
	sending map[string]bool          // by zone
	stopped map[string]time.Duration // when a zone stopped sending
	flows   map[string]map[string]float64
}

// Plan returns the plan for the state of a service at time now.
func (p *Planner) Plan(now time.Duration, s *Service) Plan {
	if p.sending == nil {
		p.sending, p.stopped = make(map[string]bool), make(map[string]time.Duration)
	}
	g := p.graph(now, s)
	g.solve()
	plan := make(Plan)
	flows := make(map[string]map[string]float64)
	for i, from := range s.Zones {
		for j, to := range s.Zones {
			rate := g.flow[i][j]
			if rate <= 0 {
				continue
			}
			if flows[from.Name] == nil {
				flows[from.Name], plan[from.Name] = make(map[string]float64), make(map[string]float64)
			}
			flows[from.Name][to.Name] = rate
			plan[from.Name][to.Name] = rate / max(from.Arrivals, rate)
		}
	}
	p.flows = flows
	return plan
}

// graph returns the excess of the sending zones, the free capacity of the others and the costs
// between them, and updates which zones send.
func (p *Planner) graph(now time.Duration, s *Service) *transport {
	g := newTransport(len(s.Zones))
	for i := range s.Zones {
		z := &s.Zones[i]
		demand := z.demand(s.objective())
		capacity := z.Capacity
		if z.Evacuated {
			capacity = 0
		}
		p.updateSending(now, z, demand, capacity)
		switch {
		case p.sending[z.Name]:
			// Backlog is sent away at the rate of arrivals at most: shares are of arriving requests.
			g.supply[i] = min(z.Arrivals, max(0, demand-keepUtilization*capacity))
		case z.Evacuated || capacity == 0 || z.Age >= lostAge:
		case z.Hostless || z.Age >= staleAge:
			g.room[i] = min(p.received(z.Name), max(0, fillUtilization*capacity-demand))
		case p.stopped[z.Name] == 0 || now-p.stopped[z.Name] >= reverseTime:
			g.room[i] = max(0, fillUtilization*capacity-demand)
		}
	}
	for i := range s.Zones {
		for j := range s.Zones {
			g.cost[i][j] = s.Cost(s.Zones[i].Name, s.Zones[j].Name)
		}
	}
	return g
}

// updateSending applies the two thresholds to a zone. A zone whose data is lost does not send by
// this host's plan, since its hosts plan by their own data.
func (p *Planner) updateSending(now time.Duration, z *Zone, demand, capacity float64) {
	limit := startUtilization
	if p.sending[z.Name] {
		limit = stopUtilization
	}
	sends := z.Age < lostAge && !z.Hostless && demand > limit*capacity
	if p.sending[z.Name] && !sends {
		p.stopped[z.Name] = max(now, 1)
	}
	p.sending[z.Name] = sends
}

// demand returns the requests per second that a zone has to serve: its arrivals, and the backlog that
// would wait for longer than waitShare of the objective.
func (z *Zone) demand(objective time.Duration) float64 {
	tolerated := z.Capacity * waitShare * objective.Seconds()
	return z.Arrivals + max(0, float64(z.Waiting)-tolerated)/drainTime.Seconds()
}

// received returns the requests per second that a zone received by the last plan.
func (p *Planner) received(zone string) float64 {
	sum := 0.0
	for _, to := range p.flows {
		sum += to[zone]
	}
	return sum
}
