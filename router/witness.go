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

// maxRecordBatch is the maximum number of IDs in one message to a witness.
const maxRecordBatch = 256

// recorder sends IDs to one witness in batches. IDs that arrive while a message
// is in flight are sent with the next one.
type recorder struct {
	mu      sync.Mutex
	queue   []pendingRecord
	sending bool
}

// pendingRecord is an ID that waits for an acknowledgement.
type pendingRecord struct {
	req once.RecordRequest
	ack chan once.Ack
}

// record has the witness record a request before its dispatch. It returns the
// state of the owner's record afterwards, which is once.Recorded on success.
func (r *Router) record(ctx context.Context, rec *once.Record, endpoint string) once.State {
	r.onceMu.Lock()
	if rec.State == once.Recorded {
		r.onceMu.Unlock()
		return once.Recorded
	}
	req, err := r.owner.BeginRecord(rec, endpoint)
	state := rec.State
	r.onceMu.Unlock()
	if err != nil {
		return state
	}
	ack := r.requestRecord(ctx, req)
	r.onceMu.Lock()
	defer r.onceMu.Unlock()
	r.owner.Acknowledge(rec, ack)
	return rec.State
}

// requestRecord asks the witness of an ID to record it and waits for the answer.
// A timeout counts as a refusal.
func (r *Router) requestRecord(ctx context.Context, req once.RecordRequest) once.Ack {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), r.WitnessTimeout)
	defer cancel()
	ack := make(chan once.Ack, 1)
	rec := r.recorder(req.ID.Witness)
	rec.mu.Lock()
	rec.queue = append(rec.queue, pendingRecord{req, ack})
	startSender := !rec.sending
	rec.sending = true
	rec.mu.Unlock()
	if startSender {
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

// sendRecords sends batches until the queue is empty.
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

// sendBatch sends one batch and distributes the acknowledgements.
func (r *Router) sendBatch(batch []pendingRecord, id once.Incarnation) {
	ctx, cancel := context.WithTimeout(context.Background(), r.WitnessTimeout)
	defer cancel()
	var body recordBody
	for _, p := range batch {
		body.IDs = append(body.IDs, p.req.ID.String())
		body.Endpoints = append(body.Endpoints, p.req.Endpoint)
	}
	var acks []uint8
	// Only the witness itself records IDs; the copies at other hosts are sealed.
	if h, ok := r.findHost(id); ok {
		// After an error acks is empty, so the IDs are refused below.
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

// witnessHosts returns the hosts that may answer for a witness.
func (r *Router) witnessHosts(id once.Incarnation) (out []fleet.Host) {
	r.agent.View(func(t *fleet.Table) { out = t.Witnesses(id) })
	return out
}

// findHost returns the host with an incarnation, unless the host is gone.
func (r *Router) findHost(id once.Incarnation) (h fleet.Host, ok bool) {
	r.agent.View(func(t *fleet.Table) { h, ok = t.Find(id) })
	return h, ok && !h.Gone
}

// localWitness returns this host's witness for an incarnation: its own, a copy,
// or nil. The caller must hold onceMu.
func (r *Router) localWitness(id once.Incarnation) *once.Witness {
	if id == r.witness.Self() {
		return r.witness
	}
	return r.witnessCopies[id]
}

// serveRecord records a batch of IDs for an owner on another host.
func (r *Router) serveRecord(w http.ResponseWriter, req *http.Request) {
	var body recordBody
	if err := json.NewDecoder(req.Body).Decode(&body); err != nil || len(body.IDs) != len(body.Endpoints) {
		http.Error(w, "bad batch", http.StatusBadRequest)
		return
	}
	ans := recordAnswer{Acks: make([]uint8, len(body.IDs))}
	r.onceMu.Lock()
	for i, text := range body.IDs {
		ans.Acks[i] = uint8(r.recordLocal(text, body.Endpoints[i]))
	}
	r.onceMu.Unlock()
	for _, text := range body.IDs {
		r.trace(StageWitnessed, text)
	}
	writeJSON(w, ans)
}

// recordLocal records one ID at this host. The caller must hold onceMu.
func (r *Router) recordLocal(text, endpoint string) once.Ack {
	id, err := once.ParseID(text)
	if err != nil {
		return once.AckNotResponsible
	}
	w := r.localWitness(id.Witness)
	if w == nil {
		return once.AckNotResponsible
	}
	return w.Record(once.RecordRequest{ID: id, Endpoint: endpoint})
}

// serveClose closes an ID at this host's witness and returns the finding to
// another host.
func (r *Router) serveClose(w http.ResponseWriter, req *http.Request) {
	id, err := once.ParseID(mux.Vars(req)["id"])
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f, endpoint := r.closeLocal(id)
	writeJSON(w, closeAnswer{uint8(f), endpoint})
}

// closeLocal closes an ID at this host if the host answers for the ID's witness.
func (r *Router) closeLocal(id once.ID) (once.Finding, string) {
	r.onceMu.Lock()
	defer r.onceMu.Unlock()
	w := r.localWitness(id.Witness)
	if w == nil {
		return once.FindingNotResponsible, ""
	}
	return w.Close(id)
}

// serveHandover receives the records of a witness whose host is leaving.
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
	witnessCopy, err := once.NewWitnessCopy(h, 0, 0)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	r.onceMu.Lock()
	r.witnessCopies[h.Self] = witnessCopy
	answers := r.copiedWitnesses()
	r.onceMu.Unlock()
	r.agent.Update(func(s *fleet.Host) { s.AnswersFor = answers })
	writeJSON(w, struct{}{})
}

// writeJSON writes v as a JSON answer.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// CloseID closes an ID at this host's witness, as for a caller that cannot reach
// the owner. It reports whether the request was never dispatched and never will
// be; otherwise it returns the recorded endpoint, if there is one.
func (r *Router) CloseID(id string) (notRun bool, endpoint string) {
	parsed, err := once.ParseID(id)
	if err != nil {
		return false, ""
	}
	f, endpoint := r.closeLocal(parsed)
	return f == once.FindingNotRun, endpoint
}
