// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/feed"
	"github.com/heathkeel/heathkeel/origin"
	"github.com/heathkeel/heathkeel/route"
)

// originTable has two routes for streams to one service, and one that is split over two services.
func originTable() *route.Table {
	d := &route.Document{
		Routes: []route.Route{
			{Name: "r", Kind: route.Stream, Resumable: true, Targets: []route.Target{{Service: "s", Weight: 1}}},
			{Name: "other", Kind: route.Stream, Resumable: true, Targets: []route.Target{{Service: "s", Weight: 1}}},
			{Name: "split", Kind: route.Stream, Resumable: true, Targets: []route.Target{{Service: "s", Weight: 1}, {Service: "t", Weight: 1}}},
			{Name: "once", Kind: route.Stream, Targets: []route.Target{{Service: "s", Weight: 1}}},
		},
		Services: []route.Service{{Name: "s"}, {Name: "t"}},
	}
	return route.NewTable(d, 1)
}

// originCall returns a call of a workspace on a route that resumes a stream.
func originCall(s *Server, routeName, workspace, resumes, lastEvent string) *call {
	t := originTable()
	c := &call{s: s, r: &http.Request{Header: make(http.Header)}, table: t, service: t.Service("s"), workspace: &route.Workspace{Name: workspace}, id: "new"}
	for i := range t.Document.Routes {
		if t.Document.Routes[i].Name == routeName {
			c.route = &t.Document.Routes[i]
		}
	}
	if resumes != "" {
		c.r.Header.Set(s.Headers.Resumes, resumes)
	}
	if lastEvent != "" {
		c.r.Header.Set(s.Headers.LastEvent, lastEvent)
	}
	return c
}

// originServer returns a server at which stream "begun" of workspace w began at version v1, on routes r and split.
func originServer(versions ...string) *Server {
	start := time.Now()
	s := &Server{Now: func() time.Duration { return time.Since(start) }, FirstStart: true, Headers: Headers{LastEvent: "Last", Resumes: "Resumes"}}
	s.Init()
	list := []feed.Endpoint{{Instance: "t", Service: "t", Version: "v1"}}
	for _, v := range versions {
		list = append(list, feed.Endpoint{Instance: v, Service: "s", Version: v})
	}
	s.SetEndpoints(list)
	s.SetVersionsRecord("s", origin.Record{Versions: versions, Whole: true})
	s.SetVersionsRecord("t", origin.Record{Versions: []string{"v1"}, Whole: true})
	s.NoteVersionsRead()
	for routeName, service := range map[string]string{"r": "s", "split": "t"} {
		c := originCall(s, routeName, "w", "", "")
		c.id, c.service, c.endpoint = "begun", c.table.Service(service), feed.Endpoint{Instance: "v1", Service: service, Version: "v1"}
		c.noteOrigin()
	}
	return s
}

// TestStreamsResumedByCallers checks at which version a stream goes on that a caller resumes, and when it is refused.
func TestStreamsResumedByCallers(t *testing.T) {
	cases := []struct {
		name                            string
		route, workspace, resumes, last string
		version, service                string
		source                          originSource
		unproven                        bool // nobody remembers it, so that it goes on only while one version serves
	}{
		{name: "a new request", route: "r", workspace: "w", service: "s"},
		{name: "a stream that began here", route: "r", workspace: "w", resumes: "begun", last: "3", version: "v1", service: "s", source: originRemembered},
		{name: "a stream that began at another service of the route", route: "split", workspace: "w", resumes: "begun", last: "3", version: "v1", service: "t", source: originRemembered},
		{name: "an unknown stream", route: "r", workspace: "w", resumes: "lost", last: "3", service: "s", unproven: true},
		{name: "another workspace's stream", route: "r", workspace: "x", resumes: "begun", last: "3", service: "s", unproven: true},
		{name: "another route's stream", route: "other", workspace: "w", resumes: "begun", last: "3", service: "s", unproven: true},
		{name: "no request named", route: "r", workspace: "w", last: "3", service: "s", unproven: true},
		{name: "no event received", route: "r", workspace: "w", resumes: "lost", service: "s"},
		{name: "a route whose streams are not resumed", route: "once", workspace: "w", resumes: "begun", last: "3", service: "s"},
	}
	for _, tc := range cases {
		for _, versions := range [][]string{{"v1"}, {"v1", "v2"}} {
			t.Run(tc.name+", "+strings.Join(versions, " and "), func(t *testing.T) {
				s := originServer(versions...)
				c := originCall(s, tc.route, tc.workspace, tc.resumes, tc.last)
				f := c.bindOrigin(context.Background())
				must.EqOp(t, tc.service, c.service.Name)
				if !tc.unproven {
					must.Nil(t, f)
					must.EqOp(t, tc.version, c.stream.version)
					must.EqOp(t, tc.source, c.stream.source)
					return
				}
				if len(versions) == 1 {
					must.Nil(t, f)
					must.EqOp(t, "v1", c.stream.version)
					must.EqOp(t, originSole, c.stream.source)
					return
				}
				must.NotNil(t, f)
				must.EqOp(t, http.StatusServiceUnavailable, f.status)
				must.Positive(t, f.retryAfter)
			})
		}
	}
}

