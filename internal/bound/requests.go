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

// RequestKind is a kind of request and its worth to callers.
type RequestKind struct {
	// Name is the name of the kind.
	Name string
	// Objective is that of the time to the first token, and PauseObjective that of the longest pause
	// between two events, 0 for none; Deadline is the time to the whole answer.
	Objective, PauseObjective, Deadline time.Duration
	// Worth is the mean worth of an answer in time, and LateWorth that of a late one.
	Worth, LateWorth float64
	// MeanPromptTokens is the mean length of prompts.
	MeanPromptTokens float64
}

// Site describes a deployment, as far as its logs don't.
type Site struct {
	// Model is the model of the engines, and Slowness lists the slownesses that they can have.
	Model    Model
	Slowness []float64
	// EventTokens is the number of tokens in an event.
	EventTokens int
	// Kinds are the kinds of requests that go to engines.
	Kinds []RequestKind
}

// Counts says how many requests a day has and how many were left out.
type Counts struct {
	// Tries is the number of tries in the logs, and Requests the number of requests that they belong to.
	Tries, Requests int
	// OverQuota counts the requests left out because each of their tries was refused for its
	// workspace's quota, CallerLeft those left out because the caller left before the deadline.
	OverQuota, CallerLeft int
}

// ErrUntraced means that the logs lack the events that a day is made of.
var ErrUntraced = eris.New("the logs contain no served request with token counts; run the hosts with --trace")

// ErrWrongSite means that a log and a site don't belong together.
var ErrWrongSite = eris.New("no kind of request in the site file has this objective and pause objective; give the site file of the deployment that wrote the logs")

// NewDay makes a day from the final events of requests to engines. It takes events as tries of the
// same request if they have the same workspace, route and token counts and arrive within a deadline.
func NewDay(site *Site, events []outcome.Event) (*Day, Counts, error) {
	final := slices.DeleteFunc(slices.Clone(events), func(e outcome.Event) bool {
		return !e.Final() || e.TokensIn == 0 || e.Workspace == ""
	})
	served := slices.ContainsFunc(final, func(e outcome.Event) bool { return e.Outcome == outcome.Served })
	if !served {
		return nil, Counts{}, ErrUntraced
	}
	origin := arrivalTime(&final[0])
	for i := range final {
		origin = min(origin, arrivalTime(&final[i]))
	}
	kinds, err := kindsByRoute(site, final)
	if err != nil {
		return nil, Counts{}, err
	}
	d := &Day{Model: site.Model, Engines: observedEngines(site, final, origin)}
	counts := Counts{Tries: len(final)}
	weights := make(map[string]func(*outcome.Event) float64)
	for route := range kinds {
		weights[route] = outcome.WeightFunc(slices.DeleteFunc(slices.Clone(final), func(e outcome.Event) bool { return e.Route != route }))
	}
	for _, tries := range groupTries(final, kinds) {
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
		d.Requests = append(d.Requests, newRequest(site, kinds[last.Route], tries, origin, weights[last.Route](last)))
	}
	return d, counts, nil
}

// arrivalTime returns when a try arrived.
func arrivalTime(e *outcome.Event) time.Duration {
	return time.Duration(e.Time*float64(time.Second)) - time.Duration(e.ElapsedMS)*time.Millisecond
}

// kindsByRoute finds the kind of each route: of the kinds with the route's objectives, the one whose
// mean prompt length is nearest to the route's, as a ratio.
func kindsByRoute(site *Site, events []outcome.Event) (map[string]*RequestKind, error) {
	sum, count := make(map[string]float64), make(map[string]float64)
	example := make(map[string]*outcome.Event)
	for i := range events {
		e := &events[i]
		sum[e.Route] += float64(e.TokensIn)
		count[e.Route]++
		example[e.Route] = e
	}
	out := make(map[string]*RequestKind)
	for route, e := range example {
		minDistance := math.Inf(1)
		for i := range site.Kinds {
			k := &site.Kinds[i]
			if k.Objective.Milliseconds() != e.ObjectiveMS || k.PauseObjective.Milliseconds() != e.PauseObjectiveMS {
				continue
			}
			if distance := math.Abs(math.Log(sum[route] / count[route] / k.MeanPromptTokens)); distance < minDistance {
				minDistance, out[route] = distance, k
			}
		}
		if out[route] == nil {
			return nil, eris.Wrapf(ErrWrongSite, "route %s, objective %d ms, pause objective %d ms", route, e.ObjectiveMS, e.PauseObjectiveMS)
		}
	}
	return out, nil
}

