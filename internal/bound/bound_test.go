// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package bound

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/outcome"
)

// testModel is an engine whose request of 100 prompt and 100 output tokens takes 10 ms of reading
// and 100 steps of 10 ms, of which ten run at once.
var testModel = Model{Slots: 10, Step: 10 * time.Millisecond, PrefillPerMS: 10, FirstTokenDelay: time.Millisecond}

// alike makes n requests that come at a moment.
func alike(n int, at time.Duration, output int, worth float64) []Request {
	out := make([]Request, n)
	for i := range out {
		out[i] = Request{Kind: fmt.Sprint(output), Arrived: at, Objective: 300 * time.Millisecond, Deadline: 10 * time.Second, PromptTokens: 100, OutputTokens: output, GuessedTokens: output, Worth: worth, Earned: worth / 2}
	}
	return out
}

func TestMost(t *testing.T) {
	day := 20 * time.Second
	one := []Engine{{Slowness: 1, To: day}}
	both := append(alike(100, time.Second, 100, 1), alike(100, time.Second, 1000, 1)...)
	cases := []struct {
		name        string
		engines     []Engine
		requests    []Request
		least, most float64
	}{
		{"nothing asked", one, nil, 0, 0},
		{"no engines", nil, alike(3, 0, 100, 1), 0, 0},
		{"room for all", one, alike(5, time.Second, 100, 1), 5, 5},
		// One engine answers 10 such requests in a second; all start in the first 0.3 s, that is in one bin of 0.5 s
		// or the next, and take three bins: 0.5/0.0433 of them at most in each.
		{"more than there is room for", one, alike(100, time.Second, 100, 1), 10, 24},
		{"twice the engines", append(one, one...), alike(100, time.Second, 100, 1), 20, 48},
		{"a slow engine", []Engine{{Slowness: 4, To: day}}, alike(100, time.Second, 100, 1), 2.5, 12},
		{"the short ones first", one, both, 10, 24},
		{"an engine that is gone", []Engine{{Slowness: 1, From: 8 * time.Second, To: day}}, alike(10, time.Second, 100, 1), 0, 0.01},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			d := Day{Model: testModel, Engines: tc.engines, Requests: tc.requests}
			res := d.UpperBound(nil)
			must.Between(t, tc.least-1e-9, res.Bound, tc.most+1e-9)
			must.EqOp(t, float64(len(tc.requests)), res.Worth)
		})
	}
}

// TestMostIsABound holds the bound against a schedule that is surely possible: each engine answers one
// request after the other, ten at a time, the shortest first.
func TestMostIsABound(t *testing.T) {
	for seed := range 5 {
		var requests []Request
		for i := range 200 {
			requests = append(requests, alike(1, time.Duration(i)*20*time.Millisecond, 20+(i*7+seed*13)%180, 1)...)
		}
		d := Day{Model: testModel, Engines: []Engine{{Slowness: 1, To: 30 * time.Second}, {Slowness: 2, To: 30 * time.Second}}, Requests: requests}
		earned := schedule(&d)
		res := d.UpperBound(nil)
		must.GreaterEq(t, earned, res.Bound)
		must.Less(t, float64(len(requests)), res.Bound)
	}
}

// schedule earns what a simple schedule does: each place of each engine takes the next request that it can start
// in time, with all of the engine's prompts read one after the other.
func schedule(d *Day) float64 {
	type place struct {
		e    *Engine
		free time.Duration
	}
	var places []place
	for i := range d.Engines {
		for range d.Model.Slots {
			places = append(places, place{&d.Engines[i], 0})
		}
	}
	earned := 0.0
	for i := range d.Requests {
		r := &d.Requests[i]
		for k := range places {
			p := &places[k]
			start := max(r.Arrived, p.free)
			// A place's share of reading: ten prompts may be read before its own is.
			read := time.Duration(float64(10*d.Model.prefill(r.PromptTokens)) * p.e.Slowness)
			if start+read+d.Model.FirstTokenDelay > r.Arrived+r.Objective {
				continue
			}
			p.free = start + read + time.Duration(float64(d.Model.decode(r.OutputTokens)+10*d.Model.prefill(r.PromptTokens))*p.e.Slowness)
			earned += r.Worth
			break
		}
	}
	return earned
}

