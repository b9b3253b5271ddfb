// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/heathkeel/heathkeel/metrics"
	"github.com/heathkeel/heathkeel/outcome"
	"github.com/heathkeel/heathkeel/outlier"
	"github.com/heathkeel/heathkeel/route"
	"github.com/heathkeel/heathkeel/upstream"
)

// exchange is one send of a request to an endpoint, and its response.
type exchange struct {
	conn       *upstream.Conn
	resp       *http.Response
	sentAt     time.Duration
	unregister func()
	// stopCancel keeps the end of the request from closing the connection, and returns false if it has closed it.
	stopCancel func() bool
	silence    silenceTimer
	unusable   bool // the head of the response says that it is not the answer
	progress   progress
}

// send sends the request to the endpoint c.endpoint and handles its response. It returns the outcome and the backoff.
func (c *call) send(ctx context.Context) (sendOutcome, time.Duration) {
	x, result, backoff := c.open(ctx)
	if x == nil {
		return result, backoff
	}
	c.tracker.MarkSent()
	c.watchSilence(ctx, x)
	c.s.paths.sendBegun()
	result, backoff = c.roundTrip(ctx, x)
	for result == sendReplaced {
		if c.replacement == nil { // the request is relayed
			result, backoff = sendLost, backoffLost
			break
		}
		x = c.takeReplacement(ctx, x)
		result, backoff = c.forwardResponse(ctx, x)
	}
	c.s.paths.sendEnded()
	return c.endExchange(ctx, x, result, backoff)
}

// open gets a connection to the endpoint for a send, or returns nil with the outcome and the backoff.
func (c *call) open(ctx context.Context) (*exchange, sendOutcome, time.Duration) {
	conn, result, backoff := c.connect(ctx)
	if conn == nil {
		return nil, result, backoff
	}
	if c.sendRefusal = c.checkSend(ctx); c.sendRefusal != nil {
		conn.Release()
		return nil, sendForbidden, 0
	}
	remaining, ok := c.timeLeft(ctx)
	if !ok {
		conn.Release()
		return nil, sendAbandoned, 0
	}
	unregister, registered := c.s.balance.registerSend(c, func() {
		c.s.Count.LifeOver.Add(1)
		conn.Close()
	})
	if !registered {
		conn.Release()
		return nil, sendUnsent, 0
	}
	c.header.Set(c.s.Headers.Deadline, formatDeadline(remaining))
	c.header.Set(c.s.Headers.ExpectInstance, c.endpoint.Instance)
	x := &exchange{conn: conn, unregister: unregister, stopCancel: context.AfterFunc(ctx, conn.Close), sentAt: c.s.Now()}
	x.progress.note(x.sentAt)
	c.responsePending = true
	c.noteSend(x.sentAt)
	return x, sendCompleted, 0
}

// endExchange ends a send with the given outcome, and returns it or sendAbandoned with the backoff.
func (c *call) endExchange(ctx context.Context, x *exchange, result sendOutcome, backoff time.Duration) (sendOutcome, time.Duration) {
	defer x.unregister()
	uncanceled := x.stopCancel()
	if !uncanceled && c.responsePending && c.s.Now()-x.sentAt >= closeStaleAfter {
		c.s.pool.CloseStale(x.conn)
	}
	if result != sendCompleted && !uncanceled {
		c.countCanceledWork(c.s.Now() - x.sentAt)
	}
	c.noteExceeded(x.conn)
	corrupt := x.conn.Exceeded() != ""
	result = settle(x.conn, result, !uncanceled)
	// A send during which this process did not run for a while says nothing about the endpoint.
	gapSeen := c.s.Watch.GapSince(x.sentAt)
	if !gapSeen {
		c.s.balance.noteVersion(c, result, c.s.Now()-x.sentAt)
		c.reportFailure(result, backoff, corrupt)
	}
	if result == sendNotExecuted {
		c.logNotRun(x.resp.StatusCode)
	}
	if result == sendLost {
		c.lost = lostSend{}
		c.noteBroken(x)
		c.noteLost()
		c.probeCrash(ctx, gapSeen)
	}
	return result, backoff
}