// observedEngines returns the engines that served requests. Each is available from presenceMargin before
// its first to presenceMargin after its last request, and has the slowness nearest to the median step
// time that hosts logged for it. It is the median since hosts assume at first that an engine is as fast
// as the others.
func observedEngines(site *Site, events []outcome.Event, origin time.Duration) []Engine {
	type observation struct {
		from, to time.Duration
		steps    []int64
	}
	byName := make(map[string]*observation)
	for i := range events {
		e := &events[i]
		if e.Outcome != outcome.Served || e.StepUS <= 0 {
			continue
		}
		from := arrivalTime(e) - origin
		to := from + time.Duration(e.ElapsedMS)*time.Millisecond
		s := byName[e.Endpoint]
		if s == nil {
			s = &observation{from: from, to: to}
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
		out = append(out, Engine{Slowness: slowness, From: s.from - presenceMargin, To: s.to + presenceMargin})
	}
	return out
}

// presenceMargin is the time before its first and after its last request for which an engine counts as
// available: on loaded days an engine gets requests at shorter intervals.
const presenceMargin = time.Second

// groupTries groups the tries by request, each group in order of arrival. A group ends with a served try.
func groupTries(events []outcome.Event, kinds map[string]*RequestKind) [][]outcome.Event {
	type key struct {
		workspace, route string
		in, out, guess   int
	}
	sorted := slices.Clone(events)
	slices.SortStableFunc(sorted, func(a, b outcome.Event) int { return cmp.Compare(arrivalTime(&a), arrivalTime(&b)) })
	current := make(map[key]int)
	var out [][]outcome.Event
	for _, e := range sorted {
		k := key{e.Workspace, e.Route, e.TokensIn, e.TokensOut, e.TokensGuess}
		if i, ok := current[k]; ok && arrivalTime(&e)-arrivalTime(&out[i][0]) < kinds[e.Route].Deadline && out[i][len(out[i])-1].Outcome != outcome.Served {
			out[i] = append(out[i], e)
			continue
		}
		current[k] = len(out)
		out = append(out, []outcome.Event{e})
	}
	return out
}

// newRequest makes a request from its tries.
func newRequest(site *Site, k *RequestKind, tries []outcome.Event, origin time.Duration, weight float64) Request {
	first, last := &tries[0], &tries[len(tries)-1]
	r := Request{
		Kind: k.Name, Arrived: arrivalTime(first) - origin, Objective: k.Objective, Deadline: k.Deadline,
		PromptTokens: last.TokensIn, OutputTokens: max(1, min(last.TokensGuess, last.TokensOut)), GuessedTokens: max(1, min(last.TokensGuess, last.TokensOut)), Worth: weight * k.Worth, LateWorth: weight * k.LateWorth,
	}
	if last.Outcome != outcome.Served {
		return r
	}
	r.OutputTokens = max(1, last.Events*max(1, site.EventTokens))
	firstToken := arrivalTime(last) - arrivalTime(first) + time.Duration(last.FirstEventMS)*time.Millisecond
	longestPause := time.Duration(last.LongestPauseMS) * time.Millisecond
	r.Earned = r.LateWorth
	if firstToken <= k.Objective && (k.PauseObjective == 0 || longestPause <= k.PauseObjective) {
		r.Earned = r.Worth
	}
	return r
}
