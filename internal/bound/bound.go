// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package bound

import (
	"math"
	"slices"
	"time"
)

// Request is what a caller asked for, over all its tries.
type Request struct {
	// Kind is the name of its kind.
	Kind string
	// Arrived is when its first try arrived. Objective is the time from then to the first token,
	// and Deadline that to the whole answer.
	Arrived, Objective, Deadline time.Duration
	// PromptTokens and OutputTokens are its lengths; GuessedTokens is its caller's guess of
	// OutputTokens.
	PromptTokens, OutputTokens, GuessedTokens int
	// Worth is the value of an answer in time, and LateWorth that of a late one.
	Worth, LateWorth float64
	// Earned is the value that the hosts earned with it.
	Earned float64
}

// Day has the requests and the engines of a day.
type Day struct {
	// Model applies to all engines, each with its own slowness.
	Model Model
	// Engines are the engines of the day.
	Engines []Engine
	// Requests are the requests of the day.
	Requests []Request
}

// WithGuessedLengths returns the day as it looks to a scheduler that knows only the callers' guesses
// of lengths: each OutputTokens is GuessedTokens times the ratio of all actual to all guessed tokens.
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

// Result is an upper bound on what requests could earn.
type Result struct {
	// Bound is the bound, Worth the sum of the requests' worths, and Earned what the hosts earned.
	Bound, Worth, Earned float64
	// Prices are the values of a second of an engine's time, by slowness and time bin.
	Prices map[float64][]float64
}

// Parameters of the relaxation.
const (
	// binWidth is the length of the bins into which the engines' time is divided. It is short
	// against the callers' objectives, which are 0.3 s and more.
	binWidth = 500 * time.Millisecond
	// maxStartDelay is the maximum start delay considered. A later start is worth no more and takes
	// no less time, so that the bound hardly changes with it.
	maxStartDelay = 4 * time.Second
	// iterations is the number of subgradient steps. 300 and 1,200 steps differ by 0.001 of the
	// worth on days of 8,000 requests.
	iterations = 300
	// initialGap is the first target for the decrease of the bound in one step, as a fraction of
	// the worth. After patience steps without a decrease of half the target, it is halved.
	initialGap = 0.1
	patience   = 15
)

// engineGroup is the engines of equal slowness.
type engineGroup struct {
	slowness  float64
	capacity  []float64 // engine-seconds by bin
	price     []float64 // of one engine-second, by bin
	priceSums []float64 // sums of the prices of all earlier bins
	used      []float64
}

// UpperBound bounds what the requests for which include returns true could earn if no other requests
// existed; a nil include selects all requests.
//
// With prices p of the engines' time, the bound is
//
//	Σ p·time + Σ max(0, max over engines and starts of worth − p·time taken)
//
// for any p ≥ 0 [Fisher, "The Lagrangian relaxation method for solving integer programming
// problems", 1981]. The prices p follow the subgradient with Polyak's step towards a target below
// the lowest value so far, which is the result.
func (d *Day) UpperBound(include func(*Request) bool) Result {
	groups := d.groupEngines()
	res := Result{Bound: math.Inf(1), Prices: make(map[float64][]float64)}
	var requests []Request
	for i := range d.Requests {
		if r := &d.Requests[i]; include == nil || include(r) {
			requests = append(requests, *r)
			res.Worth += r.Worth
			res.Earned += r.Earned
		}
	}
	if len(requests) == 0 || len(groups) == 0 {
		res.Bound = 0
		return res
	}
	gap, stalled := initialGap*res.Worth, 0
	for range iterations {
		value := 0.0
		for _, g := range groups {
			g.beginIteration()
			for t, p := range g.price {
				value += p * g.capacity[t]
			}
		}
		for i := range requests {
			value += d.allocateBest(&requests[i], groups)
		}
		if stalled++; value < res.Bound-gap/2 {
			stalled = 0
		}
		if value < res.Bound {
			res.Bound = value
			for _, g := range groups {
				res.Prices[g.slowness] = append(res.Prices[g.slowness][:0], g.price...)
			}
		}
		if stalled > patience {
			gap, stalled = gap/2, 0
		}
		descend(groups, value-res.Bound+gap)
	}
	res.Bound = min(res.Bound, res.Worth)
	return res
}

