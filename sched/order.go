// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package sched

import "time"

// Submit decides a new request, in this order: limits that operators set, the
// retry budget, whether anything could serve it, the shedding floor, room at an
// endpoint, whether waiting can end in time, and room to wait.
func (s *Scheduler) Submit(now time.Duration, r *Request) Decision {
	r.pool = s.poolOf(r)
	r.pool.arrivals.add()
	s.estimate(r)
	s.rankLength(r)
	if ok, wait := s.limits.takeRate(now, r.Settings, s.hosts(r)); !ok {
		return s.refuse(now, r, ReasonRate, wait)
	}
	if !s.limits.takeRetry(r.Settings, r.Retry) {
		return s.refuse(now, r, ReasonRetryBudget, time.Second)
	}
	if len(r.pool.members) == 0 && !s.unheard(r) {
		return s.refuse(now, r, ReasonNoEndpoint, time.Second)
	}
	return s.place(now, r)
}

// place runs a request, lets it wait, or refuses it.
func (s *Scheduler) place(now time.Duration, r *Request) Decision {
	if r.pool.floor.holds(now, r.rank()) {
		return s.refuse(now, r, ReasonFloor, r.pool.floor.until-now)
	}
	if s.hopeless(now, r) {
		return s.refuse(now, r, ReasonDeadline, s.wait(now, r))
	}
	r.spare = s.rationed(r)
	if !s.before(r) {
		if d, ok := s.start(now, r); ok {
			return d
		}
	}
	if r.spare {
		return s.refuse(now, r, ReasonLength, s.rationAfter(now, r))
	}
	if d, ok := s.makeRoom(now, r); !ok {
		return d
	}
	s.enqueue(r)
	d := Decision{Request: r, Verdict: Wait}
	s.remember(now, d, nil)
	return d
}

// unheard reports whether an engine that might serve the request has not given
// an account of itself yet, as after a start: then the request waits.
func (s *Scheduler) unheard(r *Request) bool {
	if r.Model == "" {
		return false
	}
	for _, e := range s.endpoints {
		if e.present && e.Engine && !e.hasReport {
			return true
		}
	}
	return false
}

// estimate sets cost and expected length of a request.
func (s *Scheduler) estimate(r *Request) {
	r.outGuess = s.lengths.guess(lengthKey{r.Settings.Workspace, r.Settings.Service}, max(1, r.MaxTokens))
	if r.ExpectedTokens > 0 {
		r.outGuess = min(r.ExpectedTokens, max(1, r.MaxTokens))
	}
	if r.Model == "" {
		r.outGuess = 1
	}
	r.cost = float64(r.outGuess) + float64(r.PromptTokens)/defaultPrefill
	p := r.pool
	if p.mean == 0 {
		p.mean = r.cost
	}
	r.long = r.cost > s.cfg.LongFactor*p.mean
	p.mean += 0.01 * (r.cost - p.mean)
}

// hosts is the number of hosts that share a workspace's limits.
func (s *Scheduler) hosts(r *Request) int {
	if s.Hosts == nil {
		return 1
	}
	return max(1, s.Hosts(r.Settings.Workspace))
}

// before reports whether a request of the same or a higher tier waits already;
// a new one then waits behind it.
func (s *Scheduler) before(r *Request) bool {
	for k := 0; k <= r.rank(); k++ {
		if r.pool.tiers[k].waiting > 0 {
			return true
		}
	}
	return false
}

// start dispatches a request if an endpoint has room.
func (s *Scheduler) start(now time.Duration, r *Request) (Decision, bool) {
	if !s.limits.enter(r.Settings, s.hosts(r)) {
		return Decision{}, false
	}
	choose := s.choose
	if r.Objective.FirstToken > 0 {
		choose = s.chooseByWorth
	}
	c := choose(now, r)
	if c == nil {
		s.limits.leave(r.Settings)
		return Decision{}, false
	}
	d := Decision{Request: r, Verdict: Run, Endpoint: c.e.Name, ImportFrom: s.importFrom(now, c)}
	r.at, r.sentAt, r.predicted = c.e, now, c.first
	r.step, r.load = c.e.step(), c.load
	r.avoid = nil
	s.notePlaced(r)
	c.e.fill()
	c.e.start(now, r)
	r.pool.tiers[r.rank()].charge(r)
	s.remember(now, d, s.cands[:min(len(s.cands), maxCandidates)])
	return d, true
}

