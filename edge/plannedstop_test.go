// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package edge_test

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/internal/simsite"
	"github.com/heathkeel/heathkeel/internal/site"
)

// stopCase is a planned stop of a host in calm, and the requests that the host gets meanwhile.
type stopCase struct {
	name        string
	grace, work time.Duration
	// path is that of the requests, "" for a plain service's, which may run once only. A stream has an event each stopPace of the work.
	path string
	// from and until are when requests are sent, after the stop has begun; until 0 means until the host's process ends.
	from, until time.Duration
	// bodyAfter is the time between the head and the rest of a request.
	bodyAfter time.Duration
	// hosts and endpoints are their numbers, 0 for three, and objective is that of the route, 0 for that of site.Example.
	hosts, endpoints int
	objective        time.Duration
	// unknown says that the host has served no such request before.
	unknown bool
	// served, refused and failed say that some requests must be; see stopCounts.
	served, refused, failed bool
}

const (
	// stopInterval is the time between two requests to a host that stops.
	stopInterval = 20 * time.Millisecond
	// stopPace is the time between two events of a stream.
	stopPace = 100 * time.Millisecond
)

// TestPlannedStopCutsNoRequest guards against planned stops that take and pass on requests late in the grace period, or such that are not
// over at its end, and cut them there: a caller cannot repeat a request that may have run.
func TestPlannedStopCutsNoRequest(t *testing.T) {
	const ms = time.Millisecond
	cases := []stopCase{
		{name: "short requests, 1 s", grace: 1 * time.Second, work: 300 * ms, served: true, refused: true},
		{name: "short requests, 2 s", grace: 2 * time.Second, work: 300 * ms, served: true, refused: true},
		{name: "short requests, 3 s", grace: 3 * time.Second, work: 300 * ms, served: true, refused: true},
		{name: "short requests, 4 s", grace: 4 * time.Second, work: 300 * ms, served: true, refused: true},
		{name: "short requests, 6 s", grace: 6 * time.Second, work: 300 * ms, served: true, refused: true},
		{name: "short requests, 8 s", grace: 8 * time.Second, work: 300 * ms, served: true, refused: true},
		{name: "short requests, 20 s", grace: 20 * time.Second, work: 300 * ms, served: true, refused: true},
		{name: "requests of 1.5 s, 4 s", grace: 4 * time.Second, work: 1500 * ms, served: true, refused: true},
		{name: "requests of 3 s, 8 s", grace: 8 * time.Second, work: 3 * time.Second, served: true, refused: true},
		{name: "requests of 6.5 s, 8 s", grace: 8 * time.Second, work: 6500 * ms, served: true, refused: true},
		{name: "unknown requests", grace: 8 * time.Second, work: 6500 * ms, unknown: true, refused: true},
		{name: "unknown requests with near deadlines", grace: 8 * time.Second, work: 300 * ms, path: "/open/x", unknown: true, served: true, refused: true},
		{name: "unknown requests at the only host", grace: 8 * time.Second, work: 3 * time.Second, hosts: 1, unknown: true, served: true, refused: true},
		{name: "requests longer than the grace", grace: 4 * time.Second, work: 10 * time.Second, refused: true},
		{name: "requests longer than the grace at the only host", grace: 4 * time.Second, work: 10 * time.Second, hosts: 1, refused: true, failed: true},
		{name: "streams of 0.5 s", grace: 8 * time.Second, work: 500 * ms, path: "/draft/x", served: true, refused: true},
		{name: "streams of 3.5 s", grace: 8 * time.Second, work: 3500 * ms, path: "/draft/x", served: true, refused: true},
		{name: "streams of 4.7 s", grace: 8 * time.Second, work: 4700 * ms, path: "/draft/x", served: true, refused: true},
		{name: "streams of 6.5 s", grace: 8 * time.Second, work: 6500 * ms, path: "/draft/x", served: true, refused: true},
		{name: "resumable streams of 4.7 s", grace: 8 * time.Second, work: 4700 * ms, path: "/review/x", served: true, refused: true},
		{name: "bodies that end late", grace: 8 * time.Second, work: 600 * ms, from: 2 * time.Second, until: 3 * time.Second, bodyAfter: 4500 * ms, refused: true},
		{name: "bodies that end soon", grace: 8 * time.Second, work: 600 * ms, until: 2 * time.Second, bodyAfter: 500 * ms, served: true},
		{name: "requests that wait for a slot", grace: 8 * time.Second, work: 1200 * ms, from: 2 * time.Second, until: 3 * time.Second, endpoints: 1, objective: 20 * time.Second, served: true, refused: true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, tc.test)
		})
	}
}

