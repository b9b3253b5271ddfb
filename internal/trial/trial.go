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

// The policies that a trial can run.
const (
	Heathkeel  = "heathkeel"
	RoundRobin = "round robin"
	LeastLoad  = "least load"
	RandomTwo  = "random of two"
)

// Spec describes one trial.
type Spec struct {
	// Site selects the workload: "fjordkanal" or "litoral".
	Site string
	// Policy is one of the constants above; Sched configures the policy Heathkeel.
	Policy string
	Sched  sched.Config
	// Hosts is the number of hosts.
	Hosts int
	// Load is the offered work as a multiple of the engines' capacity, and ReportLag
	// the minimum age of the reports that hosts read.
	Load      float64
	ReportLag time.Duration
	// ArrivalDuration is the time in which requests arrive.
	ArrivalDuration time.Duration
	// Seed seeds all random number generators.
	Seed uint64
	// Case is the scenario.
	Case Case
}

// call is one request and its state.
type call struct {
	req          *sched.Request
	source       *source
	host         host
	hostIndex    int
	outputTokens int
	job          *fake.Job
	engine       *engine
	firstToken   time.Duration
	ended        bool
}

// Trial is the state of one run.
type Trial struct {
	clock
	spec      Spec
	rand      *rand.Rand
	engines   []*engine
	byName    map[string]*engine
	hosts     []host
	deadHosts map[int]bool
	sources   []*source
	calls     map[string]*call
	nextID    int
	result    Result

	dropEvents, stopReports bool
	boostFactor             func(s *source) float64
}

// Times and intervals of a trial.
const (
	heartbeatInterval = 400 * time.Millisecond
	reportInterval    = 500 * time.Millisecond
	sampleInterval    = 50 * time.Millisecond
	tickInterval      = 50 * time.Millisecond
	drainTime         = 20 * time.Second
	// warmUpTime is the time before the first request, in which hosts only read reports.
	warmUpTime = 5 * time.Second
)

// Run runs a trial; equal specs give equal results.
func Run(spec Spec) *Result {
	t := &Trial{
		spec: spec, rand: rand.New(rand.NewPCG(spec.Seed, 1)), byName: map[string]*engine{},
		calls: map[string]*call{}, deadHosts: map[int]bool{},
	}
	t.engines = newEngines(t)
	for _, e := range t.engines {
		t.byName[e.name] = e
	}
	for i := range spec.Hosts {
		if spec.Policy == Heathkeel {
			t.hosts = append(t.hosts, newSchedulerHost(t, spec.Sched, spec.Seed*100+uint64(i)))
		} else {
			t.hosts = append(t.hosts, newBaselineHost(t, spec.Policy, spec.Seed*100+uint64(i)))
		}
	}
	t.result.init(spec)
	t.startArrivals()
	t.startPeriodic()
	if spec.Case.Schedule != nil {
		spec.Case.Schedule(t)
	}
	t.run(spec.ArrivalDuration + drainTime)
	t.endOpenCalls()
	return &t.result
}

// startPeriodic starts the periodic work of engines and hosts. The hosts' phases are
// spread over a report interval.
func (t *Trial) startPeriodic() {
	t.every(sampleInterval, func() {
		for _, e := range t.engines {
			e.recordReport()
		}
	})
	for i, h := range t.hosts {
		t.after(time.Duration(i)*reportInterval/time.Duration(len(t.hosts)), func() {
			t.every(reportInterval, func() { t.readReports(i, h) })
			t.every(tickInterval, h.tick)
			t.every(heartbeatInterval, func() { h.heartbeat(t.hosts) })
		})
	}
}