// connect returns a connection to the endpoint, or nil with the outcome and the backoff. It records how opening a new one went.
func (c *call) connect(ctx context.Context) (*upstream.Conn, sendOutcome, time.Duration) {
	conn, reused, err := c.s.pool.Get(ctx, c.endpoint.Address, c.id)
	if err != nil && ctx.Err() != nil {
		return nil, sendAbandoned, 0
	}
	if !reused {
		c.s.paths.connected(c.endpoint.Address, c.timings.chosen, err)
	}
	if err == nil && !reused {
		c.s.balance.observeDial(c.endpoint.Zone, c.elapsed(c.timings.chosen, c.s.Now()))
	}
	if err != nil {
		c.s.balance.noteFailure(c, outlier.Unreachable)
		return nil, sendUnsent, backoffUnreachable
	}
	return conn, sendUnsent, 0
}

// noteLost counts and logs a send without a complete response.
func (c *call) noteLost() {
	c.tracker.MarkLost()
	c.s.Count.Lost.Add(1)
	c.logOutcome(outcome.SendLost, 0, c.lost.why(), 0)
}

// logNotRun logs a send whose response, with the given status, says that it was not run.
func (c *call) logNotRun(status int) {
	c.logOutcome(outcome.NotRun, status, "the response says that the request was not run", 0)
}

// timeLeft returns the time until the deadline, and false if it has passed or the caller has left.
func (c *call) timeLeft(ctx context.Context) (time.Duration, bool) {
	left := c.deadline - c.s.Now()
	return left, left > 0 && ctx.Err() == nil
}

// formatDeadline returns the value of the deadline header for a time that is left.
func formatDeadline(left time.Duration) string {
	return strconv.FormatInt(max(1, left.Milliseconds()), 10)
}

// settle closes or releases the connection of a send that has ended, and returns the outcome. canceled says that the caller left or the
// deadline passed meanwhile, which closes the connection.
func settle(conn *upstream.Conn, result sendOutcome, canceled bool) sendOutcome {
	switch {
	case canceled && result != sendCompleted:
		return sendAbandoned
	case canceled:
	case result == sendLost || result == sendAbandoned:
		conn.Close()
	default:
		conn.Release()
	}
	return result
}

// noteSend records the age of the endpoint list by which the request is sent. If it exceeds half of DrainTime, or the settings that
// decided the request were older than their limit, the send is logged.
func (c *call) noteSend(now time.Duration) {
	c.timings.lastSent, c.timings.listAge = now, c.s.listAge(now)
	c.recordDuration(metrics.ListAge, c.timings.listAge)
	c.recordDuration(metrics.ChoiceToSend, now-c.timings.chosen)
	if drainTime := c.s.DrainTime; drainTime > 0 && c.timings.listAge > drainTime/2 {
		c.logOutcome(outcome.SentByStaleList, 0, "the endpoint list may contain endpoints that have left", 0)
	}
	if maxAge := c.s.Settings.MaxAge; maxAge > 0 && c.timings.settingsAge > maxAge {
		c.logOutcome(outcome.SentByStaleSettings, 0, "the settings may contain routes that were removed", 0)
	}
}

// probeCrash probes whether the endpoint that lost a send has crashed. A request that may be retried waits for the result.
func (c *call) probeCrash(ctx context.Context, gapSeen bool) {
	done := c.s.crashes.noteLost(c, gapSeen)
	if !c.route.MayRepeat() || c.sends() >= c.route.Attempts {
		return
	}
	t := time.NewTimer(maxProbeWait)
	defer t.Stop()
	select {
	case <-done:
	case <-t.C:
	case <-ctx.Done():
	}
}

// reportFailure reports a failed send to the scheduler. Completed and abandoned sends were reported when they ended. corrupt says that
// the response exceeded a limit.
func (c *call) reportFailure(result sendOutcome, backoff time.Duration, corrupt bool) {
	switch {
	case result == sendLost && c.responsePending && !corrupt:
		c.s.balance.noteFailure(c, outlier.Unanswered)
	case result == sendLost:
		c.s.balance.noteFailure(c, outlier.Broken)
	case result == sendFailed:
		c.s.balance.noteFailure(c, outlier.Errored)
	case result == sendNotExecuted:
		c.s.balance.backOff(c, backoff)
		if backoff == backoffFull {
			c.s.balance.noteFailure(c, outlier.Rejected)
		}
	}
}

