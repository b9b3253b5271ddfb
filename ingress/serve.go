// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/heathkeel/heathkeel/attempt"
	"github.com/heathkeel/heathkeel/feed"
	"github.com/heathkeel/heathkeel/metrics"
	"github.com/heathkeel/heathkeel/outcome"
	"github.com/heathkeel/heathkeel/quarantine"
	"github.com/heathkeel/heathkeel/route"
	"github.com/heathkeel/heathkeel/sched"
)

// call is one request of a caller, from its arrival to its end.
type call struct {
	s  *Server
	w  http.ResponseWriter
	r  *http.Request
	rc *http.ResponseController

	arrived, deadline time.Duration
	table             *route.Table
	route             *route.Route
	service           *route.Service
	workspace         *route.Workspace
	id, uri           string
	tokensDeclared    bool // the caller declared its token counts
	tokensIn          int
	tokensOut         int
	lengthHint        int
	units             float64
	body              []byte
	hasBody           bool
	responseBytes     int64 // of the body that was written to the caller
	heldBytes         int64 // of the body
	memory            *Holder
	unread            bool                   // the response was ended because the caller did not read it
	cachedFingerprint quarantine.Fingerprint // zero until it is first computed
	cachedParts       []subject              // nil until they are first computed

	sendRefusal *refusal // why the request may not be sent any more
	// granted are the fingerprints of what is on trial and was granted to the next send.
	granted         []quarantine.Fingerprint
	tracker         attempt.Tracker
	req             *sched.Request
	endpoint        feed.Endpoint
	firstOutputSeen bool
	// responsePending says that no response to the newest send has begun.
	responsePending bool
	timings         timings
	// succeeded says that the endpoint's newest response had a 2xx status.
	succeeded bool
	lost      lostSend
	// endUnknown says that the newest response ended with its connection and that it is not known whether the endpoint crashed.
	endUnknown bool
	// serverError says that the endpoint's newest response had a 5xx status.
	serverError   bool
	outOfMemory   bool // the response did not fit into the host's memory
	header        http.Header
	savedResponse *response // a 5xx response to forward if no retry succeeds
	stream        stream
	relayed       relayState
	replacement   *replacement // took over, and is not in use yet
	hedging       bool         // this is a further send, while another one is in flight
	hedges        hedges
	retryCharged  bool // the next retry was taken from the budget already
	// connNumber is the number of the connection of the newest send, and connRequests that of the requests sent on it.
	connNumber   int64
	connRequests int
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.Watch.Check()
	s.active.Add(1)
	s.Count.Received.Add(1)
	c := &call{s: s, w: w, r: r, rc: http.NewResponseController(w), arrived: s.Now()}
	// The lock of the account keeps this from running after release.
	c.memory = s.memory.open(func() { _ = c.rc.SetWriteDeadline(time.Now()) })
	defer c.release()
	// net/http must not add headers of its own to an endpoint's response.
	w.Header()["Date"] = nil
	w.Header()["Content-Type"] = nil
	if s.stopping() {
		w.Header().Set("Connection", "close")
	}
	if f := c.admit(); f != nil {
		c.refuse(*f)
		return
	}
	c.setWriteDeadline(s.Now())
	ctx, cancel := s.deadlines.withDeadline(r.Context(), c)
	defer cancel()
	c.run(ctx)
}

// writeGrace is the time after its deadline in which a response may still be written.
const writeGrace = time.Second

// release releases what the call held.
func (c *call) release() {
	c.returnQuota()
	c.s.bodyBytes.Add(-c.heldBytes)
	c.memory.Release()
	c.s.active.Add(-1)
}

// timings are the times and durations of a call that its log line contains.
type timings struct {
	firstSent    time.Duration // when it was first sent to an endpoint, 0 for never
	chosen       time.Duration // when the endpoint of the newest send was chosen
	lastSent     time.Duration // when it was last sent
	answered     time.Duration // from the newest send to the head of its response, 0 without one
	listAge      time.Duration // upper bound of the endpoint list's age at the last send
	settingsAge  time.Duration // upper bound of the settings' age when they decided the request, -1 ms if unknown
	firstWritten time.Duration // when the first event or response was written to the caller, 0 for never
	longestPause time.Duration // the longest pause between two events
}

// sendOutcome says how a send ended.
type sendOutcome uint8

const (
	// sendCompleted means that the caller got the response.
	sendCompleted sendOutcome = iota
	// sendNotExecuted means that the endpoint answered that it did not run the request.
	sendNotExecuted
	// sendUnsent means that no byte went to the endpoint.
	sendUnsent
	// sendFailed means that the endpoint answered with an error that a retry may avoid.
	sendFailed
	// sendLost means that no response came, or an incomplete one.
	sendLost
	// sendAbandoned means that the caller left or the deadline passed.
	sendAbandoned
	// sendReplaced means that another endpoint has taken over, since this one was silent.
	sendReplaced
	// sendForbidden means that the request may not be sent any more; no byte went to the endpoint.
	sendForbidden
)

// Backoffs after a send that did not complete. They are sent to the caller as Retry-After; if the endpoint answered that it did not
// run the request, it gets no work for the same time.
const (
	backoffUnreachable   = time.Second
	backoffWrongInstance = 3 * time.Second
	backoffFull          = 60 * time.Millisecond
	backoffLost          = 30 * time.Millisecond
)

// maxDials limits the endpoints tried after connections failed, and maxRejects those tried after an endpoint did not run the request.
const (
	maxDials   = 4
	maxRejects = 2
)

