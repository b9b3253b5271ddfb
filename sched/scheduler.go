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

// Scheduler holds the state of one host's decisions. Set the exported fields,
// then call Init. It is not safe for concurrent use.
type Scheduler struct {
	// Config holds the policy's figures.
	Config Config
	// Rand is the source of chance.
	Rand *rand.Rand
	// SharingHosts is the number of hosts that share the endpoints, this one included.
	SharingHosts int
	// Hosts gives the number of hosts that serve a workspace; nil means 1.
	Hosts func(workspace string) int

	cfg Config
	// peerState is what is known of other hosts, and drawnAt when claims were drawn last.
	peerState     PeerState
	claimsDrawnAt time.Duration
	// silentPeers counts the hosts that may be serving and are not heard.
	silentPeers int

	endpoints          []*endpointState
	byName             map[string]*endpointState
	pools              map[uint64]*pool
	poolCache          map[poolCacheKey]*pool
	prefixes           prefixIndex
	limits             limits
	lengths            lengths
	recentLengths      map[string]*recentLengths // by service
	deadlines          deadlineHeap
	waitingByWorkspace map[string]int
	waiting            int
	seq                uint64
	pending            []Decision

	cands   []candidate
	matches [maxMatches]match
	matched int
	// lastOwnerAnswer is when an owner of places answered last, or 0.
	lastOwnerAnswer time.Duration
	// ejections counts those of this host.
	ejections int
	log       [logSize]logEntry
	logNext   int
}

// Init makes the scheduler ready.
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

// SetEndpoints replaces the declared endpoints; those no longer named get no new work.
func (s *Scheduler) SetEndpoints(list []Endpoint) {
	for _, e := range s.endpoints {
		e.present = false
	}
	for _, d := range list {
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

// SetLeaving marks an endpoint as leaving or not.
func (s *Scheduler) SetLeaving(name string, leaving bool) {
	if e := s.byName[name]; e != nil && e.Leaving != leaving {
		e.Leaving = leaving
		s.wake(e)
	}
}

// ApplyReport takes an endpoint's account.
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

// ApplyCacheEvent notes that an endpoint holds a prompt block or evicted it.
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

// Wake makes the next Poll look at all that waits.
func (s *Scheduler) Wake() {
	for _, p := range s.pools {
		p.dirty = p.dirty || p.waiting > 0
	}
}

// wake marks the pools of an endpoint for a look at what waits.
func (s *Scheduler) wake(e *endpointState) {
	for _, p := range s.pools {
		if p.waiting > 0 && !p.dirty && slices.Contains(p.members, e) {
			p.dirty = true
		}
	}
}

// FirstToken notes that the first token came.
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

// progressTokens is the number of tokens after which speed is looked at.
const progressTokens = 8

// Progress notes that n tokens came in all; it may be called for every token.
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

// Result says how a dispatched request ended.
type Result uint8

// The results.
const (
	// Completed means that the whole answer came.
	Completed Result = iota
	// Broken means that its answer broke off.
	Broken
	// Errored means that the endpoint answered with a failure of its own.
	Errored
	// Canceled means that the caller went away.
	Canceled
)

// Done notes the end of a dispatched request with the tokens that came.
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

// RedispatchUnsent takes back a dispatch that the endpoint surely did not run, such as
// one whose connection was refused, and decides again without that endpoint.
func (s *Scheduler) RedispatchUnsent(now time.Duration, r *Request) Decision {
	s.Failed(now, r, outlier.Unreachable)
	return s.Redispatch(now, r)
}

// Redispatch ends a dispatch whose request is to go to another endpoint, and decides
// again.
func (s *Scheduler) Redispatch(now time.Duration, r *Request) Decision {
	e := r.dispatchedTo
	e.removeRequest(now, r)
	s.limits.release(r.Settings)
	r.dispatchedTo = nil
	r.progressAt = 0
	r.tokens = 0
	r.rationExempt = true // the caller has waited for it once
	r.avoid = e
	return s.admit(now, r)
}

// Tick looks at what time alone changes; call it every 50 ms or so.
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

// Withdraw takes a waiting request out, because its caller went away; it
// reports whether the request was waiting.
func (s *Scheduler) Withdraw(r *Request) bool {
	if !r.waiting {
		return false
	}
	s.unqueue(r)
	return true
}

// Waiting returns the number of requests that wait.
func (s *Scheduler) Waiting() int { return s.waiting }

// enqueue adds a request to what waits.
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

// unqueue removes a request from what waits.
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

// deadlineHeap orders waiting requests by deadline.
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
