// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package once

// RecordRequest asks a witness to record an ID before its dispatch.
type RecordRequest struct {
	// ID is the request's ID.
	ID ID
	// Endpoint is where it will be dispatched.
	Endpoint string
}

// Ack is the witness's answer to a RecordRequest.
type Ack uint8

// The answers to a RecordRequest; all but AckRecorded refuse it for ever or for now.
const (
	// AckRecorded means that the owner may dispatch.
	AckRecorded Ack = iota
	// AckClosed means that a caller was told "not run".
	AckClosed
	// AckExpired means that the generation is no longer kept.
	AckExpired
	// AckFull means that the witness has no room or was handed on.
	AckFull
	// AckNotResponsible means that the ID names another witness.
	AckNotResponsible
)

// Finding is the witness's answer to a caller that lost the owner.
type Finding uint8

// The answers to Close.
const (
	// FindingRecorded means that a dispatch was recorded: it may have run.
	FindingRecorded Finding = iota
	// FindingNotRun means that it was never dispatched and, from now on, never will be.
	FindingNotRun
	// FindingExpired means that the generation is no longer kept.
	FindingExpired
	// FindingNotResponsible means that the ID names another witness or a forged generation.
	FindingNotResponsible
)

// note is what a witness holds of one ID.
type note struct {
	closed   bool
	endpoint string
}

// Witness records IDs for owners elsewhere.
type Witness struct {
	self  Incarnation
	notes window[note]
	left  bool
}

// NewWitness returns the witness of an incarnation; 0 means DefaultKeep and DefaultMaxRecords.
func NewWitness(self Incarnation, keep, limit int) *Witness {
	return &Witness{self: self, notes: newWindow[note](keep, limit)}
}

// Self returns the incarnation that the witness answers for.
func (w *Witness) Self() Incarnation { return w.self }

// Generation returns the current generation, which new prefixes carry.
func (w *Witness) Generation() Generation { return w.notes.current }

// Size returns the number of IDs held.
func (w *Witness) Size() int { return w.notes.size }

// Advance starts a new generation and forgets old ones; a witness that left stays sealed.
func (w *Witness) Advance() {
	w.notes.advance(nil)
	if w.left {
		w.notes.seal()
	}
}

// Record notes an ID, if no caller was told "not run" of it. Recording twice is harmless.
func (w *Witness) Record(q RecordRequest) Ack {
	if q.ID.Witness != w.self {
		return AckNotResponsible
	}
	g, key := q.ID.WitnessGeneration, q.ID.String()
	where := w.notes.where(g)
	if where == placeExpired {
		return AckExpired
	}
	if n, ok := w.notes.find(g, key); ok {
		if n.closed {
			return AckClosed
		}
		w.notes.put(g, key, note{endpoint: q.Endpoint})
		return AckRecorded
	}
	switch where {
	case placeFuture:
		return AckNotResponsible
	case placeSealed:
		return AckFull
	}
	w.notes.put(g, key, note{endpoint: q.Endpoint})
	return AckRecorded
}

// Close tells what is recorded of an ID and where it went; with no record the
// ID is closed for ever.
func (w *Witness) Close(id ID) (Finding, string) {
	if id.Witness != w.self {
		return FindingNotResponsible, ""
	}
	g, key := id.WitnessGeneration, id.String()
	where := w.notes.where(g)
	if where == placeExpired {
		return FindingExpired, ""
	}
	if n, ok := w.notes.find(g, key); ok {
		if n.closed {
			return FindingNotRun, ""
		}
		return FindingRecorded, n.endpoint
	}
	switch where {
	case placeFuture:
		return FindingNotResponsible, ""
	case placeSealed:
		// With no room for a note the whole generation is closed instead.
		w.notes.seal()
	default:
		w.notes.put(g, key, note{closed: true})
	}
	return FindingNotRun, ""
}

// HandoverRecord is one recorded ID in a Handover.
type HandoverRecord struct {
	// ID is the request's ID.
	ID string `json:"id"`
	// Endpoint is where it was to be dispatched.
	Endpoint string `json:"endpoint"`
}

// Handover is the state of a witness that leaves.
type Handover struct {
	// Self is the incarnation that left.
	Self Incarnation `json:"self"`
	// Generation is its generation when it left.
	Generation Generation `json:"generation"`
	// Recorded are the IDs that it had recorded. Closed ones need no mention:
	// the copy is sealed, so that whatever has no record is closed.
	Recorded []HandoverRecord `json:"recorded"`
}

// PrepareHandover seals the witness and returns its state for a successor. It records
// nothing any more, so any number of copies may answer for it.
func (w *Witness) PrepareHandover() Handover {
	w.left = true
	w.notes.seal()
	h := Handover{Self: w.self, Generation: w.notes.current}
	for _, t := range w.notes.tables {
		for key, n := range t {
			if !n.closed {
				h.Recorded = append(h.Recorded, HandoverRecord{ID: key, Endpoint: n.endpoint})
			}
		}
	}
	return h
}

// NewWitnessCopy returns a sealed copy of a witness that left.
func NewWitnessCopy(h Handover, keep, limit int) (*Witness, error) {
	w := NewWitness(h.Self, keep, limit)
	w.left = true
	w.notes.current = h.Generation
	for _, n := range h.Recorded {
		id, err := ParseID(n.ID)
		if err != nil {
			return nil, err
		}
		w.notes.put(id.WitnessGeneration, n.ID, note{endpoint: n.Endpoint})
	}
	w.notes.seal()
	return w, nil
}
