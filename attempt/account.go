// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package attempt

import "net/http"

// State is the state of the newest send of a request.
type State uint8

// States of a send.
const (
	// Unsent means that no endpoint that may run the request got a byte of it.
	Unsent State = iota
	// Sent means that an endpoint may run the request and has not answered.
	Sent
	// Answered means that an endpoint began to answer, and so has run the request.
	Answered
)

// Tracker tracks the sends of one request; the zero value is a request that was not sent.
type Tracker struct {
	state State
	ran   bool
	sends int
}

// MarkSent records that bytes of the request are about to go to an endpoint.
func (t *Tracker) MarkSent() {
	t.state = Sent
	t.sends++
}

// MarkUnsent takes a MarkSent back: the connection failed before any byte was written.
func (t *Tracker) MarkUnsent() {
	if t.state == Sent {
		t.state = Unsent
		t.sends--
	}
}

// MarkHedged records a further send that began while the newest one had no complete response, and that brought none itself.
func (t *Tracker) MarkHedged() {
	t.sends++
	t.ran = true
}

// MarkNotRun records that the endpoint answered that it did not run the request.
func (t *Tracker) MarkNotRun() {
	if t.state == Sent {
		t.state = Unsent
	}
}

// MarkAnswered records that the endpoint's response began.
func (t *Tracker) MarkAnswered() {
	if t.state == Sent {
		t.state = Answered
		t.ran = true
	}
}

// MarkLost records that the endpoint's response will not come, or not completely.
func (t *Tracker) MarkLost() {
	if t.state != Unsent {
		t.ran = true
	}
	t.state = Unsent
}

// Sends returns the number of endpoints that were sent the request.
func (t *Tracker) Sends() int { return t.sends }

// MayHaveRun reports whether an endpoint may have run the request, or may still run it.
func (t *Tracker) MayHaveRun() bool { return t.ran || t.state != Unsent }

// FailureStatus returns the final HTTP status of a request that is given up: 503 only if no endpoint can have run it; otherwise 504
// past its deadline, else 502, which do not claim that it did not run.
func (t *Tracker) FailureStatus(late bool) int {
	switch {
	case !t.MayHaveRun():
		return http.StatusServiceUnavailable
	case late:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}
