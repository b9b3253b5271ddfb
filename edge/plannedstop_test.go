// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package edge_test

import (
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
	// from and until are when requests are sent, after the stop has begun; until 0 means until the host's process ends.
	from, until, interval time.Duration
	// bodyAfter is the time between the head and the rest of a request.
	bodyAfter time.Duration
	// endpoints is the number of endpoints, 0 for three, and objective that of the route, 0 for that of site.Example.
	endpoints int
	objective time.Duration
	// served, refused and failed say that some requests must be; see stopCounts.
	served, refused, failed bool
}

// TestPlannedStopCutsNoRequest guards against planned stops that take and pass on requests late in the grace period, and cut them at its end
// without an answer: a caller cannot repeat a request that may have run.
func TestPlannedStopCutsNoRequest(t *testing.T) {
	const often = 20 * time.Millisecond
	cases := []stopCase{
		{name: "short requests, 1 s", grace: time.Second, work: 300 * time.Millisecond, interval: often, served: true, refused: true},
		{name: "short requests, 2 s", grace: 2 * time.Second, work: 300 * time.Millisecond, interval: often, served: true, refused: true},
		{name: "short requests, 3 s", grace: 3 * time.Second, work: 300 * time.Millisecond, interval: often, served: true, refused: true},
		{name: "short requests, 4 s", grace: 4 * time.Second, work: 300 * time.Millisecond, interval: often, served: true, refused: true},
		{name: "short requests, 6 s", grace: 6 * time.Second, work: 300 * time.Millisecond, interval: often, served: true, refused: true},
		{name: "short requests, 8 s", grace: 8 * time.Second, work: 300 * time.Millisecond, interval: often, served: true, refused: true},
		{name: "short requests, 20 s", grace: 20 * time.Second, work: 300 * time.Millisecond, interval: often, served: true, refused: true},
		{name: "requests of 1.5 s, 4 s", grace: 4 * time.Second, work: 1500 * time.Millisecond, interval: often, served: true, refused: true},
		{name: "requests of 3 s, 8 s", grace: 8 * time.Second, work: 3 * time.Second, interval: often, served: true, refused: true},
		{name: "bodies that end late", grace: 8 * time.Second, work: 600 * time.Millisecond, from: 2 * time.Second, until: 3 * time.Second, interval: often, bodyAfter: 4500 * time.Millisecond, refused: true},
		{name: "bodies that end soon", grace: 8 * time.Second, work: 600 * time.Millisecond, until: 2 * time.Second, interval: often, bodyAfter: 500 * time.Millisecond, served: true},
		{name: "requests that wait for a slot", grace: 8 * time.Second, work: 1200 * time.Millisecond, from: 2 * time.Second, until: 3 * time.Second, interval: often, endpoints: 1, objective: 20 * time.Second, served: true, refused: true},
		{name: "requests that are not over at the end", grace: 4 * time.Second, work: 10 * time.Second, interval: often, refused: true, failed: true},
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
	c.Routes[0].TimeoutMs = 20_000
	boot := smallBoot
	boot.GracePeriod = tc.grace
	s := startWorking(t, c, boot, 3, max(tc.endpoints, 3*(1-tc.endpoints)), tc.work)
	defer s.Stop()
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
		time.Sleep(tc.interval)
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

// send sends a request that may run once to the first host.
func (tc *stopCase) send(s *simsite.Site, id string) simsite.Answer {
	a := simsite.Answer{ID: id}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	body, rest := io.Pipe()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.Hosts[0].Boot.Front+"/push/x", body)
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
