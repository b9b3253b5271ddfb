// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package outcome

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Figures of a request's weight, as the users' measure has it: a request counts for its
// size relative to the mean of its route, and a small one not for nothing.
const (
	// outWeight is what a token of the answer weighs, in tokens of the prompt.
	outWeight = 10
	// leastWeight is the part that does not depend on the size.
	leastWeight = 0.3
	// mostWeight bounds the weight.
	mostWeight = 4
)

// Band is a part of a route's requests by size.
type Band string

// The bands: the largest tenth, the fifth below it and the others.
const (
	Largest Band = "largest tenth"
	Large   Band = "fifth below"
	Others  Band = "others"
)

// Bands are all of them, the largest first.
var Bands = []Band{Largest, Large, Others}

// Parts of a route's requests that are in the two upper bands.
const (
	largestPart = 0.1
	largePart   = 0.3
)

// Share is the part that some requests lost, by loss, of the weight of all of them.
type Share struct {
	// Requests is their number and Weight their weight.
	Requests int
	Weight   float64
	// By is the part of Weight with each loss, 0 to 1.
	By map[Loss]float64
}

// RouteShare is what the requests of one size on a route lost.
type RouteShare struct {
	// Route names the route and Band the size.
	Route string
	Band  Band
	Share
}

// WindowShare is what the requests that ended in a span of time lost.
type WindowShare struct {
	// From is the span's begin, since the first event.
	From time.Duration
	Share
}

// LossReport says where requests lost what they are worth.
type LossReport struct {
	// Routes are sorted by route, then by size.
	Routes []RouteShare
	// Windows are in order of time.
	Windows []WindowShare
}

// NewLossReport adds up the final events of requests. The hosts must have traced all
// requests, since else those that went well are missing. Attempts under new IDs of the
// same caller count one by one.
func NewLossReport(events []Event, window time.Duration) LossReport {
	final := slices.DeleteFunc(slices.Clone(events), func(e Event) bool { return !e.Final() || e.Route == "" })
	if len(final) == 0 {
		return LossReport{}
	}
	Sort(final)
	byRoute := make(map[string][]Event)
	for _, e := range final {
		byRoute[e.Route] = append(byRoute[e.Route], e)
	}
	var a LossReport
	spans := make(map[int64]*Share)
	for _, name := range slices.Sorted(maps.Keys(byRoute)) {
		es := byRoute[name]
		weight := WeightFunc(es)
		a.Routes = append(a.Routes, bandShares(name, es, weight)...)
		for i := range es {
			at := int64(time.Duration((es[i].Time-final[0].Time)*float64(time.Second)) / window)
			if spans[at] == nil {
				spans[at] = &Share{}
			}
			spans[at].add(&es[i], weight(&es[i]))
		}
	}
	for _, at := range slices.Sorted(maps.Keys(spans)) {
		spans[at].divide()
		a.Windows = append(a.Windows, WindowShare{time.Duration(at) * window, *spans[at]})
	}
	return a
}

// size is the work that a request names, in tokens of a prompt.
func (e *Event) size() int { return e.TokensIn + outWeight*e.TokensOut }

// WeightFunc returns the weight of requests of one route, by the sizes of some of them.
func WeightFunc(es []Event) func(*Event) float64 {
	sum := 0
	for i := range es {
		sum += es[i].size()
	}
	mean := float64(sum) / float64(len(es))
	return func(e *Event) float64 {
		if mean == 0 {
			return 1
		}
		return min(mostWeight, leastWeight+(1-leastWeight)*float64(e.size())/mean)
	}
}

// bandShares adds up a route's requests by size; those over their amount, which nobody
// owes, are left out.
func bandShares(route string, es []Event, weight func(*Event) float64) []RouteShare {
	owed := slices.DeleteFunc(slices.Clone(es), func(e Event) bool { return e.Loss() == OverQuota })
	slices.SortStableFunc(owed, func(a, b Event) int { return cmp.Compare(b.size(), a.size()) })
	shares := make(map[Band]*Share)
	for i := range owed {
		b := Others
		switch part := float64(i) / float64(len(owed)); {
		case part < largestPart:
			b = Largest
		case part < largePart:
			b = Large
		}
		if shares[b] == nil {
			shares[b] = &Share{}
		}
		shares[b].add(&owed[i], weight(&owed[i]))
	}
	var out []RouteShare
	for _, b := range Bands {
		if s := shares[b]; s != nil {
			s.divide()
			out = append(out, RouteShare{route, b, *s})
		}
	}
	return out
}

// add counts a request.
func (s *Share) add(e *Event, weight float64) {
	if s.By == nil {
		s.By = make(map[Loss]float64)
	}
	s.Requests++
	s.Weight += weight
	s.By[e.Loss()] += weight
}

// divide turns the sums into parts.
func (s *Share) divide() {
	for l := range s.By {
		s.By[l] /= s.Weight
	}
}