// TestCounted holds the bound of some requests alone, and that of lengths as guessed.
func TestCounted(t *testing.T) {
	d := Day{Model: testModel, Engines: []Engine{{Slowness: 1, To: 20 * time.Second}}, Requests: append(alike(100, time.Second, 100, 1), alike(5, time.Second, 50, 2)...)}
	res := d.UpperBound(func(r *Request) bool { return r.Kind == "50" })
	must.InDelta(t, 10, res.Bound, 1e-9)
	must.InDelta(t, 5, res.Earned, 1e-9)
	for i := range d.Requests {
		d.Requests[i].GuessedTokens = d.Requests[i].OutputTokens / 2
	}
	must.EqOp(t, 100, d.WithGuessedLengths().Requests[0].OutputTokens) // the mean of those with its guess
	must.EqOp(t, 100, d.Requests[0].OutputTokens)
}

// testSite has two kinds with the same objective.
var testSite = Site{
	Model: testModel, Slowness: []float64{1, 3}, EventTokens: 5,
	Kinds: []RequestKind{
		{Name: "long", Objective: 300 * time.Millisecond, PauseObjective: 100 * time.Millisecond, Deadline: 10 * time.Second, Worth: 8, LateWorth: 0.8, MeanPromptTokens: 5000},
		{Name: "short", Objective: 300 * time.Millisecond, PauseObjective: 100 * time.Millisecond, Deadline: 10 * time.Second, Worth: 2, LateWorth: 0.2, MeanPromptTokens: 500},
	},
}

// event makes the final event of a try.
func event(at float64, route string, in int, kind outcome.Kind, status int) outcome.Event {
	e := outcome.Event{
		Time: at, ID: fmt.Sprint(at), Workspace: "w", Route: route, Service: "s", Outcome: kind, Status: status, TokensIn: in, TokensOut: 400, TokensGuess: 90,
		ObjectiveMS: 300, PauseObjectiveMS: 100, ElapsedMS: 200, FirstEventMS: 100, LeftMS: 5000, StepUS: 10000,
	}
	if kind == outcome.Served {
		e.Endpoint, e.Events = "e1", 20
	}
	return e
}

func TestNewDay(t *testing.T) {
	late := event(1.5, "a", 5200, outcome.Served, 200)
	slow := event(3, "b", 510, outcome.Served, 200)
	slow.Endpoint, slow.StepUS, slow.LongestPauseMS = "e2", 31000, 150
	other := event(4, "b", 480, outcome.Refused, 429)
	gone := event(5, "b", 470, outcome.CallerGone, 0)
	events := []outcome.Event{
		event(1, "a", 5000, outcome.Served, 200),
		event(1.1, "a", 5200, outcome.Refused, 503), late,
		slow, other, gone,
		event(6, "b", 460, outcome.Refused, 503),
		{Time: 7, Route: "c", Outcome: outcome.Served, Workspace: "w"},   // no engine
		{Time: 8, Outcome: outcome.Refused, Status: 401, TokensIn: 500},  // no workspace
		{Time: 9, Route: "a", Outcome: outcome.SendLost, TokensIn: 5000}, // not final
	}
	d, counts, err := NewDay(&testSite, events)
	must.NoError(t, err)
	must.Eq(t, Counts{Tries: 7, Requests: 6, OverQuota: 1, CallerLeft: 1}, counts)
	must.Len(t, 2, d.Engines)
	must.Len(t, 4, d.Requests)
	must.EqOp(t, "long", d.Requests[0].Kind)
	must.EqOp(t, d.Requests[0].Worth, d.Requests[0].Earned)
	must.EqOp(t, 100, d.Requests[0].OutputTokens)
	must.EqOp(t, d.Requests[1].LateWorth, d.Requests[1].Earned) // came back
	must.EqOp(t, "short", d.Requests[2].Kind)
	must.EqOp(t, d.Requests[2].LateWorth, d.Requests[2].Earned) // a long pause
	must.EqOp(t, 0, d.Requests[3].Earned)
	must.EqOp(t, 90, d.Requests[3].OutputTokens) // as guessed
}

func TestNewDayRefuses(t *testing.T) {
	foreign := event(1, "a", 5000, outcome.Served, 200)
	foreign.ObjectiveMS = 800
	cases := []struct {
		name   string
		events []outcome.Event
		want   error
	}{
		{"nothing", nil, ErrUntraced},
		{"nothing served", []outcome.Event{event(1, "a", 5000, outcome.Refused, 503)}, ErrUntraced},
		{"of another site", []outcome.Event{foreign}, ErrWrongSite},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			_, _, err := NewDay(&testSite, tc.events)
			must.ErrorIs(t, err, tc.want)
		})
	}
}