// groupEngines groups the engines by slowness.
func (d *Day) groupEngines() []*engineGroup {
	end := time.Duration(0)
	for i := range d.Requests {
		end = max(end, d.Requests[i].Arrived+d.Requests[i].Deadline)
	}
	bins := int(end/binWidth) + 2
	bySlowness := make(map[float64]*engineGroup)
	var out []*engineGroup
	for _, e := range d.Engines {
		g := bySlowness[e.Slowness]
		if g == nil {
			g = &engineGroup{
				slowness: e.Slowness, capacity: make([]float64, bins), price: make([]float64, bins), priceSums: make([]float64, bins+1), used: make([]float64, bins),
			}
			bySlowness[e.Slowness] = g
			out = append(out, g)
		}
		for t := range g.capacity {
			from, to := time.Duration(t)*binWidth, time.Duration(t+1)*binWidth
			g.capacity[t] += max(0, min(to, e.To)-max(from, e.From)).Seconds()
		}
	}
	return out
}

// allocateBest serves a request in the way that yields the most at the current prices, if that is
// above 0, and returns its worth less the price.
func (d *Day) allocateBest(r *Request, groups []*engineGroup) float64 {
	bestValue, bestGroup, bestStart := 0.0, (*engineGroup)(nil), 0
	prefill := d.Model.prefillTime(r.PromptTokens)
	for _, g := range groups {
		scale := func(t time.Duration) time.Duration { return time.Duration(float64(t) * g.slowness) }
		lastInTime := r.Arrived + r.Objective - scale(prefill) - d.Model.FirstTokenDelay
		lastStart := r.Arrived + min(maxStartDelay, r.Deadline-scale(prefill+d.Model.decodeTime(r.OutputTokens)))
		firstBin := int(r.Arrived / binWidth)
		for start := firstBin; start < len(g.capacity) && time.Duration(start)*binWidth <= max(lastInTime, lastStart); start++ {
			if g.capacity[start] <= 0 {
				continue
			}
			worth := 0.0
			if time.Duration(start)*binWidth <= lastStart {
				worth = r.LateWorth
			}
			if lastInTime >= r.Arrived && time.Duration(start)*binWidth <= lastInTime && lastStart >= r.Arrived {
				worth = r.Worth
			}
			if v := worth - g.cost(d, r, prefill, start); v > bestValue {
				bestValue, bestGroup, bestStart = v, g, start
			}
		}
	}
	if bestGroup != nil {
		bestGroup.allocate(d, r, prefill, bestStart)
	}
	return bestValue
}

// beginIteration clears the used time and sums the prices.
func (g *engineGroup) beginIteration() {
	clear(g.used)
	for t, p := range g.price {
		g.priceSums[t+1] = g.priceSums[t] + p
	}
}

// usage returns the number of bins in which a request that starts in bin start is decoded, and the
// engine-seconds of decoding in each of them. The prefill belongs to the first bin.
func (g *engineGroup) usage(d *Day, r *Request, start int) (bins int, perBin float64) {
	duration := time.Duration(float64(d.Model.decodeTime(r.OutputTokens)) * g.slowness)
	bins = min(int(duration/binWidth)+1, len(g.capacity)-start)
	seconds := g.slowness * (time.Duration(r.OutputTokens) * d.Model.tokenTime(r.PromptTokens)).Seconds()
	return bins, seconds / float64(bins)
}

// cost returns the price of serving a request that starts in bin start.
func (g *engineGroup) cost(d *Day, r *Request, prefill time.Duration, start int) float64 {
	bins, perBin := g.usage(d, r, start)
	return g.slowness*prefill.Seconds()*g.price[start] + perBin*(g.priceSums[start+bins]-g.priceSums[start])
}

// allocate adds the time that a request takes to the used time.
func (g *engineGroup) allocate(d *Day, r *Request, prefill time.Duration, start int) {
	bins, perBin := g.usage(d, r, start)
	g.used[start] += g.slowness * prefill.Seconds()
	for t := start; t < start+bins; t++ {
		g.used[t] += perBin
	}
}

// descend moves the prices against the subgradient, which is the unused time, by the step that would
// decrease the value by decrease if the value were linear.
func descend(groups []*engineGroup, decrease float64) {
	squaredNorm := 0.0
	for _, g := range groups {
		for t := range g.price {
			slack := g.capacity[t] - g.used[t]
			squaredNorm += slack * slack
		}
	}
	if squaredNorm == 0 {
		return
	}
	for _, g := range groups {
		for t := range g.price {
			g.price[t] = max(0, g.price[t]-decrease/squaredNorm*(g.capacity[t]-g.used[t]))
		}
	}
}
