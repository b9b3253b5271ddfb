// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package once

import "fmt"

// State is the state of a request at its owner.
type State uint8

// The states of a request at its owner. An endpoint may have received the
// request only in the states Dispatched, Answered and Lost.
const (
	// Waiting means that the request is accepted and not yet bound to an endpoint.
	Waiting State = iota
	// Recording means that the witness was asked to record the request.
	Recording
	// Recorded means that the witness acknowledged the record.
	Recorded
	// Dispatched means that the first byte may have been sent to the endpoint.
	Dispatched
	// Answered means that the whole answer was received.
	Answered
	// Lost means that the request was dispatched and its answer was lost.
	Lost
	// Refused means that the request was not dispatched and never will be.
	Refused
)

// String returns the name of the state.
func (s State) String() string {
	return [...]string{"waiting", "recording", "recorded", "dispatched", "answered", "lost", "refused"}[s]
}

// Final reports whether the state is terminal.
func (s State) Final() bool { return s >= Answered }

// Record holds the state of one request at its owner. Only Owner writes its fields.
type Record struct {
	// ID is the request's ID.
	ID ID
	// NeedsWitness is true if the witness must acknowledge the record before the
	// request is dispatched. It is true whenever the ID names a witness, because the
	// witness reports "not run" for every ID that it has no record of.
	NeedsWitness bool
	// State is the current state.
	State State
	// Endpoint is the endpoint to which the request was or will be dispatched.
	Endpoint string
}

// Verdict is the owner's answer to an ID that a caller presents.
type Verdict uint8

// The verdicts of Accept and Query.
const (
	// New means that this call accepted the request.
	New Verdict = iota
	// Known means that the ID already has a record.
	Known
	// NotOwner means that the ID names another incarnation.
	NotOwner
	// Expired means that the ID's generation is no longer kept: the request will
	// not run now, and whether it ran before is unknown.
	Expired
	// Full means that the record limit is reached: the request was never
	// dispatched and never will be.
	Full
	// Forged means that no address answer can have issued the prefix.
	Forged
)

// Owner holds the records of the requests that one incarnation may dispatch.
type Owner struct {
	self    Incarnation
	records window[*Record]
}

// NewOwner returns the owner of an incarnation. It keeps at most
// maxGenerations generations and maxRecords records; 0 means
// DefaultGenerations and DefaultMaxRecords.
func NewOwner(self Incarnation, maxGenerations, maxRecords int) *Owner {
	return &Owner{self: self, records: newWindow[*Record](maxGenerations, maxRecords)}
}

// Generation returns the current generation, which is written into new prefixes.
func (o *Owner) Generation() Generation { return o.records.current }

// Size returns the number of records held.
func (o *Owner) Size() int { return o.records.size }

// Advance starts a new generation and deletes the records of expired
// generations that are in a final state.
func (o *Owner) Advance() {
	o.records.advance(func(r *Record) bool { return !r.State.Final() })
}

// lookup returns the record of id with Known. Without a record it returns New
// if a record may be created, and otherwise the reason why not.
func (o *Owner) lookup(id ID) (*Record, Verdict) {
	if id.Owner != o.self {
		return nil, NotOwner
	}
	if r, ok := o.records.find(id.OwnerGeneration, id.String()); ok {
		return r, Known
	}
	switch o.records.stateOf(id.OwnerGeneration) {
	case generationFuture:
		return nil, Forged
	case generationExpired:
		return nil, Expired
	case generationSealed:
		// Seal the generation so that the refusal stays true after records are
		// deleted and there is room again.
		o.records.seal()
		return nil, Full
	}
	return nil, New
}

// Accept creates the record of a request. If the verdict is New, the record is
// in state Waiting and the caller of Accept must bring it to a final state. If
// the verdict is Known, the record is that of an earlier attempt.
func (o *Owner) Accept(id ID) (*Record, Verdict) {
	r, v := o.lookup(id)
	if v != New {
		return r, v
	}
	r = &Record{ID: id, NeedsWitness: id.Witness != 0}
	o.records.put(id.OwnerGeneration, id.String(), r)
	return r, New
}

// Query returns the record of a request. If the request has not arrived, Query
// creates a record in state Refused, so that the answer "not run" stays true.
func (o *Owner) Query(id ID) (*Record, Verdict) {
	r, v := o.lookup(id)
	if v != New {
		return r, v
	}
	r = &Record{ID: id, State: Refused}
	o.records.put(id.OwnerGeneration, id.String(), r)
	return r, Known
}

// newStateError returns the error of a step that the record's state does not allow.
func newStateError(step string, r *Record) error {
	return fmt.Errorf("once: cannot %s request %s in state %s; this is a bug in the program", step, r.ID, r.State)
}

// BeginRecord binds a waiting request to an endpoint and returns the message to
// send to the witness. It may be called again until the request is dispatched.
func (o *Owner) BeginRecord(r *Record, endpoint string) (RecordRequest, error) {
	if r.State > Recorded || !r.NeedsWitness {
		return RecordRequest{}, newStateError("record", r)
	}
	r.State = Recording
	r.Endpoint = endpoint
	return RecordRequest{ID: r.ID, Endpoint: endpoint}, nil
}

// Acknowledge applies the witness's answer. Late, duplicate and unexpected
// answers have no effect.
func (o *Owner) Acknowledge(r *Record, a Ack) {
	if r.State != Recording {
		return
	}
	if a == AckRecorded {
		r.State = Recorded
		return
	}
	r.State = Refused
}

// Dispatch grants the right to send the request to an endpoint. For each ID it
// returns nil at most once, unless Retract takes the dispatch back.
func (o *Owner) Dispatch(r *Record, endpoint string) error {
	want := Waiting
	if r.NeedsWitness {
		want = Recorded
	}
	if r.State != want {
		return newStateError("dispatch", r)
	}
	r.State = Dispatched
	r.Endpoint = endpoint
	return nil
}

// Retract undoes a dispatch of which no byte was sent, for example because the
// connection was refused.
func (o *Owner) Retract(r *Record) error {
	if r.State != Dispatched {
		return newStateError("retract", r)
	}
	r.State = Waiting
	if r.NeedsWitness {
		r.State = Recorded
	}
	return nil
}

// Finish ends a dispatched request in state Answered or Lost.
func (o *Owner) Finish(r *Record, answered bool) error {
	if r.State != Dispatched {
		return newStateError("finish", r)
	}
	r.State = Lost
	if answered {
		r.State = Answered
	}
	return nil
}

// Refuse ends a request that was not dispatched. The request never runs
// afterwards, so "not run" is true.
func (o *Owner) Refuse(r *Record) error {
	if r.State >= Dispatched && r.State != Refused {
		return newStateError("refuse", r)
	}
	r.State = Refused
	return nil
}
