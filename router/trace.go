// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package router

// Stage is a point in the processing of a request.
type Stage string

// The stages, in the order in which a request reaches them.
const (
	// StageAccepted means that the owner has created the record.
	StageAccepted Stage = "accepted"
	// StageWitnessed means that the witness has processed the ID and not yet
	// answered.
	StageWitnessed Stage = "witnessed"
	// StageRecorded means that the owner has the witness's acknowledgement.
	StageRecorded Stage = "recorded"
	// StageDispatched means that the owner has granted the dispatch and nothing is
	// sent yet.
	StageDispatched Stage = "dispatched"
	// StageSent means that the endpoint has started its answer.
	StageSent Stage = "sent"
)

// trace calls Trace, if it is set.
func (r *Router) trace(s Stage, id string) {
	if r.Trace != nil {
		r.Trace(s, id)
	}
}
