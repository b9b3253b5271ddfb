// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/heathkeel/heathkeel/internal/site"
)

// arrival is a request that an endpoint ran.
type arrival struct {
	site.Run
	at *member
	// calm says that nothing disturbed the endpoint's link for the contact time before.
	calm bool
}

// record is all that callers and endpoints saw in a run.
type record struct {
	sent      []*sent
	byID      map[string]*sent
	arrivals  []arrival
	runs      map[string][]arrival
	withdrawn map[int]time.Time
	// late are arrivals at endpoints that had left, see watch.
	late []string
}

// look puts a record together.
func look(f *fleet, c *clients) *record {
	r := &record{sent: c.all(), byID: make(map[string]*sent), runs: make(map[string][]arrival), withdrawn: c.withdrawn}
	for _, s := range r.sent {
		r.byID[s.id] = s
	}
	for _, m := range f.all() {
		for _, run := range m.Runs() {
			a := arrival{Run: run, at: m}
			r.arrivals = append(r.arrivals, a)
			r.runs[run.AttemptID] = append(r.runs[run.AttemptID], a)
		}
	}
	return r
}

// promise is something that must hold whatever fails; it names what breaks it.
type promise struct {
	name   string
	broken func(r *record) []string
}

// always hold whatever time things take, and are checked in CI too.
var always = []promise{
	{"a request that may not be repeated runs once", (*record).twice},
	{"what is refused as not run has not run", (*record).falseRefusals},
	{"a whole answer is the endpoint's answer to this request", (*record).mixed},
	{"an endpoint runs what a caller sent, and for its own service", (*record).unasked},
	{"a proper request is not called improper", (*record).denied},
}

// timely hold within times, and are checked on a machine that is not overloaded.
var timely = []promise{
	{"a withdrawn key works no more", (*record).revoked},
	{"an amount is kept", (*record).overQuota},
	{"repeats stay within their budget", (*record).overBudget},
	{"an endpoint stops when its caller has left", (*record).gone},
	{"a planned stop cuts no request", (*record).cutByStop},
	{"a leaving endpoint gets no work", func(r *record) []string { return r.late }},
}

func (r *record) twice() []string {
	var out []string
	for id, runs := range r.runs {
		if s := r.byID[id]; s != nil && !s.kind.repeatable && len(runs) > 1 {
			out = append(out, fmt.Sprintf("%s %s ran %d times", id, s.kind.path, len(runs)))
		}
	}
	return out
}

func (r *record) falseRefusals() []string {
	var out []string
	for _, s := range r.sent {
		promised := s.status == http.StatusServiceUnavailable || s.status == http.StatusTooManyRequests || s.status == http.StatusRequestTimeout ||
			s.status == http.StatusMisdirectedRequest
		if promised && !s.kind.repeatable && len(r.runs[s.id]) > 0 {
			out = append(out, fmt.Sprintf("%s %s got %d and ran", s.id, s.kind.path, s.status))
		}
	}
	return out
}

func (r *record) mixed() []string {
	var out []string
	for _, s := range r.sent {
		want := "ran " + s.id + " with body of " + s.id
		if s.kind.stream {
			want = site.StreamBody(events)
		}
		switch {
		case s.status != http.StatusOK:
		case !strings.HasSuffix(s.stamp, "."+s.id):
			out = append(out, fmt.Sprintf("%s has the stamp %q", s.id, s.stamp))
		case s.whole && s.body != want:
			out = append(out, fmt.Sprintf("%s %s has the body %q", s.id, s.kind.path, s.body))
		case !strings.HasPrefix(want, s.body):
			out = append(out, fmt.Sprintf("%s %s has the part %q", s.id, s.kind.path, s.body))
		}
	}
	return out
}

func (r *record) unasked() []string {
	var out []string
	for _, a := range r.arrivals {
		s := r.byID[a.AttemptID]
		if s == nil {
			out = append(out, "nobody sent "+a.AttemptID)
			continue
		}
		service, workspace := site.Plain, site.Workspace
		if s.kind.stream {
			service = site.Engines
		}
		if s.small {
			workspace = "small"
		}
		if a.URI != s.kind.path+"x" || a.Body != "body of "+s.id || a.at.service != service || a.Header.Get("Heathkeel-Tenant") != workspace {
			out = append(out, fmt.Sprintf("%s came as %s %q at %s for %s", s.id, a.URI, a.Body, a.at.Instance, a.Header.Get("Heathkeel-Tenant")))
		}
	}
	return out
}

