// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/heathkeel/heathkeel/outcome"
)

// An endpoint may say in its responses that it leaves, or that it wants nothing from this host for a while. The list of endpoints may tell
// the former much later, or not at all while the store is away.

const (
	// statedLeavingLine and statedRestLine limit the log lines about endpoints that say that they leave or ask for rest.
	statedLeavingLine outcome.Kind = "stated leaving"
	statedRestLine    outcome.Kind = "stated rest"
	// badRestLine limits the log lines about times of rest that cannot be read.
	badRestLine outcome.Kind = "bad rest"
	// maxRest is the longest rest that an endpoint gets; then one request asks it again.
	maxRest = time.Hour
)

// noteStatements records what a response says about its endpoint. The response must be that of the endpoint to which the request was sent.
func (c *call) noteStatements(resp *http.Response) {
	resp.Header.Del(relayLeavingHeader) // only hosts set it
	if statesLeaving(resp.Header.Get(c.s.Headers.Leaving)) {
		c.noteLeaving(c.endpoint.Incarnation())
		if c.relayed.from != "" {
			resp.Header.Set(relayLeavingHeader, c.endpoint.Incarnation())
		}
	}
	if resp.StatusCode == http.StatusServiceUnavailable {
		c.noteRest(resp.Header.Get("Retry-After"))
	}
}

// statesLeaving reports whether the value of the header says that the endpoint leaves: any value but 0 does.
func statesLeaving(v string) bool {
	v = strings.TrimSpace(v)
	return v != "" && v != "0"
}

// noteLeaving records that an endpoint says that it leaves.
func (c *call) noteLeaving(incarnation string) {
	now := c.s.Now()
	c.s.Count.LeavingStated.Add(1)
	if !c.s.balance.noteLeaver(now, incarnation) {
		return
	}
	if c.allowLine(statedLeavingLine, now) {
		c.s.Log.Info("endpoint says that it leaves", "endpoint", incarnation, "id", c.id, "relayed_to", c.relayed.to, "listed_as_leaving", c.endpoint.Leaving,
			"list_age_ms", c.timings.listAge.Milliseconds())
	}
}

// noteLeaver records that an endpoint said that it leaves, and reports whether that is new. It gets nothing from this host any more.
func (b *balancer) noteLeaver(now time.Duration, incarnation string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	listed := func(incarnation string) bool { return b.targets[incarnation] != nil }
	if !b.leavers.add(now, incarnation, listed) {
		return false
	}
	if t := b.targets[incarnation]; t != nil {
		t.saidLeaving = true
		b.syncEndpoints(now)
		b.poll(now)
	}
	return true
}

// noteRest records that the endpoint asks for rest with the value of a Retry-After header, if there is one.
func (c *call) noteRest(v string) {
	if v == "" {
		return
	}
	now := c.s.Now()
	rest, ok := parseRetryAfter(v, time.Now())
	if !ok {
		c.s.Count.BadRests.Add(1)
		if c.allowLine(badRestLine, now) {
			c.s.Log.Info("endpoint asks for rest for a time that cannot be read; it gets none", "endpoint", c.endpoint.Instance, "value", v)
		}
		return
	}
	rest = min(rest, maxRest)
	c.s.Count.RestsStated.Add(1)
	c.s.balance.noteRest(now, c.endpoint.Incarnation(), rest)
	if c.allowLine(statedRestLine, now) {
		c.s.Log.Info("endpoint asks for rest", "endpoint", c.endpoint.Instance, "id", c.id, "rest_ms", rest.Milliseconds())
	}
}

// noteRest records that an endpoint asked this host for rest. Waiting requests are decided again.
func (b *balancer) noteRest(now time.Duration, incarnation string, d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sched.Rest(now, incarnation, d)
	b.poll(now)
}

// retryAfter returns the retry time of a call that endpoints did not run, at least the backoff and the time until the first rest ends if
// all endpoints that it may go to rest.
func (b *balancer) retryAfter(c *call, backoff time.Duration) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return max(b.sched.RetryAfter(b.now(), c.req, backoff), b.sched.RestLeft(b.now(), c.req))
}

// RestingEndpoints returns the number of endpoints that asked this host for rest that is not over.
func (s *Server) RestingEndpoints() int {
	b := s.balance
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sched.Resting(b.now())
}

// parseRetryAfter returns the time that a Retry-After header names, in seconds with fractions or as a date (RFC 9110, section 10.2.3),
// 0 for a date that has passed. It returns false for other values.
func parseRetryAfter(v string, now time.Time) (time.Duration, bool) {
	v = strings.TrimSpace(v)
	if at, err := http.ParseTime(v); err == nil {
		return max(0, at.Sub(now)), true
	}
	seconds, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(seconds) || seconds < 0 {
		return 0, false
	}
	const longest = math.MaxInt64 / float64(time.Second) / 2 // what a Duration holds, with a margin for additions
	return time.Duration(min(seconds, longest) * float64(time.Second)), true
}
