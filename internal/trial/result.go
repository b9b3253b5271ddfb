// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package trial

import (
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/heathkeel/heathkeel/sched"
)

// lognormalMean is the mean of a lognormal length with a median and a spread.
func lognormalMean(median int, spread float64) float64 {
	return float64(median) * math.Exp(spread*spread/2)
}

// TierResult counts one tier.
type TierResult struct {
	// Offered, Good, Refused, Late and Lost count requests: sent, answered whole
	// in time, refused as not run, given up by the caller, broken by a fault.
	Offered, Completed, Refused, TimedOut, Lost int
	// FirstToken is the time to the first token, in microseconds.
	FirstToken *hdrhistogram.Histogram
	// buckets count good and offered answers by second of arrival.
	good, offered []int
}

// Goodput is the share of the offered requests that was answered in time.
func (r *TierResult) Goodput() float64 {
	if r.Offered == 0 {
		return 1
	}
	return float64(r.Completed) / float64(r.Offered)
}

// workspaceResult counts one workspace in the lowest tier.
type workspaceResult struct{ offered, good, weight float64 }

// Result is what a trial counted.
type Result struct {
	// Spec is what was run.
	Spec Spec
	// Tiers has one member for each rank.
	Tiers []*TierResult
	// ComputedTokens, Wasted and Recomputed count prompt tokens: computed by engines,
	// of requests that were not answered whole, and computed although another
	// eligible engine held them.
	ComputedTokens, WastedTokens, RecomputedTokens int
	// CacheImports counts moves of KV cache.
	CacheImports int
	// Inversions counts dispatches of a tier within a floor's time after a higher
	// tier was refused for lack of capacity in the same pool, by any host, where
	// at least two heartbeats lay between. Dispatches counts all.
	Inversions, Dispatches int
	// MaxLatency is the longest time to the whole answer of an answered request
	// of the lowest tier, and Unanswered the number of long ones given up.
	MaxLatency time.Duration
	// Reasons counts refusals.
	Reasons map[sched.Reason]int
	// CompletedTokens is the good work in steps of output, for comparing totals.
	CompletedTokens float64

	workspaces  map[string]*workspaceResult
	lastRefusal [2][3]time.Duration // by pool kind and rank
}

// init makes the result ready.
func (r *Result) init(spec Spec) {
	r.Spec = spec
	r.Reasons = make(map[sched.Reason]int)
	r.workspaces = make(map[string]*workspaceResult)
	for range tiers {
		r.Tiers = append(r.Tiers, &TierResult{FirstToken: hdrhistogram.New(1, 1e9, 2)})
	}
	for i := range r.lastRefusal {
		for k := range r.lastRefusal[i] {
			r.lastRefusal[i][k] = -time.Hour
		}
	}
}

// bucket adds one to the bucket of a time.
func bucket(b []int, at time.Duration) []int {
	i := int(at / time.Second)
	for len(b) <= i {
		b = append(b, 0)
	}
	b[i]++
	return b
}

func (r *Result) tier(c *call) *TierResult { return r.Tiers[c.req.Settings.Rank] }

// offer counts a request sent.
func (r *Result) offer(now time.Duration, c *call) {
	t := r.tier(c)
	t.Offered++
	t.offered = bucket(t.offered, now)
	if c.req.Settings.Rank == len(tiers)-1 {
		w := r.workspaces[c.src.ws.Name]
		if w == nil {
			w = &workspaceResult{weight: c.src.ws.Weight}
			r.workspaces[c.src.ws.Name] = w
		}
		w.offered += float64(c.output)
	}
}

// poolKind is 1 for requests to plain services.
func poolKind(c *call) int {
	if c.src.kind.Plain {
		return 1
	}
	return 0
}

// dispatched counts a dispatch and looks for a higher tier refused before it.
func (r *Result) dispatched(now time.Duration, c *call) {
	r.Dispatches++
	for k := range c.req.Settings.Rank {
		since := now - r.lastRefusal[poolKind(c)][k]
		if since > 2*heartbeatEvery && since < 1200*time.Millisecond {
			r.Inversions++
			return
		}
	}
}

