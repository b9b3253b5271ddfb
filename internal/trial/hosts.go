// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package trial

import (
	"math/rand/v2"
	"time"

	"github.com/heathkeel/heathkeel/sched"
)

// host is one host's policy.
type host interface {
	// submit takes a request; the host calls Trial.dispatch or Trial.refuse for it.
	submit(c *call)
	// report takes an engine's account.
	report(e *engine, rep sched.Report)
	// first, progress and done follow a dispatched request.
	first(c *call)
	progress(c *call, n int)
	done(c *call, res sched.Result, tokens int)
	// withdraw takes back a waiting request; true if it was waiting.
	withdraw(c *call) bool
	// unsent tells that an engine could not be reached.
	unsent(c *call)
	// cached tells of a cache event.
	cached(e *engine, block uint64, gone bool)
	// tick comes every 50 ms, beat with every heartbeat.
	tick()
	beat(others []host)
}

// keelHost is the project's own policy.
type keelHost struct {
	t *Trial
	s sched.Scheduler
}

// newKeel makes a host with the given configuration.
func newKeel(t *Trial, cfg sched.Config, seed uint64) *keelHost {
	h := &keelHost{t: t, s: sched.Scheduler{
		Config: cfg, Rand: rand.New(rand.NewPCG(seed, 7)), SharingHosts: t.spec.Hosts,
		Hosts: func(string) int { return t.spec.Hosts },
	}}
	h.s.Init()
	var list []sched.Endpoint
	for _, e := range t.engines {
		list = append(list, sched.Endpoint{Name: e.name, Engine: !e.plain, Slots: e.core.Slots})
	}
	h.s.SetEndpoints(list)
	return h
}

func (h *keelHost) submit(c *call) {
	h.decide(h.s.Submit(h.t.now, c.req))
	h.poll()
}

// decide carries out one decision.
func (h *keelHost) decide(d sched.Decision) {
	c := d.Request.Data.(*call)
	switch d.Verdict {
	case sched.Run:
		h.t.dispatch(c, d.Endpoint, d.ImportFrom)
	case sched.Refuse:
		h.t.refuse(c, d.Reason)
	}
}

// poll carries out the decisions that are due.
func (h *keelHost) poll() {
	for _, d := range h.s.Poll(h.t.now) {
		h.decide(d)
	}
}

func (h *keelHost) report(e *engine, rep sched.Report) {
	h.s.ApplyReport(h.t.now, e.name, rep)
	h.poll()
}

func (h *keelHost) first(c *call)           { h.s.FirstToken(h.t.now, c.req) }
func (h *keelHost) progress(c *call, n int) { h.s.Progress(h.t.now, c.req, n) }

func (h *keelHost) done(c *call, res sched.Result, tokens int) {
	h.s.Done(h.t.now, c.req, res, tokens)
	h.poll()
}

func (h *keelHost) withdraw(c *call) bool { return h.s.Withdraw(c.req) }

func (h *keelHost) unsent(c *call) {
	h.decide(h.s.RedispatchUnsent(h.t.now, c.req))
	h.poll()
}

func (h *keelHost) cached(e *engine, block uint64, gone bool) {
	h.s.ApplyCacheEvent(e.name, block, gone)
}

func (h *keelHost) tick() {
	h.s.Tick(h.t.now)
	h.poll()
}

func (h *keelHost) beat(others []host) {
	for _, f := range h.s.Floors(h.t.now) {
		for _, o := range others {
			if k, ok := o.(*keelHost); ok && k != h {
				k.s.SetFloor(h.t.now, f)
			}
		}
	}
}

// plainHost is a baseline: it dispatches at once by a simple rule and leaves all
// waiting to the engines, which honour priorities.
type plainHost struct {
	t    *Trial
	rnd  *rand.Rand
	rule string
	next int
	load map[*engine]int
	down map[*engine]time.Duration
}

// newPlain makes a baseline host.
func newPlain(t *Trial, rule string, seed uint64) *plainHost {
	return &plainHost{t: t, rnd: rand.New(rand.NewPCG(seed, 9)), rule: rule, load: map[*engine]int{}, down: map[*engine]time.Duration{}}
}

// choose picks an engine by the rule, or nil if none can be reached.
func (h *plainHost) choose(c *call) *engine {
	var fit []*engine
	for _, e := range h.t.engines {
		if e.plain == (c.req.Model == "") && h.t.now >= h.down[e] {
			fit = append(fit, e)
		}
	}
	if len(fit) == 0 {
		return nil
	}
	h.next++
	switch h.rule {
	case RoundRobin:
		return fit[h.next%len(fit)]
	case LeastLoad:
		best := fit[h.next%len(fit)]
		for _, e := range fit {
			if h.load[e] < h.load[best] {
				best = e
			}
		}
		return best
	}
	a, b := fit[h.rnd.IntN(len(fit))], fit[h.rnd.IntN(len(fit))]
	if h.load[b] < h.load[a] {
		return b
	}
	return a
}

func (h *plainHost) submit(c *call) {
	e := h.choose(c)
	if e == nil {
		h.t.refuse(c, sched.ReasonNoEndpoint)
		return
	}
	h.t.dispatch(c, e.name, "")
}

func (h *plainHost) report(e *engine, rep sched.Report) { h.load[e] = rep.Running + rep.Waiting }
func (h *plainHost) unsent(c *call) {
	h.down[c.at] = h.t.now + time.Second
	h.submit(c)
}
func (h *plainHost) first(*call)                   {}
func (h *plainHost) progress(*call, int)           {}
func (h *plainHost) done(*call, sched.Result, int) {}
func (h *plainHost) withdraw(*call) bool           { return false }
func (h *plainHost) cached(*engine, uint64, bool)  {}
func (h *plainHost) tick()                         {}
func (h *plainHost) beat([]host)                   {}
