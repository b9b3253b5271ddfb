// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package soak

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/internal/site"
)

// TestPromisesAreChecked breaks each promise in a record that was put together by hand: a check
// that finds nothing there would find nothing in a run.
func TestPromisesAreChecked(t *testing.T) {
	start := time.Unix(1000, 0)
	plain := &member{Endpoint: &site.Endpoint{Instance: "p"}, service: site.Plain}
	engine := &member{Endpoint: &site.Endpoint{Instance: "e"}, service: site.Engines}
	cases := []struct {
		promise string
		// spoil breaks the promise for many requests, or one where one is enough.
		spoil func(r *record)
	}{
		{"a request that may not be repeated runs once", func(r *record) { r.runs["push"] = append(r.runs["push"], r.runs["push"][0]) }},
		{"what is refused as not run has not run", func(r *record) { r.byID["push"].status = http.StatusServiceUnavailable }},
		{"a whole answer is the endpoint's answer to this request", func(r *record) { r.byID["push"].body = "ran another" }},
		{"a whole answer is the endpoint's answer to this request", func(r *record) { r.byID["push"].stamp = "p.other" }},
		{"a whole answer is the endpoint's answer to this request", func(r *record) { r.byID["review"].body = site.EventText(2) }},
		{"an endpoint runs what a caller sent, and for its own service", func(r *record) { r.arrivals[0].at = engine }},
		{"an endpoint runs what a caller sent, and for its own service", func(r *record) { r.arrivals[0].AttemptID = "unknown" }},
		{"an endpoint runs what a caller sent, and for its own service", func(r *record) { r.arrivals[0].Header = http.Header{} }},
		{"a proper request is not called improper", func(r *record) { r.byID["push"].status = http.StatusNotFound }},
		{"a withdrawn key works no more", func(r *record) { r.withdrawn[0] = start.Add(-revoke - time.Second) }},
		{"an amount is kept", func(r *record) {
			for i := range 200 {
				add(r, fmt.Sprint("small", i), kinds[1], plain, start)
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
				add(r, fmt.Sprint("left", i), kinds[1], plain, start)
				s := r.byID[fmt.Sprint("left", i)]
				s.status, s.left, s.inTouch, s.over = 0, true, true, start.Add(-2*time.Second)
			}
		}},
		{"a planned stop cuts no request", func(r *record) {
			for i := range 8 {
				add(r, fmt.Sprint("cut", i), kinds[1], plain, start)
				s := r.byID[fmt.Sprint("cut", i)]
				s.status, s.planned = 0, true
			}
		}},
		{"a leaving endpoint gets no work", func(r *record) { r.late = []string{"one"} }},
	}
	sound := func() *record {
		r := &record{byID: make(map[string]*sent), runs: make(map[string][]arrival), withdrawn: make(map[int]time.Time)}
		add(r, "push", kinds[0], plain, start)
		add(r, "ask", kinds[1], plain, start)
		add(r, "review", kinds[3], engine, start)
		return r
	}
	for _, p := range append(append([]promise{}, always...), timely...) {
		must.Len(t, 0, p.broken(sound()), must.Sprint(p.name))
	}
	for _, tc := range cases {
		r := sound()
		tc.spoil(r)
		found := false
		for _, p := range append(append([]promise{}, always...), timely...) {
			found = found || (p.name == tc.promise && len(p.broken(r)) > 0)
		}
		must.True(t, found, must.Sprint(tc.promise))
	}
}

// add puts a request that went well into a record.
func add(r *record, id string, k kind, m *member, at time.Time) {
	s := &sent{id: id, kind: k, host: &host{}, at: at, over: at.Add(time.Second), status: http.StatusOK, whole: true, stamp: m.Instance + "." + id}
	s.body = "ran " + id + " with body of " + id
	if k.stream {
		s.body = site.StreamBody(events)
	}
	run := site.Run{AttemptID: id, URI: k.path + "x", Body: "body of " + id, ReceivedAt: at, EndedAt: at.Add(time.Second), Header: http.Header{"Heathkeel-Tenant": {site.Workspace}}}
	a := arrival{Run: run, at: m, calm: true}
	r.sent = append(r.sent, s)
	r.byID[id] = s
	r.arrivals = append(r.arrivals, a)
	r.runs[id] = append(r.runs[id], a)
}
