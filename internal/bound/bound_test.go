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

// testModel is an engine that serves a request of 100 prompt and 100 output tokens with a prefill of
// 10 ms and 100 steps of 10 ms, in which ten requests run at once.
var testModel = Model{Slots: 10, Step: 10 * time.Millisecond, PrefillPerMS: 10, FirstTokenDelay: time.Millisecond}

// equalRequests returns n equal requests that arrive at the same time.
func equalRequests(n int, arrived time.Duration, output int, worth float64) []Request {
	out := make([]Request, n)
	for i := range out {
		out[i] = Request{Kind: fmt.Sprint(output), Arrived: arrived, Objective: 300 * time.Millisecond, Deadline: 10 * time.Second, PromptTokens: 100, OutputTokens: output, GuessedTokens: output, Worth: worth, Earned: worth / 2}
	}
	return out
}

func TestUpperBound(t *testing.T) {
	day := 20 * time.Second
	oneEngine := []Engine{{Slowness: 1, To: day}}
	mixed := append(equalRequests(100, time.Second, 100, 1), equalRequests(100, time.Second, 1000, 1)...)
	cases := []struct {
		name               string
		engines            []Engine
		requests           []Request
		minBound, maxBound float64
	}{
		{"no requests", oneEngine, nil, 0, 0},
		{"no engines", nil, equalRequests(3, 0, 100, 1), 0, 0},
		{"capacity for all", oneEngine, equalRequests(5, time.Second, 100, 1), 5, 5},
		// One engine serves 10 such requests per second. All start in the first 0.3 s, that is in the same bin of
		// 0.5 s or the next, and take three bins, each of which has time for at most 0.5/0.0433 of them.
		{"more than the capacity", oneEngine, equalRequests(100, time.Second, 100, 1), 10, 24},
		{"twice the engines", append(oneEngine, oneEngine...), equalRequests(100, time.Second, 100, 1), 20, 48},
		{"a slow engine", []Engine{{Slowness: 4, To: day}}, equalRequests(100, time.Second, 100, 1), 2.5, 12},
		{"short and long requests", oneEngine, mixed, 10, 24},
		{"an engine that starts too late", []Engine{{Slowness: 1, From: 8 * time.Second, To: day}}, equalRequests(10, time.Second, 100, 1), 0, 0.01},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			d := Day{Model: testModel, Engines: tc.engines, Requests: tc.requests}
			res := d.UpperBound(nil)
			must.Between(t, tc.minBound-1e-9, res.Bound, tc.maxBound+1e-9)
			must.EqOp(t, float64(len(tc.requests)), res.Worth)
		})
	}
}

// TestUpperBoundExceedsFeasibleSchedule checks that the bound is not below what a feasible schedule earns:
// each engine serves ten requests at a time, in order of arrival.
func TestUpperBoundExceedsFeasibleSchedule(t *testing.T) {
	for seed := range 5 {
		var requests []Request
		for i := range 200 {
			requests = append(requests, equalRequests(1, time.Duration(i)*20*time.Millisecond, 20+(i*7+seed*13)%180, 1)...)
		}
		d := Day{Model: testModel, Engines: []Engine{{Slowness: 1, To: 30 * time.Second}, {Slowness: 2, To: 30 * time.Second}}, Requests: requests}
		earned := scheduleEarnings(&d)
		res := d.UpperBound(nil)
		must.GreaterEq(t, earned, res.Bound)
		must.Less(t, float64(len(requests)), res.Bound)
	}
}

