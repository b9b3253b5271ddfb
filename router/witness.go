// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package router

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"

	"github.com/gorilla/mux"

	"github.com/heathkeel/heathkeel/fleet"
	"github.com/heathkeel/heathkeel/once"
)

// maxRecordBatch bounds the IDs in one message to a witness.
const maxRecordBatch = 256

// recorder sends IDs to one witness, in batches: what comes while a message is
// on its way goes with the next.
type recorder struct {
	mu      sync.Mutex
	queue   []pendingRecord
	sending bool
}

// pendingRecord is an ID that waits for its acknowledgement.
type pendingRecord struct {
	req once.RecordRequest
	ack chan once.Ack
}

// record makes the witness record a request before its dispatch. It returns
// the state that the record is in afterwards: Recorded or Refused.
func (r *Router) record(ctx context.Context, rec *once.Record, endpoint string) once.State {
	r.onceMu.Lock()
	if rec.State == once.Recorded {
		r.onceMu.Unlock()
		return once.Recorded
	}
	req, err := r.owner.BeginRecord(rec, endpoint)
	st := rec.State
	r.onceMu.Unlock()
	if err != nil {
		return st
	}
	ack := r.askWitness(ctx, req)
	r.onceMu.Lock()
	defer r.onceMu.Unlock()
	r.owner.Acknowledge(rec, ack)
	return rec.State
}

// askWitness sends one ID and waits; no answer in time counts as a refusal.
func (r *Router) askWitness(ctx context.Context, req once.RecordRequest) once.Ack {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), r.WitnessTimeout)
	defer cancel()
	ack := make(chan once.Ack, 1)
	rec := r.recorder(req.ID.Witness)
	rec.mu.Lock()
	rec.queue = append(rec.queue, pendingRecord{req, ack})
	start := !rec.sending
	rec.sending = true
	rec.mu.Unlock()
	if start {
		go r.sendRecords(rec, req.ID.Witness)
	}
	select {
	case a := <-ack:
		return a
	case <-ctx.Done():
		return once.AckFull
	}
}

// recorder returns the recorder of a witness.
func (r *Router) recorder(id once.Incarnation) *recorder {
	r.onceMu.Lock()
	defer r.onceMu.Unlock()
	rec := r.recorders[id]
	if rec == nil {
		rec = &recorder{}
		r.recorders[id] = rec
	}
	return rec
}

// sendRecords sends batches until nothing waits.
func (r *Router) sendRecords(rec *recorder, id once.Incarnation) {
	for {
		rec.mu.Lock()
		n := min(len(rec.queue), maxRecordBatch)
		if n == 0 {
			rec.sending = false
			rec.mu.Unlock()
			return
		}
		batch := append([]pendingRecord(nil), rec.queue[:n]...)
		rec.queue = rec.queue[n:]
		rec.mu.Unlock()
		r.sendBatch(batch, id)
	}
}

// sendBatch sends one batch and hands out the acknowledgements.
func (r *Router) sendBatch(batch []pendingRecord, id once.Incarnation) {
	ctx, cancel := context.WithTimeout(context.Background(), r.WitnessTimeout)
	defer cancel()
	var body recordBody
	for _, p := range batch {
		body.IDs = append(body.IDs, p.req.ID.String())
		body.Endpoints = append(body.Endpoints, p.req.Endpoint)
	}
	var acks []uint8
	// Only the witness itself records; copies that others hold are sealed.
	if h, ok := r.knownHost(id); ok {
		// An error leaves acks empty: the IDs are refused below.
		acks, _ = r.peers.record(ctx, h.Address, body)
	}
	for i, p := range batch {
		a := once.AckFull
		if i < len(acks) {
			a = once.Ack(acks[i])
		}
		p.ack <- a
	}
}

// witnessHosts finds the hosts that may answer for a witness.
func (r *Router) witnessHosts(id once.Incarnation) (out []fleet.Host) {
	r.agent.View(func(t *fleet.Table) { out = t.Witnesses(id) })
	return out
}

// knownHost finds an incarnation that has not ended.
func (r *Router) knownHost(id once.Incarnation) (h fleet.Host, ok bool) {
	r.agent.View(func(t *fleet.Table) { h, ok = t.Find(id) })
	return h, ok && !h.Gone
}

// witnessFor returns the own witness machine of an incarnation, or nil; onceMu must be held.
func (r *Router) witnessFor(id once.Incarnation) *once.Witness {
	if id == r.witness.Self() {
		return r.witness
	}
	return r.adopted[id]
}

// serveRecord records a batch for an owner elsewhere.
func (r *Router) serveRecord(w http.ResponseWriter, req *http.Request) {
	var body recordBody
	if err := json.NewDecoder(req.Body).Decode(&body); err != nil || len(body.IDs) != len(body.Endpoints) {
		http.Error(w, "bad batch", http.StatusBadRequest)
		return
	}
	ans := recordAnswer{Acks: make([]uint8, len(body.IDs))}
	r.onceMu.Lock()
	for i, text := range body.IDs {
		ans.Acks[i] = uint8(r.recordOne(text, body.Endpoints[i]))
	}
	r.onceMu.Unlock()
	for _, text := range body.IDs {
		r.trace(StageWitnessed, text)
	}
	writeJSON(w, ans)
}

// recordOne records one ID; onceMu must be held.
func (r *Router) recordOne(text, endpoint string) once.Ack {
	id, err := once.ParseID(text)
	if err != nil {
		return once.AckNotResponsible
	}
	w := r.witnessFor(id.Witness)
	if w == nil {
		return once.AckNotResponsible
	}
	return w.Record(once.RecordRequest{ID: id, Endpoint: endpoint})
}

// serveClose tells a caller's host what is recorded of an ID.
func (r *Router) serveClose(w http.ResponseWriter, req *http.Request) {
	id, err := once.ParseID(mux.Vars(req)["id"])
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f, endpoint := r.closeHere(id)
	writeJSON(w, closeAnswer{uint8(f), endpoint})
}

// closeHere asks the own witness machines about an ID.
func (r *Router) closeHere(id once.ID) (once.Finding, string) {
	r.onceMu.Lock()
	defer r.onceMu.Unlock()
	w := r.witnessFor(id.Witness)
	if w == nil {
		return once.FindingNotResponsible, ""
	}
	return w.Close(id)
}

// serveHandover takes the records of a witness that leaves.
func (r *Router) serveHandover(w http.ResponseWriter, req *http.Request) {
	var h once.Handover
	if err := json.NewDecoder(req.Body).Decode(&h); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if r.draining.Load() {
		http.Error(w, "leaving", http.StatusServiceUnavailable)
		return
	}
	copied, err := once.NewWitnessCopy(h, 0, 0)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	r.onceMu.Lock()
	r.adopted[h.Self] = copied
	answers := r.answers()
	r.onceMu.Unlock()
	r.agent.Update(func(s *fleet.Host) { s.AnswersFor = answers })
	writeJSON(w, struct{}{})
}

// writeJSON sends v as the answer.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// CloseID closes an ID at this witness, as for a caller whose owner cannot be
// reached; it reports whether the request was never dispatched, and otherwise
// the endpoint recorded.
func (r *Router) CloseID(id string) (notRun bool, endpoint string) {
	parsed, err := once.ParseID(id)
	if err != nil {
		return false, ""
	}
	f, endpoint := r.closeHere(parsed)
	return f == once.FindingNotRun, endpoint
}
