// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"time"

	"github.com/heathkeel/heathkeel/attempt"
	"github.com/heathkeel/heathkeel/route"
	"github.com/heathkeel/heathkeel/sched"
)

// A request whose endpoint is silent is sent to another one as well (a hedged request: Dean and Barroso, "The Tail at Scale", CACM 2013).
// Whichever sends something first goes on, and the other send is ended: silence does not show that an endpoint has failed, and the retry
// budget, the scheduler or the other endpoint may refuse the request.

const (
	// hedgeInterval is the time between two tries to send a request to another endpoint while its own is silent.
	hedgeInterval = 200 * time.Millisecond
	// commonSilenceShare is the time for which a hedge waits because all endpoints are silent, as a share of the silence limit. Silent
	// connections look the same, and there a hedge on a new connection is answered.
	commonSilenceShare = 0.5
)

// replacement is a send that takes over from one whose endpoint is silent.
type replacement struct {
	call     *call // as it was sent: endpoint, header and request to the scheduler
	exchange *exchange
}

// hedges are the hedges of a call that did not take over.
type hedges struct {
	failures failures
	tried    []string // incarnations of their endpoints
}

// watchSilence makes a replacement begin when the endpoint of a send is silent for too long.
func (c *call) watchSilence(ctx context.Context, x *exchange) {
	x.silence.limit, x.silence.ctx = c.silenceTimeout(), ctx
	x.silence.replace = func(hedgeCtx, tries context.Context) bool { return c.replace(ctx, hedgeCtx, tries, x) }
}

// replace tries to replace a send until that succeeds, the request may not be sent again, or tries ends. It ends the replaced send. A host
// that reaches no endpoint takes the retry and a connection to another host instead.
func (c *call) replace(ctx, hedgeCtx, tries context.Context, x *exchange) bool {
	c.s.pool.CloseStale(x.conn)
	begun := c.s.Now()
	t := time.NewTimer(hedgeInterval)
	defer t.Stop()
	for c.mayHedge() {
		cutOff := c.s.CutOff()
		switch {
		case cutOff:
			c.retryCharged = c.mayRelay() && c.secureRelay(hedgeCtx)
		default:
			c.replacement = c.tryHedge(ctx, hedgeCtx, x.silence.limit, c.s.Now()-begun)
		}
		if c.replacement != nil || c.retryCharged {
			x.conn.Close()
			return true
		}
		t.Reset(hedgeInterval)
		select {
		case <-t.C:
		case <-tries.Done():
			return false
		}
	}
	x.silence.limit = 0
	return false
}

// mayHedge reports whether the request may be sent to another endpoint while the present one may still answer.
func (c *call) mayHedge() bool {
	n := &c.hedges.failures
	return c.sends() < c.route.Attempts && n.dials < maxDials && n.rejects <= maxRejects
}

// secureRelay takes a retry and opens a connection to a host to which the request may be relayed. It returns false if one of both fails.
func (c *call) secureRelay(ctx context.Context) bool {
	to, ok := pickTarget(c.s.relayTargets(), nil, rand.Float64())
	if !ok || !c.s.takeRetry(c.service.Name) {
		return false
	}
	if err := c.s.relayPool.Warm(ctx, to.Front); err != nil || ctx.Err() != nil {
		c.s.returnRetry(c.service.Name)
		return false
	}
	return true
}

// tryHedge hedges the request if that is allowed now and another endpoint may answer sooner. waited is the time since the first try. While
// further attempts are left, the other endpoint has to begin its answer within the time for which the first one was silent.
func (c *call) tryHedge(ctx, hedgeCtx context.Context, silence, waited time.Duration) *replacement {
	if len(c.granted) > 0 || len(c.s.crashes.onTrial(c)) > 0 || !c.s.takeRetry(c.service.Name) {
		return nil
	}
	if c.sends()+1 < c.route.Attempts {
		var cancel context.CancelFunc
		hedgeCtx, cancel = context.WithTimeout(hedgeCtx, silence)
		defer cancel()
	}
	h := c.fork()
	mayWait := waited < time.Duration(commonSilenceShare*float64(silence))
	d := c.s.balance.submitHedge(h, c.req, silence/2, mayWait)
	if d.Verdict != sched.Run {
		c.s.returnRetry(c.service.Name)
		return nil
	}
	h.endpoint, h.timings.chosen = c.s.balance.endpoint(d.Endpoint), c.s.Now()
	c.hedges.tried = append(c.hedges.tried, h.endpoint.Incarnation())
	// What silenced the connection of the first send may have silenced those that were idle at the time, too.
	c.s.pool.CloseIdleSince(h.endpoint.Address, c.s.Now()-silence)
	return c.hedge(ctx, hedgeCtx, h)
}

// hedge sends the request to another endpoint, and returns the send once that endpoint has begun to answer, or nil.
func (c *call) hedge(ctx, hedgeCtx context.Context, h *call) *replacement {
	c.s.Count.Hedged.Add(1)
	x, _, _ := h.open(hedgeCtx)
	if x == nil {
		c.hedges.failures.dials++
		c.s.returnRetry(c.service.Name)
		c.endHedge(h)
		return nil
	}
	h.tracker.MarkSent()
	result, backoff := h.awaitBody(x)
	if result == sendCompleted && x.stopCancel() {
		x.stopCancel = context.AfterFunc(ctx, x.conn.Close)
		return &replacement{h, x}
	}
	if result == sendNotExecuted {
		c.hedges.failures.rejects++
		c.s.Count.Rejected.Add(1)
		h.logNotRun(x.resp.StatusCode)
	}
	h.endHedgedExchange(hedgeCtx, x, result, backoff)
	c.endHedge(h)
	return nil
}

