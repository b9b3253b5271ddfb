// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package router

import (
	"compress/gzip"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/gorilla/mux"

	"github.com/heathkeel/heathkeel/fleet"
	"github.com/heathkeel/heathkeel/problem"
)

// Handler returns the host's HTTP handler.
func (r *Router) Handler() http.Handler {
	r.init()
	m := mux.NewRouter().UseEncodedPath().SkipClean(true)
	get, post := http.MethodGet, http.MethodPost
	m.Path(PathAddress).Methods(get).HandlerFunc(r.serveAddress)
	m.Path(PathCompletions).Methods(post).HandlerFunc(r.serveCompletion)
	m.PathPrefix(PathCall + "{service}").HandlerFunc(r.serveCall)
	m.Path(PathOutcome + "{id}").Methods(post).HandlerFunc(r.serveOutcome)
	m.Path(PathStreams + "{endpoint}/{id}").Methods(get).HandlerFunc(r.serveResume)
	m.Path(PathExplain + "{id}").Methods(get).HandlerFunc(r.serveExplain)
	m.Path(PathStatus).Methods(get).HandlerFunc(r.serveStatus)
	m.Path(PathDrain).Methods(post).HandlerFunc(r.serveDrain)
	m.Path("/healthz").HandlerFunc(func(http.ResponseWriter, *http.Request) {})
	m.Path("/readyz").HandlerFunc(r.serveReady)
	m.Path("/debug/vars").HandlerFunc(r.serveVars)
	m.Path(pathHeartbeat).Methods(post).HandlerFunc(r.serveHeartbeat)
	m.Path(pathRecord).Methods(post).HandlerFunc(r.serveRecord)
	m.Path(pathClose + "{id}").Methods(post).HandlerFunc(r.serveClose)
	m.Path(pathQuery + "{id}").Methods(post).HandlerFunc(r.serveQuery)
	m.Path(pathHandover).Methods(post).HandlerFunc(r.serveHandover)
	m.Path(pathLocal).Methods(get).HandlerFunc(r.serveLocal)
	m.Path(pathHead).Methods(get).HandlerFunc(r.serveHead)
	m.Path(pathChunk + "{digest}").Methods(get).HandlerFunc(r.serveChunk)
	m.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		problem.Write(w, problem.New(problem.BadRequest, "see docs/API.md for the paths", "no such path: %s", req.URL.Path))
	})
	return m
}

// serveAddress answers which hosts a workspace's callers should use.
func (r *Router) serveAddress(w http.ResponseWriter, req *http.Request) {
	ws := req.URL.Query().Get("workspace")
	s := r.follower.Snapshot()
	if s == nil {
		problem.Write(w, problem.New(problem.NotReady, "ask another host", "no settings yet"))
		return
	}
	if !s.HasWorkspace(ws) {
		problem.Write(w, problem.New(problem.UnknownWorkspace, "ask for a declared workspace: ?workspace=NAME", "workspace %q is not declared", ws))
		return
	}
	writeJSON(w, r.address(ws, s.HostCount(ws), s.Revision))
}

// address makes the answer for a workspace.
func (r *Router) address(ws string, k int, rev uint64) fleet.Answer {
	live := r.hosts()
	set := fleet.SelectHosts(ws, r.Self.Region, live, k)
	var self fleet.Host
	r.agent.View(func(t *fleet.Table) { self = t.Self })
	r.mu.Lock()
	defer r.mu.Unlock()
	fleet.OrderForZone(set, r.Self.Zone, r.rnd)
	ans := fleet.Answer{Workspace: ws, MaxAgeMS: r.MaxAge.Milliseconds(), Revision: rev}
	for _, h := range set {
		a := fleet.Address{Host: h.Name, Zone: h.Zone, Address: h.Address, Prefix: fleet.Prefix(h, fleet.Host{}).String()}
		if wit, ok := fleet.PickWitness(self, h, live, r.rnd); ok {
			a.OncePrefix, a.Witness = fleet.Prefix(h, wit).String(), wit.Address
		}
		ans.Addresses = append(ans.Addresses, a)
	}
	return ans
}

// serveHeartbeat takes a peer's heartbeat.
func (r *Router) serveHeartbeat(w http.ResponseWriter, req *http.Request) {
	var hb fleet.Heartbeat
	if err := json.NewDecoder(req.Body).Decode(&hb); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(w, r.agent.Receive(&hb))
}

// serveHead gives peers the head record of the settings in force.
func (r *Router) serveHead(w http.ResponseWriter, req *http.Request) {
	b := r.follower.Head()
	if b == nil {
		http.Error(w, "no settings yet", http.StatusServiceUnavailable)
		return
	}
	writeCompressed(w, req, b)
}

// writeCompressed sends settings compressed: they are read by every host at every
// change, and entries repeat each other.
func writeCompressed(w http.ResponseWriter, req *http.Request, b []byte) {
	if !strings.Contains(req.Header.Get("Accept-Encoding"), "gzip") {
		_, _ = w.Write(b)
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	z := gzip.NewWriter(w)
	_, _ = z.Write(b)
	_ = z.Close()
}

// serveChunk gives peers a chunk of the settings in force.
func (r *Router) serveChunk(w http.ResponseWriter, req *http.Request) {
	b := r.follower.Chunk(mux.Vars(req)["digest"])
	if b == nil {
		http.Error(w, "not in force here", http.StatusNotFound)
		return
	}
	writeCompressed(w, req, b)
}

// serveExplain tells how a request was decided.
func (r *Router) serveExplain(w http.ResponseWriter, req *http.Request) {
	id := mux.Vars(req)["id"]
	r.mu.Lock()
	out := r.sched.Explain(id)
	r.mu.Unlock()
	if len(out) == 0 {
		problem.Write(w, problem.New(problem.BadRequest, "ask the host that owns the ID, soon after the request", "no decision on %s is remembered", strings.ToValidUTF8(id, "?")))
		return
	}
	writeJSON(w, out)
}
