// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package sched

import (
	"time"

	"github.com/heathkeel/heathkeel/settings"
)

// Request is what the scheduler decides about. The caller sets the exported
// fields before Submit and leaves the request alone until its end.
type Request struct {
	// ID names the request.
	ID string
	// Settings are the values in force when it arrived.
	Settings *settings.Effective
	// Model is the model asked for; empty for a plain service.
	Model string
	// Blocks are the prompt's cache blocks and PromptTokens its length.
	Blocks       []uint64
	PromptTokens int
	// MaxTokens bounds the answer, in tokens, and LikelyTokens is the caller's guess, or 0.
	MaxTokens, ExpectedTokens int
	// Arrived and Deadline are times since the scheduler's start.
	Arrived, Deadline time.Duration
	// DispatchBy is the latest time to be dispatched, or 0 for none beside Deadline.
	DispatchBy time.Duration
	// Objective is what the request is worth where, or empty.
	Objective Objective
	// Retry says that the caller tried before.
	Retry bool
	// Data is the caller's own.
	Data any

	pool           *pool
	flow           *flow
	cost           float64
	expectedOutput int
	long           bool
	seq            uint64
	heapIndex      int
	waiting        bool
	lastChance     bool    // it has waited as long as it may
	lengthQuantile float64 // the part of its service's requests with a shorter expected answer
	rationExempt   bool    // it is taken whatever its length
	spareOnly      bool    // it is taken only where there is room to spare

	dispatchedTo *endpointState
	dispatchedAt time.Duration
	predicted    time.Duration
	step         time.Duration // of the endpoint at the last dispatch
	load         float64       // there, at the last dispatch
	progressAt   time.Duration
	tokens       int
	avoid        *endpointState
}

// queueDeadline is the time at which a waiting request is given up.
func (r *Request) queueDeadline() time.Duration {
	if r.DispatchBy > 0 {
		return min(r.DispatchBy, r.Deadline)
	}
	return r.Deadline
}

// PredictedFirstToken is the time to the first token that was predicted at the last dispatch.
func (r *Request) PredictedFirstToken() time.Duration { return r.predicted }

// Step is the time of a token at the endpoint of the last dispatch, as it was known then.
func (r *Request) Step() time.Duration { return r.step }

// Load is the number of requests that the endpoint of the last dispatch was taken to have.
func (r *Request) Load() float64 { return r.load }

// rank is the tier's place, 0 the highest, bounded by maxRanks.
func (r *Request) rank() int { return min(max(r.Settings.Rank, 0), maxRanks-1) }

// maxRanks is the largest number of tiers.
const maxRanks = 8

// Verdict says what is to be done with a request.
type Verdict uint8

// The verdicts.
const (
	// Run means dispatch it to Decision.Endpoint.
	Run Verdict = iota
	// Wait means that a later decision follows.
	Wait
	// Refuse means that it is not run; see Decision.Reason.
	Refuse
)

// Reason says why a request was refused.
type Reason string

// The reasons of a refusal.
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
)

// Overload reports whether the reason is a lack of capacity rather than a limit
// that operators set.
func (r Reason) Overload() bool {
	return r == ReasonDeadline || r == ReasonQueueFull || r == ReasonShed || r == ReasonFloor || r == ReasonLength
}

// Decision is the scheduler's word on one request.
type Decision struct {
	// Request is the one decided.
	Request *Request
	// Verdict says what to do.
	Verdict Verdict
	// Endpoint is where to dispatch, with Run.
	Endpoint string
	// ImportFrom is an endpoint whose KV cache of the prompt should be moved
	// to Endpoint first, or empty.
	ImportFrom string
	// Reason and RetryAfter explain a refusal.
	Reason     Reason
	RetryAfter time.Duration
}
