// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import (
	"time"

	"github.com/heathkeel/heathkeel/outcome"
	"github.com/heathkeel/heathkeel/quarantine"
)

// tell logs what became of a request, or of a send of it, that did not go well; requests
// that went well are told only where all are traced. Each kind has a budget of its own, so
// that a flood of refusals hides no broken stream.
func (c *call) tell(kind outcome.Kind, status int, why string, after time.Duration) {
	now := c.s.Now()
	if !c.s.Trace && !c.mayTell(kind, now) {
		return
	}
	e := c.event(now)
	e.Outcome, e.Status, e.Why, e.RetryAfterMS = kind, status, why, after.Milliseconds()
	switch kind {
	case outcome.SendLost:
		e.Fingerprint, e.SentMS, e.OtherInFlight = c.fingerprint().String(), (now - c.times.newest).Milliseconds(), c.s.balance.beside(c)
	case outcome.Held:
		e.Fingerprint = c.fingerprint().String()
	}
	c.s.Log.Info(outcome.Message, e.Fields()...)
}

// mayTell takes a line from the budget of a kind, and tells how many lines were dropped.
func (c *call) mayTell(kind outcome.Kind, now time.Duration) bool {
	c.s.mu.Lock()
	budget := c.s.lines[kind]
	if budget == nil {
		budget = &outcome.LineLimiter{}
		c.s.lines[kind] = budget
	}
	dropped, ok := budget.Allow(now)
	c.s.mu.Unlock()
	if !ok {
		c.s.Count.LinesDropped.Add(1)
		return false
	}
	if dropped > 0 {
		c.s.Log.Info("lines dropped", "outcome", kind, "count", dropped)
	}
	return true
}

// fingerprint tells the request from others, and not from later attempts at it. The body must have been read.
func (c *call) fingerprint() quarantine.Fingerprint {
	if c.print != (quarantine.Fingerprint{}) {
		return c.print
	}
	r := quarantine.Request{Method: c.r.Method, Host: c.r.Host, URI: c.uri, Body: c.body}
	if c.workspace != nil {
		r.Workspace = c.workspace.Name
	}
	c.print = r.Fingerprint()
	return c.print
}

// event gives what is known of the request.
func (c *call) event(now time.Duration) outcome.Event {
	e := outcome.Event{
		ID: c.id, Endpoint: c.at.Instance, Sends: c.account.Sends(), Events: c.stream.events,
		ElapsedMS: (now - c.arrived).Milliseconds(), SettingsAgeMS: -1, FirstEventMS: -1, ListAgeMS: -1, ChoiceMS: -1,
		TokensIn: c.tokensIn, TokensOut: c.tokensOut, TokensGuess: c.likely,
		LongestPauseMS: c.times.longest.Milliseconds(),
	}
	if c.times.sent > 0 {
		e.QueuedMS = (c.times.sent - c.arrived).Milliseconds()
	}
	if c.times.newest > 0 {
		e.ListAgeMS, e.ChoiceMS = c.times.listAge.Milliseconds(), (c.times.newest - c.times.chosen).Milliseconds()
	}
	if c.times.first > 0 {
		e.FirstEventMS = (c.times.first - c.arrived).Milliseconds()
	}
	if e.ID == "" {
		e.ID = c.r.Header.Get(c.s.Headers.AttemptID)
	}
	if c.deadline > 0 {
		e.LeftMS = (c.deadline - now).Milliseconds()
	}
	if c.workspace != nil {
		e.Workspace = c.workspace.Name
	}
	if c.route != nil {
		e.Route = c.route.Name
		e.ObjectiveMS, e.PauseObjectiveMS = c.route.Objective.Milliseconds(), c.route.PauseObjective.Milliseconds()
	}
	if c.service != nil {
		e.Service = c.service.Name
	}
	if c.req != nil {
		e.PredictedMS = c.req.PredictedFirstToken().Milliseconds()
		e.StepUS, e.Load = c.req.Step().Microseconds(), c.req.Load()
	}
	if c.table != nil {
		e.Revision = c.table.Revision
	}
	if age, ok := c.s.Settings.Age.At(now); ok {
		e.SettingsAgeMS = age.Milliseconds()
	}
	return e
}
