// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package quarantine

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// execution is one run of a request at an endpoint.
type execution struct {
	fingerprint   Fingerprint
	target        *target
	started       time.Duration
	responseDelay time.Duration // time to the first sign of an answer
	duration      time.Duration
	attempts      int  // of this submission
	isRetry       bool // the caller submitted it before
	guilty        bool
	done          bool
}

// target is a simulated endpoint.
type target struct {
	incarnation string
	downUntil   time.Duration
	executions  []*execution
}

// scheduledEvent is a function to run at a simulated time.
type scheduledEvent struct {
	at  time.Duration
	run func()
}

type eventQueue []scheduledEvent

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(scheduledEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simulation runs requests on endpoints, some of which crash.
type simulation struct {
	rand         *rand.Rand
	now          time.Duration
	queue        eventQueue
	targets      []*target
	incarnations int
	detector     detector
	requests     int
	wronglyHeld  map[Fingerprint]bool          // innocent requests that were held
	crashes      map[Fingerprint]int           // endpoints that each guilty request crashed
	thirdCrash   map[Fingerprint]time.Duration // when the third of these crashed
	lateSends    map[Fingerprint]int           // sends later than the contact time after the third crash
}

// Parameters of the simulation.
const (
	simDuration    = 120 * time.Second
	simSlots       = 10
	simLoad        = 5.0                   // requests per second and endpoint, each taking 1.2 s on average
	simContactTime = 3 * time.Second       // time in which hosts learn all evidence
	maxLateSends   = 3                     // sends of a guilty request later than simContactTime after the third crash
	evidenceDelay  = 60 * time.Millisecond // time until all hosts know of a crash
)

// after schedules a function after the given delay.
func (sim *simulation) after(d time.Duration, run func()) {
	heap.Push(&sim.queue, scheduledEvent{sim.now + d, run})
}

// between draws a duration between two numbers of seconds.
func (sim *simulation) between(low, high float64) time.Duration {
	return time.Duration((low + (high-low)*sim.rand.Float64()) * float64(time.Second))
}

// pick draws two endpoints that are up and returns the one with fewer requests.
func (sim *simulation) pick() *target {
	var up []*target
	for _, t := range sim.targets {
		if t.downUntil <= sim.now {
			up = append(up, t)
		}
	}
	if len(up) == 0 {
		return nil
	}
	a, b := up[sim.rand.IntN(len(up))], up[sim.rand.IntN(len(up))]
	if len(b.executions) < len(a.executions) {
		return b
	}
	return a
}

// crash ends an endpoint, which restarts after downTime.
func (sim *simulation) crash(t *target, downTime time.Duration) {
	if t.downUntil > sim.now {
		return
	}
	incarnation, executions := t.incarnation, t.executions
	sim.incarnations++
	t.incarnation, t.executions, t.downUntil = fmt.Sprint("life-", sim.incarnations), nil, sim.now+downTime
	for _, e := range executions {
		e.done = true
		termination := Termination{Incarnation: incarnation, At: sim.now, RequestAge: sim.now - e.started, NoResponse: sim.now-e.started < e.responseDelay}
		running := len(executions)
		sim.after(evidenceDelay, func() { sim.detector.crashed(sim.now, e.fingerprint, termination, running) })
		if e.guilty {
			if sim.crashes[e.fingerprint]++; sim.crashes[e.fingerprint] == 3 {
				sim.thirdCrash[e.fingerprint] = sim.now
			}
			continue
		}
		next := *e
		next.done = false
		switch {
		case e.attempts < 2 && e.fingerprint[0]%3 == 0: // it may be retried at another endpoint
			next.attempts++
			sim.after(evidenceDelay/2, func() { sim.start(&next) })
		case !e.isRetry:
			next.attempts, next.isRetry = 0, true
			sim.after(sim.between(0.1, 1.1), func() { sim.start(&next) })
		}
	}
}

// start sends a request to an endpoint unless it is held or no endpoint has a free slot.
func (sim *simulation) start(e *execution) {
	if sim.detector.held(sim.now, e.fingerprint) {
		if !e.guilty {
			sim.wronglyHeld[e.fingerprint] = true
		}
		return
	}
	t := sim.pick()
	if t == nil || len(t.executions) >= simSlots {
		return
	}
	e.target, e.started = t, sim.now
	t.executions = append(t.executions, e)
	if e.guilty {
		if thirdCrash, crashed := sim.thirdCrash[e.fingerprint]; crashed && sim.now > thirdCrash+simContactTime {
			sim.lateSends[e.fingerprint]++
		}
		sim.after(e.duration, func() {
			if !e.done {
				sim.crash(t, sim.between(2, 4))
			}
		})
		return
	}
	sim.after(e.duration, func() {
		if !e.done {
			e.done = true
			t.executions = slices.DeleteFunc(t.executions, func(o *execution) bool { return o == e })
			sim.detector.answered(sim.now, e.fingerprint)
		}
	})
}

// simCase is one scenario.
type simCase struct {
	name            string
	endpoints       int
	terminationRate float64       // spontaneous terminations per endpoint and second
	massCrashes     []float64     // times in seconds at which 30% of the endpoints crash
	flapping        bool          // a quarter of the endpoints go down and up repeatedly
	guiltyRequests  int           // requests that crash endpoints
	crashDelay      time.Duration // longest time from the first sign of an answer to the crash
	minRetryPause   time.Duration // minimum time between two submissions of a guilty request
}

// simulate runs a scenario.
func simulate(c simCase, detector detector, seed uint64) *simulation {
	sim := &simulation{
		rand: rand.New(rand.NewPCG(seed, 1)), incarnations: c.endpoints, detector: detector, wronglyHeld: make(map[Fingerprint]bool), crashes: make(map[Fingerprint]int),
		thirdCrash: make(map[Fingerprint]time.Duration), lateSends: make(map[Fingerprint]int),
	}
	for i := range c.endpoints {
		sim.targets = append(sim.targets, &target{incarnation: fmt.Sprint("first-", i)})
	}
	sim.scheduleArrivals(c)
	sim.scheduleTerminations(c)
	for g := range c.guiltyRequests {
		f := fingerprintOf(-1 - g)
		var retry func()
		retry = func() {
			responseDelay := sim.between(0.05, 0.2)
			duration := time.Duration((0.7 + 0.3*sim.rand.Float64()) * float64(responseDelay))
			if c.crashDelay > 0 {
				duration = responseDelay + time.Duration((0.2+0.8*sim.rand.Float64())*float64(c.crashDelay))
			}
			sim.start(&execution{fingerprint: f, guilty: true, responseDelay: responseDelay, duration: duration})
			sim.after(c.minRetryPause+sim.between(0.1, 0.1+2*sim.rand.Float64()), retry)
		}
		sim.after(sim.between(10, 40), retry)
	}
	for len(sim.queue) > 0 && sim.queue[0].at < simDuration {
		next := heap.Pop(&sim.queue).(scheduledEvent)
		sim.now = next.at
		next.run()
	}
	return sim
}

// scheduleArrivals schedules the innocent requests.
func (sim *simulation) scheduleArrivals(c simCase) {
	var arrive func()
	arrive = func() {
		sim.requests++
		var f Fingerprint
		for i := range f {
			f[i] = byte(sim.rand.Uint32())
		}
		duration := min(0.8*math.Exp(0.9*sim.rand.NormFloat64()), 14)
		sim.start(&execution{fingerprint: f, responseDelay: sim.between(0.05, 0.2), duration: time.Duration(duration * float64(time.Second))})
		sim.after(time.Duration(sim.rand.ExpFloat64()/(simLoad*float64(c.endpoints))*float64(time.Second)), arrive)
	}
	sim.after(0, arrive)
}

// scheduleTerminations schedules the terminations that no request causes.
func (sim *simulation) scheduleTerminations(c simCase) {
	for i, t := range sim.targets {
		if c.terminationRate > 0 {
			wait := func() time.Duration {
				return time.Duration(sim.rand.ExpFloat64() / c.terminationRate * float64(time.Second))
			}
			var terminate func()
			terminate = func() {
				sim.crash(t, sim.between(2, 4))
				sim.after(wait(), terminate)
			}
			sim.after(wait(), terminate)
		}
		if c.flapping && i%4 == 0 {
			var terminate func()
			terminate = func() {
				sim.crash(t, time.Second)
				sim.after(2*time.Second, terminate)
			}
			sim.after(sim.between(20, 22), terminate)
		}
	}
	for _, at := range c.massCrashes {
		sim.after(time.Duration(at*float64(time.Second)), func() {
			for _, t := range sim.targets {
				if sim.rand.Float64() < 0.3 {
					sim.after(sim.between(0, 0.3), func() { sim.crash(t, sim.between(2, 4)) })
				}
			}
		})
	}
}

// TestAttribution simulates requests that crash endpoints and endpoints that end on their own. It
// limits how many endpoints a guilty request crashes and how many innocent requests are held. With
// HEATHKEEL_SEEDS it runs more seeds and also the rejected detectors for comparison.
func TestAttribution(t *testing.T) {
	terminationWaves := []float64{15, 20, 25, 30, 35}
	cases := []struct {
		simCase
		maxCrashes     int // endpoints that one guilty request may crash
		maxWronglyHeld int // innocent requests held per 100,000
	}{
		{simCase{name: "few terminations", endpoints: 18, terminationRate: 0.003}, 0, 0},
		{simCase{name: "many terminations", endpoints: 18, terminationRate: 0.03}, 0, 0},
		{simCase{name: "very many terminations", endpoints: 18, terminationRate: 0.15}, 0, 5},
		{simCase{name: "simultaneous terminations", endpoints: 18, massCrashes: []float64{20, 24, 40}}, 0, 5},
		{simCase{name: "flapping endpoints", endpoints: 18, flapping: true}, 0, 5},
		{simCase{name: "flapping endpoints", endpoints: 60, flapping: true}, 0, 5},
		{simCase{name: "guilty", endpoints: 18, guiltyRequests: 3}, 5, 5},
		{simCase{name: "guilty", endpoints: 60, guiltyRequests: 3}, 5, 5},
		{simCase{name: "guilty", endpoints: 160, guiltyRequests: 3}, 5, 5},
		{simCase{name: "guilty, many terminations", endpoints: 18, terminationRate: 0.03, guiltyRequests: 3}, 5, 10},
		{simCase{name: "guilty, flapping endpoints", endpoints: 18, flapping: true, guiltyRequests: 3}, 6, 10},
		{simCase{name: "guilty, simultaneous terminations", endpoints: 60, terminationRate: 0.003, massCrashes: terminationWaves, guiltyRequests: 3}, 6, 10},
		{simCase{name: "guilty after response", endpoints: 18, guiltyRequests: 3, crashDelay: time.Second}, 12, 5},
		{simCase{name: "guilty after response", endpoints: 160, guiltyRequests: 3, crashDelay: time.Second}, 9, 5},
		{simCase{name: "guilty after response, many terminations", endpoints: 18, terminationRate: 0.03, guiltyRequests: 3, crashDelay: 2 * time.Second}, 12, 10},
		{simCase{name: "guilty after response, rare", endpoints: 18, guiltyRequests: 3, crashDelay: 2 * time.Second, minRetryPause: simContactTime}, 6, 5},
		{simCase{name: "guilty after response, rare, many terminations", endpoints: 18, terminationRate: 0.1, guiltyRequests: 3, crashDelay: 2 * time.Second, minRetryPause: simContactTime}, 6, 10},
		{simCase{name: "guilty after response, rare, flapping endpoints", endpoints: 60, flapping: true, guiltyRequests: 3, crashDelay: 2 * time.Second, minRetryPause: simContactTime}, 6, 10},
	}
	detectors := []struct {
		name string
		make func(endpoints int) detector
	}{
		{"registry", func(n int) detector { return &registryDetector{Registry{Endpoints: n}} }},
		{"two crashes", func(int) detector { return &countDetector{2, make(map[Fingerprint]map[string]bool)} }},
		{"three crashes", func(int) detector { return &countDetector{3, make(map[Fingerprint]map[string]bool)} }},
		{"one trial", func(int) detector {
			return &trialDetector{1, false, make(map[Fingerprint]map[string]bool), make(map[Fingerprint]int)}
		}},
		{"two trials", func(int) detector {
			return &trialDetector{2, false, make(map[Fingerprint]map[string]bool), make(map[Fingerprint]int)}
		}},
		{"two trials, no response", func(int) detector {
			return &trialDetector{2, true, make(map[Fingerprint]map[string]bool), make(map[Fingerprint]int)}
		}},
		{"three trials", func(int) detector {
			return &trialDetector{3, false, make(map[Fingerprint]map[string]bool), make(map[Fingerprint]int)}
		}},
		{"shared blame 0.5", func(int) detector { return &blameDetector{0.5, make(map[Fingerprint]float64)} }},
	}
	seeds := 1
	if n, err := strconv.Atoi(os.Getenv("HEATHKEEL_SEEDS")); err == nil {
		seeds = n
	} else {
		detectors = detectors[:1]
	}
	for _, c := range cases {
		for _, d := range detectors {
			t.Run(fmt.Sprintf("%s, %d endpoints, %s", c.name, c.endpoints, d.name), func(t *testing.T) {
				requests, wronglyHeld, crashes, guiltyCount, maxCrashes, lateSends := 0, 0, 0, 0, 0, 0
				for seed := range uint64(seeds) {
					sim := simulate(c.simCase, d.make(c.endpoints), seed)
					requests += sim.requests
					wronglyHeld += len(sim.wronglyHeld)
					for _, n := range sim.lateSends {
						lateSends = max(lateSends, n)
					}
					for _, n := range sim.crashes {
						crashes, guiltyCount, maxCrashes = crashes+n, guiltyCount+1, max(maxCrashes, n)
					}
				}
				t.Logf("%d of %d innocent requests held; a guilty request crashes %.2f endpoints on average, %d at most; %d sends after the contact time at most", wronglyHeld, requests, float64(crashes)/float64(max(1, guiltyCount)), maxCrashes, lateSends)
				if d.name == "registry" {
					must.LessEq(t, maxLateSends, lateSends)
					must.LessEq(t, c.maxCrashes, maxCrashes)
					must.LessEq(t, 1+c.maxWronglyHeld*requests/100000, wronglyHeld)
				}
			})
		}
	}
}
