// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package sched

import (
	"time"

	"github.com/heathkeel/heathkeel/outlier"
)

// Report is what the scheduler takes from an endpoint's account.
type Report struct {
	// At is when the figures were taken, since the scheduler's start.
	At time.Duration
	// Running and Waiting count requests; PrefillTokens is prompt work not yet done.
	Running, Waiting, PrefillTokens int
	// Slots is the number of requests that run at once; 0 keeps the declared one.
	Slots int
	// Step is the time of a step and PrefillPerStep the prompt tokens in one.
	Step           time.Duration
	PrefillPerStep int
	// Model is the model held, or empty.
	Model string
	// Estimated says that the host worked it out itself: it does not tell that the endpoint is there.
	Estimated bool
	// AcceptsPrompts says that prompts may begin here: the role is not "decode".
	AcceptsPrompts bool
}

// Endpoint is a declared endpoint as the scheduler needs it.
type Endpoint struct {
	// Name identifies it.
	Name string
	// Engine is true for a model engine.
	Engine bool
	// Slots is the number of requests that run at once.
	Slots int
	// Leaving says that it gets no new work.
	Leaving bool
	// CrossZone says that it stands in another zone, which costs; see Config.FarCost.
	CrossZone bool
}

// loadSample is the own load at a time.
type loadSample struct {
	at                   time.Duration
	outstanding, prefill int
}

// sampleCount is the number of own-load samples kept for comparing with lagged reports.
const sampleCount = 64

// endpointState is what this host knows of an endpoint.
type endpointState struct {
	Endpoint
	index   int
	present bool

	report    Report
	hasReport bool
	downUntil time.Duration // it is known to be of no use until then
	health    outlier.Record

	ownerReportAt   time.Duration // when the owner of its places told of other hosts' requests
	unansweredSince time.Duration // since when the owner was asked without an answer, or 0
	lastAskedAt     time.Duration // when it was asked last
	vacated         int           // places that own requests left lately
	vacatedAt       time.Duration // when the last one did
	claims          int           // free places that this host may take
	claimedAt       time.Duration // when the last claim was drawn
	own             int           // own requests there
	ownLong         int           // long ones of them
	ownPrefill      [maxRanks]int // own prompt tokens sent and without first token
	sent            uint64        // own dispatches ever
	samples         [sampleCount]loadSample
	nextSample      int
	atReport        loadSample // own load when the report was taken
	inflight        []*Request

	others        int // requests of others, from the last report
	othersPrefill int

	slowFactor    float64 // observed time over the endpoint's own claim
	slowUpdatedAt time.Duration
	observations  int // number of observations
	throttled     bool
	meanService   time.Duration // mean time of a request there
}

// Fallbacks for endpoints that have not reported their speed.
const (
	defaultStep    = 10 * time.Millisecond
	defaultPrefill = 512
	defaultSlots   = 8
)

// step is the time of a decoding step by the endpoint's own claim.
func (e *endpointState) step() time.Duration {
	if e.report.Step > 0 {
		return e.report.Step
	}
	return defaultStep
}

// prefillTime is the time to compute n prompt tokens by the endpoint's own claim.
func (e *endpointState) prefillTime(n int) time.Duration {
	per := e.report.PrefillPerStep
	if per <= 0 {
		per = defaultPrefill
	}
	return time.Duration(float64(e.step()) * float64(n) / float64(per))
}

// slots is the number of requests that run at once.
func (e *endpointState) slots() int {
	switch {
	case e.report.Slots > 0:
		return e.report.Slots
	case e.Slots > 0:
		return e.Slots
	}
	return defaultSlots
}

// recordLoad keeps a sample of the own load.
func (e *endpointState) recordLoad(now time.Duration) {
	prefill := 0
	for _, p := range e.ownPrefill {
		prefill += p
	}
	e.samples[e.nextSample%sampleCount] = loadSample{now, e.own, prefill}
	e.nextSample++
}

// ownLoadAt returns the own load at an earlier time, as far back as samples go.
func (e *endpointState) ownLoadAt(at time.Duration) loadSample {
	n := min(e.nextSample, sampleCount)
	for i := 1; i <= n; i++ {
		s := e.samples[(e.nextSample-i)%sampleCount]
		if s.at <= at {
			return s
		}
	}
	if n == sampleCount {
		return e.samples[e.nextSample%sampleCount]
	}
	return loadSample{}
}

// applyReport accepts a report and works out what others have there.
func (e *endpointState) applyReport(now time.Duration, rep Report) {
	if e.hasReport && rep.At < e.report.At {
		return
	}
	e.report, e.hasReport = rep, true
	e.atReport = e.ownLoadAt(rep.At)
	if e.ownerReportAt == 0 || now-e.ownerReportAt > ownerReportTTL {
		e.others = max(0, rep.Running+rep.Waiting-e.atReport.outstanding)
	}
	e.othersPrefill = max(0, rep.PrefillTokens-e.atReport.prefill)
	if !rep.Estimated {
		e.downUntil = min(e.downUntil, now)
		e.health.NoteLoadReport()
	}
}

// addRequest counts a dispatch.
func (e *endpointState) addRequest(now time.Duration, r *Request) {
	e.health.Begin(now)
	e.own++
	e.sent++
	if r.long {
		e.ownLong++
	}
	e.ownPrefill[r.rank()] += r.PromptTokens
	e.inflight = append(e.inflight, r)
	e.recordLoad(now)
}

// finishPrefill counts the end of a request's prompt work.
func (e *endpointState) finishPrefill(now time.Duration, r *Request) {
	e.ownPrefill[r.rank()] -= r.PromptTokens
	e.recordLoad(now)
}

// removeRequest counts the end of a request.
func (e *endpointState) removeRequest(now time.Duration, r *Request) {
	e.health.Inconclusive()
	e.own--
	e.vacated++
	e.vacatedAt = now
	if r.long {
		e.ownLong--
	}
	if r.progressAt == 0 {
		e.ownPrefill[r.rank()] -= r.PromptTokens
	}
	for i, q := range e.inflight {
		if q == r {
			last := len(e.inflight) - 1
			e.inflight[i] = e.inflight[last]
			e.inflight[last] = nil
			e.inflight = e.inflight[:last]
			break
		}
	}
	e.recordLoad(now)
}

// HasReport reports whether an endpoint has ever given an account of itself.
func (s *Scheduler) HasReport(name string) bool {
	e := s.byName[name]
	return e != nil && e.hasReport
}
