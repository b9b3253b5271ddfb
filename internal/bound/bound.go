// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package bound

import (
	"math"
	"slices"
	"time"
)

// Request is what a caller asked for, all its tries taken together.
type Request struct {
	// Kind names its kind.
	Kind string
	// Arrived is when its first try came, Objective the time to its first token and Deadline
	// the time to its whole answer from then.
	Arrived, Objective, Deadline time.Duration
	// PromptTokens and Output are its lengths in tokens, and Guess is its caller's guess of Output.
	PromptTokens, OutputTokens, GuessedTokens int
	// Worth is what an answer in time is worth, and Late a late one.
	Worth, LateWorth float64
	// Earned is what the hosts earned of it.
	Earned float64
}

// Day is the requests and the engines of a day.
type Day struct {
	// Model is that of all engines, each with its own slowness.
	Model Model
	// Engines are those of the day.
	Engines []Engine
	// Requests are the requests of the day.
	Requests []Request
}

// WithGuessedLengths is the day as one who knows only the callers' guesses of lengths expects it: each answer has
// the mean length of those with its guess, taken as a multiple of it.
func (d *Day) WithGuessedLengths() *Day {
	out := &Day{Model: d.Model, Engines: d.Engines, Requests: slices.Clone(d.Requests)}
	actual, guessed := 0, 0
	for i := range d.Requests {
		actual += d.Requests[i].OutputTokens
		guessed += d.Requests[i].GuessedTokens
	}
	if guessed == 0 {
		return out
	}
	for i := range out.Requests {
		r := &out.Requests[i]
		r.OutputTokens = max(1, int(float64(r.GuessedTokens)*float64(actual)/float64(guessed)))
	}
	return out
}

// Result is a bound on what requests could earn.
type Result struct {
	// Bound is the bound, Worth what all requests are worth and Earned what hosts earned of it.
	Bound, Worth, Earned float64
	// Prices is what a second of an engine's time is worth, by slowness and bin of time.
	Prices map[float64][]float64
}

// Figures of the relaxation.
const (
	// bin is the span of time in which an engine's time is pooled: short against the objectives
	// that callers have, of 0.3 s and more.
	bin = 500 * time.Millisecond
	// mostWait is the longest time for which a late start is considered: what starts later still
	// is worth no more and takes no less time, so that the bound hardly changes with it.
	mostWait = 4 * time.Second
	// steps is the number of steps along the subgradient. 300 and 1,200 differ by 0.001 of the worth on
	// days of 8,000 requests.
	steps = 300
	// firstGap is the part of the worth by which the bound is first hoped to fall with a
	// step, and patience the number of steps without half of that after which the hope is halved.
	firstGap = 0.1
	patience = 15
)

// group is the engines of one slowness.
type group struct {
	slowness float64
	time     []float64 // seconds of engines, by bin
	price    []float64 // of one second
	sum      []float64 // of the prices of all bins before
	used     []float64
}

// UpperBound bounds what the requests for which counts is true could earn, if all others gave way;
// nil counts all.
//
// With prices p of the engines' time, the bound is
//
//	Σ p·time + Σ max(0, max over engines and starts of worth − p·time taken)
//
// for any p ≥ 0 [Fisher, "The Lagrangian relaxation method for solving integer programming
// problems", 1981]; p goes along the subgradient by Polyak's step towards a level below the least
// value found, which is kept.
func (d *Day) UpperBound(counts func(*Request) bool) Result {
	groups := d.groups()
	res := Result{Bound: math.Inf(1), Prices: make(map[float64][]float64)}
	var rs []Request
	for i := range d.Requests {
		if r := &d.Requests[i]; counts == nil || counts(r) {
			rs = append(rs, *r)
			res.Worth += r.Worth
			res.Earned += r.Earned
		}
	}
	if len(rs) == 0 || len(groups) == 0 {
		res.Bound = 0
		return res
	}
	gap, waited := firstGap*res.Worth, 0
	for range steps {
		value := 0.0
		for _, g := range groups {
			g.begin()
			for t, p := range g.price {
				value += p * g.time[t]
			}
		}
		for i := range rs {
			value += d.best(&rs[i], groups)
		}
		if waited++; value < res.Bound-gap/2 {
			waited = 0
		}
		if value < res.Bound {
			res.Bound = value
			for _, g := range groups {
				res.Prices[g.slowness] = append(res.Prices[g.slowness][:0], g.price...)
			}
		}
		if waited > patience {
			gap, waited = gap/2, 0
		}
		descend(groups, value-res.Bound+gap)
	}
	res.Bound = min(res.Bound, res.Worth)
	return res
}

