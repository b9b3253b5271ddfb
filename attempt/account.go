// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package attempt

import "net/http"

// State is what may have become of the newest send of a request.
type State uint8

// The states.
const (
	// Unsent means that no byte of it went to an endpoint that may run it.
	Unsent State = iota
	// Sent means that an endpoint may run it, and has not answered.
	Sent
	// Answered means that an endpoint answered, which means that it ran it.
	Answered
)

// Tracker is the account of one request; the zero value is a request that was not sent.
type Tracker struct {
	state State
	ran   bool
	sends int
}

// MarkSent notes that bytes of the request are about to go to an endpoint.
func (a *Tracker) MarkSent() {
	a.state = Sent
	a.sends++
}

// MarkUnsent takes a Send back: the connection failed before any byte was written.
func (a *Tracker) MarkUnsent() {
	if a.state == Sent {
		a.state = Unsent
		a.sends--
	}
}

// MarkNotRun notes that the endpoint said that it did not run the request.
func (a *Tracker) MarkNotRun() {
	if a.state == Sent {
		a.state = Unsent
	}
}

// MarkAnswered notes that the endpoint's answer began.
func (a *Tracker) MarkAnswered() {
	if a.state == Sent {
		a.state = Answered
		a.ran = true
	}
}

// MarkLost notes that the endpoint's answer will not come.
func (a *Tracker) MarkLost() {
	if a.state != Unsent {
		a.ran = true
	}
	a.state = Unsent
}

// Sends is the number of endpoints that were sent the request.
func (a *Tracker) Sends() int { return a.sends }

// MayHaveRun tells whether an endpoint may have run the request, or may yet.
func (a *Tracker) MayHaveRun() bool { return a.ran || a.state != Unsent }

// FailureStatus gives the true final status of a request that is given up. A request
// that may have run gets no promise: 504 past its deadline, else 502.
func (a *Tracker) FailureStatus(late bool) int {
	switch {
	case !a.MayHaveRun():
		return http.StatusServiceUnavailable
	case late:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}
