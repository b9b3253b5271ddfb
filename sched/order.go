// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package sched

import "time"

// Submit decides a new request. It checks, in this order: the rate limits set by operators, the
// retry budget, whether any endpoint could serve the request, whether all of them rest for longer
// than it may wait, the shedding floor, whether it can
// meet its deadline, room at an endpoint, the tier's ration, the wait behind the requests of all
// hosts, and room in the queue.
func (s *Scheduler) Submit(now time.Duration, r *Request) Decision {
	r.pool = s.poolOf(r)
	r.pool.arrivals.add()
	r.demandsOf().add(r.Settings.Workspace, r.Settings.Weight)
	s.accrueCredits(r)
	s.estimate(r)
	s.setLengthQuantile(r)
	if ok, wait := s.limits.takeRate(now, r.Settings, s.hosts(r)); !ok {
		return s.refuse(now, r, ReasonRate, wait)
	}
	if !s.limits.takeRetry(r.Settings, r.Retry) {
		return s.refuse(now, r, ReasonRetryBudget, time.Second)
	}
	if len(r.pool.members) == 0 && !s.awaitsReport(r) {
		return s.refuse(now, r, ReasonNoEndpoint, time.Second)
	}
	return s.admit(now, r)
}

// admit runs, queues or refuses a request.
func (s *Scheduler) admit(now time.Duration, r *Request) Decision {
	if !s.versionServes(r, nil) {
		return s.refuse(now, r, ReasonNoEndpoint, versionRetryAfter)
	}
	if s.outwaitsRest(now, r) {
		return s.refuse(now, r, ReasonRest, 0)
	}
	if r.pool.floor.excludes(now, r.rank()) {
		return s.refuse(now, r, ReasonFloor, r.pool.floor.until-now)
	}
	if s.cannotMeetDeadline(now, r) {
		return s.refuse(now, r, ReasonDeadline, s.estimateWait(now, r))
	}
	r.spareOnly = s.beyondRation(r)
	if !s.mustQueue(r) {
		if d, ok := s.dispatch(now, r); ok {
			return d
		}
	}
	if r.spareOnly {
		return s.refuse(now, r, ReasonLength, s.rationRetryAfter(now, r))
	}
	if s.waitsTooLong(now, r) {
		return s.refuse(now, r, ReasonDeadline, s.estimateWait(now, r))
	}
	if d, ok := s.makeQueueRoom(now, r); !ok {
		return d
	}
	if !r.Continues && r.dispatchedAt == 0 && s.needsFastEndpoint(now, r) {
		r.extendWait(now)
	}
	s.enqueue(r)
	d := Decision{Request: r, Verdict: Wait}
	s.logDecision(now, d, nil)
	return d
}

