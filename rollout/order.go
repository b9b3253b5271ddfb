// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package rollout

import "time"

// Order is an order of the operators to move a service's traffic to the endpoints of a version.
type Order struct {
	// Service is the service, and Version the version of its endpoints that is to get all requests.
	Service, Version string
	// Duration is the time from the order within which that is to be done.
	Duration time.Duration
	// Revision identifies the order: the number of its write in the store.
	Revision uint64
}

// State is how far a roll-out is.
type State uint8

// States of a roll-out.
const (
	// Running means that both versions may get requests.
	Running State = iota
	// Succeeded means that all requests go to the new version.
	Succeeded
	// RolledBack means that the new version serves worse and gets no requests.
	RolledBack
)

// String returns the name of a state for logs.
func (s State) String() string {
	switch s {
	case Succeeded:
		return "succeeded"
	case RolledBack:
		return "rolled back"
	default:
		return "running"
	}
}

// Limits bound how many requests a version may get before it is known to serve as well as the others.
type Limits struct {
	// Share is the share of a service's requests, from an order to its deadline, that a version which
	// serves worse may get.
	Share float64
}
