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

// serveResume resumes a lost stream after the last piece that the caller
// received. The owner serves the resumption if it can be reached, because it
// keeps the metrics of the request and cancels abandoned streams; otherwise this
// host does.
func (r *Router) serveResume(w http.ResponseWriter, req *http.Request) {
	id, err := once.ParseID(mux.Vars(req)["id"])
	if err != nil {
		problem.Write(w, problem.New(problem.BadID, "use the ID of the answer's head", "%v", err))
		return
	}
	if id.Owner != r.Self.Incarnation && req.Header.Get(headerForwarded) == "" {
		if r.forwardResume(w, req, id) {
			return
		}
	}
	last, err := strconv.Atoi(req.Header.Get(endpoint.HeaderResume))
	if err != nil {
		last = -1
	}
	r.resume(w, req, id, mux.Vars(req)["endpoint"], last+1)
}

// resume resumes a stream from this host, starting with piece from.
func (r *Router) resume(w http.ResponseWriter, req *http.Request, id once.ID, endpointName string, from int) {
	engine := r.engineByName(endpointName)
	if engine == nil {
		problem.Write(w, problem.Lost(problem.NoEndpoint, endpointName, "ask "+PathOutcome+"{id}", "endpoint %q is not declared", endpointName))
		return
	}
	engineReq := r.reclaimStream(id)
	s, err := engine.Resume(req.Context(), id.String(), from)
	if err != nil {
		problem.Write(w, problem.Lost(problem.EndpointLost, endpointName, "resubmit under a new ID if running twice does no harm", "%v", err))
		return
	}
	checked := &endpoint.CheckedStream{Stream: s, ID: id.String(), NextSeq: from}
	if engineReq != nil {
		r.streamAnswer(w, req, engineReq, checked)
		return
	}
	r.streamOrphan(w, endpointName, checked)
}

// reclaimStream stops the pending cancellation of a stream that this host owns
// and returns its request. It returns nil if there is no such stream.
func (r *Router) reclaimStream(id once.ID) *engineRequest {
	r.onceMu.Lock()
	defer r.onceMu.Unlock()
	engineReq := r.active[id.String()]
	if engineReq == nil || engineReq.cancelTimer == nil || !engineReq.cancelTimer.Stop() {
		return nil
	}
	engineReq.cancelTimer = nil
	return engineReq
}

// streamOrphan passes the stream of a request whose owner cannot be reached to
// the caller.
func (r *Router) streamOrphan(w http.ResponseWriter, endpointName string, s *endpoint.CheckedStream) {
	defer func() { _ = s.Close() }()
	w.Header().Set(HeaderID, s.ID)
	w.Header().Set(HeaderEndpoint, endpointName)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	rc := http.NewResponseController(w)
	var buf []byte
	for {
		p, err := s.Next()
		if err != nil {
			r.endOrphanStream(w, err)
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
