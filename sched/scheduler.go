// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package sched

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/heathkeel/heathkeel/outlier"
)

// Scheduler decides the requests of one host. Set the exported fields, then call Init. It is not
// safe for concurrent use.
type Scheduler struct {
	// Config holds the parameters.
	Config Config
	// Rand is the source of random numbers.
	Rand *rand.Rand
	// SharingHosts is the number of hosts that share the endpoints, including this one.
	SharingHosts int
	// SlotOwners says that the hosts that own the slots of endpoints grant them to all others; see
	// package places.
	SlotOwners bool
	// Hosts returns the number of hosts that serve a workspace; nil means 1.
	Hosts func(workspace string) int

	cfg Config
	// peerState is the state of other hosts; claimsDrawnAt is the time of the last DrawClaims.
	peerState     PeerState
	claimsDrawnAt time.Duration
	// silentPeers is the number of hosts that may be serving but send no heartbeats.
	silentPeers int

	endpoints          []*endpointState
	anyUnrecorded      bool // of the endpoints
	byName             map[string]*endpointState
	pools              map[uint64]*pool
	poolCache          map[poolCacheKey]*pool
	prefixes           prefixIndex
	limits             limits
	zoneSpills         map[string]*zoneSpill // by model; see SetZoneShares
	lengths            lengths
	recentLengths      map[string]*recentLengths // by service
	deadlines          deadlineHeap
	waitingByWorkspace map[string]int
	waiting            int
	seq                uint64
	pending            []Decision

	// room caches freeShare for the decisions of one moment.
	room     modelRoom
	cands    []candidate
	askOrder []rankedEndpoint // buffer of endpointsToAsk
	matches  [maxMatches]match
	matched  int
	// lastOwnerAnswer is the time of the last answer of any slot owner, or 0.
	lastOwnerAnswer time.Duration
	// ejections counts the ejections by this host.
	ejections int
	log       [logSize]logEntry
	logNext   int
}

// Init prepares the scheduler for use.
func (s *Scheduler) Init() {
	s.cfg = s.Config.withDefaults()
	s.byName = make(map[string]*endpointState)
	s.pools = make(map[uint64]*pool)
	s.poolCache = make(map[poolCacheKey]*pool)
	s.lengths = make(lengths)
	s.recentLengths = make(map[string]*recentLengths)
	s.limits = newLimits()
	s.waitingByWorkspace = make(map[string]int)
}

// SetEndpoints replaces the declared endpoints; those no longer listed get no new requests.
func (s *Scheduler) SetEndpoints(list []Endpoint) {
	for _, e := range s.endpoints {
		e.present = false
	}
	s.anyUnrecorded = false
	for _, d := range list {
		s.anyUnrecorded = s.anyUnrecorded || d.Unrecorded
		e := s.byName[d.Name]
		if e == nil {
			e = &endpointState{index: len(s.endpoints)}
			s.endpoints = append(s.endpoints, e)
			s.byName[d.Name] = e
		}
		e.Endpoint = d
		e.present = true
	}
	clear(s.poolCache)
	s.refreshMembers()
}

// SetLeaving sets whether an endpoint is leaving.
func (s *Scheduler) SetLeaving(name string, leaving bool) {
	if e := s.byName[name]; e != nil && e.Leaving != leaving {
		e.Leaving = leaving
		s.wake(e)
	}
}

// ApplyReport applies a load report of an endpoint.
func (s *Scheduler) ApplyReport(now time.Duration, name string, rep Report) {
	e := s.byName[name]
	if e == nil {
		return
	}
	before := e.report
	e.applyReport(now, rep)
	if before.Model != e.report.Model || before.AcceptsPrompts != e.report.AcceptsPrompts {
		s.refreshMembers()
	}
	s.wake(e)
}

// ApplyCacheEvent records that an endpoint holds a prompt block or evicted it.
func (s *Scheduler) ApplyCacheEvent(name string, block uint64, evicted bool) {
	e := s.byName[name]
	switch {
	case e == nil:
	case evicted:
		s.prefixes.remove(block, e.index)
	default:
		s.prefixes.add(block, e.index)
	}
}

// Wake makes the next Poll reconsider all waiting requests.
func (s *Scheduler) Wake() {
	for _, p := range s.pools {
		p.dirty = p.dirty || p.waiting > 0
	}
}

// wake makes the next Poll reconsider the pools of an endpoint.
func (s *Scheduler) wake(e *endpointState) {
	for _, p := range s.pools {
		if p.waiting > 0 && !p.dirty && slices.Contains(p.members, e) {
			p.dirty = true
		}
	}
}

// FirstToken records the arrival of the first token.
func (s *Scheduler) FirstToken(now time.Duration, r *Request) {
	if r.dispatchedTo == nil || r.progressAt != 0 {
		return
	}
	s.Answered(r)
	r.dispatchedTo.finishPrefill(now, r)
	r.progressAt = max(now, 1)
	s.observeFirst(now, r)
	s.observeSilentPeers(now, r)
	for _, b := range r.Blocks {
		s.prefixes.add(b, r.dispatchedTo.index)
	}
}

// progressTokens is the least number of tokens between two observations of speed.
const progressTokens = 8

