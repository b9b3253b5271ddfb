// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/heathkeel/heathkeel/feed"
	"github.com/heathkeel/heathkeel/outcome"
	"github.com/heathkeel/heathkeel/sched"
	"github.com/heathkeel/heathkeel/upstream"
)

// A host that reaches no endpoint relays its requests to other hosts, which treat them like those of callers: they check the key, take
// the request from the workspace's quota and choose the endpoint. A request is relayed once. Whoever sends the header of a relayed
// request gets no more than that its request is not relayed again.

const (
	// relayHeader marks a relayed request. Its value is the name of the relaying host and the number of endpoints that were sent the
	// request before.
	relayHeader = "Heathkeel-Relayed-By"
	// relayRefusedHeader marks a response to a relayed request that the other host made itself.
	relayRefusedHeader = "Heathkeel-Relay-Refused"
	// relayLeavingHeader on a response to a relayed request names the incarnation of its endpoint, which said in it that it leaves: the
	// host that relayed the request passes the response on, too, and then sends the endpoint nothing either.
	relayLeavingHeader = "Heathkeel-Relay-Leaving"
	// maxRelays limits the hosts to which a request is relayed, one after the other.
	maxRelays = 3
	// relaySilenceFactor is the factor by which another host may be silent for longer than an endpoint before it may be given up.
	relaySilenceFactor = 2
	// targetsTTL is the time for which the list of hosts is kept.
	targetsTTL = 200 * time.Millisecond
)

// RelayTarget is a host to which requests may be relayed.
type RelayTarget struct {
	// Host is its name, and Front the address for callers.
	Host, Front string
	// Weight is its part of the requests, relative to the others.
	Weight float64
}

// relayState is the state of relayed requests of a call.
type relayState struct {
	from       string // the host that relayed the request to this one, or empty
	priorSends int    // endpoints that were sent the request before
	to         string // the host to which this one relayed it last, or empty
	lost       bool   // that host sent no complete response
	granted    bool   // the retry after it was granted before its send was ended
	refusals   int    // hosts that did not run it
}

// parseRelayHeader parses relayHeader. It returns false if the header is there and wrong.
func (r *relayState) parseRelayHeader(h http.Header) bool {
	v := h.Get(relayHeader)
	if v == "" {
		return true
	}
	host, sends, ok := strings.Cut(v, " ")
	n, err := strconv.Atoi(sends)
	if !ok || host == "" || err != nil || n < 0 {
		return false
	}
	r.from, r.priorSends = host, n
	return true
}

// sends returns the number of endpoints that were sent the request, by this host and by the one that relayed it.
func (c *call) sends() int { return c.tracker.Sends() - c.relayed.refusals + c.relayed.priorSends }

// relayTargets returns the hosts to which requests may be relayed.
func (s *Server) relayTargets() []RelayTarget {
	if s.RelayTargets == nil {
		return nil
	}
	now := s.Now()
	s.mu.Lock()
	known, fresh := s.knownTargets, s.targetsAt > 0 && now-s.targetsAt < targetsTTL
	s.mu.Unlock()
	if fresh {
		return known
	}
	known = s.RelayTargets()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.knownTargets, s.targetsAt = known, max(now, 1)
	return known
}

// mayRelay reports whether the request should go by another host.
func (c *call) mayRelay() bool {
	return c.s.CutOff() && c.relayed.from == "" && len(c.s.relayTargets()) > 0
}

// pickTarget picks a host at random, in proportion to the weights, among those that were not tried. It returns false if there is none.
func pickTarget(targets []RelayTarget, tried map[string]bool, random float64) (RelayTarget, bool) {
	sum := 0.0
	for _, r := range targets {
		if !tried[r.Host] {
			sum += r.Weight
		}
	}
	picked, ok := RelayTarget{}, false
	at := random * sum
	for _, r := range targets {
		if tried[r.Host] {
			continue
		}
		picked, ok = r, true
		if at -= r.Weight; at < 0 {
			break
		}
	}
	return picked, ok
}

// relay relays the request to other hosts and writes the final response. No send of the call may be in flight.
func (c *call) relay(ctx context.Context) {
	c.endpoint = feed.Endpoint{}
	tried := make(map[string]bool)
	retryAfter := backoffUnreachable
	for range maxRelays {
		if f := c.checkStop(); f != nil {
			c.refuse(*f)
			return
		}
		to, ok := pickTarget(c.s.relayTargets(), tried, rand.Float64())
		if !ok || ctx.Err() != nil {
			break
		}
		tried[to.Host] = true
		result, f := c.sendToTarget(ctx, to, tried)
		switch result {
		case sendCompleted, sendAbandoned:
			c.finish(ctx, result)
			return
		case sendNotExecuted:
			retryAfter = max(retryAfter, f.retryAfter)
			if f.concernsRequest() && !c.tracker.MayHaveRun() {
				c.refuse(f)
				return
			}
		case sendFailed:
			c.finishFailedRelay(ctx, f)
			return
		case sendLost:
			c.relayed.lost = true
			if denied := c.relayDenied(); denied != "" {
				c.giveUp(ctx, sched.Decision{Verdict: sched.Refuse, Reason: denied, RetryAfter: backoffLost})
				return
			}
		}
	}
	c.giveUp(ctx, sched.Decision{Verdict: sched.Refuse, Reason: reasonCutOff, RetryAfter: retryAfter})
}

