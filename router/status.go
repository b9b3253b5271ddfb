// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package router

import (
	"encoding/json"
	"expvar"
	"fmt"
	"net/http"
	"runtime"

	"github.com/heathkeel/heathkeel/fleet"
	"github.com/heathkeel/heathkeel/problem"
)

// Status is what a host tells operators.
type Status struct {
	// Host is its own record.
	Host fleet.Host `json:"host"`
	// Hosts are all records that it knows.
	Hosts []fleet.Host `json:"hosts"`
	// Revision is the settings' revision in force, SeenRevision the highest heard of.
	Revision     uint64 `json:"revision"`
	SeenRevision uint64 `json:"seen_revision"`
	// Ready says whether it takes requests, and WhyNot what it lacks.
	Ready          bool   `json:"ready"`
	NotReadyReason string `json:"why_not,omitempty"`
	// Waiting and Active count requests.
	Waiting int `json:"waiting"`
	Active  int `json:"active"`
	// Relay says whether it watches the settings' head.
	Relay bool `json:"relay"`
	// OwnedIDs and WitnessedIDs count records of requests.
	OwnedIDs     int `json:"owned_ids"`
	WitnessedIDs int `json:"witnessed_ids"`
	// BodyBytes is the memory held by bodies and PeerBytes the content exchanged
	// with peers since the start.
	BodyBytes int64 `json:"body_bytes"`
	PeerBytes int64 `json:"peer_bytes"`
	// Heartbeats and Settings count what they cost.
	Heartbeats fleet.Traffic `json:"heartbeats"`
	// HeapBytes is the memory in use.
	HeapBytes uint64 `json:"heap_bytes"`
}

// whyNotReady says what the host lacks to take requests, or nothing.
func (r *Router) whyNotReady() string {
	switch {
	case r.draining.Load():
		return "draining"
	case r.follower.Snapshot() == nil:
		return "no settings yet: neither the key-value service nor a peer gave any"
	}
	return ""
}

// Status returns the host's state.
func (r *Router) Status() Status {
	var st Status
	r.agent.View(func(t *fleet.Table) { st.Host, st.Hosts = t.Self, t.Hosts() })
	st.Revision, st.SeenRevision = r.follower.Revision(), r.follower.HighestSeen()
	st.NotReadyReason = r.whyNotReady()
	st.Ready = st.NotReadyReason == ""
	st.Relay = r.isRelay()
	r.mu.Lock()
	st.Waiting = r.sched.Waiting()
	r.mu.Unlock()
	r.onceMu.Lock()
	st.Active = len(r.active)
	st.OwnedIDs, st.WitnessedIDs = r.owner.Size(), r.witness.Size()
	r.onceMu.Unlock()
	st.BodyBytes, st.PeerBytes = r.memory.Load(), r.peers.bytes.Load()
	st.Heartbeats = r.agent.Traffic()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	st.HeapBytes = m.HeapAlloc
	return st
}

// serveStatus gives the host's state.
func (r *Router) serveStatus(w http.ResponseWriter, _ *http.Request) { writeJSON(w, r.Status()) }

// serveReady tells whether the host takes requests.
func (r *Router) serveReady(w http.ResponseWriter, _ *http.Request) {
	if why := r.whyNotReady(); why != "" {
		problem.Write(w, problem.New(problem.NotReady, "wait or use another host", "%s", why))
	}
}

// serveVars gives all metrics in the form of expvar. The host's own are added
// here rather than published, so that several hosts may live in one process.
func (r *Router) serveVars(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	st, _ := json.Marshal(r.Status())
	fmt.Fprintf(w, "{\n%q: %s", "heathkeel", &r.metrics)
	fmt.Fprintf(w, ",\n%q: %s", "heathkeel_status", st)
	expvar.Do(func(kv expvar.KeyValue) {
		if kv.Key != "cmdline" {
			fmt.Fprintf(w, ",\n%q: %s", kv.Key, kv.Value)
		}
	})
	fmt.Fprintf(w, "\n}\n")
}
