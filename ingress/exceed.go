// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import (
	"errors"
	"net/http"
	"time"

	"github.com/heathkeel/heathkeel/outcome"
	"github.com/heathkeel/heathkeel/upstream"
)

// noteExceeded counts and logs that the endpoint, or the other host, of the newest send exceeded a limit on responses. It must be
// called before the connection is released.
func (c *call) noteExceeded(conn *upstream.Conn) {
	if limit := conn.Exceeded(); limit != "" {
		c.logExceeded(limit)
	}
}

// noteBroken counts why the response to the newest send is not complete, and keeps it for the log. It must be called before the connection
// is released.
func (c *call) noteBroken(x *exchange) {
	if x.conn.Exceeded() != "" {
		return // told by noteExceeded
	}
	c.lost.cause = x.conn.Err()
	var invalid *upstream.HeadError
	switch {
	case errors.As(c.lost.cause, &invalid):
		c.s.Count.InvalidHeads.Add(1)
	case c.lost.cause != nil && x.resp != nil && isUnframed(x.resp):
		c.s.Count.BrokenUnframed.Add(1)
	}
}

// limitRepeated is the limit on events of a stream that were forwarded before.
const limitRepeated upstream.Limit = "events sent before"

// logExceeded counts and logs that a response exceeded a limit.
func (c *call) logExceeded(limit upstream.Limit) {
	c.s.Count.OverLimit.Add(1)
	if c.allowLine(outcome.Kind("over limit on "+limit), c.s.Now()) {
		c.s.Log.Info("response exceeds a limit; check the version of its sender", "limit", limit, "endpoint", c.endpoint.Instance, "relayed_to", c.relayed.to, "id", c.id)
	}
}

// discard drops a response that says that its request was not run. A response that exceeds a limit says nothing: the request then
// counts as lost, because it may have run.
func (c *call) discard(conn *upstream.Conn, resp *http.Response, backoff time.Duration) (sendOutcome, time.Duration) {
	var exceeded *upstream.LimitError
	if errors.As(conn.Discard(resp), &exceeded) {
		return sendLost, backoffLost
	}
	c.tracker.MarkNotRun()
	return sendNotExecuted, backoff
}
