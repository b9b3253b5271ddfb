// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import (
	"strings"
	"time"

	"github.com/heathkeel/heathkeel/feed"
	"github.com/heathkeel/heathkeel/outcome"
	"github.com/heathkeel/heathkeel/quarantine"
)

// logOutcome logs the outcome of a request, or of one of its sends, that did not succeed; successful requests are logged only with
// Trace. Each kind has its own limit on log lines, so that a flood of refusals does not hide a broken stream.
func (c *call) logOutcome(kind outcome.Kind, status int, why string, retryAfter time.Duration) {
	now := c.s.Now()
	if !c.s.Trace && !c.allowLine(kind, now) {
		return
	}
	e := c.outcomeEvent(now)
	e.Outcome, e.Status, e.Why, e.RetryAfterMS = kind, status, why, retryAfter.Milliseconds()
	switch kind {
	case outcome.SendLost:
		e.Fingerprint, e.SentMS, e.OtherInFlight = c.fingerprint().String(), (now - c.timings.lastSent).Milliseconds(), c.s.balance.concurrent(c)
		e.Version, e.Parts, e.SilentMS = c.endpoint.Version, c.loggedParts(), c.lost.silence.Milliseconds()
	case outcome.Truncated:
		e.SilentMS = c.lost.silence.Milliseconds()
	case outcome.Continued:
		e.Version, e.Resumes, e.LastEvent, e.Origin = c.endpoint.Version, c.resumes(), c.lastEvent(), string(c.stream.source)
	case outcome.Refused:
		e.Resumes, e.LastEvent, e.Origin = c.resumes(), c.lastEvent(), string(c.stream.source)
	case outcome.Held:
		e.Fingerprint = c.fingerprint().String()
	}
	if kind == outcome.NotRun || kind == outcome.SendLost {
		e.Conn, e.ConnRequests, e.AnsweredUS = c.connNumber, c.connRequests, c.timings.answered.Microseconds()
	}
	c.s.Log.Info(outcome.Message, e.Fields()...)
}

// allowLine reports whether a line of a kind may be logged now. If lines of that kind were dropped before, it logs their number first.
func (c *call) allowLine(kind outcome.Kind, now time.Duration) bool {
	c.s.mu.Lock()
	limiter := c.s.lineLimiters[kind]
	if limiter == nil {
		limiter = &outcome.LineLimiter{}
		c.s.lineLimiters[kind] = limiter
	}
	dropped, ok := limiter.Allow(now)
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

// fingerprint returns the request's fingerprint, which differs from those of other requests and is the same for later attempts at this
// one. The body must have been read.
func (c *call) fingerprint() quarantine.Fingerprint {
	if c.cachedFingerprint != (quarantine.Fingerprint{}) {
		return c.cachedFingerprint
	}
	r := quarantine.Request{Method: c.r.Method, Host: c.r.Host, URI: c.uri, Body: c.body}
	if c.workspace != nil {
		r.Workspace = c.workspace.Name
	}
	c.cachedFingerprint = r.Fingerprint()
	return c.cachedFingerprint
}

// maxLoggedParts limits the bytes of the prompt's parts in a log line.
const maxLoggedParts = 200

// loggedParts returns the parts of the prompt but the last, for a log line.
func (c *call) loggedParts() string {
	parts := c.r.Header.Get(c.s.Headers.PromptParts)
	shared := parts[:max(0, strings.LastIndexByte(parts, ','))]
	return shared[:min(len(shared), maxLoggedParts)]
}

// outcomeEvent returns what is known of the request, for its log line.
func (c *call) outcomeEvent(now time.Duration) outcome.Event {
	e := outcome.Event{
		ID: c.id, Endpoint: c.endpoint.Instance, Sends: c.tracker.Sends(), Events: c.stream.events,
		ElapsedMS: (now - c.arrived).Milliseconds(), SettingsAgeMS: -1, FirstEventMS: -1, ListAgeMS: -1, ChoiceMS: -1,
		TokensIn: c.tokensIn, TokensOut: c.tokensOut, TokensGuess: c.lengthHint,
		LongestPauseMS: c.timings.longestPause.Milliseconds(),
	}
	e.RelayedBy, e.RelayedTo = c.relayed.from, c.relayed.to
	if c.timings.firstSent > 0 {
		e.QueuedMS = (c.timings.firstSent - c.arrived).Milliseconds()
	}
	if c.timings.lastSent > 0 {
		e.ListAgeMS, e.ChoiceMS = c.timings.listAge.Milliseconds(), (c.timings.lastSent - c.timings.chosen).Milliseconds()
	}
	if c.timings.firstWritten > 0 {
		e.FirstEventMS = (c.timings.firstWritten - c.arrived).Milliseconds()
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
		estimates := c.req.Estimates()
		e.LengthRank, e.Admitted = estimates.LengthRank, estimates.Admitted
		e.EstimatedWaitMS, e.EstimatedEndMS = estimates.Wait.Milliseconds(), estimates.Completion.Milliseconds()
	}
	if c.table != nil {
		_, e.Revision = feed.SplitEra(c.table.Revision)
		e.SettingsAgeMS = c.timings.settingsAge.Milliseconds()
	}
	return e
}
