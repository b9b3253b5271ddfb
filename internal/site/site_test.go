// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package site

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/platform"
)

// events is the length of the endpoints' streams.
const events = 6

// scene is a site with two plain services and two engines.
type scene struct {
	*Site
	plain, engines [2]*Endpoint
}

// start starts a scene with n hosts.
func start(t *testing.T, n int) *scene {
	t.Helper()
	s := &scene{Site: &Site{Log: logr.Discard()}}
	must.NoError(t, s.Site.Start())
	t.Cleanup(s.Stop)
	s.Store.Put(platform.KeyConfig, Example())
	var err error
	s.plain, s.engines, err = s.AddScene(events, 5*time.Millisecond)
	must.NoError(t, err)
	for i := range 2 {
		t.Cleanup(s.plain[i].Stop)
		t.Cleanup(s.engines[i].Stop)
	}
	for range n {
		_, err := s.AddHost()
		must.NoError(t, err)
	}
	s.await(t, "first answers", func() bool {
		return Do(s.Hosts[0].Boot.Front, Call{Path: "/ask/x", Key: Key, ID: "warm-1"}).Status == 200 &&
			Do(s.Hosts[0].Boot.Front, Call{Path: "/draft/x", Key: Key, ID: "warm-2", Body: "b"}).Status == 200
	})
	return s
}