// scheduleEarnings returns what a simple schedule earns: each request goes to the first slot that can start it
// in time, where a slot has to wait for the prefill of ten prompts.
func scheduleEarnings(d *Day) float64 {
	type slot struct {
		e    *Engine
		free time.Duration
	}
	var slots []slot
	for i := range d.Engines {
		for range d.Model.Slots {
			slots = append(slots, slot{&d.Engines[i], 0})
		}
	}
	earned := 0.0
	for i := range d.Requests {
		r := &d.Requests[i]
		for k := range slots {
			s := &slots[k]
			start := max(r.Arrived, s.free)
			// The engine's ten slots share its prefill: ten prompts may be read before this one is done.
			prefill := time.Duration(float64(10*d.Model.prefillTime(r.PromptTokens)) * s.e.Slowness)
			if start+prefill+d.Model.FirstTokenDelay > r.Arrived+r.Objective {
				continue
			}
			s.free = start + prefill + time.Duration(float64(d.Model.decodeTime(r.OutputTokens)+10*d.Model.prefillTime(r.PromptTokens))*s.e.Slowness)
			earned += r.Worth
			break
		}
	}
	return earned
}

// TestIncludedRequestsAndGuessedLengths checks the bound of a subset of the requests, and the guessed lengths.
func TestIncludedRequestsAndGuessedLengths(t *testing.T) {
	d := Day{Model: testModel, Engines: []Engine{{Slowness: 1, To: 20 * time.Second}}, Requests: append(equalRequests(100, time.Second, 100, 1), equalRequests(5, time.Second, 50, 2)...)}
	res := d.UpperBound(func(r *Request) bool { return r.Kind == "50" })
	must.InDelta(t, 10, res.Bound, 1e-9)
	must.InDelta(t, 5, res.Earned, 1e-9)
	for i := range d.Requests {
		d.Requests[i].GuessedTokens = d.Requests[i].OutputTokens / 2
	}
	must.EqOp(t, 100, d.WithGuessedLengths().Requests[0].OutputTokens) // twice its guess, which is the ratio over all requests
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

// finalEvent returns the final event of a try.
func finalEvent(at float64, route string, in int, kind outcome.Kind, status int) outcome.Event {
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
	late := finalEvent(1.5, "a", 5200, outcome.Served, 200)
	slow := finalEvent(3, "b", 510, outcome.Served, 200)
	slow.Endpoint, slow.StepUS, slow.LongestPauseMS = "e2", 31000, 150
	overQuota := finalEvent(4, "b", 480, outcome.Refused, 429)
	callerGone := finalEvent(5, "b", 470, outcome.CallerGone, 0)
	events := []outcome.Event{
		finalEvent(1, "a", 5000, outcome.Served, 200),
		finalEvent(1.1, "a", 5200, outcome.Refused, 503), late,
		slow, overQuota, callerGone,
		finalEvent(6, "b", 460, outcome.Refused, 503),
		{Time: 7, Route: "c", Outcome: outcome.Served, Workspace: "w"},   // not from an engine
		{Time: 8, Outcome: outcome.Refused, Status: 401, TokensIn: 500},  // without a workspace
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
	must.EqOp(t, d.Requests[1].LateWorth, d.Requests[1].Earned) // served on the second try, after the objective
	must.EqOp(t, "short", d.Requests[2].Kind)
	must.EqOp(t, d.Requests[2].LateWorth, d.Requests[2].Earned) // with a pause above the objective
	must.EqOp(t, 0, d.Requests[3].Earned)
	must.EqOp(t, 90, d.Requests[3].OutputTokens) // as guessed
}

func TestNewDayRejectsLogs(t *testing.T) {
	wrongSite := finalEvent(1, "a", 5000, outcome.Served, 200)
	wrongSite.ObjectiveMS = 800
	cases := []struct {
		name   string
		events []outcome.Event
		want   error
	}{
		{"nothing", nil, ErrUntraced},
		{"no request served", []outcome.Event{finalEvent(1, "a", 5000, outcome.Refused, 503)}, ErrUntraced},
		{"wrong site", []outcome.Event{wrongSite}, ErrWrongSite},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			_, _, err := NewDay(&testSite, tc.events)
			must.ErrorIs(t, err, tc.want)
		})
	}
}
