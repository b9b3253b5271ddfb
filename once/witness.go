// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package once

// RecordRequest asks a witness to record an ID before its dispatch.
type RecordRequest struct {
	// ID is the request's ID.
	ID ID
	// Endpoint is the endpoint to which the request will be dispatched.
	Endpoint string
}

// Ack is the witness's answer to a RecordRequest.
type Ack uint8

// The answers to a RecordRequest. All except AckRecorded refuse it, permanently
// or temporarily.
const (
	// AckRecorded means that the owner may dispatch.
	AckRecorded Ack = iota
	// AckClosed means that the ID is closed: "not run" was reported to a caller.
	AckClosed
	// AckExpired means that the ID's generation is no longer kept.
	AckExpired
	// AckFull means that the witness reached its record limit or is sealed for a
	// handover.
	AckFull
	// AckNotResponsible means that the ID names another witness or a generation
	// that this witness has not issued.
	AckNotResponsible
)

// Finding is the witness's answer to a caller that cannot reach the owner.
type Finding uint8

// The results of Witness.Close.
const (
	// FindingRecorded means that a dispatch was recorded: the request may have run.
	FindingRecorded Finding = iota
	// FindingNotRun means that the request was never dispatched and never will be.
	FindingNotRun
	// FindingExpired means that the ID's generation is no longer kept.
	FindingExpired
	// FindingNotResponsible means that the ID names another witness or a generation
	// that this witness has not issued.
	FindingNotResponsible
)

// witnessRecord is a witness's record of one ID.
type witnessRecord struct {
	closed   bool
	endpoint string
}

// Witness records IDs for owners on other hosts.
type Witness struct {
	self    Incarnation
	records window[witnessRecord]
	sealed  bool
}

// NewWitness returns the witness of an incarnation. It keeps at most
// maxGenerations generations and maxRecords records; 0 means
// DefaultGenerations and DefaultMaxRecords.
func NewWitness(self Incarnation, maxGenerations, maxRecords int) *Witness {
	return &Witness{self: self, records: newWindow[witnessRecord](maxGenerations, maxRecords)}
}

// Self returns the incarnation for which the witness answers.
func (w *Witness) Self() Incarnation { return w.self }

// Generation returns the current generation, which is written into new prefixes.
func (w *Witness) Generation() Generation { return w.records.current }

// Size returns the number of IDs held.
func (w *Witness) Size() int { return w.records.size }

// Advance starts a new generation and deletes the records of expired
// generations. A witness that was handed over stays sealed.
func (w *Witness) Advance() {
	w.records.advance(nil)
	if w.sealed {
		w.records.seal()
	}
}

// Record records an ID unless the ID is closed. Record is idempotent.
func (w *Witness) Record(q RecordRequest) Ack {
	if q.ID.Witness != w.self {
		return AckNotResponsible
	}
	g, key := q.ID.WitnessGeneration, q.ID.String()
	state := w.records.stateOf(g)
	if state == generationExpired {
		return AckExpired
	}
	if r, ok := w.records.find(g, key); ok {
		if r.closed {
			return AckClosed
		}
		w.records.put(g, key, witnessRecord{endpoint: q.Endpoint})
		return AckRecorded
	}
	switch state {
	case generationFuture:
		return AckNotResponsible
	case generationSealed:
		return AckFull
	}
	w.records.put(g, key, witnessRecord{endpoint: q.Endpoint})
	return AckRecorded
}

// Close returns what is recorded of an ID and, with FindingRecorded, the
// endpoint. If nothing is recorded, Close closes the ID permanently and returns
// FindingNotRun.
func (w *Witness) Close(id ID) (Finding, string) {
	if id.Witness != w.self {
		return FindingNotResponsible, ""
	}
	g, key := id.WitnessGeneration, id.String()
	state := w.records.stateOf(g)
	if state == generationExpired {
		return FindingExpired, ""
	}
	if r, ok := w.records.find(g, key); ok {
		if r.closed {
			return FindingNotRun, ""
		}
		return FindingRecorded, r.endpoint
	}
	switch state {
	case generationFuture:
		return FindingNotResponsible, ""
	case generationSealed:
		// No record can be stored, so seal the generation, which closes all its IDs
		// that have no record.
		w.records.seal()
	default:
		w.records.put(g, key, witnessRecord{closed: true})
	}
	return FindingNotRun, ""
}

// HandoverRecord is a recorded ID in a Handover.
type HandoverRecord struct {
	// ID is the request's ID.
	ID string `json:"id"`
	// Endpoint is the endpoint to which the request was to be dispatched.
	Endpoint string `json:"endpoint"`
}

// Handover is the state of a witness whose host is leaving.
type Handover struct {
	// Self is the incarnation that is leaving.
	Self Incarnation `json:"self"`
	// Generation is its generation at the time of the handover.
	Generation Generation `json:"generation"`
	// Recorded lists the recorded IDs. Closed IDs are omitted: the copy is sealed,
	// so every ID without a record is closed.
	Recorded []HandoverRecord `json:"recorded"`
}

// PrepareHandover seals the witness and returns its state for successors. A
// sealed witness records nothing new, so any number of copies may answer for it.
func (w *Witness) PrepareHandover() Handover {
	w.sealed = true
	w.records.seal()
	h := Handover{Self: w.self, Generation: w.records.current}
	for _, t := range w.records.tables {
		for key, r := range t {
			if !r.closed {
				h.Recorded = append(h.Recorded, HandoverRecord{ID: key, Endpoint: r.endpoint})
			}
		}
	}
	return h
}

// NewWitnessCopy returns a sealed copy of the witness whose state is h. It fails
// if h contains an invalid ID.
func NewWitnessCopy(h Handover, maxGenerations, maxRecords int) (*Witness, error) {
	w := NewWitness(h.Self, maxGenerations, maxRecords)
	w.sealed = true
	w.records.current = h.Generation
	for _, r := range h.Recorded {
		id, err := ParseID(r.ID)
		if err != nil {
			return nil, err
		}
		w.records.put(id.WitnessGeneration, r.ID, witnessRecord{endpoint: r.Endpoint})
	}
	w.records.seal()
	return w, nil
}
