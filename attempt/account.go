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

// Account is the account of one request; the zero value is a request that was not sent.
type Account struct {
	state State
	ran   bool
	sends int
}

// Send notes that bytes of the request are about to go to an endpoint.
func (a *Account) Send() {
	a.state = Sent
	a.sends++
}

// NotSent takes a Send back: the connection failed before any byte was written.
func (a *Account) NotSent() {
	if a.state == Sent {
		a.state = Unsent
		a.sends--
	}
}

// NotRun notes that the endpoint said that it did not run the request.
func (a *Account) NotRun() {
	if a.state == Sent {
		a.state = Unsent
	}
}

// Answer notes that the endpoint's answer began.
func (a *Account) Answer() {
	if a.state == Sent {
		a.state = Answered
		a.ran = true
	}
}

// Lost notes that the endpoint's answer will not come.
func (a *Account) Lost() {
	if a.state != Unsent {
		a.ran = true
	}
	a.state = Unsent
}

// Sends is the number of endpoints that were sent the request.
func (a *Account) Sends() int { return a.sends }

// MayHaveRun tells whether an endpoint may have run the request, or may yet.
func (a *Account) MayHaveRun() bool { return a.ran || a.state != Unsent }

// Status gives the true final status of a request that is given up. A request
// that may have run gets no promise: 504 past its deadline, else 502.
func (a *Account) Status(late bool) int {
	switch {
	case !a.MayHaveRun():
		return http.StatusServiceUnavailable
	case late:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}
