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

// run is a request at an endpoint.
type run struct {
	f        Fingerprint
	at       *target
	since    time.Duration
	first    time.Duration // until the first sign of an answer
	whole    time.Duration
	attempts int  // of this try
	again    bool // its caller tried before
	guilty   bool
	over     bool
}

// target is an endpoint.
type target struct {
	life string
	down time.Duration
	runs []*run
}

// due is what happens at a time.
type due struct {
	at time.Duration
	do func()
}

type agenda []due

func (a agenda) Len() int           { return len(a) }
func (a agenda) Less(i, j int) bool { return a[i].at < a[j].at }
func (a agenda) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)        { *a = append(*a, x.(due)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// trial is a play of requests before endpoints of which some crash.
type trial struct {
	rand     *rand.Rand
	now      time.Duration
	agenda   agenda
	targets  []*target
	lives    int
	verdict  verdict
	requests int
	wronged  map[Fingerprint]bool          // innocent requests that were held
	ends     map[Fingerprint]int           // endpoints that each guilty request crashed
	third    map[Fingerprint]time.Duration // when the third ended
	beyond   map[Fingerprint]int           // sends later than the contact time after that
}

// Figures of the plays.
const (
	trialSpan    = 120 * time.Second
	trialSlots   = 10
	trialLoad    = 5.0                   // requests a second and endpoint, of which each takes 1.2 s in the mean
	trialContact = 3 * time.Second       // hosts hear of all in that time
	trialBeyond  = 3                     // sends of a guilty request later than that after the third end
	evidenceTime = 60 * time.Millisecond // until all hosts know
)

// after does something later.
func (w *trial) after(d time.Duration, do func()) { heap.Push(&w.agenda, due{w.now + d, do}) }

// between draws a time.
func (w *trial) between(least, most float64) time.Duration {
	return time.Duration((least + (most-least)*w.rand.Float64()) * float64(time.Second))
}

// pick chooses the emptier of two endpoints that are up.
func (w *trial) pick() *target {
	var up []*target
	for _, t := range w.targets {
		if t.down <= w.now {
			up = append(up, t)
		}
	}
	if len(up) == 0 {
		return nil
	}
	a, b := up[w.rand.IntN(len(up))], up[w.rand.IntN(len(up))]
	if len(b.runs) < len(a.runs) {
		return b
	}
	return a
}

// crash ends an endpoint, which is back after a time.
func (w *trial) crash(t *target, back time.Duration) {
	if t.down > w.now {
		return
	}
	life, runs := t.life, t.runs
	w.lives++
	t.life, t.runs, t.down = fmt.Sprint("life-", w.lives), nil, w.now+back
	for _, r := range runs {
		r.over = true
		e := Termination{Incarnation: life, At: w.now, RequestAge: w.now - r.since, NoResponse: w.now-r.since < r.first}
		n := len(runs)
		w.after(evidenceTime, func() { w.verdict.crashed(w.now, r.f, e, n) })
		if r.guilty {
			if w.ends[r.f]++; w.ends[r.f] == 3 {
				w.third[r.f] = w.now
			}
			continue
		}
		next := *r
		next.over = false
		switch {
		case r.attempts < 2 && r.f[0]%3 == 0: // it may go on elsewhere
			next.attempts++
			w.after(evidenceTime/2, func() { w.start(&next) })
		case !r.again:
			next.attempts, next.again = 0, true
			w.after(w.between(0.1, 1.1), func() { w.start(&next) })
		}
	}
}

// start sends a request to an endpoint.
func (w *trial) start(r *run) {
	if w.verdict.held(w.now, r.f) {
		if !r.guilty {
			w.wronged[r.f] = true
		}
		return
	}
	t := w.pick()
	if t == nil || len(t.runs) >= trialSlots {
		return
	}
	r.at, r.since = t, w.now
	t.runs = append(t.runs, r)
	if r.guilty {
		if at, over := w.third[r.f]; over && w.now > at+trialContact {
			w.beyond[r.f]++
		}
		w.after(r.whole, func() {
			if !r.over {
				w.crash(t, w.between(2, 4))
			}
		})
		return
	}
	w.after(r.whole, func() {
		if !r.over {
			r.over = true
			t.runs = slices.DeleteFunc(t.runs, func(o *run) bool { return o == r })
			w.verdict.answered(w.now, r.f)
		}
	})
}

// case of a play.
type trialCase struct {
	name      string
	endpoints int
	rate      float64       // ends of an endpoint by itself, a second
	mass      []float64     // seconds at which three in ten end
	flaps     bool          // a quarter go down and up by turns
	guilty    int           // requests that crash endpoints
	late      time.Duration // how long after the first sign of an answer these do
	pause     time.Duration // the least time between two tries of one
}

// play plays a case.
func play(c trialCase, v verdict, seed uint64) *trial {
	w := &trial{
		rand: rand.New(rand.NewPCG(seed, 1)), lives: c.endpoints, verdict: v, wronged: make(map[Fingerprint]bool), ends: make(map[Fingerprint]int),
		third: make(map[Fingerprint]time.Duration), beyond: make(map[Fingerprint]int),
	}
	for i := range c.endpoints {
		w.targets = append(w.targets, &target{life: fmt.Sprint("first-", i)})
	}
	w.arrivals(c)
	w.deaths(c)
	for g := range c.guilty {
		f := print(-1 - g)
		var again func()
		again = func() {
			first := w.between(0.05, 0.2)
			whole := time.Duration((0.7 + 0.3*w.rand.Float64()) * float64(first))
			if c.late > 0 {
				whole = first + time.Duration((0.2+0.8*w.rand.Float64())*float64(c.late))
			}
			w.start(&run{f: f, guilty: true, first: first, whole: whole})
			w.after(c.pause+w.between(0.1, 0.1+2*w.rand.Float64()), again)
		}
		w.after(w.between(10, 40), again)
	}
	for len(w.agenda) > 0 && w.agenda[0].at < trialSpan {
		d := heap.Pop(&w.agenda).(due)
		w.now = d.at
		d.do()
	}
	return w
}

// arrivals lets innocent requests come.
func (w *trial) arrivals(c trialCase) {
	var arrive func()
	arrive = func() {
		w.requests++
		var f Fingerprint
		for i := range f {
			f[i] = byte(w.rand.Uint32())
		}
		whole := min(0.8*math.Exp(0.9*w.rand.NormFloat64()), 14)
		w.start(&run{f: f, first: w.between(0.05, 0.2), whole: time.Duration(whole * float64(time.Second))})
		w.after(time.Duration(w.rand.ExpFloat64()/(trialLoad*float64(c.endpoints))*float64(time.Second)), arrive)
	}
	w.after(0, arrive)
}

// deaths lets endpoints end by themselves.
func (w *trial) deaths(c trialCase) {
	for i, t := range w.targets {
		if c.rate > 0 {
			wait := func() time.Duration { return time.Duration(w.rand.ExpFloat64() / c.rate * float64(time.Second)) }
			var die func()
			die = func() {
				w.crash(t, w.between(2, 4))
				w.after(wait(), die)
			}
			w.after(wait(), die)
		}
		if c.flaps && i%4 == 0 {
			var die func()
			die = func() {
				w.crash(t, time.Second)
				w.after(2*time.Second, die)
			}
			w.after(w.between(20, 22), die)
		}
	}
	for _, at := range c.mass {
		w.after(time.Duration(at*float64(time.Second)), func() {
			for _, t := range w.targets {
				if w.rand.Float64() < 0.3 {
					w.after(w.between(0, 0.3), func() { w.crash(t, w.between(2, 4)) })
				}
			}
		})
	}
}

// TestAttribution plays requests that crash endpoints, and endpoints that end by themselves, and holds how many endpoints the first
// crash and how many others are held for them. With HEATHKEEL_SEEDS it plays more seeds, and the ways that were weighed beside the kept one.
func TestAttribution(t *testing.T) {
	storm := []float64{15, 20, 25, 30, 35}
	cases := []struct {
		trialCase
		mostEnds  int // endpoints that one guilty request crashes
		mostWrong int // innocent requests held in 100,000
	}{
		{trialCase{name: "single ends", endpoints: 18, rate: 0.003}, 0, 0},
		{trialCase{name: "many ends", endpoints: 18, rate: 0.03}, 0, 0},
		{trialCase{name: "a storm of ends", endpoints: 18, rate: 0.15}, 0, 5},
		{trialCase{name: "many at once", endpoints: 18, mass: []float64{20, 24, 40}}, 0, 5},
		{trialCase{name: "by turns", endpoints: 18, flaps: true}, 0, 5},
		{trialCase{name: "by turns", endpoints: 60, flaps: true}, 0, 5},
		{trialCase{name: "guilty", endpoints: 18, guilty: 3}, 5, 5},
		{trialCase{name: "guilty", endpoints: 60, guilty: 3}, 5, 5},
		{trialCase{name: "guilty", endpoints: 160, guilty: 3}, 5, 5},
		{trialCase{name: "guilty, and many ends", endpoints: 18, rate: 0.03, guilty: 3}, 5, 10},
		{trialCase{name: "guilty, and by turns", endpoints: 18, flaps: true, guilty: 3}, 6, 10},
		{trialCase{name: "guilty, and many at once", endpoints: 60, rate: 0.003, mass: storm, guilty: 3}, 6, 10},
		{trialCase{name: "guilty late", endpoints: 18, guilty: 3, late: time.Second}, 12, 5},
		{trialCase{name: "guilty late", endpoints: 160, guilty: 3, late: time.Second}, 9, 5},
		{trialCase{name: "guilty late, and many ends", endpoints: 18, rate: 0.03, guilty: 3, late: 2 * time.Second}, 12, 10},
		{trialCase{name: "guilty late and seldom", endpoints: 18, guilty: 3, late: 2 * time.Second, pause: trialContact}, 6, 5},
		{trialCase{name: "guilty late and seldom, and many ends", endpoints: 18, rate: 0.1, guilty: 3, late: 2 * time.Second, pause: trialContact}, 6, 10},
		{trialCase{name: "guilty late and seldom, and by turns", endpoints: 60, flaps: true, guilty: 3, late: 2 * time.Second, pause: trialContact}, 6, 10},
	}
	ways := []struct {
		name string
		make func(endpoints int) verdict
	}{
		{"kept", func(n int) verdict { return &byBook{Registry{Endpoints: n}} }},
		{"two ends", func(int) verdict { return &byCount{2, make(map[Fingerprint]map[string]bool)} }},
		{"three ends", func(int) verdict { return &byCount{3, make(map[Fingerprint]map[string]bool)} }},
		{"one trial", func(int) verdict {
			return &byTrials{1, false, make(map[Fingerprint]map[string]bool), make(map[Fingerprint]int)}
		}},
		{"two trials", func(int) verdict {
			return &byTrials{2, false, make(map[Fingerprint]map[string]bool), make(map[Fingerprint]int)}
		}},
		{"two trials, mute", func(int) verdict {
			return &byTrials{2, true, make(map[Fingerprint]map[string]bool), make(map[Fingerprint]int)}
		}},
		{"three trials", func(int) verdict {
			return &byTrials{3, false, make(map[Fingerprint]map[string]bool), make(map[Fingerprint]int)}
		}},
		{"shared blame 0.5", func(int) verdict { return &byShare{0.5, make(map[Fingerprint]float64)} }},
	}
	seeds := 1
	if n, err := strconv.Atoi(os.Getenv("HEATHKEEL_SEEDS")); err == nil {
		seeds = n
	} else {
		ways = ways[:1]
	}
	for _, c := range cases {
		for _, way := range ways {
			t.Run(fmt.Sprintf("%s, %d endpoints, %s", c.name, c.endpoints, way.name), func(t *testing.T) {
				requests, wronged, ends, guilty, worst, beyond := 0, 0, 0, 0, 0, 0
				for seed := range uint64(seeds) {
					w := play(c.trialCase, way.make(c.endpoints), seed)
					requests += w.requests
					wronged += len(w.wronged)
					for _, n := range w.beyond {
						beyond = max(beyond, n)
					}
					for _, n := range w.ends {
						ends, guilty, worst = ends+n, guilty+1, max(worst, n)
					}
				}
				t.Logf("%d of %d innocent requests held; a guilty one crashes %.2f endpoints in the mean, %d at most, %d sends beyond the contact time at most", wronged, requests, float64(ends)/float64(max(1, guilty)), worst, beyond)
				if way.name == "kept" {
					must.LessEq(t, trialBeyond, beyond)
					must.LessEq(t, c.mostEnds, worst)
					must.LessEq(t, 1+c.mostWrong*requests/100000, wronged)
				}
			})
		}
	}
}
