// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package sched

import (
	"time"

	"github.com/heathkeel/heathkeel/settings"
)

// Request is a request to be decided. The caller sets the exported fields before Submit and must
// not change them until the request has ended.
type Request struct {
	// ID identifies the request.
	ID string
	// Settings are the values in force when it arrived.
	Settings *settings.Effective
	// Model is the requested model; empty for a plain service.
	Model string
	// Version is the version of the endpoints' software that has to serve it, because that version began its answer; empty means any.
	Version string
	// Resumable says that callers may resume the answer, so that it may not begin at an endpoint whose version is not on record.
	Resumable bool
	// Continues says that the caller has the first part of the answer. The request is not rationed by its length, and does not wait
	// behind others of its tier: what its caller has is worth nothing without the rest.
	Continues bool
	// Blocks are the hashes of the prompt's cache blocks and PromptTokens is its length.
	Blocks       []uint64
	PromptTokens int
	// MaxTokens limits the answer, in tokens, and ExpectedTokens is the caller's estimate, or 0.
	MaxTokens, ExpectedTokens int
	// Arrived and Deadline are times since the scheduler's start.
	Arrived, Deadline time.Duration
	// DispatchBy is the latest time of dispatch; 0 means that only Deadline applies.
	DispatchBy time.Duration
	// Objective holds the latency objectives; the zero value means none.
	Objective Objective
	// HomeOnly says that the request crossed zones before it came to this host.
	HomeOnly bool
	// Avoid holds the names of endpoints to which the next dispatch must not go; nil means none.
	Avoid map[string]bool
	// Retry says that the caller has tried before.
	Retry bool
	// Data is for the caller's use.
	Data any

	pool           *pool
	flow           *flow
	cost           float64
	expectedOutput int
	long           bool
	seq            uint64
	heapIndex      int
	waiting        bool
	lastChance     bool    // it has reached its queue deadline
	lengthQuantile float64 // share of its service's requests with a shorter expected answer
	rationExempt   bool    // rations do not apply to it
	rationDraw     float64 // drawn uniformly from [0, 1); see beyondRation
	longDraw       float64 // drawn uniformly from [0, 1) where slot owners divide slots; see beyondRation
	spareOnly      bool    // only endpoints with spare slots admit it
	estimates      Estimates

	dispatchedTo *endpointState
	dispatchedAt time.Duration
	predicted    time.Duration
	step         time.Duration // of the endpoint at the last dispatch
	load         float64       // of the endpoint at the last dispatch
	progressAt   time.Duration // of the first token, then of the latest observation of speed; 0 before
	tokens       int
	avoid        *endpointState
	crossedTo    string      // the other zone that it was sent to, or empty
	crossReason  CrossReason // of the last dispatch
}

// avoids reports whether the next dispatch must not go to an endpoint.
func (r *Request) avoids(e *endpointState) bool { return e == r.avoid || r.Avoid[e.Name] }

// queueDeadline returns the time until which a request may wait.
func (r *Request) queueDeadline() time.Duration {
	if r.DispatchBy > 0 {
		return min(r.DispatchBy, r.Deadline)
	}
	return r.Deadline
}

// PredictedFirstToken returns the time to the first token predicted at the last dispatch.
func (r *Request) PredictedFirstToken() time.Duration { return r.predicted }

// Step returns the time per token at the endpoint of the last dispatch, as known then.
func (r *Request) Step() time.Duration { return r.step }

// CrossReason returns why the request was sent to another zone at the last dispatch, or CrossNone.
func (r *Request) CrossReason() CrossReason { return r.crossReason }

// Load returns the estimated number of requests at the endpoint at the last dispatch.
func (r *Request) Load() float64 { return r.load }

// Estimates are what a request's refusal for its length or its deadline was decided by.
type Estimates struct {
	// LengthRank is the share of its service's recent requests with a shorter expected answer, 0 if it has no expected length, and
	// Admitted the share of them that its tier's ration admitted.
	LengthRank, Admitted float64
	// Wait is the estimated wait for a slot, and Completion the time to the end of the answer at the fastest endpoint if it were idle.
	Wait, Completion time.Duration
}

// Estimates returns the estimates as of the request's arrival.
func (r *Request) Estimates() Estimates { return r.estimates }

// rank returns the rank of the tier, 0 the highest, less than maxRanks.
func (r *Request) rank() int { return min(max(r.Settings.Rank, 0), maxRanks-1) }

// maxRanks is the largest number of tiers.
const maxRanks = 8

// Verdict is the kind of a decision.
type Verdict uint8

// Verdicts of a Decision.
const (
	// Run means that the request is to be dispatched to Decision.Endpoint.
	Run Verdict = iota
	// Wait means that a later decision follows.
	Wait
	// Refuse means that the request is not run; see Decision.Reason.
	Refuse
)

// Reason is the reason of a refusal.
type Reason string

// Reasons of a refusal.
const (
	ReasonNone        Reason = ""
	ReasonNoEndpoint  Reason = "no endpoint"
	ReasonDeadline    Reason = "deadline cannot be met"
	ReasonQueueFull   Reason = "queue full"
	ReasonShed        Reason = "shed for a higher tier"
	ReasonFloor       Reason = "tier is being shed"
	ReasonRate        Reason = "rate limit"
	ReasonRetryBudget Reason = "retry budget"
	ReasonLength      Reason = "long answer while places are short"
	ReasonRest        Reason = "all endpoints asked for rest"
)

// LacksRoom reports whether a request was refused because others use what it needs, so that it may get that later.
func (r Reason) LacksRoom() bool {
	switch r {
	case ReasonDeadline, ReasonQueueFull, ReasonShed, ReasonFloor, ReasonRate, ReasonLength:
		return true
	}
	return false
}

// Overload reports whether the reason is a lack of capacity rather than a limit set by operators.
func (r Reason) Overload() bool {
	return r == ReasonDeadline || r == ReasonQueueFull || r == ReasonShed || r == ReasonFloor || r == ReasonLength
}

// Decision is the scheduler's decision on a request.
type Decision struct {
	// Request is the request decided on.
	Request *Request
	// Verdict says what is to be done.
	Verdict Verdict
	// Endpoint is the endpoint to dispatch to, for Run.
	Endpoint string
	// ImportFrom is an endpoint whose KV cache of the prompt is to be transferred to Endpoint
	// first, or empty.
	ImportFrom string
	// Reason and RetryAfter explain a refusal.
	Reason     Reason
	RetryAfter time.Duration
}