// readReports passes the lagged reports of all engines to host i, and the cache events
// to all hosts if i is 0.
func (t *Trial) readReports(i int, h host) {
	if t.deadHosts[i] {
		return
	}
	for _, e := range t.engines {
		rep, ok := e.laggedReport(t.spec.ReportLag)
		if !ok || e.dead || t.stopReports {
			continue
		}
		h.applyReport(e, rep)
	}
	if i != 0 {
		return
	}
	// All hosts get the same events, so that they are fetched only once.
	for _, e := range t.engines {
		evs := e.core.Events(e.nextEvent)
		e.nextEvent += uint64(len(evs))
		if t.dropEvents {
			continue
		}
		for _, ev := range evs {
			for k, o := range t.hosts {
				if !t.deadHosts[k] {
					o.applyCacheEvent(e, ev.Block, ev.Evicted)
				}
			}
		}
	}
}

// startArrivals starts the arrivals of each workspace and kind of request.
func (t *Trial) startArrivals() {
	kinds := fjordkanalKinds
	if t.spec.Site == "litoral" {
		kinds = litoralKinds
	}
	var plainNames []string
	for _, e := range t.engines {
		if e.plain {
			plainNames = append(plainNames, e.name)
		}
	}
	total := t.spec.Load * t.capacity(kinds)
	for _, ws := range workspaces {
		for _, k := range kinds {
			s := newSource(ws, k, plainNames, rand.New(rand.NewPCG(t.spec.Seed, uint64(len(t.sources))+50)))
			t.sources = append(t.sources, s)
			t.startSource(s, total*ws.Share*k.Share)
		}
	}
}

// capacity estimates how many requests a second all engines together can serve: the
// slots' steps per second divided by the mean work of a request in steps. Lengths are
// lognormal, and the part ReuseProbability of the prompts is cached.
func (t *Trial) capacity(kinds []RequestKind) float64 {
	work := 0.0
	for _, k := range kinds {
		if !k.Plain {
			work += k.Share * (lognormalMean(k.OutputTokens, k.Sigma) + lognormalMean(k.PromptTokens, k.Sigma)*(1-k.ReuseProbability)/prefillTokensPerSlot)
		}
	}
	perSecond := 0.0
	for _, e := range t.engines {
		if !e.plain {
			perSecond += float64(e.core.Slots) / e.stepTime.Seconds()
		}
	}
	return perSecond / work
}

// prefillTokensPerSlot is the number of prompt tokens that count as one step of one
// slot, since the slots of an engine share its prefill tokens per step.
const prefillTokensPerSlot = 512.0 / 12

// startSource starts the arrivals of a source as a Poisson process with the given
// rate in requests per second. It thins a process of a higher, constant rate, so that
// boostFactor can change the rate.
func (t *Trial) startSource(s *source, rate float64) {
	const headroom = 2.0 // with maxBoost, bounds the factor up to which thinning works
	maxRate := rate * headroom * maxBoost
	var next func()
	next = func() {
		gap := time.Duration(s.rand.ExpFloat64() / maxRate * float64(time.Second))
		t.after(gap, func() {
			if t.now > t.spec.ArrivalDuration {
				return
			}
			if t.now < warmUpTime {
				next()
				return
			}
			factor := 1.0
			if t.boostFactor != nil {
				factor = t.boostFactor(s)
			}
			if s.rand.Float64() < factor/(headroom*maxBoost) {
				t.send(s)
			}
			next()
		})
	}
	next()
}

// maxBoost is half the maximum factor by which a case may multiply the rate of a source.
const maxBoost = 6

// send draws a request and submits it to a random live host.
func (t *Trial) send(s *source) {
	req, outputTokens := s.draw(t.now)
	t.nextID++
	req.ID = strconv.Itoa(t.nextID)
	c := &call{req: req, source: s, outputTokens: outputTokens}
	req.Data = c
	c.hostIndex = t.rand.IntN(len(t.hosts))
	for t.deadHosts[c.hostIndex] {
		c.hostIndex = t.rand.IntN(len(t.hosts))
	}
	c.host = t.hosts[c.hostIndex]
	t.calls[req.ID] = c
	t.result.addOffered(t.now, c)
	t.after(s.kind.Deadline, func() { t.timeOut(c) })
	c.host.submit(c)
}