// relayDenied returns why a request is not relayed again after a host sent no complete response, or an empty reason if it may be.
func (c *call) relayDenied() sched.Reason {
	switch {
	case !c.route.MayRepeat():
		return reasonNotRepeatable
	case c.sends() >= c.route.Attempts:
		return reasonAttempts
	case !c.relayed.granted && !c.s.takeRetry(c.service.Name):
		return reasonRetryBudget
	}
	return ""
}

// concernsRequest reports whether a refusal of another host holds at any host. A key or route that this host knows and the other does
// not is new, and a host without room says nothing about the others.
func (f *refusal) concernsRequest() bool {
	switch f.status {
	case http.StatusServiceUnavailable, http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound:
		return false
	}
	return true
}

// finishFailedRelay ends a request for which the other host got no answer, or an error of the endpoint.
func (c *call) finishFailedRelay(ctx context.Context, f refusal) {
	if c.savedResponse != nil || c.stream.started || c.r.Context().Err() != nil {
		c.giveUp(ctx, sched.Decision{Verdict: sched.Refuse})
		return
	}
	c.refuse(f)
}

// reasonCutOff is the reason of a refusal by a host that reaches no endpoint, while no other host takes the request.
const reasonCutOff sched.Reason = "this host reaches no endpoint, and other hosts did not take the request"

// sendToTarget sends the request to another host and forwards its response. A response that the other host made itself is returned. tried
// are the hosts to which it may not go afterwards.
func (c *call) sendToTarget(ctx context.Context, to RelayTarget, tried map[string]bool) (sendOutcome, refusal) {
	conn, _, err := c.s.relayPool.Get(ctx, to.Front, c.id)
	if err != nil {
		return sendUnsent, refusal{}
	}
	remaining, ok := c.timeLeft(ctx)
	if !ok {
		conn.Release()
		return sendAbandoned, refusal{}
	}
	c.returnQuota() // the other host takes it
	header := c.relayHeader()
	header.Set(c.s.Headers.Deadline, formatDeadline(remaining))
	c.relayed.to = to.Host
	c.tracker.MarkSent()
	c.s.Count.Relayed.Add(1)
	c.timings.lastSent = c.s.Now()
	x := &exchange{conn: conn, sentAt: c.timings.lastSent, stopCancel: context.AfterFunc(ctx, conn.Close)}
	watch := relayWatch{
		conn: conn, limit: relaySilenceFactor * c.silenceTimeout(), now: c.s.Now, gaps: c.s.Watch,
		mayEnd: func() bool { return c.mayEndRelay(to, tried) },
	}
	watch.start()
	result, f := c.relayRoundTrip(ctx, x, header)
	c.lost, c.relayed.granted = lostSend{}, watch.stop()
	if c.relayed.granted {
		c.lost.silence = watch.limit
	}
	c.noteExceeded(conn)
	result = settle(conn, result, !x.stopCancel())
	switch result {
	case sendLost:
		c.noteBroken(x)
		c.noteRelayLost()
	case sendNotExecuted:
		c.logNotRun(f.status)
	}
	return result, f
}

// noteRelayLost counts and logs a relayed send without a complete response.
func (c *call) noteRelayLost() {
	c.tracker.MarkLost()
	c.s.Count.RelaysLost.Add(1)
	why := c.lost.withCause("the host to which it was relayed did not send a complete response")
	if c.relayed.granted {
		why = "the host to which it was relayed was silent and not heard of, and another one takes over"
	}
	c.logOutcome(outcome.SendLost, 0, why, 0)
}

// relayHeader returns the header of the request to another host: that of the caller, and what this host adds.
func (c *call) relayHeader() http.Header {
	h := c.r.Header.Clone()
	removeHopByHop(h)
	sends := c.sends()
	if c.relayed.lost {
		sends = max(sends, c.route.Attempts-1) // the host that was lost may have used all but the last
	}
	h.Set(relayHeader, c.s.Host+" "+strconv.Itoa(sends))
	if c.stream.hasID {
		h.Set(c.s.Headers.LastEvent, strconv.FormatInt(c.stream.lastID, 10))
		if c.resumes() == "" {
			h.Set(c.s.Headers.Resumes, c.id)
		}
	}
	return h
}

// relayRoundTrip sends the request on a connection to another host and forwards the response.
func (c *call) relayRoundTrip(ctx context.Context, x *exchange, header http.Header) (sendOutcome, refusal) {
	if err := c.request(x, header); err != nil {
		return sendLost, refusal{}
	}
	resp := x.resp
	defer resp.Body.Close()
	if resp.Header.Get(relayRefusedHeader) != "" {
		var exceeded *upstream.LimitError
		if errors.As(x.conn.Discard(resp), &exceeded) {
			return sendLost, refusal{}
		}
		return c.relayRefused(resp)
	}
	if incarnation := resp.Header.Get(relayLeavingHeader); incarnation != "" {
		resp.Header.Del(relayLeavingHeader)
		c.noteLeaving(incarnation)
	}
	result, _ := c.forwardResponse(ctx, x) // relayWatch has the limit on silence
	return result, refusal{}
}

// relayRefused handles a response that the other host made itself. Some statuses promise that the request has not run.
func (c *call) relayRefused(resp *http.Response) (sendOutcome, refusal) {
	f := refusal{status: resp.StatusCode, why: "refused by the host to which it was relayed"}
	f.retryAfter, _ = parseRetryAfter(resp.Header.Get("Retry-After"), time.Now())
	if resp.StatusCode >= http.StatusInternalServerError && resp.StatusCode != http.StatusServiceUnavailable {
		return sendFailed, f // an endpoint may have run it
	}
	c.tracker.MarkNotRun()
	c.relayed.refusals++
	return sendNotExecuted, f
}
