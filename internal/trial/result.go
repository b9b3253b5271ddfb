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

// lognormalMean returns the mean of a lognormal distribution with the given median
// and standard deviation of the logarithm: median * exp(sigma^2/2).
func lognormalMean(median int, sigma float64) float64 {
	return float64(median) * math.Exp(sigma*sigma/2)
}

// TierResult has the counts of one tier.
type TierResult struct {
	// Offered counts the requests sent; the others count how they ended: Completed
	// were answered whole in time, Refused were refused without being run, TimedOut
	// were given up by the caller at the deadline, Lost were broken by a fault.
	Offered, Completed, Refused, TimedOut, Lost int
	// FirstToken is the time to the first token of completed requests, in microseconds.
	FirstToken *hdrhistogram.Histogram
	// completedPerSecond and offeredPerSecond count requests by second of arrival.
	completedPerSecond, offeredPerSecond []int
}

// Goodput is the share of the offered requests that were completed.
func (r *TierResult) Goodput() float64 {
	if r.Offered == 0 {
		return 1
	}
	return float64(r.Completed) / float64(r.Offered)
}

// workspaceResult has the counts of one workspace in the lowest tier, in output
// tokens, and its weight.
type workspaceResult struct{ offered, completed, weight float64 }

// Result has the counts of a trial.
type Result struct {
	// Spec is the spec of the trial.
	Spec Spec
	// Tiers has one element for each rank.
	Tiers []*TierResult
	// ComputedTokens counts prompt tokens that engines computed, WastedTokens those
	// of them for requests that were not completed, and RecomputedTokens prompt tokens
	// that were computed although another live engine had them in its cache.
	ComputedTokens, WastedTokens, RecomputedTokens int
	// CacheImports counts transfers of KV cache.
	CacheImports int
	// Inversions counts dispatches of a tier after a higher tier was refused by any
	// host for lack of capacity in the same pool, if the refusal is more than two
	// heartbeats and less than 1.2 s ago, the default time for which a floor holds.
	// Dispatches counts all dispatches.
	Inversions, Dispatches int
	// MaxLatency is the maximum time to the whole answer of a completed request of the
	// lowest tier.
	MaxLatency time.Duration
	// Reasons counts refusals by reason.
	Reasons map[sched.Reason]int
	// CompletedTokens is the number of output tokens of completed requests.
	CompletedTokens float64

	workspaces  map[string]*workspaceResult
	lastRefusal [2][3]time.Duration // by pool index and rank
}

// init initializes the result.
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

// addToBucket increments the bucket of the second that at falls into.
func addToBucket(b []int, at time.Duration) []int {
	i := int(at / time.Second)
	for len(b) <= i {
		b = append(b, 0)
	}
	b[i]++
	return b
}

func (r *Result) tier(c *call) *TierResult { return r.Tiers[c.req.Settings.Rank] }

// addOffered counts a request that was sent.
func (r *Result) addOffered(now time.Duration, c *call) {
	t := r.tier(c)
	t.Offered++
	t.offeredPerSecond = addToBucket(t.offeredPerSecond, now)
	if c.req.Settings.Rank == len(tiers)-1 {
		w := r.workspaces[c.source.workspace.Name]
		if w == nil {
			w = &workspaceResult{weight: c.source.workspace.Weight}
			r.workspaces[c.source.workspace.Name] = w
		}
		w.offered += float64(c.outputTokens)
	}
}

// poolIndex returns 1 for requests to plain services and 0 for those to engines.
func poolIndex(c *call) int {
	if c.source.kind.Plain {
		return 1
	}
	return 0
}

// addDispatch counts a dispatch and whether it is an inversion.
func (r *Result) addDispatch(now time.Duration, c *call) {
	r.Dispatches++
	for k := range c.req.Settings.Rank {
		sinceRefusal := now - r.lastRefusal[poolIndex(c)][k]
		if sinceRefusal > 2*heartbeatInterval && sinceRefusal < 1200*time.Millisecond {
			r.Inversions++
			return
		}
	}
}

// addRefused counts a refusal and, if it is for overload, records its time.
func (r *Result) addRefused(now time.Duration, c *call, reason sched.Reason) {
	r.tier(c).Refused++
	r.Reasons[reason]++
	if reason.Overload() {
		r.lastRefusal[poolIndex(c)][c.req.Settings.Rank] = now
	}
	r.addWasted(c)
}