// prepare sets the header of the request to endpoints, and the request to the scheduler.
func (c *call) prepare() {
	c.header = c.s.Headers.outgoing(c.r.Header)
	if c.workspace != nil {
		c.header.Set(c.s.Headers.Workspace, c.workspace.Name)
	}
	c.req = c.newRequest(c.arrived)
}

// newRequest returns a request to the scheduler that asks for a slot at the given time.
func (c *call) newRequest(asked time.Duration) *sched.Request {
	made := c.tokensMade()
	expected := c.lengthHint
	if expected > 0 {
		expected = max(1, expected-made)
	}
	r := &sched.Request{
		ID: c.id, PromptTokens: c.tokensIn, MaxTokens: max(1, c.tokensOut-made), ExpectedTokens: expected,
		Arrived: c.arrived, Deadline: c.deadline, DispatchBy: c.dispatchBy(asked), Data: make(chan sched.Decision, 1),
	}
	if c.service.Engine {
		r.Objective = sched.Objective{FirstToken: c.route.Objective, EventGap: c.route.PauseObjective, EventTokens: c.service.EventTokens}
	}
	return r
}

// run sends the request to an endpoint, and to further ones where that is allowed.
func (c *call) run(ctx context.Context) {
	c.prepare()
	if c.mayRelay() {
		c.relay(ctx)
		return
	}
	if f := c.bindOrigin(ctx); f != nil {
		c.refuse(*f)
		return
	}
	if c.continuesStream() {
		// The time in which the origin was looked up is not one in which it could get a slot.
		c.req.Continues, c.req.DispatchBy = true, c.dispatchBy(c.s.Now())
	}
	c.s.noteFirstAttempt(c.service.Name)
	d := c.s.balance.submit(c)
	c.countLength(&c.s.Count.LengthKnown, &c.s.Count.Longest)
	for n := (failures{}); ; {
		d = c.wait(ctx, d)
		if d.Verdict != sched.Run {
			c.relayOrGiveUp(ctx, d)
			return
		}
		c.recordDuration(metrics.QueueWait, c.s.Now()-c.arrived)
		if c.timings.firstSent == 0 {
			c.timings.firstSent = c.s.Now()
		}
		c.endpoint, c.timings.chosen = c.s.balance.endpoint(d.Endpoint), c.s.Now()
		result, backoff := c.send(ctx)
		switch result {
		case sendCompleted, sendAbandoned:
			c.finish(ctx, result)
			return
		case sendForbidden:
			c.s.balance.endSend(c, sched.Canceled, 0, 0)
			c.giveUpForbidden(ctx)
			return
		case sendUnsent:
			n.dials++
		case sendNotExecuted:
			c.s.Count.Rejected.Add(1)
			n.rejects++
		}
		denied := c.retryDenied(result, n)
		if denied != "" || ctx.Err() != nil || c.mayRelay() {
			c.s.balance.endSend(c, sched.Canceled, 0, 0)
			if (denied == "" || result == sendUnsent) && ctx.Err() == nil && c.mayRelay() {
				c.relay(ctx)
				return
			}
			c.giveUp(ctx, sched.Decision{Verdict: sched.Refuse, Reason: denied, RetryAfter: c.s.balance.retryAfter(c, backoff)})
			return
		}
		if result != sendUnsent {
			c.s.Count.Repeated.Add(1)
		}
		d = c.s.balance.redispatch(c)
	}
}

// relayOrGiveUp ends a request that no endpoint takes: a host that reaches none relays it.
func (c *call) relayOrGiveUp(ctx context.Context, d sched.Decision) {
	if ctx.Err() == nil && c.mayRelay() {
		c.relay(ctx)
		return
	}
	c.giveUp(ctx, d)
}

// wait waits for the decision if it is pending.
func (c *call) wait(ctx context.Context, d sched.Decision) sched.Decision {
	if d.Verdict != sched.Wait {
		return d
	}
	decisions := c.req.Data.(chan sched.Decision)
	select {
	case d = <-decisions:
		return d
	case <-ctx.Done():
	}
	if c.s.balance.withdraw(c) {
		return sched.Decision{Verdict: sched.Refuse}
	}
	return <-decisions
}

// recordDuration records a duration under the request's workspace and route.
func (c *call) recordDuration(m metrics.Measure, d time.Duration) {
	k := metrics.Key{Tier: c.route.Name}
	if c.workspace != nil {
		k.Workspace = c.workspace.Name
	}
	c.s.Metrics.Record(k, m, d)
}

// longestRank is the length rank from which a request belongs to the longest tenth of its service.
const longestRank = 0.9

// countLength counts a request whose answer has an expected length, and whether it belongs to the longest.
func (c *call) countLength(known, longest *atomic.Int64) {
	rank := c.req.Estimates().LengthRank
	if rank == 0 {
		return
	}
	known.Add(1)
	if rank >= longestRank {
		longest.Add(1)
	}
}

// finish counts a call whose last send has ended, and answers the caller if it has no response yet.
func (c *call) finish(ctx context.Context, result sendOutcome) {
	c.s.balance.noteTransfer(c)
	if c.unread && result == sendCompleted {
		c.endUnread()
	}
	if result == sendCompleted {
		c.s.Count.Served.Add(1)
		c.countLength(&c.s.Count.LengthKnownServed, &c.s.Count.LongestServed)
		if !c.serverError && !c.endUnknown {
			c.s.crashes.noteAnswer(c)
		}
		c.recordDuration(metrics.TotalTime, c.s.Now()-c.arrived)
		c.noteDuration()
		if c.s.Trace && !c.serverError {
			c.logOutcome(outcome.Served, http.StatusOK, "", 0)
		}
		return
	}
	c.s.balance.endSend(c, sched.Canceled, 0, 0)
	c.giveUp(ctx, sched.Decision{Verdict: sched.Refuse})
}
