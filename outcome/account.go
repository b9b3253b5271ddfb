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

// Parameters of a request's weight, as the users define it: a request counts in
// proportion to its size relative to the mean of its route, plus a fixed part, so that
// small requests count too.
const (
	// outputTokenWeight is the weight of a token of the answer, in tokens of the prompt.
	outputTokenWeight = 10
	// minWeight is the part of the weight that does not depend on the size.
	minWeight = 0.3
	// maxWeight is the maximum weight.
	maxWeight = 4
)

// Band is a class of a route's requests by size.
type Band string

// The bands: the largest tenth, the next fifth and all others.
const (
	Largest Band = "largest tenth"
	Large   Band = "fifth below"
	Others  Band = "others"
)

// Bands lists all bands, the largest first.
var Bands = []Band{Largest, Large, Others}

// The shares of a route's requests in band Largest, and in Largest and Large together.
const (
	largestShare    = 0.1
	upperBandsShare = 0.3
)

// Share divides the weight of a group of requests by their losses.
type Share struct {
	// Requests is the number of the requests and Weight the sum of their weights.
	Requests int
	Weight   float64
	// By is the share of Weight with each loss, 0 to 1.
	By map[Loss]float64
}

// RouteShare is the Share of the requests of one route and size.
type RouteShare struct {
	// Route is the name of the route and Band the size.
	Route string
	Band  Band
	Share
}

// WindowShare is the Share of the requests that ended in one window of time.
type WindowShare struct {
	// From is the start of the window, as the time since the first event.
	From time.Duration
	Share
}

// LossReport divides the losses of requests by route and size, and by time.
type LossReport struct {
	// Routes are sorted by route, then by size, the largest first.
	Routes []RouteShare
	// Windows are sorted by time; windows without requests are left out.
	Windows []WindowShare
}

// NewLossReport sums up the final events of requests in windows of the given length. The
// hosts must have traced all requests, since otherwise the requests that succeeded are
// missing. A caller's attempts under new IDs count separately.
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
	var report LossReport
	windows := make(map[int64]*Share)
	for _, route := range slices.Sorted(maps.Keys(byRoute)) {
		routeEvents := byRoute[route]
		weight := WeightFunc(routeEvents)
		report.Routes = append(report.Routes, bandShares(route, routeEvents, weight)...)
		for i := range routeEvents {
			index := int64(time.Duration((routeEvents[i].Time-final[0].Time)*float64(time.Second)) / window)
			if windows[index] == nil {
				windows[index] = &Share{}
			}
			windows[index].add(&routeEvents[i], weight(&routeEvents[i]))
		}
	}
	for _, index := range slices.Sorted(maps.Keys(windows)) {
		windows[index].normalize()
		report.Windows = append(report.Windows, WindowShare{time.Duration(index) * window, *windows[index]})
	}
	return report
}

// size returns the work that the caller announced for a request, in tokens of the prompt.
func (e *Event) size() int { return e.TokensIn + outputTokenWeight*e.TokensOut }

// WeightFunc returns a function that weighs the requests of one route by their sizes,
// relative to the mean size of the given events.
func WeightFunc(events []Event) func(*Event) float64 {
	sum := 0
	for i := range events {
		sum += events[i].size()
	}
	mean := float64(sum) / float64(len(events))
	return func(e *Event) float64 {
		if mean == 0 {
			return 1
		}
		return min(maxWeight, minWeight+(1-minWeight)*float64(e.size())/mean)
	}
}

// bandShares sums up a route's requests by size. It leaves out the requests over their
// workspace's quota, since the service owes no answer to them.
func bandShares(route string, events []Event, weight func(*Event) float64) []RouteShare {
	counted := slices.DeleteFunc(slices.Clone(events), func(e Event) bool { return e.Loss() == OverQuota })
	slices.SortStableFunc(counted, func(a, b Event) int { return cmp.Compare(b.size(), a.size()) })
	shares := make(map[Band]*Share)
	for i := range counted {
		b := Others
		switch rank := float64(i) / float64(len(counted)); {
		case rank < largestShare:
			b = Largest
		case rank < upperBandsShare:
			b = Large
		}
		if shares[b] == nil {
			shares[b] = &Share{}
		}
		shares[b].add(&counted[i], weight(&counted[i]))
	}
	var out []RouteShare
	for _, b := range Bands {
		if s := shares[b]; s != nil {
			s.normalize()
			out = append(out, RouteShare{route, b, *s})
		}
	}
	return out
}

// add counts a request with its weight.
func (s *Share) add(e *Event, weight float64) {
	if s.By == nil {
		s.By = make(map[Loss]float64)
	}
	s.Requests++
	s.Weight += weight
	s.By[e.Loss()] += weight
}

// normalize turns the sums of weights into shares.
func (s *Share) normalize() {
	for l := range s.By {
		s.By[l] /= s.Weight
	}
}
