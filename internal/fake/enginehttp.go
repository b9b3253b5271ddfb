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
	"time"

	"github.com/gorilla/mux"

	"github.com/heathkeel/heathkeel/endpoint"
)

// Handler returns the engine's HTTP handler.
func (e *Engine) Handler() http.Handler {
	r := mux.NewRouter()
	r.Use(e.breakIfDead)
	r.Path(endpoint.PathCompletions).Methods(http.MethodPost).HandlerFunc(e.generate)
	r.Path(endpoint.PathStreams + "{id}").Methods(http.MethodGet).HandlerFunc(e.resume)
	r.Path(endpoint.PathStreams + "{id}").Methods(http.MethodDelete).HandlerFunc(e.cancel)
	r.Path(endpoint.PathLoad).HandlerFunc(e.load)
	r.Path(endpoint.PathOrders).Methods(http.MethodPost).HandlerFunc(e.order)
	r.Path(endpoint.PathCache).HandlerFunc(e.cacheTransfer)
	return r
}

// breakIfDead breaks connections while the engine is dead.
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

// generate takes a request and streams its answer.
func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
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
	case e.holding == nil || e.holding.Model != body.Model:
		e.mu.Unlock()
		http.Error(w, "model not held", http.StatusBadRequest)
		return
	}
	e.admit(id, body)
	e.mu.Unlock()
	e.send(w, r, id, 0)
}

// resume continues a stream after the piece that the caller names.
func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
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
	e.send(w, r, id, last+1)
}

// send streams the pieces of a request from number n on, with the faults of the table.
func (e *Engine) send(w http.ResponseWriter, r *http.Request, id string, n int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	fl := http.NewResponseController(w)
	for {
		e.mu.Lock()
		s, f := e.streams[id], e.faults
		if s == nil || s.more == nil {
			e.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		pieces, more := s.pieces, s.more
		cut := f.BreakAfter > 0 && len(pieces) >= f.BreakAfter && n < f.BreakAfter && !s.cut
		if cut {
			s.cut = true
			pieces = pieces[:f.BreakAfter]
		}
		e.mu.Unlock()
		if f.Dead {
			panic(http.ErrAbortHandler)
		}
		for ; n < len(pieces); n++ {
			_, _ = w.Write(faulty(pieces[n], f))
			if pieces[n].Finish != "" {
				fmt.Fprintf(w, "data: %s\n\n", endpoint.DoneData)
				_ = fl.Flush()
				return
			}
		}
		_ = fl.Flush()
		if cut {
			panic(http.ErrAbortHandler)
		}
		select {
		case <-more:
		case <-r.Context().Done():
			return
		}
	}
}

// faulty writes one piece with the faults that concern its number.
func faulty(p endpoint.Piece, f EngineFaults) []byte {
	var b []byte
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

// cancel drops a request.
func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	id := mux.Vars(r)["id"]
	e.Core.Cancel(id)
	if s := e.streams[id]; s != nil && s.more != nil {
		close(s.more)
		s.more = nil
	}
	delete(e.streams, id)
}

// load gives the report that is Lag old.
func (e *Engine) load(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.StopReports {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	rep := agedReport{time.Now(), e.report()}
	for _, p := range slices.Backward(e.past) {
		if e.ReportLag == 0 {
			break
		}
		rep = p
		if time.Since(p.at) >= e.ReportLag {
			break
		}
	}
	rep.AgeMS = time.Since(rep.at).Milliseconds()
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	for _, ev := range e.Core.Events(after) {
		if int(ev.Seq%10) >= e.faults.DroppedEventsPerTen {
			rep.Events = append(rep.Events, ev)
		}
	}
	_ = json.NewEncoder(w).Encode(rep.Report)
}

// order takes an order unless it comes from an older lease holder.
func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
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
	if sameHolding(o.Want, e.holding) || (e.loading != nil && sameHolding(o.Want, e.loading)) {
		return
	}
	e.orders++
	e.holding = nil
	if o.Want == nil {
		return
	}
	e.loading = o.Want
	go e.fetch(o)
}

// cacheTransfer exports and imports KV cache.
func (e *Engine) cacheTransfer(w http.ResponseWriter, r *http.Request) {
	var blocks []uint64
	if err := json.NewDecoder(r.Body).Decode(&blocks); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.Method == http.MethodPut {
		e.Core.remember(blocks)
		return
	}
	_ = json.NewEncoder(w).Encode(blocks[:e.Core.LookupPrefix(blocks)])
}