// endHedge gives the slot of a further send back that does not take over, and counts the send.
func (c *call) endHedge(h *call) {
	c.s.Count.HedgesDropped.Add(1)
	c.s.balance.endSend(h, sched.Canceled, 0, 0)
	if h.tracker.MayHaveRun() {
		c.tracker.MarkHedged()
	}
}

// fork returns a copy of the call for a further send.
func (c *call) fork() *call {
	h := *c
	h.req, h.header = c.newRequest(c.s.Now()), c.header.Clone()
	h.tracker, h.firstOutputSeen, h.savedResponse, h.hedging = attempt.Tracker{}, false, nil, true
	return &h
}

// awaitBody sends the request and waits for the body of a response that may be forwarded. It returns sendCompleted, or the outcome and
// the backoff.
func (c *call) awaitBody(x *exchange) (sendOutcome, time.Duration) {
	if err := c.request(x, c.header); err != nil {
		return sendLost, backoffLost
	}
	if result, backoff := c.readHead(x); result != sendCompleted {
		return result, backoff
	}
	stream := c.route.Kind == route.Stream
	switch {
	case isSuccess(x.resp) && !c.isUsable(x.resp):
		return sendLost, backoffLost
	case !c.isUsable(x.resp):
		return sendFailed, backoffLost
	}
	r := bufio.NewReaderSize(x.resp.Body, eventBuffer)
	_, err := r.Peek(1)
	ended := errors.Is(err, io.EOF) && !(stream && isUnframed(x.resp))
	if err != nil && !ended {
		return sendLost, backoffLost
	}
	x.resp.Body = peekedBody{r, x.resp.Body}
	return sendCompleted, 0
}

// peekedBody is a body of which the first bytes were read into a buffer.
type peekedBody struct {
	io.Reader
	io.Closer
}

// endHedgedExchange ends a further send that does not take over. One that was abandoned says nothing about its endpoint, other than one
// that was silent for too long.
func (c *call) endHedgedExchange(ctx context.Context, x *exchange, result sendOutcome, backoff time.Duration) {
	defer x.unregister()
	uncanceled := x.stopCancel()
	c.noteExceeded(x.conn)
	corrupt := x.conn.Exceeded() != ""
	if result == sendCompleted {
		result = sendAbandoned
	}
	result = settle(x.conn, result, !uncanceled)
	silent := errors.Is(ctx.Err(), context.DeadlineExceeded)
	if silent {
		result = sendLost
		c.s.pool.CloseStale(x.conn)
	}
	if ctx.Err() != nil && !silent {
		return
	}
	gapSeen := c.s.Watch.GapSince(x.sentAt)
	if !gapSeen {
		c.s.balance.noteVersion(c, result, c.s.Now()-x.sentAt)
		c.reportFailure(result, backoff, corrupt)
	}
	if result == sendLost {
		c.s.Count.Lost.Add(1)
	}
	if result == sendLost && !silent {
		c.s.crashes.noteLost(c, gapSeen)
	}
}

// takeReplacement ends the replaced send and goes on with the one that has taken over.
func (c *call) takeReplacement(ctx context.Context, x *exchange) *exchange {
	c.endReplaced(x)
	c.lost = lostSend{}
	h, y := c.replacement.call, c.replacement.exchange
	c.replacement = nil
	c.endpoint, c.req, c.header, c.granted = h.endpoint, h.req, h.header, h.granted
	c.firstOutputSeen, c.responsePending = h.firstOutputSeen, false
	c.timings.chosen, c.timings.lastSent, c.timings.listAge = h.timings.chosen, h.timings.lastSent, h.timings.listAge
	c.tracker.MarkSent()
	c.s.Count.Repeated.Add(1)
	c.watchSilence(ctx, y)
	return y
}

// endReplaced ends a send whose endpoint was silent, and whose replacement has taken over.
func (c *call) endReplaced(x *exchange) {
	x.stopCancel()
	x.unregister()
	c.s.Count.MuteAtWork.Add(1)
	c.s.Count.WorkLostMS.Add((c.s.Now() - x.sentAt).Milliseconds())
	if !x.unusable && !c.s.Watch.GapSince(x.sentAt) {
		c.s.balance.noteVersion(c, sendLost, c.s.Now()-x.sentAt)
		c.reportFailure(sendLost, backoffUnreachable, false)
	}
	c.lost = lostSend{silence: x.silence.limit}
	c.noteLost()
	c.s.balance.endSend(c, sched.Canceled, 0, 0)
}

// dropReplacement ends a replacement that is not needed, because the silent endpoint has completed its response.
func (c *call) dropReplacement(ctx context.Context) {
	if c.replacement == nil {
		return
	}
	h, x := c.replacement.call, c.replacement.exchange
	c.replacement = nil
	h.endHedgedExchange(ctx, x, sendAbandoned, 0)
	c.endHedge(h)
}
