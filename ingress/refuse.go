// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/heathkeel/heathkeel/outcome"
)

// refusal is a final answer of the host's own.
type refusal struct {
	status     int
	why        string
	retryAfter time.Duration
	kind       outcome.Kind // as it is logged; empty for what the account of the request says
}

// refuse writes a final answer of the host's own.
func (c *call) refuse(f refusal) {
	c.skipBody()
	h := c.w.Header()
	if f.status == http.StatusServiceUnavailable || f.status == http.StatusTooManyRequests {
		retryAfter := max(f.retryAfter, minRetryAfter)
		h.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 2, 64))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	c.w.WriteHeader(f.status)
	_, _ = c.w.Write([]byte(f.why + "\n"))
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

// Bounds of what is read of a body that nobody wants.
const (
	maxSkipped  = 512 << 10
	skipTimeout = 500 * time.Millisecond
)

// skipBody reads the rest of a body that is refused: a connection that is closed
// over unread bytes is reset, and the answer may be lost with it.
func (c *call) skipBody() {
	if c.r.Body == nil || c.r.Body == http.NoBody || c.hasBody || c.r.Header.Get("Expect") != "" {
		return
	}
	_ = c.rc.SetReadDeadline(time.Now().Add(skipTimeout))
	// What fails here fails again, and is told, when the answer is written.
	_, _ = io.CopyN(io.Discard, c.r.Body, maxSkipped)
	_ = c.rc.SetReadDeadline(time.Time{})
}

// minRetryAfter is the shortest time that a refused caller is asked to wait.
const minRetryAfter = 100 * time.Millisecond