// refuse ends a request without running it.
func (s *Scheduler) refuse(now time.Duration, r *Request, why Reason, after time.Duration) Decision {
	if why.Overload() && why != ReasonFloor {
		s.refusedFor(now, r.pool, r.rank())
		if why != ReasonLength {
			s.noteVain(now, r)
		}
	}
	d := Decision{Request: r, Verdict: Refuse, Reason: why, RetryAfter: max(after, minRetryAfter)}
	s.remember(now, d, nil)
	return d
}

// minRetryAfter is the least time after which a caller is told to come back.
const minRetryAfter = 100 * time.Millisecond

// wait estimates how long a request waits for room: the cost of what is served
// before it, over this host's share of the pool's speed.
func (s *Scheduler) wait(now time.Duration, r *Request) time.Duration {
	ahead := 0.0
	for k := 0; k < r.rank(); k++ {
		ahead += r.pool.tiers[k].cost
	}
	ahead += r.pool.tiers[r.rank()].costBefore(r.Settings.Workspace, r.Settings.Weight)
	if ahead == 0 {
		return 0
	}
	steps := 0.0 // of all slots, a second
	for _, e := range r.pool.members {
		if r.pool.usable(now, e) {
			steps += float64(e.slots()) / (e.step().Seconds() * s.slowness(now, e))
		}
	}
	if steps == 0 {
		return s.cfg.NoEndpointWait
	}
	share := steps / float64(max(1, s.SharingHosts))
	return time.Duration(ahead / share * float64(time.Second))
}

// leastWhole is the shortest time to a whole answer at any endpoint, were it idle.
func (s *Scheduler) leastWhole(now time.Duration, r *Request) time.Duration {
	least := time.Duration(1<<63 - 1)
	for _, e := range r.pool.members {
		least = min(least, s.idleWhole(r, e))
	}
	return least
}

// hopeless reports whether a request that comes now cannot end in time.
func (s *Scheduler) hopeless(now time.Duration, r *Request) bool {
	if s.cfg.Disabled.EarlyRefusal || len(r.pool.members) == 0 {
		return false
	}
	wait := time.Duration(s.cfg.EarlyWaitWeight * float64(s.wait(now, r)))
	return now+wait+s.leastWhole(now, r) > r.Deadline
}

// lastChance dispatches a request that has waited as long as it may to the best
// endpoint that admits it, although little may be earned there.
func (s *Scheduler) lastChance(now time.Duration, r *Request) (Decision, bool) {
	if now >= r.Deadline {
		return Decision{}, false
	}
	r.last = true
	d, ok := s.start(now, r)
	if ok {
		s.unqueue(r)
	}
	return d, ok
}

// mostPast bounds the requests looked at behind one that fits no endpoint now.
const mostPast = 16

// servePast dispatches requests behind one that fits no endpoint now, in order of
// arrival: an endpoint with room for a short prompt may have none for a long one.
func (s *Scheduler) servePast(now time.Duration, q *tierQueue, out []Decision) []Decision {
	n := 0
	for at := q.arrival.Front(); at != nil && n < mostPast; n++ {
		r := at.Value.(*Request)
		at = at.Next()
		if d, ok := s.start(now, r); ok {
			s.unqueue(r)
			out = append(out, d)
		}
	}
	return out
}

// tooLate reports whether a request that waited is not likely to end in time any
// more; running it would only take room from others.
func (s *Scheduler) tooLate(now time.Duration, r *Request) bool {
	return !s.cfg.Disabled.EarlyRefusal && now+s.meanWhole(now, r) > r.Deadline
}

