// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package router

// Stage is a point on a request's way through a host.
type Stage string

// The stages, in the order in which a request passes them.
const (
	// StageAccepted: the owner has made its record.
	StageAccepted Stage = "accepted"
	// StageWitnessed: the witness has noted the ID and not answered yet.
	StageWitnessed Stage = "witnessed"
	// StageRecorded: the owner has the witness's acknowledgement.
	StageRecorded Stage = "recorded"
	// StageDispatched: the owner has the right to send and has not sent yet.
	StageDispatched Stage = "dispatched"
	// StageSent: the endpoint has begun its answer.
	StageSent Stage = "sent"
)

// trace tells the observer, if there is one.
func (r *Router) trace(s Stage, id string) {
	if r.Trace != nil {
		r.Trace(s, id)
	}
}
