// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package once

import "fmt"

// State is the state of a request at its owner.
type State uint8

// The states of a request at its owner. Only Dispatched and what follows it
// mean that an endpoint may have seen the request.
const (
	// Waiting means accepted and not yet bound to an endpoint.
	Waiting State = iota
	// Recording means that the witness was asked to record it.
	Recording
	// Recorded means that the witness has acknowledged it.
	Recorded
	// Dispatched means that the first byte may have gone to the endpoint.
	Dispatched
	// Answered means that the whole answer came back.
	Answered
	// Lost means dispatched, with the answer lost.
	Lost
	// Refused means never dispatched, and never will be.
	Refused
)

// String names the state.
func (s State) String() string {
	return [...]string{"waiting", "recording", "recorded", "dispatched", "answered", "lost", "refused"}[s]
}

// Final reports whether the state never changes again.
func (s State) Final() bool { return s >= Answered }

// Record is one request at its owner. Its fields are written by Owner only.
type Record struct {
	// ID is the request's ID.
	ID ID
	// NeedsWitness says that the witness must acknowledge before a dispatch: always,
	// if the ID names one, since the witness says "not run" of what it has no
	// record of.
	NeedsWitness bool
	// State is the state reached.
	State State
	// Endpoint is where it was or will be dispatched.
	Endpoint string
}

// Verdict is the owner's answer to an ID that a caller brings.
type Verdict uint8

// The verdicts of Accept and Query.
const (
	// New means that the request was accepted now.
	New Verdict = iota
	// Known means that it was accepted before; see its record.
	Known
	// NotOwner means that the ID names another incarnation.
	NotOwner
	// Expired means that its generation is no longer kept: it will not run
	// now, and whether it ran is not known.
	Expired
	// Full means that it was never dispatched and never will be, for lack of memory.
	Full
	// Forged means that no address answer can have given the prefix.
	Forged
)

// Owner holds the requests that one incarnation may dispatch.
type Owner struct {
	self    Incarnation
	records window[*Record]
}

// NewOwner returns the owner of an incarnation that keeps the given number of
// generations and records; 0 means DefaultKeep and DefaultMaxRecords.
func NewOwner(self Incarnation, keep, limit int) *Owner {
	return &Owner{self: self, records: newWindow[*Record](keep, limit)}
}

// Generation returns the current generation, which new prefixes carry.
func (o *Owner) Generation() Generation { return o.records.current }

// Size returns the number of records held.
func (o *Owner) Size() int { return o.records.size }

// Advance starts a new generation and forgets final records of old ones.
func (o *Owner) Advance() {
	o.records.advance(func(r *Record) bool { return !r.State.Final() })
}

// look finds a record or says why there is none and none may be made.
func (o *Owner) look(id ID) (*Record, Verdict) {
	if id.Owner != o.self {
		return nil, NotOwner
	}
	if r, ok := o.records.find(id.OwnerGeneration, id.String()); ok {
		return r, Known
	}
	switch o.records.where(id.OwnerGeneration) {
	case placeFuture:
		return nil, Forged
	case placeExpired:
		return nil, Expired
	case placeSealed:
		// A refusal must stay true after room is found again.
		o.records.seal()
		return nil, Full
	}
	return nil, New
}

// Accept takes a request that a caller brings. With New the record is in state
// Waiting and the caller of Accept must bring it to a final state. With Known the
// record is the one of the earlier try.
func (o *Owner) Accept(id ID) (*Record, Verdict) {
	r, v := o.look(id)
	if v != New {
		return r, v
	}
	r = &Record{ID: id, NeedsWitness: id.Witness != 0}
	o.records.put(id.OwnerGeneration, id.String(), r)
	return r, New
}

// Query tells what became of a request. An ID that never arrived is refused
// from now on, so that the answer "not run" stays true.
func (o *Owner) Query(id ID) (*Record, Verdict) {
	r, v := o.look(id)
	if v != New {
		return r, v
	}
	r = &Record{ID: id, State: Refused}
	o.records.put(id.OwnerGeneration, id.String(), r)
	return r, Known
}

// errState is the error of a step that the record's state does not allow.
func errState(step string, r *Record) error {
	return fmt.Errorf("once: %s of %s in state %s; this is a fault of the program", step, r.ID, r.State)
}

// BeginRecord binds a waiting request to an endpoint and returns what the
// witness must be sent. It may be repeated while nothing was dispatched.
func (o *Owner) BeginRecord(r *Record, endpoint string) (RecordRequest, error) {
	if r.State > Recorded || !r.NeedsWitness {
		return RecordRequest{}, errState("record", r)
	}
	r.State = Recording
	r.Endpoint = endpoint
	return RecordRequest{ID: r.ID, Endpoint: endpoint}, nil
}

// Acknowledge takes the witness's answer; late, doubled and unexpected ones change nothing.
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

// Dispatch grants the right to send the request to an endpoint; it returns nil
// once in the life of an ID.
func (o *Owner) Dispatch(r *Record, endpoint string) error {
	want := Waiting
	if r.NeedsWitness {
		want = Recorded
	}
	if r.State != want {
		return errState("dispatch", r)
	}
	r.State = Dispatched
	r.Endpoint = endpoint
	return nil
}

// Retract takes back a dispatch of which no byte was sent, for instance because
// the connection was refused.
func (o *Owner) Retract(r *Record) error {
	if r.State != Dispatched {
		return errState("retract", r)
	}
	r.State = Waiting
	if r.NeedsWitness {
		r.State = Recorded
	}
	return nil
}

// Finish ends a dispatched request.
func (o *Owner) Finish(r *Record, answered bool) error {
	if r.State != Dispatched {
		return errState("finish", r)
	}
	r.State = Lost
	if answered {
		r.State = Answered
	}
	return nil
}

// Refuse ends a request that was not dispatched; afterwards "not run" is true.
func (o *Owner) Refuse(r *Record) error {
	if r.State >= Dispatched && r.State != Refused {
		return errState("refuse", r)
	}
	r.State = Refused
	return nil
}
