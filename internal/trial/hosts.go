// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package trial

import (
	"math/rand/v2"
	"time"

	"github.com/heathkeel/heathkeel/sched"
)

// host is the policy of one host.
type host interface {
	// submit accepts a request; the host calls Trial.dispatch or Trial.refuse for it.
	submit(c *call)
	// applyReport applies the load report of an engine.
	applyReport(e *engine, rep sched.Report)
	// firstToken, progress and done report on a dispatched request: its first token, the
	// number of tokens so far, and its end.
	firstToken(c *call)
	progress(c *call, tokens int)
	done(c *call, res sched.Result, tokens int)
	// withdraw removes a waiting request and reports whether it was waiting.
	withdraw(c *call) bool
	// redispatchUnsent dispatches a request again whose engine could not be reached.
	redispatchUnsent(c *call)
	// applyCacheEvent applies a cache event of an engine.
	applyCacheEvent(e *engine, block uint64, evicted bool)
	// tick is called every tickInterval (50 ms), heartbeat every heartbeatInterval.
	tick()
	heartbeat(others []host)
}

// schedulerHost is a host with the policy under test, package sched.
type schedulerHost struct {
	t         *Trial
	scheduler sched.Scheduler
}

// newSchedulerHost returns a host with the given configuration.
func newSchedulerHost(t *Trial, cfg sched.Config, seed uint64) *schedulerHost {
	h := &schedulerHost{t: t, scheduler: sched.Scheduler{
		Config: cfg, Rand: rand.New(rand.NewPCG(seed, 7)), SharingHosts: t.spec.Hosts,
		Hosts: func(string) int { return t.spec.Hosts },
	}}
	h.scheduler.Init()
	var list []sched.Endpoint
	for _, e := range t.engines {
		list = append(list, sched.Endpoint{Name: e.name, Engine: !e.plain, Slots: e.core.Slots})
	}
	h.scheduler.SetEndpoints(list)
	return h
}

func (h *schedulerHost) submit(c *call) {
	h.apply(h.scheduler.Submit(h.t.now, c.req))
	h.poll()
}

// apply dispatches or refuses a request as decided.
func (h *schedulerHost) apply(d sched.Decision) {
	c := d.Request.Data.(*call)
	switch d.Verdict {
	case sched.Run:
		h.t.dispatch(c, d.Endpoint, d.ImportFrom)
	case sched.Refuse:
		h.t.refuse(c, d.Reason)
	}
}

// poll applies the decisions that the scheduler has ready.
func (h *schedulerHost) poll() {
	for _, d := range h.scheduler.Poll(h.t.now) {
		h.apply(d)
	}
}

func (h *schedulerHost) applyReport(e *engine, rep sched.Report) {
	h.scheduler.ApplyReport(h.t.now, e.name, rep)
	h.poll()
}

func (h *schedulerHost) firstToken(c *call)           { h.scheduler.FirstToken(h.t.now, c.req) }
func (h *schedulerHost) progress(c *call, tokens int) { h.scheduler.Progress(h.t.now, c.req, tokens) }

func (h *schedulerHost) done(c *call, res sched.Result, tokens int) {
	h.scheduler.Done(h.t.now, c.req, res, tokens)
	h.poll()
}

func (h *schedulerHost) withdraw(c *call) bool { return h.scheduler.Withdraw(c.req) }

func (h *schedulerHost) redispatchUnsent(c *call) {
	h.apply(h.scheduler.RedispatchUnsent(h.t.now, c.req))
	h.poll()
}

func (h *schedulerHost) applyCacheEvent(e *engine, block uint64, evicted bool) {
	h.scheduler.ApplyCacheEvent(e.name, block, evicted)
}

func (h *schedulerHost) tick() {
	h.scheduler.Tick(h.t.now)
	h.poll()
}

func (h *schedulerHost) heartbeat(others []host) {
	for _, f := range h.scheduler.Floors(h.t.now) {
		for _, o := range others {
			if peer, ok := o.(*schedulerHost); ok && peer != h {
				peer.scheduler.SetFloor(h.t.now, f)
			}
		}
	}
}

// baselineHost is a host with a baseline policy: it dispatches each request at once
// by a simple rule and leaves queueing to the engines, which honor priorities.
type baselineHost struct {
	t                *Trial
	rand             *rand.Rand
	policy           string
	next             int
	load             map[*engine]int
	unreachableUntil map[*engine]time.Duration
}

// newBaselineHost returns a host with a baseline policy.
func newBaselineHost(t *Trial, policy string, seed uint64) *baselineHost {
	return &baselineHost{t: t, rand: rand.New(rand.NewPCG(seed, 9)), policy: policy, load: map[*engine]int{}, unreachableUntil: map[*engine]time.Duration{}}
}

// choose picks an engine by the policy, or nil if none is reachable.
func (h *baselineHost) choose(c *call) *engine {
	var eligible []*engine
	for _, e := range h.t.engines {
		if e.plain == (c.req.Model == "") && h.t.now >= h.unreachableUntil[e] {
			eligible = append(eligible, e)
		}
	}
	if len(eligible) == 0 {
		return nil
	}
	h.next++
	switch h.policy {
	case RoundRobin:
		return eligible[h.next%len(eligible)]
	case LeastLoad:
		best := eligible[h.next%len(eligible)]
		for _, e := range eligible {
			if h.load[e] < h.load[best] {
				best = e
			}
		}
		return best
	}
	a, b := eligible[h.rand.IntN(len(eligible))], eligible[h.rand.IntN(len(eligible))]
	if h.load[b] < h.load[a] {
		return b
	}
	return a
}

func (h *baselineHost) submit(c *call) {
	e := h.choose(c)
	if e == nil {
		h.t.refuse(c, sched.ReasonNoEndpoint)
		return
	}
	h.t.dispatch(c, e.name, "")
}

func (h *baselineHost) applyReport(e *engine, rep sched.Report) {
	h.load[e] = rep.Running + rep.Waiting
}
func (h *baselineHost) redispatchUnsent(c *call) {
	h.unreachableUntil[c.engine] = h.t.now + time.Second
	h.submit(c)
}
func (h *baselineHost) firstToken(*call)                      {}
func (h *baselineHost) progress(*call, int)                   {}
func (h *baselineHost) done(*call, sched.Result, int)         {}
func (h *baselineHost) withdraw(*call) bool                   { return false }
func (h *baselineHost) applyCacheEvent(*engine, uint64, bool) {}
func (h *baselineHost) tick()                                 {}
func (h *baselineHost) heartbeat([]host)                      {}