// addTimedOut counts a request that its caller gave up at the deadline.
func (r *Result) addTimedOut(_ time.Duration, c *call) {
	r.tier(c).TimedOut++
	r.addWasted(c)
}

// addLost counts a request that a fault broke.
func (r *Result) addLost(_ time.Duration, c *call) {
	r.tier(c).Lost++
	r.addWasted(c)
}

// addWasted counts the prompt tokens computed for a request that was not completed.
func (r *Result) addWasted(c *call) {
	if c.job != nil {
		r.ComputedTokens += c.job.ComputedTokens
		r.WastedTokens += c.job.ComputedTokens
	}
}

// addRecomputed counts prompt tokens that are not in the cache of the engine at,
// but in that of another live engine.
func (r *Result) addRecomputed(t *Trial, c *call, at *engine) {
	if len(c.req.Blocks) == 0 {
		return
	}
	own, best := at.core.PeekPrefix(c.req.Blocks), 0
	for _, e := range t.engines {
		if !e.plain && !e.dead {
			best = max(best, e.core.PeekPrefix(c.req.Blocks))
		}
	}
	r.RecomputedTokens += max(0, best-own) * sched.BlockTokens
}

// addCompleted counts a request that was answered whole in time.
func (r *Result) addCompleted(now time.Duration, c *call) {
	t := r.tier(c)
	t.Completed++
	t.completedPerSecond = addToBucket(t.completedPerSecond, c.req.Arrived)
	r.ComputedTokens += c.job.ComputedTokens
	r.CompletedTokens += float64(c.outputTokens)
	_ = t.FirstToken.RecordValue(max(1, (c.firstToken - c.req.Arrived).Microseconds()))
	if c.req.Settings.Rank == len(tiers)-1 {
		r.workspaces[c.source.workspace.Name].completed += float64(c.outputTokens)
		r.MaxLatency = max(r.MaxLatency, now-c.req.Arrived)
	}
}

// WastedPrefill is the number of wasted and recomputed prompt tokens as a share of
// the computed ones.
func (r *Result) WastedPrefill() float64 {
	if r.ComputedTokens == 0 {
		return 0
	}
	return float64(r.WastedTokens+r.RecomputedTokens) / float64(r.ComputedTokens)
}

// Fairness is the minimum over the workspaces, in the lowest tier, of what a
// workspace got divided by its max-min fair share by weight of the total.
func (r *Result) Fairness() float64 {
	total := 0.0
	var results []*workspaceResult
	for _, w := range r.workspaces {
		total += w.completed
		results = append(results, w)
	}
	shares := maxMinShares(results, total)
	worst := 1.0
	for i, w := range results {
		if shares[i] > 0 {
			worst = min(worst, w.completed/shares[i])
		}
	}
	return worst
}

// maxMinShares divides total among the workspaces by weight, giving none more than
// it offered.
func maxMinShares(results []*workspaceResult, total float64) []float64 {
	shares := make([]float64, len(results))
	order := make([]int, len(results))
	weight := 0.0
	for i, w := range results {
		order[i] = i
		weight += w.weight
	}
	slices.SortFunc(order, func(a, b int) int {
		return int(math.Copysign(1, results[a].offered/results[a].weight-results[b].offered/results[b].weight))
	})
	for _, i := range order {
		shares[i] = min(results[i].offered, total*results[i].weight/weight)
		total -= shares[i]
		weight -= results[i].weight
	}
	return shares
}

// Recovery is the time after end until the goodput of the two highest tiers together
// over three seconds is at least 0.95 of that in the ten seconds before start; it is
// -1 ns if that does not happen.
func (r *Result) Recovery(start, end time.Duration) time.Duration {
	goodput := func(from, to int) float64 {
		completed, offered := 0, 0
		for _, t := range r.Tiers[:2] {
			for i := max(0, from); i < to && i < len(t.offeredPerSecond); i++ {
				offered += t.offeredPerSecond[i]
				if i < len(t.completedPerSecond) {
					completed += t.completedPerSecond[i]
				}
			}
		}
		if offered == 0 {
			return 1
		}
		return float64(completed) / float64(offered)
	}
	startSecond, endSecond := int(start/time.Second), int(end/time.Second)
	before := goodput(startSecond-10, startSecond)
	lastSecond := int(r.Spec.ArrivalDuration / time.Second)
	for i := endSecond; i+3 <= lastSecond; i++ {
		if goodput(i, i+3) >= 0.95*before {
			return time.Duration(i-endSecond) * time.Second
		}
	}
	return -1
}
