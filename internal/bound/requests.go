// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package bound

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/heathkeel/heathkeel/outcome"
)

// RequestKind is what a kind of request is worth to its callers.
type RequestKind struct {
	// Name names it.
	Name string
	// Objective is the time to the first token and Pause the longest pause between two events
	// that are wanted; Deadline is the time to the whole answer.
	Objective, PauseObjective, Deadline time.Duration
	// Worth is what an answer in time is worth in the mean, and Late a late one.
	Worth, LateWorth float64
	// MeanPromptTokens is the mean prompt, in tokens.
	MeanPromptTokens float64
}

// Site is what is known of a deployment beside its logs.
type Site struct {
	// Model is that of the engines, and Slowness the values that they may have.
	Model    Model
	Slowness []float64
	// EventTokens is the number of tokens in an event.
	EventTokens int
	// Kinds are the kinds of requests to engines.
	Kinds []RequestKind
}

// Counts tells what was left out of a day.
type Counts struct {
	// Tries is the number of tries in the logs and Requests that of the requests they belong to.
	Tries, Requests int
	// OverQuota are requests left out because each of their tries was refused for its
	// workspace's amount, Left those whose caller left before its deadline.
	OverQuota, CallerLeft int
}

// ErrUntraced means that logs do not hold what is needed.
var ErrUntraced = eris.New("the logs hold no served request with its tokens; run the hosts with --trace")

// ErrWrongSite means that a log and a site do not belong together.
var ErrWrongSite = eris.New("no kind of request of the site has this objective and pause; give the site file that was played")

// NewDay makes a day of the final events of requests to engines. The tries of one caller are
// those of one workspace and route that name the same tokens within a deadline.
func NewDay(site *Site, events []outcome.Event) (*Day, Counts, error) {
	final := slices.DeleteFunc(slices.Clone(events), func(e outcome.Event) bool {
		return !e.Final() || e.TokensIn == 0 || e.Workspace == ""
	})
	served := slices.ContainsFunc(final, func(e outcome.Event) bool { return e.Outcome == outcome.Served })
	if !served {
		return nil, Counts{}, ErrUntraced
	}
	zero := arrived(&final[0])
	for i := range final {
		zero = min(zero, arrived(&final[i]))
	}
	kinds, err := kindsOf(site, final)
	if err != nil {
		return nil, Counts{}, err
	}
	d := &Day{Model: site.Model, Engines: enginesOf(site, final, zero)}
	counts := Counts{Tries: len(final)}
	weights := make(map[string]func(*outcome.Event) float64)
	for route := range kinds {
		weights[route] = outcome.WeightFunc(slices.DeleteFunc(slices.Clone(final), func(e outcome.Event) bool { return e.Route != route }))
	}
	for _, tries := range families(final, kinds) {
		counts.Requests++
		last := &tries[len(tries)-1]
		switch {
		case !slices.ContainsFunc(tries, func(e outcome.Event) bool { return e.Loss() != outcome.OverQuota }):
			counts.OverQuota++
			continue
		case last.Loss() == outcome.CallerLeft:
			counts.CallerLeft++
			continue
		}
		d.Requests = append(d.Requests, newRequest(site, kinds[last.Route], tries, zero, weights[last.Route](last)))
	}
	return d, counts, nil
}

// arrived is when a try came.
func arrived(e *outcome.Event) time.Duration {
	return time.Duration(e.Time*float64(time.Second)) - time.Duration(e.ElapsedMS)*time.Millisecond
}

// kindsOf finds the kind of each route: of those with its objective and pause the one whose
// mean prompt is nearest to what the route was asked.
func kindsOf(site *Site, events []outcome.Event) (map[string]*RequestKind, error) {
	sum, n := make(map[string]float64), make(map[string]float64)
	some := make(map[string]*outcome.Event)
	for i := range events {
		e := &events[i]
		sum[e.Route] += float64(e.TokensIn)
		n[e.Route]++
		some[e.Route] = e
	}
	out := make(map[string]*RequestKind)
	for route, e := range some {
		best := math.Inf(1)
		for i := range site.Kinds {
			k := &site.Kinds[i]
			if k.Objective.Milliseconds() != e.ObjectiveMS || k.PauseObjective.Milliseconds() != e.PauseObjectiveMS {
				continue
			}
			if far := math.Abs(math.Log(sum[route] / n[route] / k.MeanPromptTokens)); far < best {
				best, out[route] = far, k
			}
		}
		if out[route] == nil {
			return nil, eris.Wrapf(ErrWrongSite, "route %s, objective %d ms, pause %d ms", route, e.ObjectiveMS, e.PauseObjectiveMS)
		}
	}
	return out, nil
}