// countCanceledWork counts a send that this host canceled because the caller has left or the deadline has passed.
func (c *call) countCanceledWork(elapsed time.Duration) {
	n := &c.s.Count
	if c.r.Context().Err() != nil {
		n.LeftAtWork.Add(1)
	} else {
		n.LateAtWork.Add(1)
	}
	n.WorkLostMS.Add(elapsed.Milliseconds())
}

// roundTrip sends the request on a connection and forwards the response.
func (c *call) roundTrip(ctx context.Context, x *exchange) (sendOutcome, time.Duration) {
	x.silence.arm()
	err := c.request(x, c.header)
	x.unusable = err == nil && !c.isUsable(x.resp)
	waitErr := err
	if x.unusable {
		waitErr = errUnusable
	}
	if x.silence.stop(waitErr) {
		return sendReplaced, 0
	}
	if err != nil {
		return sendLost, backoffLost
	}
	defer x.resp.Body.Close()
	if result, backoff := c.readHead(x); result != sendCompleted {
		return result, backoff
	}
	return c.forwardResponse(ctx, x)
}

// errUnusable means that a response cannot be forwarded as the answer to the request.
var errUnusable = errors.New("response is not the answer")

// isUsable reports whether a response, by its head, may be forwarded as the answer to the request. A request is sent to another endpoint
// after any other response, if that is allowed.
func (c *call) isUsable(resp *http.Response) bool {
	switch {
	case resp.StatusCode == http.StatusMisdirectedRequest, resp.Header.Get(c.s.Headers.NotExecuted) != "":
		return false
	case resp.StatusCode >= http.StatusInternalServerError:
		return false
	case isSuccess(resp):
		return resp.Header.Get(c.s.Headers.ResponseStamp) != ""
	}
	return !c.stream.started
}

// request sends the request and reads the head of the response.
func (c *call) request(x *exchange, header http.Header) (err error) {
	req := upstream.Request{ID: c.id, Method: c.r.Method, URI: c.uri, Host: c.r.Host, Header: header, Body: c.body, HasBody: c.hasBody}
	c.timings.answered = 0
	err = x.conn.Send(&req)
	c.connNumber, c.connRequests = x.conn.Number(), x.conn.Requests()
	if err != nil {
		return err
	}
	x.resp, err = x.conn.ReadResponse(c.r.Method, c.s.Headers.AttemptID, c.id)
	c.s.Count.Skipped.Add(int64(x.conn.Skipped()))
	if err == nil {
		c.timings.answered = max(1, c.s.Now()-x.sentAt)
	}
	return err
}

// readHead records what the head of a response says about its endpoint. It returns sendCompleted if the endpoint runs the request, or
// the outcome and the backoff.
func (c *call) readHead(x *exchange) (sendOutcome, time.Duration) {
	resp := x.resp
	c.responsePending = false
	c.s.paths.heard(c.s.Now())
	c.logUnreadHeaders(resp.Header)
	if resp.StatusCode == http.StatusMisdirectedRequest {
		return c.discard(x.conn, resp, backoffWrongInstance)
	}
	c.noteLimits(resp.Header, x.sentAt)
	c.noteLoad(resp.Header)
	c.noteStatements(resp)
	if resp.Header.Get(c.s.Headers.NotExecuted) != "" {
		return c.discard(x.conn, resp, backoffFull)
	}
	if !isUnframed(resp) {
		c.s.balance.noteFramed(c)
	}
	return sendCompleted, 0
}

// forwardResponse forwards a response of an endpoint, which may have come by another host.
func (c *call) forwardResponse(ctx context.Context, x *exchange) (sendOutcome, time.Duration) {
	c.tracker.MarkAnswered()
	c.serverError = x.resp.StatusCode >= http.StatusInternalServerError
	ok := isSuccess(x.resp)
	c.succeeded, c.endUnknown = ok, false
	if ok && x.resp.Header.Get(c.s.Headers.ResponseStamp) == "" {
		return sendLost, backoffLost
	}
	if ok && c.route.Kind == route.Stream {
		return c.forwardStream(ctx, x)
	}
	if c.stream.started {
		// The caller has received part of a stream; a response that is not a stream cannot continue it.
		discardBody(x.resp)
		return sendFailed, backoffLost
	}
	return c.forwardPlain(x)
}

// isSuccess reports whether a response has a 2xx status.
func isSuccess(resp *http.Response) bool { return resp.StatusCode >= 200 && resp.StatusCode < 300 }
