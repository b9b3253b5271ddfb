// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package problem

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Outcome says what became of a request.
type Outcome string

// The outcomes that a caller can be told.
const (
	// Answered means the whole answer was delivered.
	Answered Outcome = "answered"
	// NotRun means the request was never dispatched and never will be.
	NotRun Outcome = "not run"
	// Unknown means the request may have been dispatched and its answer was lost.
	Unknown Outcome = "unknown"
	// Pending means the request waits or runs; ask again.
	Pending Outcome = "pending"
)

// Kind is the machine-readable name of an error.
type Kind string

// The kinds of error that heathkeel reports.
const (
	BadRequest       Kind = "bad-request"
	BadID            Kind = "bad-id"
	MissingID        Kind = "missing-id"
	BodyTooLarge     Kind = "body-too-large"
	UnknownWorkspace Kind = "unknown-workspace"
	UnknownModel     Kind = "unknown-model"
	NoEndpoint       Kind = "no-endpoint"
	Overloaded       Kind = "overloaded"
	RateLimited      Kind = "rate-limited"
	RetryBudget      Kind = "retry-budget"
	DeadlineTooNear  Kind = "deadline-too-near"
	ExpiredID        Kind = "expired-id"
	ClosedID         Kind = "closed-id"
	WitnessLost      Kind = "witness-lost"
	OwnerLost        Kind = "owner-lost"
	EndpointLost     Kind = "endpoint-lost"
	BadAnswer        Kind = "bad-answer"
	NotReady         Kind = "not-ready"
	Canceled         Kind = "cancelled"
	InProgress       Kind = "in-progress"
	AlreadyRun       Kind = "already-run"
	EndpointRefused  Kind = "endpoint-refused"
)

// statusOf gives the HTTP status of each kind; a kind not listed is 502.
var statusOf = map[Kind]int{
	BadRequest: http.StatusBadRequest, BadID: http.StatusBadRequest, MissingID: http.StatusBadRequest,
	BodyTooLarge: http.StatusRequestEntityTooLarge, UnknownWorkspace: http.StatusNotFound,
	UnknownModel: http.StatusNotFound, NoEndpoint: http.StatusServiceUnavailable,
	Overloaded: http.StatusServiceUnavailable, RateLimited: http.StatusTooManyRequests,
	RetryBudget: http.StatusTooManyRequests, DeadlineTooNear: http.StatusServiceUnavailable,
	ExpiredID: http.StatusConflict, ClosedID: http.StatusConflict, WitnessLost: http.StatusServiceUnavailable,
	NotReady: http.StatusServiceUnavailable,
	Canceled: 499, InProgress: http.StatusConflict, AlreadyRun: http.StatusConflict,
}

// Problem is an error with its outcome and remedy; it is also the JSON body of a refusal.
type Problem struct {
	// Kind is the machine-readable name of the error.
	Kind Kind `json:"kind"`
	// Outcome says what became of the request.
	Outcome Outcome `json:"outcome"`
	// Message says what is wrong.
	Message string `json:"message"`
	// Remedy says what the reader can do about it.
	Remedy string `json:"remedy"`
	// RequestID is the ID of the request, if it had one.
	RequestID string `json:"request_id,omitempty"`
	// Endpoint is the endpoint that may have run the request, if any.
	Endpoint string `json:"endpoint,omitempty"`
	// RetryAfterMS is the time after which a new try makes sense, in milliseconds; 0 means at once.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
	// Prefix is a fresh ID prefix to resubmit under, if there is one.
	Prefix string `json:"prefix,omitempty"`
}

// New returns a problem with the outcome "not run".
func New(k Kind, remedy, format string, args ...any) *Problem {
	return &Problem{Kind: k, Outcome: NotRun, Message: fmt.Sprintf(format, args...), Remedy: remedy}
}

// Lost returns a problem with the outcome "unknown" for a request that may have run at endpoint.
func Lost(k Kind, endpoint, remedy, format string, args ...any) *Problem {
	p := New(k, remedy, format, args...)
	p.Outcome = Unknown
	p.Endpoint = endpoint
	return p
}

// WithRetryAfter sets the time after which to try again and returns p.
func (p *Problem) WithRetryAfter(d time.Duration) *Problem {
	p.RetryAfterMS = d.Milliseconds()
	return p
}

// Error gives kind, message, outcome and remedy in one line.
func (p *Problem) Error() string {
	return fmt.Sprintf("%s: %s (%s); %s", p.Kind, p.Message, p.Outcome, p.Remedy)
}

// Status gives the HTTP status code of the problem.
func (p *Problem) Status() int {
	if s, ok := statusOf[p.Kind]; ok {
		return s
	}
	return http.StatusBadGateway
}

// FromError returns err as a Problem, wrapping an error of another type as BadRequest.
func FromError(err error) *Problem {
	var p *Problem
	if errors.As(err, &p) {
		return p
	}
	return New(BadRequest, "correct the request", "%v", err)
}

// OutcomeHeader names the response header that repeats the outcome.
const OutcomeHeader = "Heathkeel-Outcome"

// Write sends p as the whole response.
func Write(w http.ResponseWriter, p *Problem) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(OutcomeHeader, string(p.Outcome))
	if p.RetryAfterMS > 0 {
		h.Set("Retry-After", strconv.FormatInt((p.RetryAfterMS+999)/1000, 10))
	}
	w.WriteHeader(p.Status())
	_ = json.NewEncoder(w).Encode(p)
}