// meanWhole is the time to a whole answer at an endpoint of the pool taken at
// random by its slots, were it idle.
func (s *Scheduler) meanWhole(now time.Duration, r *Request) time.Duration {
	sum, slots := 0.0, 0.0
	for _, e := range r.pool.members {
		if !r.pool.usable(now, e) {
			continue
		}
		n := float64(e.slots())
		sum += n * float64(s.idleWhole(r, e))
		slots += n
	}
	if slots == 0 {
		return 0
	}
	return time.Duration(sum / slots)
}

// idleWhole is the time to a whole answer at an endpoint, were it idle.
func (s *Scheduler) idleWhole(r *Request, e *endpointState) time.Duration {
	if !e.Engine {
		return e.step()
	}
	return e.prefillTime(r.PromptTokens) + time.Duration(r.outGuess)*e.step()
}

// makeRoom bounds what waits: the workspace's own bound first, then the host's,
// dropping the newest request of the lowest tier below r's, or refusing r.
func (s *Scheduler) makeRoom(now time.Duration, r *Request) (Decision, bool) {
	if s.waitingOf[r.Settings.Workspace] >= r.Settings.MaxQueued {
		return s.refuse(now, r, ReasonQueueFull, s.wait(now, r)), false
	}
	if s.waiting < s.cfg.MaxWaiting {
		return Decision{}, true
	}
	victim := s.lowestNewest(r.rank())
	if victim == nil {
		return s.refuse(now, r, ReasonQueueFull, s.wait(now, r)), false
	}
	s.unqueue(victim)
	s.pending = append(s.pending, s.refuse(now, victim, ReasonShed, s.wait(now, victim)))
	return Decision{}, true
}

// lowestNewest returns the newest waiting request of the lowest tier below rank, or nil.
func (s *Scheduler) lowestNewest(rank int) *Request {
	for k := maxRanks - 1; k > rank; k-- {
		var newest *Request
		for _, p := range s.pools {
			if q := p.tiers[k].newest(); q != nil && (newest == nil || q.seq > newest.seq) {
				newest = q
			}
		}
		if newest != nil {
			return newest
		}
	}
	return nil
}

// Poll returns the decisions on waiting requests that are due now: those shed,
// those whose deadline passed and those that can run.
func (s *Scheduler) Poll(now time.Duration) []Decision {
	out := s.pending
	s.pending = nil
	for len(s.deadlines) > 0 && s.deadlines[0].latest() <= now {
		r := s.deadlines[0]
		if d, ok := s.lastChance(now, r); ok {
			out = append(out, d)
			continue
		}
		s.unqueue(r)
		out = append(out, s.refuse(now, r, ReasonDeadline, s.wait(now, r)))
	}
	for _, p := range s.pools {
		if p.dirty && p.waiting > 0 {
			out = s.serve(now, p, out)
		}
		p.dirty = false
	}
	return out
}

// serve dispatches what can run of one pool, the highest tier first. A tier
// whose head finds no room stops those below it, unless the head is long: then
// shorter ones behind it may pass.
func (s *Scheduler) serve(now time.Duration, p *pool, out []Decision) []Decision {
	for rank := 0; rank < maxRanks; rank++ {
		q := &p.tiers[rank]
		for q.waiting > 0 {
			if p.floor.holds(now, rank) {
				return out
			}
			r := q.head()
			if s.tooLate(now, r) {
				s.unqueue(r)
				out = append(out, s.refuse(now, r, ReasonDeadline, s.wait(now, r)))
				continue
			}
			d, ok := s.start(now, r)
			if !ok && r.Objective.FirstToken > 0 {
				out = s.servePast(now, q, out)
				break
			}
			if !ok && r.long {
				break
			}
			if !ok {
				return out
			}
			s.unqueue(r)
			out = append(out, d)
		}
	}
	return out
}
