// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package fake

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"github.com/heathkeel/heathkeel/endpoint"
)

// Handler returns the engine's HTTP handler.
func (e *Engine) Handler() http.Handler {
	r := mux.NewRouter()
	r.Use(e.breakIfDead)
	r.Path(endpoint.PathCompletions).Methods(http.MethodPost).HandlerFunc(e.serveCompletion)
	r.Path(endpoint.PathStreams + "{id}").Methods(http.MethodGet).HandlerFunc(e.serveResume)
	r.Path(endpoint.PathStreams + "{id}").Methods(http.MethodDelete).HandlerFunc(e.serveCancel)
	r.Path(endpoint.PathLoad).HandlerFunc(e.serveReport)
	r.Path(endpoint.PathOrders).Methods(http.MethodPost).HandlerFunc(e.serveOrder)
	r.Path(endpoint.PathCache).HandlerFunc(e.serveCacheTransfer)
	return r
}

// breakIfDead aborts connections while the Dead fault is set.
func (e *Engine) breakIfDead(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		dead := e.faults.Dead
		e.mu.Unlock()
		if dead {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// serveCompletion accepts a request and streams its answer.
func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var body endpoint.CompletionBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	id := r.Header.Get(endpoint.HeaderRequestID)
	e.mu.Lock()
	switch {
	case e.faults.ServerErrors:
		e.Core.failed++
		e.mu.Unlock()
		http.Error(w, "fault", http.StatusInternalServerError)
		return
	case e.loaded == nil || e.loaded.Model != body.Model:
		e.mu.Unlock()
		http.Error(w, "model not held", http.StatusBadRequest)
		return
	}
	e.addRequest(id, body)
	e.mu.Unlock()
	e.sendPieces(w, r, id, 0)
}

// serveResume continues a stream after the piece that the header names.
func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	last, err := strconv.Atoi(r.Header.Get(endpoint.HeaderResume))
	if err != nil {
		last = -1
	}
	id := mux.Vars(r)["id"]
	e.mu.Lock()
	s := e.streams[id]
	e.mu.Unlock()
	if s == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	e.sendPieces(w, r, id, last+1)
}

// sendPieces streams the pieces of a request from number next on and injects the
// stream faults.
func (e *Engine) sendPieces(w http.ResponseWriter, r *http.Request, id string, next int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	ctl := http.NewResponseController(w)
	for {
		e.mu.Lock()
		s, f := e.streams[id], e.faults
		if s == nil || s.updated == nil {
			e.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		pieces, updated := s.pieces, s.updated
		breakNow := f.BreakAfter > 0 && len(pieces) >= f.BreakAfter && next < f.BreakAfter && !s.broken
		if breakNow {
			s.broken = true
			pieces = pieces[:f.BreakAfter]
		}
		e.mu.Unlock()
		if f.Dead {
			panic(http.ErrAbortHandler)
		}
		for ; next < len(pieces); next++ {
			_, _ = w.Write(encodePiece(pieces[next], f))
			if pieces[next].Finish != "" {
				fmt.Fprintf(w, "data: %s\n\n", endpoint.DoneData)
				_ = ctl.Flush()
				return
			}
		}
		_ = ctl.Flush()
		if breakNow {
			panic(http.ErrAbortHandler)
		}
		select {
		case <-updated:
		case <-r.Context().Done():
			return
		}
	}
}

// encodePiece encodes one piece with the faults that apply to its number.
func encodePiece(p endpoint.Piece, f EngineFaults) []byte {
	var b []byte
	p.Text += strings.Repeat("~", f.PieceBytes)
	switch {
	case p.Seq > 0 && p.Seq == f.SkipAt:
		return nil
	case p.Seq > 0 && p.Seq == f.WrongIDAt:
		p.ID = "another"
	case p.Seq > 0 && p.Seq == f.DuplicateAt:
		b = endpoint.AppendEvent(b, p, "")
	}
	return endpoint.AppendEvent(b, p, "")
}

// serveCancel drops a request and its stream.
func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	id := mux.Vars(r)["id"]
	e.Core.Cancel(id)
	if s := e.streams[id]; s != nil && s.updated != nil {
		close(s.updated)
		s.updated = nil
	}
	delete(e.streams, id)
}

// serveReport sends the newest report that is at least ReportLag old, or the oldest
// one if none is.
func (e *Engine) serveReport(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.StopReports {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	rep := timedReport{time.Now(), e.report()}
	for _, p := range slices.Backward(e.pastReports) {
		if e.ReportLag == 0 {
			break
		}
		rep = p
		if time.Since(p.takenAt) >= e.ReportLag {
			break
		}
	}
	rep.AgeMS = time.Since(rep.takenAt).Milliseconds()
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	for _, ev := range e.Core.Events(after) {
		if int(ev.Seq%10) >= e.faults.DroppedEventsPerTen {
			rep.Events = append(rep.Events, ev)
		}
	}
	_ = json.NewEncoder(w).Encode(rep.Report)
}

// serveOrder applies an order unless its fencing token is stale.
func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o endpoint.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Token < e.token && !e.Unfenced {
		w.WriteHeader(http.StatusConflict)
		return
	}
	e.token = max(e.token, o.Token)
	e.role = o.Role
	if sameModel(o.Want, e.loaded) || (e.loading != nil && sameModel(o.Want, e.loading)) {
		return
	}
	e.appliedOrders++
	e.loaded = nil
	if o.Want == nil {
		return
	}
	e.loading = o.Want
	go e.loadWeights(o)
}

// serveCacheTransfer imports blocks into the KV cache (PUT) or lists those that the
// engine can export.
func (e *Engine) serveCacheTransfer(w http.ResponseWriter, r *http.Request) {
	var blocks []uint64
	if err := json.NewDecoder(r.Body).Decode(&blocks); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.Method == http.MethodPut {
		e.Core.insertBlocks(blocks)
		return
	}
	_ = json.NewEncoder(w).Encode(blocks[:e.Core.LookupPrefix(blocks)])
}