// enginesOf finds the engines that answered requests, from shortly before the first to shortly
// after the last one, with the slowness nearest to the median time of a token that hosts knew
// there: at first they take an engine to be as fast as the others.
func enginesOf(site *Site, events []outcome.Event, zero time.Duration) []Engine {
	type seen struct {
		from, to time.Duration
		steps    []int64
	}
	byName := make(map[string]*seen)
	for i := range events {
		e := &events[i]
		if e.Outcome != outcome.Served || e.StepUS <= 0 {
			continue
		}
		from := arrived(e) - zero
		to := from + time.Duration(e.ElapsedMS)*time.Millisecond
		s := byName[e.Endpoint]
		if s == nil {
			s = &seen{from: from, to: to}
			byName[e.Endpoint] = s
		}
		s.from, s.to = min(s.from, from), max(s.to, to)
		s.steps = append(s.steps, e.StepUS)
	}
	var out []Engine
	for _, s := range byName {
		slices.Sort(s.steps)
		ratio := float64(s.steps[len(s.steps)/2]) / float64(site.Model.Step.Microseconds())
		slowness := slices.MinFunc(site.Slowness, func(a, b float64) int {
			return cmp.Compare(math.Abs(math.Log(a/ratio)), math.Abs(math.Log(b/ratio)))
		})
		out = append(out, Engine{Slowness: slowness, From: s.from - unusedTime, To: s.to + unusedTime})
	}
	return out
}

// unusedTime is the time before its first and after its last answer for which an engine is taken to
// have been there: on loaded days one is used within less.
const unusedTime = time.Second

// families groups the tries of each caller, each group in order of arrival.
func families(events []outcome.Event, kinds map[string]*RequestKind) [][]outcome.Event {
	type key struct {
		workspace, route string
		in, out, guess   int
	}
	sorted := slices.Clone(events)
	slices.SortStableFunc(sorted, func(a, b outcome.Event) int { return cmp.Compare(arrived(&a), arrived(&b)) })
	open := make(map[key]int)
	var out [][]outcome.Event
	for _, e := range sorted {
		k := key{e.Workspace, e.Route, e.TokensIn, e.TokensOut, e.TokensGuess}
		if i, ok := open[k]; ok && arrived(&e)-arrived(&out[i][0]) < kinds[e.Route].Deadline && out[i][len(out[i])-1].Outcome != outcome.Served {
			out[i] = append(out[i], e)
			continue
		}
		open[k] = len(out)
		out = append(out, []outcome.Event{e})
	}
	return out
}

// newRequest makes a request of its tries.
func newRequest(site *Site, k *RequestKind, tries []outcome.Event, zero time.Duration, weight float64) Request {
	first, last := &tries[0], &tries[len(tries)-1]
	r := Request{
		Kind: k.Name, Arrived: arrived(first) - zero, Objective: k.Objective, Deadline: k.Deadline,
		PromptTokens: last.TokensIn, OutputTokens: max(1, min(last.TokensGuess, last.TokensOut)), GuessedTokens: max(1, min(last.TokensGuess, last.TokensOut)), Worth: weight * k.Worth, LateWorth: weight * k.LateWorth,
	}
	if last.Outcome != outcome.Served {
		return r
	}
	r.OutputTokens = max(1, last.Events*max(1, site.EventTokens))
	begun := arrived(last) - arrived(first) + time.Duration(last.FirstEventMS)*time.Millisecond
	paused := time.Duration(last.LongestPauseMS) * time.Millisecond
	r.Earned = r.LateWorth
	if begun <= k.Objective && (k.PauseObjective == 0 || paused <= k.PauseObjective) {
		r.Earned = r.Worth
	}
	return r
}