func (r *record) denied() []string {
	var out []string
	for _, s := range r.sent {
		_, old := r.withdrawn[s.generation]
		improper := s.status == http.StatusNotFound || s.status == http.StatusForbidden || s.status == http.StatusBadRequest
		// The first keys were in force before any host started.
		if improper || (s.status == http.StatusUnauthorized && s.generation == 0 && !old) {
			out = append(out, fmt.Sprintf("%s got %d", s.id, s.status))
		}
	}
	return out
}

// slack is what the driver's own clock and scheduling may add to a time.
const slack = 250 * time.Millisecond

func (r *record) revoked() []string {
	var out []string
	for _, a := range r.arrivals {
		s := r.byID[a.AttemptID]
		if s == nil {
			continue
		}
		if end, ok := r.withdrawn[s.generation]; ok && s.at.After(end.Add(revoke+slack)) {
			out = append(out, fmt.Sprintf("%s ran with a key that was withdrawn %s before it was sent", s.id, s.at.Sub(end)))
		}
	}
	return out
}

func (r *record) overQuota() []string {
	type use struct{ sent, at time.Time }
	var uses []use
	for _, a := range r.arrivals {
		if s := r.byID[a.AttemptID]; s != nil && s.small && a.LastEvent == 0 && a.AttemptID == r.runs[a.AttemptID][0].AttemptID && a.ReceivedAt.Equal(r.runs[a.AttemptID][0].ReceivedAt) {
			uses = append(uses, use{s.at, a.ReceivedAt})
		}
	}
	slices.SortFunc(uses, func(x, y use) int { return x.sent.Compare(y.sent) })
	most := (smallRate*quotaWindow.Seconds()+smallBurst)*(1+quotaOvershoot) + quotaSlack
	for i := range uses {
		n := 0
		for _, u := range uses[i:] {
			if end := uses[i].sent.Add(quotaWindow); u.sent.Before(end) && u.at.Before(end) {
				n++
			}
		}
		if got := float64(n * tokens); got > most {
			return []string{fmt.Sprintf("%g tokens in %s from %s on, %g allowed", got, quotaWindow, uses[i].sent.Format(time.StampMilli), most)}
		}
	}
	return nil
}

func (r *record) overBudget() []string {
	const window = 10 * time.Second
	for _, service := range []string{site.Plain, site.Engines} {
		var extra, asked []time.Time
		for _, s := range r.sent {
			if s.kind.stream == (service == site.Engines) {
				asked = append(asked, s.at)
			}
		}
		for _, runs := range r.runs {
			slices.SortFunc(runs, func(x, y arrival) int { return x.ReceivedAt.Compare(y.ReceivedAt) })
			for _, a := range runs[1:] {
				if a.at.service == service {
					extra = append(extra, a.ReceivedAt)
				}
			}
		}
		in := func(times []time.Time, from time.Time) int {
			n := 0
			for _, t := range times {
				if !t.Before(from) && t.Before(from.Add(window)) {
					n++
				}
			}
			return n
		}
		for _, from := range extra {
			requests := max(in(asked, from), in(asked, from.Add(-window/2)), in(asked, from.Add(-window)))
			if got, most := in(extra, from), 0.2*float64(requests)+50; float64(got) > most {
				return []string{fmt.Sprintf("%s: %d repeats in %s, %g allowed", service, got, window, most)}
			}
		}
	}
	return nil
}

// gone looks at requests that would have lasted: an endpoint may not work on more than a
// quarter of them half a second after their callers left.
func (r *record) gone() []string {
	const after = 500 * time.Millisecond
	counted := 0
	var out []string
	for _, s := range r.sent {
		if !s.left || !s.kind.repeatable || !s.inTouch {
			continue
		}
		counted++
		for _, a := range r.runs[s.id] {
			if a.calm && (a.EndedAt.IsZero() || a.EndedAt.After(s.over.Add(after+slack))) {
				out = append(out, fmt.Sprintf("%s was still at work at %s for %s after its caller left", s.id, a.at.Instance, a.EndedAt.Sub(s.over)))
				break
			}
		}
	}
	if len(out) <= max(3, counted/4) {
		return nil
	}
	return out
}

func (r *record) cutByStop() []string {
	var out []string
	for _, s := range r.sent {
		if s.status != 0 || s.left || !s.planned || len(r.runs[s.id]) == 0 {
			continue
		}
		calm := true
		for _, a := range r.runs[s.id] {
			calm = calm && a.calm
		}
		if calm {
			out = append(out, fmt.Sprintf("%s to %s was cut after %s", s.id, s.host.name, s.over.Sub(s.at)))
		}
	}
	if len(out) <= 3 { // the rule allows three: a close may cross a request
		return nil
	}
	return out
}