// refused counts a refusal.
func (r *Result) refused(now time.Duration, c *call, why sched.Reason) {
	r.tier(c).Refused++
	r.Reasons[why]++
	if why.Overload() {
		r.lastRefusal[poolKind(c)][c.req.Settings.Rank] = now
	}
	r.waste(c)
}

// late counts a request that its caller gave up.
func (r *Result) late(_ time.Duration, c *call) {
	r.tier(c).TimedOut++
	r.waste(c)
}

// lost counts a request broken by a fault.
func (r *Result) lost(_ time.Duration, c *call) {
	r.tier(c).Lost++
	r.waste(c)
}

// waste counts the prompt work of a request without a whole answer.
func (r *Result) waste(c *call) {
	if c.job != nil {
		r.ComputedTokens += c.job.ComputedTokens
		r.WastedTokens += c.job.ComputedTokens
	}
}

// recomputed counts prompt tokens that another engine holds.
func (r *Result) recomputed(t *Trial, c *call, at *engine) {
	if len(c.req.Blocks) == 0 {
		return
	}
	here, best := at.core.PeekPrefix(c.req.Blocks), 0
	for _, e := range t.engines {
		if !e.plain && !e.dead {
			best = max(best, e.core.PeekPrefix(c.req.Blocks))
		}
	}
	r.RecomputedTokens += max(0, best-here) * sched.BlockTokens
}

// answered counts a whole answer in time.
func (r *Result) answered(now time.Duration, c *call) {
	t := r.tier(c)
	t.Completed++
	t.good = bucket(t.good, c.req.Arrived)
	r.ComputedTokens += c.job.ComputedTokens
	r.CompletedTokens += float64(c.output)
	_ = t.FirstToken.RecordValue(max(1, (c.first - c.req.Arrived).Microseconds()))
	if c.req.Settings.Rank == len(tiers)-1 {
		r.workspaces[c.src.ws.Name].good += float64(c.output)
		r.MaxLatency = max(r.MaxLatency, now-c.req.Arrived)
	}
}

// WastedPrefill is the share of prompt tokens computed in vain.
func (r *Result) WastedPrefill() float64 {
	if r.ComputedTokens == 0 {
		return 0
	}
	return float64(r.WastedTokens+r.RecomputedTokens) / float64(r.ComputedTokens)
}

// Fairness is the worst workspace's share of its due in the lowest tier: what
// it got over what max-min fairness by weight would have given it of the total.
func (r *Result) Fairness() float64 {
	total := 0.0
	var list []*workspaceResult
	for _, w := range r.workspaces {
		total += w.good
		list = append(list, w)
	}
	due := maxMin(list, total)
	worst := 1.0
	for i, w := range list {
		if due[i] > 0 {
			worst = min(worst, w.good/due[i])
		}
	}
	return worst
}

// maxMin divides total among workspaces by weight, none getting more than it offered.
func maxMin(list []*workspaceResult, total float64) []float64 {
	due := make([]float64, len(list))
	order := make([]int, len(list))
	weight := 0.0
	for i, w := range list {
		order[i] = i
		weight += w.weight
	}
	slices.SortFunc(order, func(a, b int) int {
		return int(math.Copysign(1, list[a].offered/list[a].weight-list[b].offered/list[b].weight))
	})
	for _, i := range order {
		due[i] = min(list[i].offered, total*list[i].weight/weight)
		total -= due[i]
		weight -= list[i].weight
	}
	return due
}

// Recovery is the time after end until the goodput of all tiers together over
// three seconds is at least 0.95 of that before start; -1 if it never is.
func (r *Result) Recovery(start, end time.Duration) time.Duration {
	rate := func(from, to int) float64 {
		good, off := 0, 0
		for _, t := range r.Tiers[:2] {
			for i := max(0, from); i < to && i < len(t.offered); i++ {
				off += t.offered[i]
				if i < len(t.good) {
					good += t.good[i]
				}
			}
		}
		if off == 0 {
			return 1
		}
		return float64(good) / float64(off)
	}
	s, e := int(start/time.Second), int(end/time.Second)
	before := rate(s-10, s)
	last := int(r.Spec.ArrivalDuration / time.Second)
	for i := e; i+3 <= last; i++ {
		if rate(i, i+3) >= 0.95*before {
			return time.Duration(i-e) * time.Second
		}
	}
	return -1
}
