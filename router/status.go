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

// Status is the state that a host reports to operators.
type Status struct {
	// Host is the host's own record.
	Host fleet.Host `json:"host"`
	// Hosts holds all host records that it knows.
	Hosts []fleet.Host `json:"hosts"`
	// Revision is the revision of the settings in force. SeenRevision is the highest
	// revision that the host has learned of.
	Revision     uint64 `json:"revision"`
	SeenRevision uint64 `json:"seen_revision"`
	// Ready says whether the host accepts requests. NotReadyReason says why it does
	// not.
	Ready          bool   `json:"ready"`
	NotReadyReason string `json:"why_not,omitempty"`
	// Waiting is the number of requests in the scheduler's queue. Active is the
	// number of requests dispatched to engines.
	Waiting int `json:"waiting"`
	Active  int `json:"active"`
	// Relay says whether the host watches the settings' head.
	Relay bool `json:"relay"`
	// OwnedIDs and WitnessedIDs are the numbers of records that the host holds as
	// owner and as witness.
	OwnedIDs     int `json:"owned_ids"`
	WitnessedIDs int `json:"witnessed_ids"`
	// BodyBytes is the memory held by request bodies. PeerBytes is the number of
	// bytes in bodies exchanged with peers since the start.
	BodyBytes int64 `json:"body_bytes"`
	PeerBytes int64 `json:"peer_bytes"`
	// Heartbeats counts the traffic of heartbeats.
	Heartbeats fleet.Traffic `json:"heartbeats"`
	// HeapBytes is the heap memory in use.
	HeapBytes uint64 `json:"heap_bytes"`
}

// notReadyReason returns why the host does not accept requests, or "" if it does.
func (r *Router) notReadyReason() string {
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
	st.NotReadyReason = r.notReadyReason()
	st.Ready = st.NotReadyReason == ""
	st.Relay = r.isRelay()
	r.mu.Lock()
	st.Waiting = r.sched.Waiting()
	r.mu.Unlock()
	r.onceMu.Lock()
	st.Active = len(r.active)
	st.OwnedIDs, st.WitnessedIDs = r.owner.Size(), r.witness.Size()
	r.onceMu.Unlock()
	st.BodyBytes, st.PeerBytes = r.bodyMemory.Load(), r.peers.bytes.Load()
	st.Heartbeats = r.agent.Traffic()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	st.HeapBytes = m.HeapAlloc
	return st
}

// serveStatus returns the host's state to operators.
func (r *Router) serveStatus(w http.ResponseWriter, _ *http.Request) { writeJSON(w, r.Status()) }

// serveReady answers whether the host accepts requests.
func (r *Router) serveReady(w http.ResponseWriter, _ *http.Request) {
	if reason := r.notReadyReason(); reason != "" {
		problem.Write(w, problem.New(problem.NotReady, "wait or use another host", "%s", reason))
	}
}

// serveVars returns all metrics in the format of expvar. The host's own metrics
// are added here rather than published, so that several hosts can run in one
// process.
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