// dispatch sends a request to an engine, after a transfer of KV cache from the engine
// importFrom if that is not empty.
func (t *Trial) dispatch(c *call, name, importFrom string) {
	e := t.byName[name]
	c.engine = e
	if e.dead {
		t.after(time.Millisecond, func() {
			if !c.ended {
				c.host.redispatchUnsent(c)
			}
		})
		return
	}
	t.result.addDispatch(t.now, c)
	send := func() {
		if c.ended || t.deadHosts[c.hostIndex] {
			return
		}
		c.job = &fake.Job{
			ID: c.req.ID, Blocks: c.req.Blocks, PromptTokens: c.req.PromptTokens, OutputTokens: c.outputTokens, Priority: c.req.Settings.Rank,
		}
		t.result.addRecomputed(t, c, e)
		e.add(c.job)
		if e.dead {
			e.core.Cancel(c.req.ID)
			t.breakCall(c.job)
		}
	}
	if importFrom == "" {
		send()
		return
	}
	from := t.byName[importFrom]
	cachedBlocks := from.core.PeekPrefix(c.req.Blocks)
	t.after(5*time.Millisecond+time.Duration(cachedBlocks)*100*time.Microsecond, func() {
		e.core.Import(c.req.Blocks[:cachedBlocks])
		t.result.CacheImports++
		send()
	})
}

// handleToken handles a token that an engine generated.
func (t *Trial) handleToken(_ *engine, tok fake.GeneratedToken) {
	c := t.calls[tok.Job.ID]
	if c == nil || c.ended {
		return
	}
	if tok.Job.GeneratedTokens == 1 {
		c.firstToken = t.now
		c.host.firstToken(c)
	}
	c.host.progress(c, tok.Job.GeneratedTokens)
	if tok.Last {
		t.end(c)
		c.host.done(c, sched.Completed, tok.Job.GeneratedTokens)
		t.result.addCompleted(t.now, c)
	}
}

// end marks a call as ended.
func (t *Trial) end(c *call) {
	c.ended = true
	delete(t.calls, c.req.ID)
}

// refuse ends a call that is not run.
func (t *Trial) refuse(c *call, reason sched.Reason) {
	if c.ended {
		return
	}
	t.end(c)
	t.result.addRefused(t.now, c, reason)
}

// breakCall ends a call whose engine died.
func (t *Trial) breakCall(j *fake.Job) {
	c := t.calls[j.ID]
	if c == nil {
		return
	}
	t.end(c)
	t.result.addLost(t.now, c)
	c.host.done(c, sched.Broken, j.GeneratedTokens)
}

// timeOut ends a call at its deadline, when the caller gives up.
func (t *Trial) timeOut(c *call) {
	if c.ended {
		return
	}
	t.end(c)
	t.result.addTimedOut(t.now, c)
	if c.host.withdraw(c) || c.engine == nil {
		return
	}
	c.engine.core.Cancel(c.req.ID)
	c.host.done(c, sched.Canceled, 0)
}

// killHost kills a host: its requests are lost and their work is wasted.
func (t *Trial) killHost(i int) {
	t.deadHosts[i] = true
	var hostCalls []*call
	for _, c := range t.calls {
		if c.hostIndex == i {
			hostCalls = append(hostCalls, c)
		}
	}
	for _, c := range hostCalls {
		t.end(c)
		t.result.addLost(t.now, c)
		if c.engine != nil && c.job != nil {
			c.engine.core.Cancel(c.req.ID)
		}
	}
	t.hosts[i] = newBaselineHost(t, RoundRobin, 0)
}

// endOpenCalls counts the calls that have not ended as timed out.
func (t *Trial) endOpenCalls() {
	for _, c := range t.calls {
		t.result.addTimedOut(t.now, c)
	}
}
