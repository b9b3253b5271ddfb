// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import (
	"context"
	"net/http"

	"github.com/heathkeel/heathkeel/outcome"
	"github.com/heathkeel/heathkeel/sched"
)

// giveUpForbidden writes the final response to a request that may not be sent any more. If it may have run before, the response
// does not claim that it did not.
func (c *call) giveUpForbidden(ctx context.Context) {
	if c.tracker.MayHaveRun() {
		c.giveUp(ctx, sched.Decision{Verdict: sched.Refuse, RetryAfter: c.sendRefusal.retryAfter})
		return
	}
	c.refuse(*c.sendRefusal)
}

// reasonStopped is the reason of the end of a request that was not over when its host's planned stop was.
const reasonStopped sched.Reason = "this host has stopped"

// giveUp writes the final response to a request that got none from an endpoint.
func (c *call) giveUp(ctx context.Context, d sched.Decision) {
	if c.unread {
		c.endUnread()
	}
	if c.r.Context().Err() != nil {
		c.s.Count.Gone.Add(1)
		c.logOutcome(outcome.CallerGone, 0, "the caller closed its connection", 0)
		panic(http.ErrAbortHandler)
	}
	if c.stream.started {
		c.s.Count.Cut.Add(1)
		c.logOutcome(outcome.Truncated, 0, c.whyCut(d.Reason), 0)
		panic(http.ErrAbortHandler)
	}
	if c.savedResponse != nil {
		c.writeResponse(c.savedResponse)
		if c.unread {
			c.endUnread()
		}
		return
	}
	if c.s.ended.Load() {
		d.Reason = reasonStopped
	}
	status := c.tracker.FailureStatus(c.s.Now() >= c.deadline || ctx.Err() != nil)
	if status == http.StatusServiceUnavailable {
		c.s.Count.Overload.Add(1)
	}
	if d.Reason.LacksRoom() {
		d.RetryAfter = c.retryForRoom(d.RetryAfter)
	}
	c.refuse(refusal{status: status, why: "no answer from an endpoint: " + string(d.Reason), retryAfter: d.RetryAfter})
}

// whyCut returns the explanation of a stream that ends early. denied says why it does not go on at another endpoint.
func (c *call) whyCut(denied sched.Reason) string {
	switch {
	case c.outOfMemory:
		return errResponseMemory.Error()
	case c.s.Now() >= c.deadline:
		return "the stream was not over by its deadline"
	case c.s.ended.Load():
		return string(reasonStopped)
	case denied == "":
		return c.lost.why()
	}
	return c.lost.why() + "; not continued elsewhere: " + string(denied)
}
