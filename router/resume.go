// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package router

import (
	"net/http"
	"strconv"

	"github.com/gorilla/mux"

	"github.com/heathkeel/heathkeel/endpoint"
	"github.com/heathkeel/heathkeel/once"
	"github.com/heathkeel/heathkeel/problem"
)

// serveResume continues a lost stream after the piece that the caller names. The
// owner does it if it can be reached, so that its figures and its cancelling
// stay right; otherwise any host does.
func (r *Router) serveResume(w http.ResponseWriter, req *http.Request) {
	id, err := once.ParseID(mux.Vars(req)["id"])
	if err != nil {
		problem.Write(w, problem.New(problem.BadID, "use the ID of the answer's head", "%v", err))
		return
	}
	if id.Owner != r.Self.Incarnation && req.Header.Get(headerForwarded) == "" {
		if r.forwardStream(w, req, id) {
			return
		}
	}
	last, err := strconv.Atoi(req.Header.Get(endpoint.HeaderResume))
	if err != nil {
		last = -1
	}
	r.resume(w, req, id, mux.Vars(req)["endpoint"], last+1)
}

// resume continues a stream from this host.
func (r *Router) resume(w http.ResponseWriter, req *http.Request, id once.ID, name string, from int) {
	engine := r.anyEngine(name)
	if engine == nil {
		problem.Write(w, problem.Lost(problem.NoEndpoint, name, "ask "+PathOutcome+"{id}", "endpoint %q is not declared", name))
		return
	}
	a := r.takeBack(id)
	s, err := engine.Resume(req.Context(), id.String(), from)
	if err != nil {
		problem.Write(w, problem.Lost(problem.EndpointLost, name, "resubmit under a new ID if running twice does no harm", "%v", err))
		return
	}
	checked := &endpoint.CheckedStream{Stream: s, ID: id.String(), NextSeq: from}
	if a != nil {
		r.streamAnswer(w, req, a, checked)
		return
	}
	r.streamForeign(w, name, checked)
}

// takeBack stops the cancelling of a stream of this owner and returns it.
func (r *Router) takeBack(id once.ID) *activity {
	r.onceMu.Lock()
	defer r.onceMu.Unlock()
	a := r.active[id.String()]
	if a == nil || a.cancel == nil || !a.cancel.Stop() {
		return nil
	}
	a.cancel = nil
	return a
}

// streamForeign passes on the stream of a request whose owner is gone.
func (r *Router) streamForeign(w http.ResponseWriter, name string, s *endpoint.CheckedStream) {
	defer func() { _ = s.Close() }()
	w.Header().Set(HeaderID, s.ID)
	w.Header().Set(HeaderEndpoint, name)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	rc := http.NewResponseController(w)
	var buf []byte
	for {
		p, err := s.Next()
		if err != nil {
			r.endForeign(w, err)
			_ = rc.Flush()
			return
		}
		buf = endpoint.AppendEvent(buf[:0], p, "")
		if _, err := w.Write(buf); err != nil {
			return
		}
		_ = rc.Flush()
	}
}
