// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package sched

import (
	"time"

	"github.com/heathkeel/heathkeel/outlier"
	"github.com/heathkeel/heathkeel/places"
)

// Report is the part of an endpoint's load report that the scheduler uses.
type Report struct {
	// At is when the report was taken, since the scheduler's start.
	At time.Duration
	// Running and Waiting count requests; PrefillTokens counts the prompt tokens not yet computed.
	Running, Waiting, PrefillTokens int
	// Slots is the number of requests that run at once; 0 keeps the declared number.
	Slots int
	// Step is the duration of a step and PrefillPerStep the prompt tokens computed in one.
	Step           time.Duration
	PrefillPerStep int
	// Model is the model that the endpoint holds, or empty.
	Model string
	// Estimated says that the host derived the report itself, so that it is no evidence that the
	// endpoint is reachable.
	Estimated bool
	// AcceptsPrompts says that the endpoint computes prompts: its role is not "decode".
	AcceptsPrompts bool
}

// Endpoint is the declaration of an endpoint as the scheduler uses it.
type Endpoint struct {
	// Name is its name.
	Name string
	// Engine is true for a model engine.
	Engine bool
	// Version is the version of its software.
	Version string
	// Unrecorded says that no answer may begin at the endpoint that callers may resume: its version is not on record yet.
	Unrecorded bool
	// Slots is the number of requests that run at once.
	Slots int
	// Leaving says that the endpoint gets no new requests.
	Leaving bool
	// CrossZone says that the endpoint is in another zone; see Config.CrossZoneCost.
	CrossZone bool
	// Zone is the endpoint's availability zone.
	Zone string
	// Cold limits the requests to the endpoint until it is warm.
	Cold ColdLimit
	// RateLimited says that the endpoint takes no more than Rate requests per second from all hosts
	// together.
	RateLimited bool
	Rate        float64
	// RejectLimited says that the endpoint crashes when it has to reject requests for lack of room.
	RejectLimited bool
}

// grantsOnly reports whether each request to the endpoint needs a grant of the host that owns its
// slots, because it limits the requests of all hosts together.
func (e *Endpoint) grantsOnly() bool { return e.RateLimited || e.RejectLimited }

// loadSample is the load that this host has put on an endpoint at one time.
type loadSample struct {
	at                   time.Duration
	outstanding, prefill int
}

// sampleCount is the number of load samples kept to compare with delayed reports.
const sampleCount = 64

// endpointState is what this host knows of an endpoint. Its own requests are those that this host
// has dispatched.
type endpointState struct {
	Endpoint
	index   int
	present bool

	report    Report
	hasReport bool
	downUntil time.Duration // no new requests until then
	rest      rest
	health    outlier.Record

	ownerReportAt   time.Duration // when the slot owner last reported the requests of other hosts
	unansweredSince time.Duration // start of the requests to the slot owner without an answer, or 0
	lastAskedAt     time.Duration // time of the latest request to the slot owner
	answeredAt      time.Duration // time of the latest answer of the slot owner, or 0
	wants           places.Wants  // sent with the latest request to the slot owner
	requestedAt     time.Duration // when the first request for the slot wanted now was sent, or 0
	vacated         int           // slots that own requests left recently
	vacatedAt       time.Duration // when the latest of them was left
	claims          int           // free slots that this host may take
	claimedAt       time.Duration // when the latest claim was drawn or granted
	rateClaims      bool          // claims were drawn by rate
	own             int           // own requests in flight
	ownLong         int           // the long ones of them
	ownPrefill      [maxRanks]int // prompt tokens of own requests without a first token, by tier
	dispatches      uint64        // number of own dispatches
	lastDispatch    time.Duration // time of the latest of them
	samples         [sampleCount]loadSample
	nextSample      int
	atReport        loadSample // own load when the report was taken
	inflight        []*Request

	others        int // requests of other hosts, from the last report
	othersPrefill int

	stated slowdown // what the endpoint states about its speed

	slowFactor    float64 // observed time over the time that the endpoint reports
	slowUpdatedAt time.Duration
	observations  int // of slowness
	throttled     bool
	meanService   time.Duration // moving average of the time of a request
}

// Defaults for endpoints that have not reported their speed.
const (
	defaultStep    = 10 * time.Millisecond
	defaultPrefill = 512
	// DefaultSlots is the number of slots of an endpoint that declares none.
	DefaultSlots = 8
)

// step returns the duration of a decoding step that the endpoint reports.
func (e *endpointState) step() time.Duration {
	if e.report.Step > 0 {
		return e.report.Step
	}
	return defaultStep
}

// prefillTime returns the time to compute n prompt tokens at the speed that the endpoint reports.
func (e *endpointState) prefillTime(n int) time.Duration {
	per := e.report.PrefillPerStep
	if per <= 0 {
		per = defaultPrefill
	}
	return time.Duration(float64(e.step()) * float64(n) / float64(per))
}

// slots returns the number of requests that run at once.
func (e *endpointState) slots() int {
	switch {
	case e.report.Slots > 0:
		return e.report.Slots
	case e.Slots > 0:
		return e.Slots
	}
	return DefaultSlots
}

// recordLoad stores a sample of the own load.
func (e *endpointState) recordLoad(now time.Duration) {
	prefill := 0
	for _, p := range e.ownPrefill {
		prefill += p
	}
	e.samples[e.nextSample%sampleCount] = loadSample{now, e.own, prefill}
	e.nextSample++
}

// ownLoadAt returns the own load at an earlier time, or the oldest sample kept.
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

// applyReport stores a report and derives the load of other hosts from it.
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

// addRequest records a dispatch.
func (e *endpointState) addRequest(now time.Duration, r *Request) {
	e.health.Begin(now)
	e.own++
	e.dispatches++
	e.lastDispatch = now
	if r.long {
		e.ownLong++
	}
	e.ownPrefill[r.rank()] += r.PromptTokens
	e.inflight = append(e.inflight, r)
	e.noteRestDispatch(r)
	e.recordLoad(now)
}

// finishPrefill records the end of a request's prompt computation.
func (e *endpointState) finishPrefill(now time.Duration, r *Request) {
	e.ownPrefill[r.rank()] -= r.PromptTokens
	e.recordLoad(now)
}

// removeRequest records the end of a request.
func (e *endpointState) removeRequest(now time.Duration, r *Request) {
	e.health.Inconclusive()
	e.noteRestEnd(r)
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

// HasReport reports whether a report of the endpoint has arrived.
func (s *Scheduler) HasReport(name string) bool {
	e := s.byName[name]
	return e != nil && e.hasReport
}
