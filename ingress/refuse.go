// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import (
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/heathkeel/heathkeel/outcome"
	"github.com/heathkeel/heathkeel/sched"
)

// refusal is a final response made by the host itself.
type refusal struct {
	status     int
	why        string
	retryAfter time.Duration
	kind       outcome.Kind // kind to log; if empty, it follows from the request's tracker
}

// refuse writes a refusal and logs it.
func (c *call) refuse(f refusal) {
	c.skipBody()
	h := c.w.Header()
	if f.status == http.StatusServiceUnavailable || f.status == http.StatusTooManyRequests {
		f.retryAfter = max(f.retryAfter, minRetryAfter)
		h.Set("Retry-After", strconv.FormatFloat(f.retryAfter.Seconds(), 'f', 2, 64))
	}
	if c.r.Header.Get(relayHeader) != "" {
		h.Set(relayRefusedHeader, "1")
		h.Set(c.s.Headers.AttemptID, c.r.Header.Get(c.s.Headers.AttemptID))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	c.w.WriteHeader(f.status)
	_ = c.write([]byte(f.why + "\n")) // an error shows when the connection is used next
	kind := f.kind
	switch {
	case kind != "":
	case c.tracker.MayHaveRun():
		kind = outcome.Failed
	default:
		kind = outcome.Refused
	}
	c.logOutcome(kind, f.status, f.why, f.retryAfter)
}

// minRetryAfter is the shortest Retry-After that a refusal sends.
const minRetryAfter = 100 * time.Millisecond

// retryForRoom returns the Retry-After of a refusal for lack of room, given the earliest time at which there may be some.
func (c *call) retryForRoom(earliest time.Duration) time.Duration {
	if !c.takesUpStream() {
		return earliest
	}
	return sched.ContinueRetryAfter(earliest, c.deadline-c.s.Now(), rand.Float64())
}

// Limits of what is read of a refused body, in bytes and time.
const (
	// Afterwards net/http reads up to 512 KB more. All of it is dropped.
	maxSkipped  = 448 << 10
	skipTimeout = 500 * time.Millisecond
)

// skipBody reads the rest of a body that is refused: closing a connection with unread bytes resets it, and the response may be
// lost with it.
func (c *call) skipBody() {
	if c.r.Body == nil || c.r.Body == http.NoBody || c.hasBody || c.r.Header.Get("Expect") != "" {
		return
	}
	_ = c.rc.SetReadDeadline(time.Now().Add(skipTimeout))
	// An error here recurs, and is reported, when the response is written.
	_, _ = io.CopyN(io.Discard, c.r.Body, maxSkipped)
	_ = c.rc.SetReadDeadline(time.Time{})
}
