// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package site

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/platform"
)

// streamEvents is the number of events of the engines' streams.
const streamEvents = 6

// testSite is a site with two plain services and two engines.
type testSite struct {
	*Site
	plain, engines [2]*Endpoint
}

// startTestSite starts a testSite with n hosts.
func startTestSite(t *testing.T, n int) *testSite {
	t.Helper()
	return startTestSiteWith(t, n, func(*Site) {})
}

// startTestSiteWith starts a testSite with n hosts after prepare has changed its Site.
func startTestSiteWith(t *testing.T, n int, prepare func(*Site)) *testSite {
	t.Helper()
	s := &testSite{Site: &Site{Log: logr.Discard()}}
	prepare(s.Site)
	must.NoError(t, s.Site.Start())
	t.Cleanup(s.Stop)
	s.Store.Put(platform.KeyConfig, Example())
	var err error
	s.plain, s.engines, err = s.AddExampleEndpoints(streamEvents, 5*time.Millisecond)
	must.NoError(t, err)
	for i := range 2 {
		t.Cleanup(s.plain[i].Stop)
		t.Cleanup(s.engines[i].Stop)
	}
	for range n {
		_, err := s.AddHost()
		must.NoError(t, err)
	}
	s.await(t, "the first host serves requests", func() bool {
		return Do(s.Hosts[0].Boot.Front, Call{Path: "/ask/x", Key: Key, ID: "warm-1"}).Status == 200 &&
			Do(s.Hosts[0].Boot.Front, Call{Path: "/draft/x", Key: Key, ID: "warm-2", Body: "b"}).Status == 200
	})
	return s
}