// Progress records that n tokens have arrived in all; it may be called for every token.
func (s *Scheduler) Progress(now time.Duration, r *Request, n int) {
	if r.dispatchedTo == nil || r.progressAt == 0 || n-r.tokens < progressTokens {
		return
	}
	if r.tokens > 0 {
		s.observeTokens(now, r.dispatchedTo, n-r.tokens, now-r.progressAt)
	}
	r.tokens = n
	r.progressAt = now
}

// Result is the outcome of a dispatched request.
type Result uint8

// Results of a dispatched request.
const (
	// Completed means that the whole answer arrived.
	Completed Result = iota
	// Broken means that the answer ended early.
	Broken
	// Errored means that the endpoint answered with an error of its own.
	Errored
	// Canceled means that the caller went away.
	Canceled
)

// Done records the end of a dispatched request and the number of tokens that arrived.
func (s *Scheduler) Done(now time.Duration, r *Request, result Result, tokens int) {
	e := r.dispatchedTo
	if e == nil {
		return
	}
	switch result {
	case Completed:
		e.health.Succeed(now)
	case Broken:
		s.Failed(now, r, outlier.Broken)
	case Errored:
		s.Failed(now, r, outlier.Errored)
	}
	e.removeRequest(now, r)
	s.limits.release(r.Settings)
	r.dispatchedTo = nil
	if result == Completed {
		s.lengths.observe(lengthKey{r.Settings.Workspace, r.Settings.Service}, tokens)
		took := now - r.dispatchedAt
		if e.meanService == 0 {
			e.meanService = took
		}
		e.meanService += time.Duration(lengthGain * float64(took-e.meanService))
	}
	s.wake(e)
}

// RedispatchUnsent undoes a dispatch that the endpoint certainly did not run, such as one whose
// connection was refused, and decides again without that endpoint.
func (s *Scheduler) RedispatchUnsent(now time.Duration, r *Request) Decision {
	s.Failed(now, r, outlier.Unreachable)
	return s.Redispatch(now, r)
}

// Redispatch ends a dispatch whose request is to go to another endpoint, and decides again. The
// request's model and version may have changed since. Only a request that needs a version of which
// there is no other endpoint may go to the same one again.
func (s *Scheduler) Redispatch(now time.Duration, r *Request) Decision {
	e := r.dispatchedTo
	e.removeRequest(now, r)
	s.limits.release(r.Settings)
	r.dispatchedTo = nil
	r.progressAt = 0
	r.tokens = 0
	r.rationExempt = true // its caller has already waited for an answer
	r.pool = s.poolOf(r)
	if s.versionServes(r, e) {
		r.avoid = e
	}
	return s.admit(now, r)
}

// Hedge decides a second dispatch of a request: r is to go to another endpoint than first, which stays dispatched. It does not wait, and
// counts neither as demand nor as a lack of capacity: r is dispatched to an endpoint with a free slot for which no other request of its
// tier or a higher one waits, or refused.
func (s *Scheduler) Hedge(now time.Duration, r, first *Request) Decision {
	r.pool = s.poolOf(r)
	r.cost, r.expectedOutput, r.long = first.cost, first.expectedOutput, first.long
	r.lengthQuantile, r.rationDraw, r.longDraw = first.lengthQuantile, first.rationDraw, first.longDraw
	r.rationExempt = true // its caller has already waited for an answer
	r.avoid = first.dispatchedTo
	if !r.pool.floor.excludes(now, r.rank()) && !s.mustQueue(r) {
		if d, ok := s.dispatch(now, r); ok {
			return d
		}
	}
	return Decision{Request: r, Verdict: Refuse, Reason: ReasonNoEndpoint}
}

// Tick updates the state that changes with time alone; call it about every 50 ms.
func (s *Scheduler) Tick(now time.Duration) {
	for _, e := range s.endpoints {
		s.checkStuck(now, e)
	}
	for _, p := range s.pools {
		s.updateThrottling(now, p)
	}
	s.updatePanicMode(now)
	s.Wake()
}

// Withdraw removes a waiting request whose caller went away. It reports whether the request was
// waiting.
func (s *Scheduler) Withdraw(r *Request) bool {
	if !r.waiting {
		return false
	}
	s.unqueue(r)
	return true
}

// Waiting returns the number of waiting requests.
func (s *Scheduler) Waiting() int { return s.waiting }

// enqueue adds a request to the queue.
func (s *Scheduler) enqueue(r *Request) {
	s.seq++
	r.seq = s.seq
	r.waiting = true
	q := &r.pool.tiers[r.rank()]
	q.fifo = s.cfg.Disabled.FairQueueing
	q.push(r)
	r.pool.waiting++
	s.waiting++
	s.waitingByWorkspace[r.Settings.Workspace]++
	heap.Push(&s.deadlines, r)
}

// unqueue removes a request from the queue.
func (s *Scheduler) unqueue(r *Request) {
	r.waiting = false
	r.pool.tiers[r.rank()].remove(r)
	r.pool.waiting--
	s.waiting--
	if s.waitingByWorkspace[r.Settings.Workspace]--; s.waitingByWorkspace[r.Settings.Workspace] == 0 {
		delete(s.waitingByWorkspace, r.Settings.Workspace)
	}
	heap.Remove(&s.deadlines, r.heapIndex)
}

// deadlineHeap orders waiting requests by queue deadline.
type deadlineHeap []*Request

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, j int) bool { return h[i].queueDeadline() < h[j].queueDeadline() }
func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) {
	r := x.(*Request)
	r.heapIndex = len(*h)
	*h = append(*h, r)
}

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	old := *h
	r := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return r
}