// TestOthersAreAsked checks that a host which does not remember a stream waits for the others' answers, and no longer than it takes
// until all of them have answered.
func TestOthersAreAsked(t *testing.T) {
	const delay = 5 * time.Millisecond
	cases := []struct {
		name    string
		answers []bool // of each host asked, whether it remembers the stream
		lost    int    // answers that are lost, of the first round
		found   bool
		took    time.Duration
	}{
		{"one knows", []bool{false, true, false}, 0, true, delay},
		{"nobody knows", []bool{false, false, false}, 0, false, delay},
		{"the first answers are lost", []bool{false, true}, 2, true, originRetry + delay},
		{"nobody to ask", nil, 0, false, 0},
		{"one does not answer", []bool{false, false}, 1000, false, originWait},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := originServer("v1", "v2")
				lost := tc.lost
				s.SetOriginAsker(func(keys origin.Keys) int {
					for i, known := range tc.answers {
						r := origin.Report{Unknown: keys}
						if known {
							r = origin.Report{Known: map[string]origin.Keys{"v2": keys}}
						}
						if lost--; lost >= 0 {
							continue
						}
						time.AfterFunc(delay, func() { s.OriginsReceived(string(rune('a'+i)), &r) })
					}
					return len(tc.answers)
				})
				c := originCall(s, "r", "w", "elsewhere", "3")
				begun := time.Now()
				f := c.bindOrigin(context.Background())
				must.EqOp(t, tc.took, time.Since(begun))
				must.EqOp(t, tc.found, f == nil)
				if tc.found {
					must.EqOp(t, "v2", c.stream.version)
					must.EqOp(t, originAsked, c.stream.source)
				}
				must.MapEmpty(t, s.origins.queries)
			})
		})
	}
}

// TestSoleVersionNeedsContact checks that a host takes the only version that it knows for the one that began a stream only if its list of
// endpoints is young and another host has answered: other hosts may have begun streams at a version that it has not heard of.
func TestSoleVersionNeedsContact(t *testing.T) {
	cases := []struct {
		name    string
		listAge time.Duration
		asked   int
		answers int
		seen    map[string]map[string]int64 // in the answers
		goesOn  bool
	}{
		{"in contact", 0, 2, 1, nil, true},
		{"another host has seen the same", 0, 2, 2, map[string]map[string]int64{"s": {"v1": 0}, "t": {"v1": 0, "v2": 0}}, true},
		{"another host lists another version", 0, 2, 2, map[string]map[string]int64{"s": {"v2": 0}}, false},
		{"another host has listed another version", 0, 2, 2, map[string]map[string]int64{"s": {"v1": 0, "v0": 59_000}}, false},
		{"another host listed another version long ago", 0, 2, 2, map[string]map[string]int64{"s": {"v1": 0, "v0": 60_000}}, true},
		{"alone in its fleet", 0, 0, 0, nil, true},
		{"no answer", 0, 2, 0, nil, false},
		{"an old list", 2 * time.Second, 2, 2, nil, false},
	}
	for _, resumes := range []string{"elsewhere", ""} {
		for _, tc := range cases {
			t.Run(fmt.Sprintf("%s, request named: %t", tc.name, resumes != ""), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := originServer("v1")
					s.DrainTime = 2 * time.Second
					s.ListConfirmedAt = func() (time.Duration, bool) { return s.Now() - tc.listAge, true }
					s.SetOriginAsker(func(keys origin.Keys) int {
						for i := range tc.answers {
							time.AfterFunc(time.Millisecond, func() { s.OriginsReceived(string(rune('a'+i)), &origin.Report{Unknown: keys, Seen: tc.seen}) })
						}
						return tc.asked
					})
					must.EqOp(t, tc.goesOn, originCall(s, "r", "w", resumes, "3").bindOrigin(context.Background()) == nil)
					must.MapEmpty(t, s.origins.queries)
				})
			})
		}
	}
}

// TestStreamsAreToldOnceVersionsMix checks that other hosts are told of no stream while one version serves, and of all recent ones as
// soon as a second one is listed, before a stream can begin there.
func TestStreamsAreToldOnceVersionsMix(t *testing.T) {
	s := originServer("v1")
	must.MapEmpty(t, s.TakeOrigins().Known)
	s.SetEndpoints([]feed.Endpoint{{Instance: "a", Service: "s", Version: "v1"}, {Instance: "b", Service: "s", Version: "v2"}, {Instance: "t", Service: "t", Version: "v1"}})
	must.Len(t, 1, s.TakeOrigins().Known["v1"])
	c := originCall(s, "r", "w", "begun", "3")
	c.endpoint = feed.Endpoint{Instance: "a", Service: "s", Version: "v1"}
	c.noteOrigin()
	must.Len(t, 1, s.TakeOrigins().Known["v1"]) // the new request; the stream itself is known
}

// TestRestOfResumedStream checks that a stream which its caller resumes is planned by what is left of it.
func TestRestOfResumedStream(t *testing.T) {
	cases := []struct {
		name          string
		route, last   string
		max, expected int
	}{
		{"new", "r", "", 100, 60},
		{"resumed", "r", "10", 60, 20},
		{"longer than expected", "r", "20", 20, 1},
		{"longer than allowed", "r", "30", 1, 1},
		{"the number is no count", "r", "4711", 100, 60},
		{"no number", "r", "x", 100, 60},
		{"not resumable", "once", "10", 100, 60},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := originCall(originServer("v1"), tc.route, "w", "begun", tc.last)
			c.service.EventTokens, c.tokensOut, c.lengthHint = 4, 100, 60
			r := c.newRequest(0)
			must.EqOp(t, tc.max, r.MaxTokens)
			must.EqOp(t, tc.expected, r.ExpectedTokens)
		})
	}
}