// awaitsReport reports whether an engine that might serve the request has not reported yet, as
// after a start; the request then waits.
func (s *Scheduler) awaitsReport(r *Request) bool {
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

// estimate sets the cost and the expected output of a request.
func (s *Scheduler) estimate(r *Request) {
	r.expectedOutput = s.lengths.expected(lengthKey{r.Settings.Workspace, r.Settings.Service}, max(1, r.MaxTokens))
	if r.ExpectedTokens > 0 {
		r.expectedOutput = min(r.ExpectedTokens, max(1, r.MaxTokens))
	}
	if r.Model == "" {
		r.expectedOutput = 1
	}
	r.cost = float64(r.expectedOutput) + float64(r.PromptTokens)/defaultPrefill
	p := r.pool
	if p.meanCost == 0 {
		p.meanCost = r.cost
	}
	r.long = r.cost > s.cfg.LongFactor*p.meanCost
	p.meanCost += 0.01 * (r.cost - p.meanCost)
}

// hosts returns the number of hosts that share a workspace's limits.
func (s *Scheduler) hosts(r *Request) int {
	if s.Hosts == nil {
		return 1
	}
	return max(1, s.Hosts(r.Settings.Workspace))
}

// mustQueue reports whether a request of the same or a higher tier already waits; a new request
// then waits behind it. One that continues an answer waits behind higher tiers only.
func (s *Scheduler) mustQueue(r *Request) bool {
	last := r.rank()
	if r.Continues {
		last--
	}
	for k := 0; k <= last; k++ {
		if r.pool.tiers[k].waiting > 0 {
			return true
		}
	}
	return false
}

// dispatch dispatches a request if an endpoint has room.
func (s *Scheduler) dispatch(now time.Duration, r *Request) (Decision, bool) {
	choose := s.choose
	if r.Objective.FirstToken > 0 {
		choose = s.chooseByValue
	}
	return s.dispatchChosen(now, r, choose)
}

// dispatchChosen dispatches a request to the endpoint that choose returns, if any.
func (s *Scheduler) dispatchChosen(now time.Duration, r *Request, choose func(time.Duration, *Request) *candidate) (Decision, bool) {
	if !s.limits.acquire(r.Settings, s.hosts(r)) {
		return Decision{}, false
	}
	c := choose(now, r)
	if c == nil {
		s.limits.release(r.Settings)
		return Decision{}, false
	}
	d := Decision{Request: r, Verdict: Run, Endpoint: c.e.Name, ImportFrom: s.importFrom(now, c)}
	r.dispatchedTo, r.dispatchedAt, r.predicted = c.e, now, c.firstToken
	r.step, r.load = c.e.step(), c.load
	r.avoid, r.Avoid = nil, nil
	s.noteZone(now, r, c.e)
	s.noteDispatched(r)
	c.e.takeSlot()
	c.e.addRequest(now, r)
	r.pool.tiers[r.rank()].charge(r)
	s.logDecision(now, d, s.cands[:min(len(s.cands), maxCandidates)])
	return d, true
}

// refuse ends a request without running it.
func (s *Scheduler) refuse(now time.Duration, r *Request, reason Reason, retryAfter time.Duration) Decision {
	if reason.Overload() && reason != ReasonFloor {
		s.raiseFloor(now, r.pool, r.rank())
		if reason != ReasonLength {
			s.noteUnplaced(now, r)
		}
	}
	if reason.Overload() || reason == ReasonNoEndpoint {
		retryAfter = s.RetryAfter(now, r, retryAfter)
	}
	d := Decision{Request: r, Verdict: Refuse, Reason: reason, RetryAfter: max(retryAfter, minRetryAfter, s.RestLeft(now, r))}
	s.logDecision(now, d, nil)
	return d
}

// minRetryAfter is the shortest time after which callers are asked to retry.
const minRetryAfter = 100 * time.Millisecond

// estimateWait estimates how long a request waits for room: the cost of the requests served before
// it, divided by this host's share of the pool's speed.
func (s *Scheduler) estimateWait(now time.Duration, r *Request) time.Duration {
	ahead := 0.0
	for k := 0; k < r.rank(); k++ {
		ahead += r.pool.tiers[k].cost
	}
	ahead += r.pool.tiers[r.rank()].costBefore(r.Settings.Workspace, r.Settings.Weight)
	if ahead == 0 {
		return 0
	}
	stepRate := 0.0 // of all slots together, per second
	for _, e := range r.pool.members {
		if r.pool.usable(now, e) {
			rate := float64(e.slots()) / (e.step().Seconds() * s.slowness(now, e))
			if e.RateLimited {
				rate = min(rate, e.Rate*r.pool.meanCost)
			}
			stepRate += rate
		}
	}
	if stepRate == 0 {
		return s.cfg.NoEndpointWait
	}
	share := stepRate / float64(max(1, s.SharingHosts))
	return time.Duration(ahead / share * float64(time.Second))
}

// cannotMeetDeadline reports whether a request that arrives now cannot end in time. It waits no longer than until its queue deadline,
// however much waits before it: it has got a slot then, or is refused.
func (s *Scheduler) cannotMeetDeadline(now time.Duration, r *Request) bool {
	if s.cfg.Disabled.EarlyRefusal || len(r.pool.members) == 0 {
		return false
	}
	wait := time.Duration(s.cfg.EarlyWaitWeight * float64(s.estimateWait(now, r)))
	wait = min(wait, r.queueDeadline()-now)
	completion := s.minIdleCompletion(now, r)
	r.estimates.Wait, r.estimates.Completion = wait, completion
	return now+wait+completion > r.Deadline
}

// dispatchLastChance dispatches a request at its queue deadline to the best endpoint that admits
// it, even if the expected value there is low.
func (s *Scheduler) dispatchLastChance(now time.Duration, r *Request) (Decision, bool) {
	if now >= r.Deadline {
		return Decision{}, false
	}
	r.lastChance = true
	d, ok := s.dispatch(now, r)
	if ok {
		s.unqueue(r)
	}
	return d, ok
}

// maxPassing limits the requests tried behind one that fits no endpoint now.
const maxPassing = 16

// dispatchPassing dispatches requests behind one that fits no endpoint now, in order of arrival:
// an endpoint may have room for a short prompt but not for a long one.
func (s *Scheduler) dispatchPassing(now time.Duration, q *tierQueue, out []Decision) []Decision {
	n := 0
	for at := q.arrival.Front(); at != nil && n < maxPassing; n++ {
		r := at.Value.(*Request)
		at = at.Next()
		if d, ok := s.dispatch(now, r); ok {
			s.unqueue(r)
			out = append(out, d)
		}
	}
	return out
}

// makeQueueRoom applies the queue limits, first the workspace's, then the host's. If the host's
// queue is full, it sheds the newest request of the lowest tier below r's, or else refuses r.
func (s *Scheduler) makeQueueRoom(now time.Duration, r *Request) (Decision, bool) {
	if s.waitingByWorkspace[r.Settings.Workspace] >= r.Settings.MaxQueued {
		return s.refuse(now, r, ReasonQueueFull, s.estimateWait(now, r)), false
	}
	if s.waiting < s.cfg.MaxWaiting {
		return Decision{}, true
	}
	victim := s.shedCandidate(r.rank())
	if victim == nil {
		return s.refuse(now, r, ReasonQueueFull, s.estimateWait(now, r)), false
	}
	s.unqueue(victim)
	s.pending = append(s.pending, s.refuse(now, victim, ReasonShed, s.estimateWait(now, victim)))
	return Decision{}, true
}

// shedCandidate returns the newest waiting request of the lowest tier below rank, or nil.
func (s *Scheduler) shedCandidate(rank int) *Request {
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

// Poll returns the decisions on waiting requests that can be made now: requests that were shed,
// that reached their deadline or that can run.
func (s *Scheduler) Poll(now time.Duration) []Decision {
	out := s.pending
	s.pending = nil
	for len(s.deadlines) > 0 && s.deadlines[0].queueDeadline() <= now {
		r := s.deadlines[0]
		if d, ok := s.dispatchLastChance(now, r); ok {
			out = append(out, d)
			continue
		}
		s.unqueue(r)
		out = append(out, s.refuse(now, r, ReasonDeadline, s.estimateWait(now, r)))
	}
	for _, p := range s.pools {
		if p.dirty && p.waiting > 0 {
			out = s.dispatchWaiting(now, p, out)
		}
		p.dirty = false
	}
	return out
}

// dispatchWaiting dispatches the waiting requests of a pool that can run, highest tier first.
// A tier whose head finds no room blocks the tiers below it, unless the head is long, has an
// objective or needs a certain version. Behind a head with an objective, later requests of its tier are tried as well.
func (s *Scheduler) dispatchWaiting(now time.Duration, p *pool, out []Decision) []Decision {
	for rank := 0; rank < maxRanks; rank++ {
		q := &p.tiers[rank]
		for q.waiting > 0 {
			if p.floor.excludes(now, rank) {
				return out
			}
			r := q.head()
			if s.outwaitsRest(now, r) {
				s.unqueue(r)
				out = append(out, s.refuse(now, r, ReasonRest, 0))
				continue
			}
			if s.tooLate(now, r) {
				s.unqueue(r)
				out = append(out, s.refuse(now, r, ReasonDeadline, s.estimateWait(now, r)))
				continue
			}
			d, ok := s.dispatch(now, r)
			if !ok && r.Objective.FirstToken > 0 {
				out = s.dispatchPassing(now, q, out)
				break
			}
			if !ok && (r.long || s.isRestricted(r)) {
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
