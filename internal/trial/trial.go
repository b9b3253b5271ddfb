// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package trial

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/heathkeel/heathkeel/internal/fake"
	"github.com/heathkeel/heathkeel/sched"
)

// The policies compared.
const (
	Heathkeel  = "heathkeel"
	RoundRobin = "round robin"
	LeastLoad  = "least load"
	RandomTwo  = "random of two"
)

// Spec describes one trial.
type Spec struct {
	// Site is "fjordkanal" or "litoral".
	Site string
	// Policy is one of the names above; Sched is the project's own configuration.
	Policy string
	Sched  sched.Config
	// Hosts is the number of hosts.
	Hosts int
	// Load is the offered work over the engines' capacity, and Lag the age of reports.
	Load      float64
	ReportLag time.Duration
	// ArrivalDuration is the time over which requests arrive.
	ArrivalDuration time.Duration
	// Seed seeds all chance.
	Seed uint64
	// Case changes the course of the trial.
	Case Case
}

// call is one request on its way.
type call struct {
	req    *sched.Request
	src    *source
	host   host
	hostAt int
	output int
	job    *fake.Job
	at     *engine
	first  time.Duration
	ended  bool
}

// Trial is one run.
type Trial struct {
	clock
	spec    Spec
	rnd     *rand.Rand
	engines []*engine
	byName  map[string]*engine
	hosts   []host
	deadAt  map[int]bool
	sources []*source
	calls   map[string]*call
	nextID  int
	res     Result

	loseEvents, stopReports bool
	boost                   func(s *source) float64
}

// Timing of a trial.
const (
	heartbeatEvery = 400 * time.Millisecond
	reportEvery    = 500 * time.Millisecond
	sampleEvery    = 50 * time.Millisecond
	tickEvery      = 50 * time.Millisecond
	drainTime      = 20 * time.Second
	// warmUp is the time before the first request, in which hosts read reports.
	warmUp = 5 * time.Second
)

// Run runs a trial; the same spec gives the same result.
func Run(spec Spec) *Result {
	t := &Trial{
		spec: spec, rnd: rand.New(rand.NewPCG(spec.Seed, 1)), byName: map[string]*engine{},
		calls: map[string]*call{}, deadAt: map[int]bool{},
	}
	t.engines = newEngines(t)
	for _, e := range t.engines {
		t.byName[e.name] = e
	}
	for i := range spec.Hosts {
		if spec.Policy == Heathkeel {
			t.hosts = append(t.hosts, newKeel(t, spec.Sched, spec.Seed*100+uint64(i)))
		} else {
			t.hosts = append(t.hosts, newPlain(t, spec.Policy, spec.Seed*100+uint64(i)))
		}
	}
	t.res.init(spec)
	t.startSources()
	t.startLoops()
	if spec.Case.Schedule != nil {
		spec.Case.Schedule(t)
	}
	t.run(spec.ArrivalDuration + drainTime)
	t.finish()
	return &t.res
}

// startLoops starts what happens again and again.
func (t *Trial) startLoops() {
	t.every(sampleEvery, func() {
		for _, e := range t.engines {
			e.sample()
		}
	})
	for i, h := range t.hosts {
		t.after(time.Duration(i)*reportEvery/time.Duration(len(t.hosts)), func() {
			t.every(reportEvery, func() { t.readReports(i, h) })
			t.every(tickEvery, h.tick)
			t.every(heartbeatEvery, func() { h.beat(t.hosts) })
		})
	}
}

// readReports gives a host the lagged reports and cache events of all engines.
func (t *Trial) readReports(i int, h host) {
	if t.deadAt[i] {
		return
	}
	for _, e := range t.engines {
		rep, ok := e.lagged(t.spec.ReportLag)
		if !ok || e.dead || t.stopReports {
			continue
		}
		h.report(e, rep)
	}
	if i != 0 {
		return
	}
	// All hosts read the same events; they are fetched once.
	for _, e := range t.engines {
		evs := e.core.Events(e.events)
		e.events += uint64(len(evs))
		if t.loseEvents {
			continue
		}
		for _, ev := range evs {
			for k, o := range t.hosts {
				if !t.deadAt[k] {
					o.cached(e, ev.Block, ev.Evicted)
				}
			}
		}
	}
}

// startSources starts the arrivals of all workspaces and kinds.
func (t *Trial) startSources() {
	kinds := fjordkanalKinds
	if t.spec.Site == "litoral" {
		kinds = litoralKinds
	}
	var plain []string
	for _, e := range t.engines {
		if e.plain {
			plain = append(plain, e.name)
		}
	}
	total := t.spec.Load * t.capacity(kinds)
	for _, ws := range workspaces {
		for _, k := range kinds {
			s := newSource(ws, k, plain, rand.New(rand.NewPCG(t.spec.Seed, uint64(len(t.sources))+50)))
			t.sources = append(t.sources, s)
			t.arrive(s, total*ws.Share*k.Share)
		}
	}
}

// capacity estimates the requests a second that all engines can serve, from the
// mean work of a request in steps; lengths are lognormal, so that the mean is
// the median times exp(spread^2/2), and part of the prompts is cached.
func (t *Trial) capacity(kinds []RequestKind) float64 {
	work := 0.0
	for _, k := range kinds {
		if !k.Plain {
			work += k.Share * (lognormalMean(k.OutputTokens, k.Sigma) + lognormalMean(k.PromptTokens, k.Sigma)*(1-k.ReuseProbability)/prefillMean)
		}
	}
	perSecond := 0.0
	for _, e := range t.engines {
		if !e.plain {
			perSecond += float64(e.core.Slots) / e.step.Seconds()
		}
	}
	return perSecond / work
}

