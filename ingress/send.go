// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/heathkeel/heathkeel/metrics"
	"github.com/heathkeel/heathkeel/outcome"
	"github.com/heathkeel/heathkeel/outlier"
	"github.com/heathkeel/heathkeel/route"
	"github.com/heathkeel/heathkeel/upstream"
)

// send sends the request to the endpoint c.endpoint and handles its response. It returns the outcome and the backoff.
func (c *call) send(ctx context.Context) (sendOutcome, time.Duration) {
	conn, result, backoff := c.connect(ctx)
	if conn == nil {
		return result, backoff
	}
	if c.sendRefusal = c.checkSend(ctx); c.sendRefusal != nil {
		conn.Release()
		return sendForbidden, 0
	}
	remaining, ok := c.timeLeft(ctx)
	if !ok {
		conn.Release()
		return sendAbandoned, 0
	}
	unregister, registered := c.s.balance.registerSend(c, func() {
		c.s.Count.LifeOver.Add(1)
		conn.Close()
	})
	defer unregister()
	if !registered {
		conn.Release()
		return sendUnsent, 0
	}
	c.header.Set(c.s.Headers.Deadline, formatDeadline(remaining))
	c.header.Set(c.s.Headers.ExpectInstance, c.endpoint.Instance)
	stopCancel := context.AfterFunc(ctx, func() { conn.Close() })
	c.tracker.MarkSent()
	c.responsePending = true
	sentAt := c.s.Now()
	c.noteSend(sentAt)
	silence := newSilenceTimer(c.silenceTimeout(), conn.Close)
	c.s.paths.sendBegun()
	result, backoff = c.roundTrip(ctx, conn, silence)
	c.s.paths.sendEnded()
	timedOut := c.noteSilence(silence)
	if timedOut && result == sendLost {
		backoff = backoffUnreachable
	}
	uncanceled := stopCancel()
	if timedOut || (!uncanceled && c.responsePending && c.s.Now()-sentAt >= closeStaleAfter) {
		c.s.pool.CloseStale(conn)
	}
	if result != sendCompleted && (timedOut || !uncanceled) {
		c.countCanceledWork(timedOut, c.s.Now()-sentAt)
	}
	c.noteExceeded(conn)
	corrupt := conn.Exceeded() != ""
	result = settle(conn, result, !uncanceled)
	// A send during which this process did not run for a while says nothing about the endpoint.
	gapSeen := c.s.Watch.GapSince(sentAt)
	if !gapSeen {
		c.s.balance.noteVersion(c, result, c.s.Now()-sentAt)
		c.reportFailure(result, backoff, corrupt)
	}
	if result == sendLost {
		c.noteLost(ctx, timedOut, gapSeen)
	}
	return result, backoff
}

// connect returns a connection to the endpoint, or nil with the outcome and the backoff. It records how opening a new one went.
func (c *call) connect(ctx context.Context) (*upstream.Conn, sendOutcome, time.Duration) {
	conn, reused, err := c.s.pool.Get(ctx, c.endpoint.Address)
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

// noteLost counts and logs a send without a complete response, and probes the endpoint unless it was silent for too long.
func (c *call) noteLost(ctx context.Context, timedOut, gapSeen bool) {
	c.tracker.MarkLost()
	c.s.Count.Lost.Add(1)
	c.logOutcome(outcome.SendLost, 0, c.lost.why(), 0)
	if !timedOut {
		c.probeCrash(ctx, gapSeen)
	}
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

// countCanceledWork counts a send that this host canceled, by cause.
func (c *call) countCanceledWork(timedOut bool, elapsed time.Duration) {
	n := &c.s.Count
	switch {
	case c.r.Context().Err() != nil:
		n.LeftAtWork.Add(1)
	case timedOut:
		n.MuteAtWork.Add(1)
	default:
		n.LateAtWork.Add(1)
	}
	n.WorkLostMS.Add(elapsed.Milliseconds())
}

// roundTrip sends the request on a connection and forwards the response.
func (c *call) roundTrip(ctx context.Context, conn *upstream.Conn, silence *silenceTimer) (sendOutcome, time.Duration) {
	req := upstream.Request{Method: c.r.Method, URI: c.uri, Host: c.r.Host, Header: c.header, Body: c.body, HasBody: c.hasBody}
	sent := c.s.Now()
	if err := conn.Send(&req); err != nil {
		return sendLost, backoffLost
	}
	resp, err := conn.ReadResponse(c.r.Method, c.s.Headers.AttemptID, c.id)
	if err != nil {
		return sendLost, backoffLost
	}
	defer resp.Body.Close()
	c.responsePending = false
	c.s.paths.heard(c.s.Now())
	c.logUnreadHeaders(resp.Header)
	if resp.StatusCode == http.StatusMisdirectedRequest {
		return c.discard(conn, resp, backoffWrongInstance)
	}
	c.noteLimits(resp.Header, sent)
	c.noteLoad(resp.Header)
	c.noteStatements(resp)
	if resp.Header.Get(c.s.Headers.NotExecuted) != "" {
		return c.discard(conn, resp, backoffFull)
	}
	return c.forwardResponse(ctx, resp, sent, silence)
}

// forwardResponse forwards a response of an endpoint, which may have come by another host.
func (c *call) forwardResponse(ctx context.Context, resp *http.Response, sent time.Duration, silence *silenceTimer) (sendOutcome, time.Duration) {
	c.tracker.MarkAnswered()
	c.serverError = resp.StatusCode >= http.StatusInternalServerError
	ok := resp.StatusCode >= 200 && resp.StatusCode < 300
	c.succeeded, c.endUnknown = ok, false
	if ok && resp.Header.Get(c.s.Headers.ResponseStamp) == "" {
		return sendLost, backoffLost
	}
	if ok && c.route.Kind == route.Stream {
		return c.forwardStream(ctx, resp, sent, silence)
	}
	if c.stream.started {
		// The caller has received part of a stream; a response that is not a stream cannot continue it.
		discardBody(resp)
		return sendFailed, backoffLost
	}
	return c.forwardPlain(resp, sent)
}
