// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package router

import (
	"bytes"
	"net/http"
	"strings"

	"github.com/gorilla/mux"

	"github.com/heathkeel/heathkeel/endpoint"
	"github.com/heathkeel/heathkeel/problem"
	"github.com/heathkeel/heathkeel/sched"
)

// internalHeaders are the headers that are not forwarded to a service.
var internalHeaders = []string{HeaderWorkspace, HeaderService, HeaderTier, HeaderResubmits, headerForwarded}

// serveCall serves a call to a plain service.
func (r *Router) serveCall(w http.ResponseWriter, req *http.Request) {
	j, p := r.receive(w, req, mux.Vars(req)["service"])
	if p != nil {
		problem.Write(w, p)
		return
	}
	if j == nil {
		return
	}
	j.req = &sched.Request{
		PromptTokens: 1, MaxTokens: 1, Retry: req.Header.Get(HeaderResubmits) != "",
	}
	d, p := r.submit(req.Context(), j)
	if p != nil {
		problem.Write(w, p)
		return
	}
	var resp *http.Response
	t, p := r.dispatch(req.Context(), j, d, func(t *target) error {
		if t.service == nil {
			return endpoint.ErrNotSent
		}
		var err error
		resp, err = t.service.Send(req.Context(), newPlainCall(req, j.body))
		return err
	})
	if p != nil {
		problem.Write(w, p)
		return
	}
	r.writeServiceAnswer(w, j, t, resp)
}

// newPlainCall returns the call to send to the service: without internal headers
// and with the path that follows the service's name.
func newPlainCall(req *http.Request, body []byte) endpoint.PlainCall {
	h := req.Header.Clone()
	for _, name := range internalHeaders {
		h.Del(name)
	}
	path := strings.TrimPrefix(req.URL.EscapedPath(), PathCall)
	_, path, _ = strings.Cut(path, "/")
	path = "/" + path
	if req.URL.RawQuery != "" {
		path += "?" + req.URL.RawQuery
	}
	return endpoint.PlainCall{
		Method: req.Method, Path: path, Header: h, Body: bytes.NewReader(body), Length: int64(len(body)),
	}
}

// writeServiceAnswer forwards a service's answer to the caller and ends the job.
func (r *Router) writeServiceAnswer(w http.ResponseWriter, j *job, t *target, resp *http.Response) {
	defer resp.Body.Close()
	r.mu.Lock()
	r.sched.FirstToken(r.now(), j.req)
	r.mu.Unlock()
	for k, v := range resp.Header {
		w.Header()[k] = v
	}
	w.Header().Set(HeaderID, j.id())
	w.Header().Set(HeaderEndpoint, t.Name)
	w.WriteHeader(resp.StatusCode)
	if err := copyAndFlush(w, resp.Body); err != nil {
		r.finish(j, sched.Broken, 0)
		// The headers are sent already, so abort the connection to signal the error
		// to the caller.
		panic(http.ErrAbortHandler)
	}
	r.finish(j, sched.Completed, 1)
}