// await waits for a condition; how long it takes is not part of any verdict.
func (s *scene) await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for range 600 {
		if ok() {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatalf("%s: not within half a minute", what)
}

// fail lets the next n requests, at whichever endpoint, meet a fault.
func (s *scene) fail(f Fault, n int) {
	list := make([]Fault, n)
	for i := range list {
		list[i] = f
	}
	Share(list, s.plain[0], s.plain[1], s.engines[0], s.engines[1])
}

// runs counts the runs of a request at all endpoints.
func (s *scene) runs(id string) int {
	n := 0
	for i := range 2 {
		for _, r := range append(s.plain[i].Runs(), s.engines[i].Runs()...) {
			if r.Attempt == id {
				n++
			}
		}
	}
	return n
}

// TestEndpointFaults sends one request of each kind while every endpoint's next
// request meets a fault, and holds the answer against what may be told.
func TestEndpointFaults(t *testing.T) {
	s := start(t, 1)
	const cut = -1 // the connection closes before the answer is whole
	cases := []struct {
		fault Fault
		times int // how many requests meet it
		path  string
		// status is wanted, with mostRuns runs at most.
		status, mostRuns int
	}{
		{None, 1, "/push/a", 200, 1}, {None, 1, "/ask/a", 200, 1}, {None, 1, "/draft/a", 200, 1}, {None, 1, "/review/a", 200, 1},
		{Full, 9, "/push/a", 503, 0}, {Full, 9, "/draft/a", 503, 0},
		{Full, 1, "/push/a", 200, 1}, {Full, 1, "/draft/a", 200, 1}, {Error, 1, "/ask/a", 200, 2}, {Reset, 1, "/ask/a", 200, 2},
		{Reset, 1, "/review/a", 200, 2}, {Error, 9, "/push/a", 500, 1}, {Error, 9, "/ask/a", 500, 2}, {Error, 9, "/draft/a", 500, 1},
		{Reset, 9, "/push/a", 502, 1}, {Reset, 9, "/ask/a", 502, 2}, {Reset, 9, "/draft/a", 502, 1}, {Reset, 9, "/review/a", 502, 2},
		{Torn, 9, "/push/a", 502, 1}, {Torn, 1, "/draft/a", cut, 1}, {Torn, 1, "/review/a", 200, 2},
		{TornEvent, 1, "/draft/a", cut, 1}, {TornEvent, 1, "/review/a", 200, 2},
		{NoAnswer, 9, "/push/a", 502, 1}, {NoAnswer, 9, "/ask/a", 502, 2}, {NoAnswer, 9, "/draft/a", 502, 1},
		{NoStamp, 9, "/push/a", 502, 1}, {NoStamp, 9, "/draft/a", 502, 1},
		{Surplus, 1, "/push/a", 200, 1}, {Surplus, 1, "/ask/a", 200, 1},
		{Foreign, 1, "/push/a", 200, 1}, {Foreign, 1, "/draft/a", 200, 1},
		{Unframed, 1, "/push/a", 200, 1}, {UnframedReset, 9, "/push/a", 502, 1},
		{SkipEvent, 1, "/draft/a", cut, 1}, {SkipEvent, 1, "/review/a", 200, 2},
		{DoubleEvent, 1, "/draft/a", 200, 1}, {DoubleEvent, 1, "/review/a", 200, 1},
		{Closing, 1, "/push/a", 200, 1}, {Closing, 1, "/draft/a", 200, 1}, {Interim, 1, "/push/a", 200, 1},
		{Hang, 9, "/brief/a", 504, 1}, {Hang, 1, "/ask/a", 200, 2}, {Hang, 1, "/review/a", 200, 2},
	}
	for i, tc := range cases {
		t.Run(fmt.Sprintf("%s %s", tc.fault, tc.path), func(t *testing.T) {
			id := fmt.Sprintf("case-%d", i)
			s.fail(tc.fault, tc.times)
			a := Do(s.Hosts[0].Boot.Front, Call{Path: tc.path, Key: Key, ID: id, Body: "body of " + id, Tokens: "20,30"})
			s.fail(None, 0)
			runs := s.runs(id)
			must.LessEq(t, tc.mostRuns, runs)
			switch tc.status {
			case cut:
				must.False(t, a.Whole)
			case 200:
				must.EqOp(t, 200, a.Status)
				must.True(t, a.Whole)
				must.NotEq(t, "", a.Header.Get("Heathkeel-Response-Stamp"))
				must.EqOp(t, id, a.Header.Get("Heathkeel-Attempt-Id"))
				if tc.path == "/draft/a" || tc.path == "/review/a" {
					must.EqOp(t, Stream(events), a.Body)
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
				must.EqOp(t, 0, runs) // the promise
				must.NotEq(t, "", a.Header.Get("Retry-After"))
			}
			// What the fault left behind must not reach the next request.
			after := Do(s.Hosts[0].Boot.Front, Call{Path: "/ask/b", Key: Key, ID: id + "-after", Body: "b"})
			must.EqOp(t, "ran "+id+"-after with b", after.Body)
		})
	}
}

// TestSmuggling sends requests that no honest caller sends, as bytes, and checks
// that none of them runs anywhere in another form than the first line says.
func TestSmuggling(t *testing.T) {
	s := start(t, 1)
	inner := "GET /open/hidden HTTP/1.1\r\nHost: " + Name + "\r\nHeathkeel-Attempt-Id: hidden\r\n\r\n"
	head := "POST /open/x HTTP/1.1\r\nHost: " + Name + "\r\nHeathkeel-Attempt-Id: outer\r\n"
	cases := []struct {
		name, bytes string
		statuses    []string // any of these; "" means that the connection closes without an answer
	}{
		{"two lengths", head + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello" + inner, []string{"400"}},
		{"length and chunks", head + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", []string{"200", "400"}},
		{"unknown coding", head + "Transfer-Encoding: xchunked\r\n\r\n" + inner, []string{"400", "501"}},
		{"coding twice", head + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", []string{"400", "501"}},
		{"bad chunk", head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n" + inner, []string{"400"}},
		{"negative length", head + "Content-Length: -1\r\n\r\n", []string{"400"}},
		{"space before the colon", head + "Content-Length : 5\r\n\r\nhello", []string{"400"}},
		{"bare line feed in a value", head + "X-A: b\x00c\r\n\r\n", []string{"400"}},
		{"two hosts", "GET /open/x HTTP/1.1\r\nHost: a\r\nHost: " + Name + "\r\n\r\n", []string{"400"}},
		{"no host", "GET /open/x HTTP/1.1\r\nHeathkeel-Attempt-Id: outer\r\n\r\n", []string{"400"}},
		{"two ids", head + "Heathkeel-Attempt-Id: hidden\r\n\r\n", []string{"400"}},
		{"header too long", head + "X-Long: " + strings.Repeat("x", 40000) + "\r\n\r\n", []string{"431"}},
		{"no request", "\x16\x03\x01\x02\x00\x01\x00\r\n\r\n", []string{"400", ""}},
		{"method with a line", "GET\r\nX /open/x HTTP/1.1\r\n\r\n", []string{"400"}},
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
	must.EqOp(t, 0, s.runs("hidden"))
}

// TestAdmission holds refusals before any decision against the pages.
func TestAdmission(t *testing.T) {
	s := start(t, 1)
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

// TestHeaders holds what an endpoint gets against the pages.
func TestHeaders(t *testing.T) {
	s := start(t, 1)
	sent := http.Header{
		"Heathkeel-Tenant": {"forged"}, "Heathkeel-Expect-Instance": {"forged"}, "Kv-From": {"1.2.3.4:5/x"},
		"X-Other": {"kept"}, "Connection": {"X-Hop"}, "X-Hop": {"dropped"},
	}
	a := Do(s.Hosts[0].Boot.Front, Call{Path: "/ask/a%2Fb?q=1&q=2", Key: Key, ID: "h-1", Deadline: 3000, Header: sent})
	must.EqOp(t, 200, a.Status)
	var got *Run
	for i := range 2 {
		for _, r := range s.plain[i].Runs() {
			if r.Attempt == "h-1" {
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

// TestCallerLeaves checks that an endpoint stops when its caller has left.
func TestCallerLeaves(t *testing.T) {
	s := start(t, 1)
	s.fail(Hang, 9)
	done := make(chan Answer)
	go func() { done <- Do(s.Hosts[0].Boot.Front, Call{Path: "/brief/a", Key: Key, ID: "gone-1"}) }()
	<-done // the route's time-out ends it as a caller's leaving does: the send is dropped
	s.await(t, "the endpoint is free", func() bool { return s.plain[0].Working()+s.plain[1].Working() == 0 })
}

// TestRevocation checks that a withdrawn key stops working, also at a host that
// the store turns away, which learns of it from a peer or trusts its settings no more.
func TestRevocation(t *testing.T) {
	s := start(t, 2)
	c := Example()
	c.Version, c.Tenants[0].Keys = 2, []string{"new-key"}
	s.Store.Put(platform.KeyConfig, c)
	for _, h := range s.Hosts {
		s.await(t, "the old key is refused", func() bool { return Do(h.Boot.Front, Call{Path: "/ask/a", Key: Key, ID: "r"}).Status == 401 })
		s.await(t, "the new key works", func() bool {
			return Do(h.Boot.Front, Call{Path: "/ask/a", Key: "new-key", ID: "r"}).Status == 200
		})
	}
	s.Store.SetFault(StoreFault{Status: 503})
	for _, h := range s.Hosts {
		s.await(t, "settings are too old for keys", func() bool {
			return Do(h.Boot.Front, Call{Path: "/ask/a", Key: "new-key", ID: "r"}).Status == 503
		})
		must.EqOp(t, 200, Do(h.Boot.Front, Call{Path: "/open/a", ID: "r"}).Status)
		must.EqOp(t, 503, Do(h.Boot.Front, Call{Path: "/none/a", ID: "r"}).Status)
	}
	s.Store.SetFault(StoreFault{})
	s.await(t, "keys work again", func() bool {
		return Do(s.Hosts[0].Boot.Front, Call{Path: "/ask/a", Key: "new-key", ID: "r"}).Status == 200
	})
}

// TestEndpointLeaves checks that a leaving endpoint gets no more work.
func TestEndpointLeaves(t *testing.T) {
	s := start(t, 1)
	e := s.plain[0]
	s.Store.Put(platform.PrefixEndpoints+e.Instance, EndpointEntry{Service: Plain, Address: e.Address, Slots: 8, State: "draining", Seq: 2})
	s.await(t, "all goes to the other", func() bool {
		before := len(e.Runs())
		for i := range 10 {
			Do(s.Hosts[0].Boot.Front, Call{Path: "/ask/a", Key: Key, ID: fmt.Sprint("l", i)})
		}
		return len(e.Runs()) == before
	})
}

// TestReusedAddress checks that another instance at an endpoint's address runs nothing.
func TestReusedAddress(t *testing.T) {
	s := start(t, 1)
	for i := range 2 {
		s.Store.Put(platform.PrefixEndpoints+fmt.Sprint("old-", i), EndpointEntry{Service: Plain, Address: s.engines[i].Address, Slots: 8, State: "ready"})
	}
	time.Sleep(time.Second) // let the host read the entries; whether it has does not decide the verdict
	for i := range 40 {
		a := Do(s.Hosts[0].Boot.Front, Call{Path: "/ask/a", Key: Key, ID: fmt.Sprint("reuse-", i)})
		must.True(t, a.Status == 200 || a.Status == 503)
	}
	for i := range 2 {
		for _, r := range s.engines[i].Runs() {
			must.StrNotHasPrefix(t, "reuse-", r.Attempt)
		}
	}
}

// TestPlannedStop sends SIGTERM under load: no request is cut, the host leaves the
// address answers of its peer at once and says that it is not ready.
func TestPlannedStop(t *testing.T) {
	s := start(t, 2)
	h, other := s.Hosts[0], s.Hosts[1]
	s.await(t, "both in the answer", func() bool {
		list, err := s.Resolve(other)
		return err == nil && len(list) == 2
	})
	for i := range 2 {
		s.engines[i].SetPace(300 * time.Millisecond)
	}
	running := make(chan Answer, 8)
	for i := range 8 {
		go func() {
			running <- Do(h.Boot.Front, Call{Path: "/draft/a", Key: Key, ID: fmt.Sprint("stop-", i), Body: "b", Tokens: "10,30"})
		}()
	}
	s.await(t, "they run", func() bool { return s.engines[0].Working()+s.engines[1].Working() == 8 })
	h.Signals <- syscall.SIGTERM
	s.await(t, "not ready", func() bool {
		resp, err := http.Get("http://" + h.Boot.Ready + platform.PathReady)
		if err != nil {
			return true
		}
		resp.Body.Close()
		return resp.StatusCode == 503
	})
	s.await(t, "out of the answer", func() bool {
		list, err := s.Resolve(other)
		return err == nil && len(list) == 1 && list[0] == other.Boot.Front
	})
	late := Do(h.Boot.Front, Call{Path: "/ask/a", Key: Key, ID: "late"})
	must.EqOp(t, 200, late.Status)
	for range 8 {
		a := <-running
		must.EqOp(t, 200, a.Status)
		must.EqOp(t, Stream(events), a.Body)
	}
	<-h.Done
}

// TestReload changes a host's settings file, with a signal and without, and breaks it.
func TestReload(t *testing.T) {
	s := start(t, 1)
	path := filepath.Join(t.TempDir(), "boot.conf")
	write := func(extra string) {
		b := s.Hosts[0].Boot
		text := fmt.Sprintf("Node=second\nIp=127.0.0.99\nListen.Front=127.0.0.99:%d\nPlatform.Address=%s\n", 7000, b.Store)
		must.NoError(t, os.WriteFile(path, []byte(text+extra), 0o600))
	}
	write("")
	boot := s.Hosts[0].Boot
	boot.Host, boot.IP = "second", "127.0.0.99"
	for _, a := range []*string{&boot.Front, &boot.Ready, &boot.Control, &boot.Directory} {
		_, port, _ := strings.Cut(*a, ":")
		*a = "127.0.0.99:" + port
	}
	h, err := s.Restart(&Host{Boot: boot, Path: path})
	must.NoError(t, err)
	status := func() int { return Do(h.Boot.Front, Call{Path: "/ask/a", Key: Key, ID: "h"}).Status }
	s.await(t, "it serves", func() bool { return status() == 200 })
	write("Timing.RevokeMs=1\n")
	h.Signals <- syscall.SIGHUP
	s.await(t, "the new bound holds", func() bool { return status() == 503 })
	write("Timing.RevokeMs=5000\n")
	s.await(t, "a silent change holds", func() bool { return status() == 200 })
	write("Timing.RevokeMs=never\n")
	h.Signals <- syscall.SIGHUP
	time.Sleep(300 * time.Millisecond)
	must.EqOp(t, 200, status())
}

// TestVars reads the figures of a host.
func TestVars(t *testing.T) {
	s := start(t, 1)
	resp, err := http.Get("http://" + s.Hosts[0].Boot.Control + "/debug/vars")
	must.NoError(t, err)
	defer resp.Body.Close()
	var v struct {
		Edge struct {
			Requests map[string]int64
			Series   []struct{ Workspace, Tier string }
			Ready    bool
		} `json:"heathkeel_edge"`
	}
	must.NoError(t, json.NewDecoder(resp.Body).Decode(&v))
	must.Greater(t, 1, v.Edge.Requests["Served"])
	must.True(t, v.Edge.Ready)
	must.Greater(t, 1, len(v.Edge.Series))
}

// TestStoreMoods checks that traffic goes on, and that the store is not hammered.
func TestStoreMoods(t *testing.T) {
	s := start(t, 1)
	moods := []StoreFault{{Status: 503}, {Status: 429}, {Reset: true}, {Silent: time.Minute}, {Slow: 300 * time.Millisecond}, {Lost: true}}
	for _, m := range moods {
		t.Run(fmt.Sprintf("%+v", m), func(t *testing.T) {
			s.Store.SetFault(m)
			s.Store.Forget()
			before := s.Store.Calls()
			for range 10 {
				must.EqOp(t, 200, Do(s.Hosts[0].Boot.Front, Call{Path: "/open/a", ID: "m"}).Status)
				time.Sleep(100 * time.Millisecond)
			}
			must.LessEq(t, 60, s.Store.Calls()-before)
			s.Store.SetFault(StoreFault{})
			s.await(t, "keys work", func() bool { return Do(s.Hosts[0].Boot.Front, Call{Path: "/ask/a", Key: Key, ID: "m"}).Status == 200 })
		})
	}
}

// TestConfigurationRefused checks that a broken document changes nothing.
func TestConfigurationRefused(t *testing.T) {
	s := start(t, 1)
	c := Example()
	c.Version = 2
	c.Routes[0].Kind = "sometimes"
	s.Store.Put(platform.KeyConfig, c)
	time.Sleep(200 * time.Millisecond)
	must.EqOp(t, 200, Do(s.Hosts[0].Boot.Front, Call{Path: "/ask/a", Key: Key, ID: "c"}).Status)
}
