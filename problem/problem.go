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

// Outcome is the outcome of a request.
type Outcome string

// The outcomes that are reported to callers.
const (
	// Answered means that the whole answer was delivered.
	Answered Outcome = "answered"
	// NotRun means that the request was never dispatched and never will be.
	NotRun Outcome = "not run"
	// Unknown means that the request may have been dispatched and its answer was lost.
	Unknown Outcome = "unknown"
	// Pending means that the request is waiting or running; the caller may ask again.
	Pending Outcome = "pending"
)

// Kind is the machine-readable name of an error.
type Kind string

// The kinds of errors that heathkeel reports.
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

// httpStatus maps kinds to HTTP status codes; a kind that is not listed maps to
// 502.
var httpStatus = map[Kind]int{
	BadRequest: http.StatusBadRequest, BadID: http.StatusBadRequest, MissingID: http.StatusBadRequest,
	BodyTooLarge: http.StatusRequestEntityTooLarge, UnknownWorkspace: http.StatusNotFound,
	UnknownModel: http.StatusNotFound, NoEndpoint: http.StatusServiceUnavailable,
	Overloaded: http.StatusServiceUnavailable, RateLimited: http.StatusTooManyRequests,
	RetryBudget: http.StatusTooManyRequests, DeadlineTooNear: http.StatusServiceUnavailable,
	ExpiredID: http.StatusConflict, ClosedID: http.StatusConflict, WitnessLost: http.StatusServiceUnavailable,
	NotReady: http.StatusServiceUnavailable,
	Canceled: 499, InProgress: http.StatusConflict, AlreadyRun: http.StatusConflict,
}

// Problem is an error with the outcome of the request and a remedy. It is also
// the JSON body of a refusal.
type Problem struct {
	// Kind is the machine-readable name of the error.
	Kind Kind `json:"kind"`
	// Outcome is the outcome of the request.
	Outcome Outcome `json:"outcome"`
	// Message describes the error.
	Message string `json:"message"`
	// Remedy says what the caller or operator can do about the error.
	Remedy string `json:"remedy"`
	// RequestID is the ID of the request, if it has one.
	RequestID string `json:"request_id,omitempty"`
	// Endpoint is the endpoint that may have run the request, if any.
	Endpoint string `json:"endpoint,omitempty"`
	// RetryAfterMS is the time to wait before a retry, in milliseconds; 0 means
	// that the caller may retry immediately.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
	// Prefix is a new ID prefix for a resubmission, if there is one.
	Prefix string `json:"prefix,omitempty"`
}

// New returns a problem with the outcome NotRun.
func New(k Kind, remedy, format string, args ...any) *Problem {
	return &Problem{Kind: k, Outcome: NotRun, Message: fmt.Sprintf(format, args...), Remedy: remedy}
}

// Lost returns a problem with the outcome Unknown for a request that may have
// run at an endpoint; endpoint is empty if it is not known which.
func Lost(k Kind, endpoint, remedy, format string, args ...any) *Problem {
	p := New(k, remedy, format, args...)
	p.Outcome = Unknown
	p.Endpoint = endpoint
	return p
}

// WithRetryAfter sets the time to wait before a retry and returns p.
func (p *Problem) WithRetryAfter(d time.Duration) *Problem {
	p.RetryAfterMS = d.Milliseconds()
	return p
}

// Error formats kind, message, outcome and remedy in one line.
func (p *Problem) Error() string {
	return fmt.Sprintf("%s: %s (%s); %s", p.Kind, p.Message, p.Outcome, p.Remedy)
}

// Status returns the HTTP status code of the problem.
func (p *Problem) Status() int {
	if s, ok := httpStatus[p.Kind]; ok {
		return s
	}
	return http.StatusBadGateway
}

// FromError returns the Problem in err's chain. It converts any other error to a
// Problem of kind BadRequest.
func FromError(err error) *Problem {
	var p *Problem
	if errors.As(err, &p) {
		return p
	}
	return New(BadRequest, "correct the request", "%v", err)
}

// OutcomeHeader is the response header that repeats the outcome.
const OutcomeHeader = "Heathkeel-Outcome"

// Write writes p as the complete response.
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