// prefillMean is the prompt tokens that one step of one slot is worth: an
// engine's prefill tokens a step are shared by its slots.
const prefillMean = 512.0 / 12

// arrive draws the arrivals of a source at a rate, as a Poisson process.
func (t *Trial) arrive(s *source, rate float64) {
	const slow = 2.0 // the rate may rise to this multiple before thinning fails
	most := rate * slow * maxBoost
	var next func()
	next = func() {
		gap := time.Duration(s.rnd.ExpFloat64() / most * float64(time.Second))
		t.after(gap, func() {
			if t.now > t.spec.ArrivalDuration {
				return
			}
			if t.now < warmUp {
				next()
				return
			}
			want := 1.0
			if t.boost != nil {
				want = t.boost(s)
			}
			if s.rnd.Float64() < want/(slow*maxBoost) {
				t.send(s)
			}
			next()
		})
	}
	next()
}

// maxBoost is half the largest factor that a case may put on a source.
const maxBoost = 6

// send draws a request and gives it to a host.
func (t *Trial) send(s *source) {
	req, out := s.draw(t.now)
	t.nextID++
	req.ID = strconv.Itoa(t.nextID)
	c := &call{req: req, src: s, output: out}
	req.Data = c
	c.hostAt = t.rnd.IntN(len(t.hosts))
	for t.deadAt[c.hostAt] {
		c.hostAt = t.rnd.IntN(len(t.hosts))
	}
	c.host = t.hosts[c.hostAt]
	t.calls[req.ID] = c
	t.res.offer(t.now, c)
	t.after(s.kind.Deadline, func() { t.giveUp(c) })
	c.host.submit(c)
}

// dispatch sends a request to an engine.
func (t *Trial) dispatch(c *call, name, importFrom string) {
	e := t.byName[name]
	c.at = e
	if e.dead {
		t.after(time.Millisecond, func() {
			if !c.ended {
				c.host.unsent(c)
			}
		})
		return
	}
	t.res.dispatched(t.now, c)
	send := func() {
		if c.ended || t.deadAt[c.hostAt] {
			return
		}
		c.job = &fake.Job{
			ID: c.req.ID, Blocks: c.req.Blocks, PromptTokens: c.req.PromptTokens, OutputTokens: c.output, Priority: c.req.Settings.Rank,
		}
		t.res.recomputed(t, c, e)
		e.add(c.job)
		if e.dead {
			e.core.Cancel(c.req.ID)
			t.broken(c.job)
		}
	}
	if importFrom == "" {
		send()
		return
	}
	from := t.byName[importFrom]
	n := from.core.PeekPrefix(c.req.Blocks)
	t.after(5*time.Millisecond+time.Duration(n)*100*time.Microsecond, func() {
		e.core.Import(c.req.Blocks[:n])
		t.res.CacheImports++
		send()
	})
}

// token takes a token that an engine generated.
func (t *Trial) token(_ *engine, em fake.GeneratedToken) {
	c := t.calls[em.Job.ID]
	if c == nil || c.ended {
		return
	}
	if em.Job.GeneratedTokens == 1 {
		c.first = t.now
		c.host.first(c)
	}
	c.host.progress(c, em.Job.GeneratedTokens)
	if em.Last {
		t.end(c)
		c.host.done(c, sched.Completed, em.Job.GeneratedTokens)
		t.res.answered(t.now, c)
	}
}

// end marks a call as ended.
func (t *Trial) end(c *call) {
	c.ended = true
	delete(t.calls, c.req.ID)
}

// refuse ends a call that is not run.
func (t *Trial) refuse(c *call, why sched.Reason) {
	if c.ended {
		return
	}
	t.end(c)
	t.res.refused(t.now, c, why)
}

// broken ends a call whose engine died.
func (t *Trial) broken(j *fake.Job) {
	c := t.calls[j.ID]
	if c == nil {
		return
	}
	t.end(c)
	t.res.lost(t.now, c)
	c.host.done(c, sched.Broken, j.GeneratedTokens)
}

// giveUp is the caller going away at its deadline.
func (t *Trial) giveUp(c *call) {
	if c.ended {
		return
	}
	t.end(c)
	t.res.late(t.now, c)
	if c.host.withdraw(c) || c.at == nil {
		return
	}
	c.at.core.Cancel(c.req.ID)
	c.host.done(c, sched.Canceled, 0)
}

// killHost ends a host: its requests are lost, and their work is wasted.
func (t *Trial) killHost(i int) {
	t.deadAt[i] = true
	var mine []*call
	for _, c := range t.calls {
		if c.hostAt == i {
			mine = append(mine, c)
		}
	}
	for _, c := range mine {
		t.end(c)
		t.res.lost(t.now, c)
		if c.at != nil && c.job != nil {
			c.at.core.Cancel(c.req.ID)
		}
	}
	t.hosts[i] = newPlain(t, RoundRobin, 0)
}

// finish counts the calls that are still open as late.
func (t *Trial) finish() {
	for _, c := range t.calls {
		t.res.late(t.now, c)
	}
}