// await waits up to 30 s until ok returns true. No test depends on how long that takes.
func (s *testSite) await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for range 600 {
		if ok() {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatalf("%s: not within 30 s", what)
}

// setFaults sets the fault of the next n requests, whichever endpoints they reach.
func (s *testSite) setFaults(f Fault, n int) {
	list := make([]Fault, n)
	for i := range list {
		list[i] = f
	}
	ShareFaults(list, s.plain[0], s.plain[1], s.engines[0], s.engines[1])
}

// countRuns counts the runs of a request at all endpoints.
func (s *testSite) countRuns(id string) int {
	n := 0
	for i := range 2 {
		for _, r := range append(s.plain[i].Runs(), s.engines[i].Runs()...) {
			if r.AttemptID == id {
				n++
			}
		}
	}
	return n
}

// TestEndpointFaults sends one request of each kind while the next requests at all endpoints meet a
// fault, and checks the answer against what callers may be told.
func TestEndpointFaults(t *testing.T) {
	s := startTestSite(t, 1)
	s.testEndpointFaults(t, endpointFaults())
}

// endpointFaultCase is a fault and what the caller gets.
type endpointFaultCase struct {
	fault Fault
	times int // number of requests that meet the fault
	path  string
	// status is the expected status, and maxRuns the limit of runs.
	status, maxRuns int
}

// cut is the status of a case in which the connection closes before the answer is complete.
const cut = -1

// endpointFaults returns the cases of TestEndpointFaults.
func endpointFaults() []endpointFaultCase {
	return []endpointFaultCase{
		{None, 1, "/push/a", 200, 1}, {None, 1, "/ask/a", 200, 1}, {None, 1, "/draft/a", 200, 1}, {None, 1, "/review/a", 200, 1},
		{Full, 9, "/push/a", 503, 0}, {Full, 9, "/draft/a", 503, 0},
		{Full, 1, "/push/a", 200, 1}, {Full, 1, "/draft/a", 200, 1}, {Error, 1, "/ask/a", 200, 2}, {Reset, 1, "/ask/a", 200, 2},
		{Reset, 1, "/review/a", 200, 2}, {Error, 9, "/push/a", 500, 1}, {Error, 9, "/ask/a", 500, 2}, {Error, 9, "/draft/a", 500, 1},
		{Reset, 9, "/push/a", 502, 1}, {Reset, 9, "/ask/a", 502, 2}, {Reset, 9, "/draft/a", 502, 1}, {Reset, 9, "/review/a", 502, 2},
		{Truncated, 9, "/push/a", 502, 1}, {Truncated, 1, "/draft/a", cut, 1}, {Truncated, 1, "/review/a", 200, 2},
		{TruncatedEvent, 1, "/draft/a", cut, 1}, {TruncatedEvent, 1, "/review/a", 200, 2},
		{InvalidAnswer, 9, "/push/a", 502, 1}, {InvalidAnswer, 9, "/ask/a", 502, 2}, {InvalidAnswer, 9, "/draft/a", 502, 1},
		{TruncatedStatus, 9, "/push/a", 502, 1}, {TruncatedStatus, 9, "/ask/a", 502, 2}, {TruncatedStatus, 9, "/draft/a", 502, 1}, {TruncatedStatus, 9, "/review/a", 502, 2},
		{TruncatedField, 9, "/push/a", 502, 1}, {TruncatedField, 9, "/ask/a", 502, 2}, {TruncatedField, 9, "/draft/a", 502, 1}, {TruncatedField, 9, "/review/a", 502, 2},
		{TruncatedHead, 9, "/push/a", 502, 1}, {TruncatedHead, 9, "/ask/a", 502, 2}, {TruncatedHead, 9, "/draft/a", 502, 1}, {TruncatedHead, 9, "/review/a", 502, 2},
		{TruncatedHead, 1, "/ask/a", 200, 2}, {TruncatedHead, 1, "/review/a", 200, 2},
		{NoStamp, 9, "/push/a", 502, 1}, {NoStamp, 9, "/draft/a", 502, 1},
		{ExtraAnswer, 1, "/push/a", 200, 1}, {ExtraAnswer, 1, "/ask/a", 200, 1},
		{WrongAnswer, 1, "/push/a", 200, 1}, {WrongAnswer, 1, "/draft/a", 200, 1},
		{Unframed, 1, "/push/a", 200, 1}, {UnframedReset, 9, "/push/a", 502, 1},
		{SkipEvent, 1, "/draft/a", cut, 1}, {SkipEvent, 1, "/review/a", 200, 2},
		{DoubleEvent, 1, "/draft/a", 200, 1}, {DoubleEvent, 1, "/review/a", 200, 1},
		{Closing, 1, "/push/a", 200, 1}, {Closing, 1, "/draft/a", 200, 1}, {Interim, 1, "/push/a", 200, 1},
		{Hang, 9, "/brief/a", 504, 1},
	}
}

// TestOneSilentEndpoint lets one endpoint be silent, so that the other one takes the request over. Neither may have failed before: endpoints that
// are ejected take nothing over.
func TestOneSilentEndpoint(t *testing.T) {
	s := startTestSite(t, 1)
	s.testEndpointFaults(t, oneSilentEndpoint())
}

// oneSilentEndpoint returns the cases of TestOneSilentEndpoint.
func oneSilentEndpoint() []endpointFaultCase {
	return []endpointFaultCase{{Hang, 1, "/ask/a", 200, 2}, {Hang, 1, "/review/a", 200, 2}}
}

// testEndpointFaults sends the requests of cases to the first host.
func (s *testSite) testEndpointFaults(t *testing.T, cases []endpointFaultCase) {
	for i, tc := range cases {
		t.Run(fmt.Sprintf("%s %s", tc.fault, tc.path), func(t *testing.T) {
			id := fmt.Sprintf("case-%d", i)
			s.setFaults(tc.fault, tc.times)
			a := Do(s.Hosts[0].Boot.Front, Call{Path: tc.path, Key: Key, ID: id, Body: "body of " + id, Tokens: "20,30"})
			s.setFaults(None, 0)
			runs := s.countRuns(id)
			must.LessEq(t, tc.maxRuns, runs)
			switch tc.status {
			case cut:
				must.False(t, a.Complete)
			case 200:
				must.EqOp(t, 200, a.Status)
				must.True(t, a.Complete)
				must.NotEq(t, "", a.Header.Get("Heathkeel-Response-Stamp"))
				must.EqOp(t, id, a.Header.Get("Heathkeel-Attempt-Id"))
				if tc.path == "/draft/a" || tc.path == "/review/a" {
					must.EqOp(t, StreamBody(streamEvents), a.Body)
				} else {
					must.EqOp(t, "ran "+id+" with body of "+id, a.Body)
				}
			default:
				must.EqOp(t, tc.status, a.Status)
				if a.Status != 500 {
					must.EqOp(t, "", a.Header.Get("Heathkeel-Response-Stamp"))
				}
			}
			if a.Status == 503 {
				must.EqOp(t, 0, runs) // 503 promises that the request has not run
				must.NotEq(t, "", a.Header.Get("Retry-After"))
			}
			// Nothing that the fault left behind may reach the next request.
			after := Do(s.Hosts[0].Boot.Front, Call{Path: "/ask/b", Key: Key, ID: id + "-after", Body: "b"})
			must.EqOp(t, "ran "+id+"-after with b", after.Body)
		})
	}
}

// TestSmuggling sends malformed or ambiguous requests as raw bytes and checks that the request
// hidden in them runs at no endpoint.
func TestSmuggling(t *testing.T) {
	s := startTestSite(t, 1)
	inner := "GET /open/hidden HTTP/1.1\r\nHost: " + HostName + "\r\nHeathkeel-Attempt-Id: hidden\r\n\r\n"
	head := "POST /open/x HTTP/1.1\r\nHost: " + HostName + "\r\nHeathkeel-Attempt-Id: outer\r\n"
	cases := []struct {
		name, bytes string
		statuses    []string // accepted statuses; "" means that the connection closes without an answer
	}{
		{"two lengths", head + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello" + inner, []string{"400"}},
		{"length and chunks", head + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", []string{"200", "400"}},
		{"unknown coding", head + "Transfer-Encoding: xchunked\r\n\r\n" + inner, []string{"400", "501"}},
		{"coding twice", head + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", []string{"400", "501"}},
		{"bad chunk", head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n" + inner, []string{"400"}},
		{"negative length", head + "Content-Length: -1\r\n\r\n", []string{"400"}},
		{"space before the colon", head + "Content-Length : 5\r\n\r\nhello", []string{"400"}},
		{"NUL byte in a value", head + "X-A: b\x00c\r\n\r\n", []string{"400"}},
		{"two hosts", "GET /open/x HTTP/1.1\r\nHost: a\r\nHost: " + HostName + "\r\n\r\n", []string{"400"}},
		{"no host", "GET /open/x HTTP/1.1\r\nHeathkeel-Attempt-Id: outer\r\n\r\n", []string{"400"}},
		{"two ids", head + "Heathkeel-Attempt-Id: hidden\r\n\r\n", []string{"400"}},
		{"header too long", head + "X-Long: " + strings.Repeat("x", 40000) + "\r\n\r\n", []string{"431"}},
		{"no request", "\x16\x03\x01\x02\x00\x01\x00\r\n\r\n", []string{"400", ""}},
		{"line break after the method", "GET\r\nX /open/x HTTP/1.1\r\n\r\n", []string{"400"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c, err := net.Dial("tcp", s.Hosts[0].Boot.Front)
			must.NoError(t, err)
			defer c.Close()
			_, _ = c.Write([]byte(tc.bytes))
			must.NoError(t, c.SetReadDeadline(time.Now().Add(10*time.Second)))
			line, _ := bufio.NewReader(c).ReadString('\n')
			status := ""
			if f := strings.Fields(line); len(f) > 1 {
				status = f[1]
			}
			must.SliceContains(t, tc.statuses, status)
		})
	}
	must.EqOp(t, 0, s.countRuns("hidden"))
}

// TestAdmission checks the documented refusals that precede dispatch.
func TestAdmission(t *testing.T) {
	s := startTestSite(t, 1)
	long := make([]byte, 100001)
	for i := range long {
		long[i] = 'x'
	}
	cases := []struct {
		name   string
		call   Call
		status int
	}{
		{"no route", Call{Path: "/none/a", Key: Key, ID: "a"}, 404},
		{"prefix without its slash", Call{Path: "/ask", Key: Key, ID: "a"}, 404},
		{"no key", Call{Path: "/ask/a", ID: "a"}, 401},
		{"unknown key", Call{Path: "/ask/a", Key: "x", ID: "a"}, 401},
		{"public route without key", Call{Path: "/open/a", ID: "a"}, 200},
		{"no id", Call{Path: "/ask/a", Key: Key}, 400},
		{"bad deadline", Call{Path: "/ask/a", Key: Key, ID: "a", Header: http.Header{"Heathkeel-Deadline-Ms": {"soon"}}}, 400},
		{"bad tokens", Call{Path: "/draft/a", Key: Key, ID: "a", Tokens: "many", Body: "b"}, 400},
		{"negative tokens", Call{Path: "/draft/a", Key: Key, ID: "a", Tokens: "-5,1", Body: "b"}, 400},
		{"body too large", Call{Path: "/ask/a", Key: Key, ID: "a", Body: string(long)}, 413},
		{"prompt larger than any endpoint", Call{Path: "/draft/a", Key: Key, ID: "a", Tokens: "100001,1", Body: "b"}, 413},
		{"larger than the amount, once", Call{Path: "/draft/a", Key: Key, ID: "a", Tokens: "99000,90000", Body: "b"}, 200},
		{"beyond the amount", Call{Path: "/draft/a", Key: Key, ID: "a", Tokens: "99000,90000", Body: "b"}, 429},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			a := Do(s.Hosts[0].Boot.Front, tc.call)
			must.EqOp(t, tc.status, a.Status)
			if tc.status != 200 {
				must.EqOp(t, "", a.Header.Get("Heathkeel-Response-Stamp"))
			}
		})
	}
}

// TestHeaders checks that an endpoint gets the documented header fields.
func TestHeaders(t *testing.T) {
	s := startTestSite(t, 1)
	sent := http.Header{
		"Heathkeel-Tenant": {"forged"}, "Heathkeel-Expect-Instance": {"forged"}, "Kv-From": {"1.2.3.4:5/x"},
		"X-Other": {"kept"}, "Connection": {"X-Hop"}, "X-Hop": {"dropped"},
	}
	a := Do(s.Hosts[0].Boot.Front, Call{Path: "/ask/a%2Fb?q=1&q=2", Key: Key, ID: "h-1", Deadline: 3000, Header: sent})
	must.EqOp(t, 200, a.Status)
	var got *Run
	for i := range 2 {
		for _, r := range s.plain[i].Runs() {
			if r.AttemptID == "h-1" {
				got = &r
				must.EqOp(t, s.plain[i].Instance, r.Header.Get("Heathkeel-Expect-Instance"))
			}
		}
	}
	must.NotNil(t, got)
	must.EqOp(t, "/ask/a%2Fb?q=1&q=2", got.URI)
	must.EqOp(t, Workspace, got.Header.Get("Heathkeel-Tenant"))
	must.EqOp(t, "kept", got.Header.Get("X-Other"))
	for _, name := range []string{"X-Hop", "Authorization", "Kv-From"} {
		must.EqOp(t, "", got.Header.Get(name))
	}
	must.NotEq(t, "", got.Header.Get("Heathkeel-Deadline-Ms"))
}

// TestRouteTimeout checks that an endpoint stops working on a request when the route's timeout has
// passed.
func TestRouteTimeout(t *testing.T) {
	s := startTestSite(t, 1)
	s.setFaults(Hang, 9)
	must.EqOp(t, 504, Do(s.Hosts[0].Boot.Front, Call{Path: "/brief/a", Key: Key, ID: "late-1"}).Status)
	s.await(t, "the endpoint is free", s.idle)
}

// idle reports whether no endpoint works on a request.
func (s *testSite) idle() bool {
	n := 0
	for i := range 2 {
		n += s.plain[i].InFlight() + s.engines[i].InFlight()
	}
	return n == 0
}

// TestResumeFails breaks a stream off and lets the endpoint that should resume it answer with
// something other than the rest of the stream. The caller must not take what it got for the
// complete stream.
func TestResumeFails(t *testing.T) {
	s := startTestSite(t, 1)
	for _, second := range []Fault{Error, Full, NoStamp, Reset, InvalidAnswer} {
		t.Run(string(second), func(t *testing.T) {
			id := "resume-" + string(second[:4])
			list := []Fault{TruncatedEvent}
			for range 9 {
				list = append(list, second)
			}
			ShareFaults(list, s.engines[0], s.engines[1])
			a := Do(s.Hosts[0].Boot.Front, Call{Path: "/review/a", Key: Key, ID: id, Body: "b", Tokens: "10,30"})
			ShareFaults(nil, s.engines[0], s.engines[1])
			must.EqOp(t, 200, a.Status)
			must.False(t, a.Complete)
			must.StrHasPrefix(t, a.Body, StreamBody(streamEvents))
		})
	}
}

// TestStreamsWithComments guards against events that are dropped, or taken for out of order, because a comment came before them: their numbers
// may begin with 0, and go on behind the last event that the caller has.
func TestStreamsWithComments(t *testing.T) {
	s := startTestSite(t, 1)
	rest := ""
	for n := 4; n <= streamEvents; n++ {
		rest += EventText(n)
	}
	cases := []struct {
		name   string
		faults []Fault
		last   string // Last-Event-Id of the caller
		want   string
	}{
		{"from 1", []Fault{Comment}, "", CommentText + StreamBody(streamEvents)},
		{"from 0", []Fault{CommentFromZero}, "", CommentText + EventText(0) + StreamBody(streamEvents)},
		{"a caller resumes", []Fault{Comment}, "3", CommentText + rest},
		{"a host resumes", []Fault{TruncatedEvent, Comment}, "", EventText(1) + EventText(2) + CommentText + EventText(3) + rest},
	}
	for i, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := Call{Path: "/review/a", Key: Key, ID: fmt.Sprint("comment-", i), Body: "b", Tokens: "10,30"}
			if tc.last != "" {
				c.Header = http.Header{"Last-Event-Id": {tc.last}}
			}
			ShareFaults(tc.faults, s.engines[0], s.engines[1])
			a := Do(s.Hosts[0].Boot.Front, c)
			ShareFaults(nil, s.engines[0], s.engines[1])
			must.EqOp(t, 200, a.Status)
			must.True(t, a.Complete)
			must.EqOp(t, tc.want, a.Body)
		})
	}
}