// test plays the case.
func (tc *stopCase) test(t *testing.T) {
	c := site.Example()
	if tc.objective > 0 {
		c.Routes[0].SloMs = int(tc.objective.Milliseconds())
	}
	for i := range 4 {
		c.Routes[i].TimeoutMs = 20_000
	}
	boot := smallBoot
	boot.GracePeriod = tc.grace
	s := startWorking(t, c, boot, cmp.Or(tc.hosts, 3), cmp.Or(tc.endpoints, 3), tc.work)
	defer s.Stop()
	for range 4 {
		must.NoError(t, s.AddEngine("v1", simsite.Streams{Events: int(tc.work / stopPace), Pace: stopPace}))
	}
	time.Sleep(5 * time.Second)
	for n := range 3 {
		if !tc.unknown {
			must.EqOp(t, http.StatusOK, tc.send(s, fmt.Sprint("before-", n)).Status)
		}
	}
	answers := tc.stop(s)
	n := countStopped(s, answers)
	t.Logf("%+v", n)
	must.Zero(t, n.cut, must.Sprint("requests that ran and got no answer"))
	must.Zero(t, n.ranRefused, must.Sprint("requests that ran although their callers were told that they did not"))
	must.EqOp(t, tc.served, n.served > 0)
	must.EqOp(t, tc.refused, n.refused > 0)
	must.EqOp(t, tc.failed, n.failed > 0)
}

// stop stops the first host and sends it requests. It returns their answers once the host's process has ended.
func (tc *stopCase) stop(s *simsite.Site) []simsite.Answer {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var answers []simsite.Answer
	begun, ended := time.Now(), s.Hosts[0].Terminate()
	time.Sleep(tc.from)
	for n := 0; !isClosed(ended); n++ {
		if tc.until > 0 && time.Since(begun) >= tc.until {
			break
		}
		wg.Go(func() {
			a := tc.send(s, fmt.Sprint("stop-", n))
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, a)
		})
		time.Sleep(stopInterval)
	}
	wg.Wait()
	<-ended
	return answers
}

// isClosed reports whether a channel is closed.
func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// send sends a request to the first host.
func (tc *stopCase) send(s *simsite.Site, id string) simsite.Answer {
	a := simsite.Answer{ID: id}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	body, rest := io.Pipe()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.Hosts[0].Boot.Front+cmp.Or(tc.path, "/push/x"), body)
	if err != nil {
		return a
	}
	go func() {
		time.Sleep(tc.bodyAfter)
		_, err := io.Copy(rest, strings.NewReader("body"))
		_ = rest.CloseWithError(err) // the error, if any, is that of the request
	}()
	req.Host, req.ContentLength = site.HostName, int64(len("body"))
	req.Header.Set("Heathkeel-Attempt-Id", id)
	req.Header.Set("Heathkeel-Token-Count", "20,60")
	req.Header.Set("Authorization", "Token "+site.Key)
	resp, err := s.CallerTransport().RoundTrip(req)
	if err != nil {
		return a
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return a
	}
	a.Status = resp.StatusCode
	return a
}

// stopCounts counts what became of requests to a host that stops.
type stopCounts struct {
	served, refused int
	unread          int // got no answer and did not run
	cut             int // ran and got no answer
	failed          int // were told that they may have run
	ranRefused      int // ran and were told that they did not
}

// countStopped counts what became of requests.
func countStopped(s *simsite.Site, answers []simsite.Answer) (n stopCounts) {
	ran := make(map[string]bool)
	for _, e := range s.Endpoints {
		for _, a := range e.Arrivals() {
			ran[a.ID] = ran[a.ID] || a.Ran
		}
	}
	for _, a := range answers {
		switch {
		case a.Status == http.StatusOK:
			n.served++
		case a.Status == http.StatusServiceUnavailable && ran[a.ID]:
			n.ranRefused++
		case a.Status == http.StatusServiceUnavailable:
			n.refused++
		case a.Status != 0:
			n.failed++
		case ran[a.ID]:
			n.cut++
		default:
			n.unread++
		}
	}
	return n
}
