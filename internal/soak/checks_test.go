// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package soak

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/internal/site"
)

// TestPromisesAreChecked violates each promise in a record made by hand. A check that does not
// detect this would not detect it in a run.
func TestPromisesAreChecked(t *testing.T) {
	start := time.Unix(1000, 0)
	plain := &fleetEndpoint{Endpoint: &site.Endpoint{Instance: "p"}, service: site.Plain}
	engine := &fleetEndpoint{Endpoint: &site.Endpoint{Instance: "e"}, service: site.Engines, version: "v1"}
	other := &fleetEndpoint{Endpoint: &site.Endpoint{Instance: "f"}, service: site.Engines, version: "v2"}
	cases := []struct {
		promise string
		// violate makes the record violate the promise, with as many requests as the check takes to
		// report it.
		violate func(r *record)
	}{
		{"a request that may not be repeated runs once", func(r *record) { r.runs["push"] = append(r.runs["push"], r.runs["push"][0]) }},
		{"what is refused as not run has not run", func(r *record) { r.byID["push"].status = http.StatusServiceUnavailable }},
		{"a complete answer is the endpoint's answer to this request", func(r *record) { r.byID["push"].body = "ran another" }},
		{"a complete answer is the endpoint's answer to this request", func(r *record) { r.byID["push"].stamp = "p.other" }},
		{"a complete answer is the endpoint's answer to this request", func(r *record) { r.byID["review"].body = site.EventText(2) }},
		{"a stream has events of one version", func(r *record) {
			addRequest(r, "resumed", kinds[3], other, start)
			s := r.byID["resumed"]
			s.resumes, s.lastEvent, s.body = "review", 4, strings.TrimPrefix(site.StreamBody(streamEvents), site.StreamBody(4))
			r.runs["resumed"][0].LastEvent = 4
		}},
		{"an endpoint runs what a caller sent, and for its own service", func(r *record) { r.arrivals[0].endpoint = engine }},
		{"an endpoint runs what a caller sent, and for its own service", func(r *record) { r.arrivals[0].AttemptID = "unknown" }},
		{"an endpoint runs what a caller sent, and for its own service", func(r *record) { r.arrivals[0].Header = http.Header{} }},
		{"a valid request is not rejected as invalid", func(r *record) { r.byID["push"].status = http.StatusNotFound }},
		{"a withdrawn key stops working", func(r *record) { r.withdrawn[0] = start.Add(-revokeTime - time.Second) }},
		{"a quota is kept", func(r *record) {
			for i := range 200 {
				addRequest(r, fmt.Sprint("small", i), kinds[1], plain, start)
				r.byID[fmt.Sprint("small", i)].small = true
			}
		}},
		{"repeats stay within their budget", func(r *record) {
			for range 60 {
				r.runs["ask"] = append(r.runs["ask"], r.runs["ask"][0])
			}
		}},
		{"an endpoint stops when its caller has left", func(r *record) {
			for i := range 8 {
				addRequest(r, fmt.Sprint("left", i), kinds[1], plain, start)
				s := r.byID[fmt.Sprint("left", i)]
				s.status, s.callerLeft, s.hostUndisturbed, s.endedAt = 0, true, true, start.Add(-2*time.Second)
			}
		}},
		{"a planned stop cuts no request", func(r *record) {
			for i := range 8 {
				addRequest(r, fmt.Sprint("cut", i), kinds[1], plain, start)
				s := r.byID[fmt.Sprint("cut", i)]
				s.status, s.duringStop = 0, true
			}
		}},
		{"what an endpoint goes on with is not ended by its host", func(r *record) { r.byID["review"].complete = false }},
		{"what an endpoint goes on with is not ended by its host", func(r *record) { r.byID["ask"].status = http.StatusGatewayTimeout }},
		{"what an endpoint goes on with is not ended by its host", func(r *record) {
			engine.Pause(time.Millisecond)
			r.byID["review"].complete = false
		}},
		{"a host stays within its memory", func(r *record) { r.memory = []string{"one"} }},
		{"a host does not read without an end", func(r *record) { r.endless = []string{"one"} }},
		{"a burst leaves other workspaces their answers", func(r *record) {
			r.sharesSlots = true
			addRequest(r, "burst", kinds[1], plain, start)
			r.byID["burst"].burst = true
			for i := range 2 * minBurstRequests {
				id := fmt.Sprint("refused", i)
				addRequest(r, id, kinds[1], plain, start)
				s := r.byID[id]
				s.small, s.hostUndisturbed, s.status = true, true, http.StatusServiceUnavailable
				delete(r.runs, id)
			}
		}},
		{"a leaving endpoint gets no work", func(r *record) { r.late = []string{"one"} }},
	}
	newSoundRecord := func() *record {
		r := &record{byID: make(map[string]*sentRequest), runs: make(map[string][]arrival), withdrawn: make(map[int]time.Time)}
		addRequest(r, "push", kinds[0], plain, start)
		addRequest(r, "ask", kinds[1], plain, start)
		addRequest(r, "review", kinds[3], engine, start)
		return r
	}
	for _, p := range append(append([]promise{}, alwaysPromises...), timedPromises...) {
		must.Len(t, 0, p.violations(newSoundRecord()), must.Sprint(p.name))
	}
	for _, tc := range cases {
		r := newSoundRecord()
		tc.violate(r)
		found := false
		for _, p := range append(append([]promise{}, alwaysPromises...), timedPromises...) {
			found = found || (p.name == tc.promise && len(p.violations(r)) > 0)
		}
		must.True(t, found, must.Sprint(tc.promise))
	}
}

// addRequest adds a successful request to a record.
func addRequest(r *record, id string, k kind, m *fleetEndpoint, at time.Time) {
	s := &sentRequest{id: id, kind: k, host: &host{}, sentAt: at, endedAt: at.Add(time.Second), status: http.StatusOK, complete: true, stamp: m.Instance + "." + id}
	s.body = "ran " + id + " with body of " + id
	if k.stream {
		s.body = site.StreamBody(streamEvents)
	}
	run := site.Run{AttemptID: id, URI: k.path + "x", Body: "body of " + id, ReceivedAt: at, EndedAt: at.Add(time.Second), Header: http.Header{"Heathkeel-Tenant": {site.Workspace}}}
	a := arrival{Run: run, endpoint: m, undisturbed: true}
	r.sent = append(r.sent, s)
	r.byID[id] = s
	r.arrivals = append(r.arrivals, a)
	r.runs[id] = append(r.runs[id], a)
}