// groups pools the engines of equal slowness.
func (d *Day) groups() []*group {
	end := time.Duration(0)
	for i := range d.Requests {
		end = max(end, d.Requests[i].Arrived+d.Requests[i].Deadline)
	}
	bins := int(end/bin) + 2
	bySlowness := make(map[float64]*group)
	var out []*group
	for _, e := range d.Engines {
		g := bySlowness[e.Slowness]
		if g == nil {
			g = &group{
				slowness: e.Slowness, time: make([]float64, bins), price: make([]float64, bins), sum: make([]float64, bins+1), used: make([]float64, bins),
			}
			bySlowness[e.Slowness] = g
			out = append(out, g)
		}
		for t := range g.time {
			from, to := time.Duration(t)*bin, time.Duration(t+1)*bin
			g.time[t] += max(0, min(to, e.To)-max(from, e.From)).Seconds()
		}
	}
	return out
}

// best takes the best way to serve a request at the prices in force and returns what it earns
// beyond them.
func (d *Day) best(r *Request, groups []*group) float64 {
	best, at, start := 0.0, (*group)(nil), 0
	read := d.Model.prefill(r.PromptTokens)
	for _, g := range groups {
		slow := func(t time.Duration) time.Duration { return time.Duration(float64(t) * g.slowness) }
		inTime := r.Arrived + r.Objective - slow(read) - d.Model.FirstTokenDelay
		last := r.Arrived + min(mostWait, r.Deadline-slow(read+d.Model.decode(r.OutputTokens)))
		from := int(r.Arrived / bin)
		for s := from; s < len(g.time) && time.Duration(s)*bin <= max(inTime, last); s++ {
			if g.time[s] <= 0 {
				continue
			}
			worth := 0.0
			if time.Duration(s)*bin <= last {
				worth = r.LateWorth
			}
			if inTime >= r.Arrived && time.Duration(s)*bin <= inTime && last >= r.Arrived {
				worth = r.Worth
			}
			if v := worth - g.cost(d, r, read, s); v > best {
				best, at, start = v, g, s
			}
		}
	}
	if at != nil {
		at.take(d, r, read, start)
	}
	return best
}

// begin makes the sums of the prices for a step.
func (g *group) begin() {
	clear(g.used)
	for t, p := range g.price {
		g.sum[t+1] = g.sum[t] + p
	}
}

// span gives the bins in which a request that starts in a bin is answered, and the engine's
// seconds that it takes in each of them. Reading counts in the first.
func (g *group) span(d *Day, r *Request, start int) (bins int, each float64) {
	took := time.Duration(float64(d.Model.decode(r.OutputTokens)) * g.slowness)
	bins = min(int(took/bin)+1, len(g.time)-start)
	seconds := g.slowness * (time.Duration(r.OutputTokens) * d.Model.token(r.PromptTokens)).Seconds()
	return bins, seconds / float64(bins)
}

// cost is the price of answering a request from a bin on.
func (g *group) cost(d *Day, r *Request, read time.Duration, start int) float64 {
	bins, each := g.span(d, r, start)
	return g.slowness*read.Seconds()*g.price[start] + each*(g.sum[start+bins]-g.sum[start])
}

// take counts the time that a request takes.
func (g *group) take(d *Day, r *Request, read time.Duration, start int) {
	bins, each := g.span(d, r, start)
	g.used[start] += g.slowness * read.Seconds()
	for t := start; t < start+bins; t++ {
		g.used[t] += each
	}
}

// descend moves the prices against the subgradient, which is the time that is left over, by the step that
// would lessen the value by some amount if it were linear.
func descend(groups []*group, by float64) {
	square := 0.0
	for _, g := range groups {
		for t := range g.price {
			left := g.time[t] - g.used[t]
			square += left * left
		}
	}
	if square == 0 {
		return
	}
	for _, g := range groups {
		for t := range g.price {
			g.price[t] = max(0, g.price[t]-by/square*(g.time[t]-g.used[t]))
		}
	}
}
