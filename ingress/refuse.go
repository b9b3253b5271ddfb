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
	status int
	why    string
	after  time.Duration
	kind   outcome.Kind // as it is logged; empty for what the account of the request says
}

// refuse writes a final answer of the host's own.
func (c *call) refuse(f refusal) {
	c.skipBody()
	h := c.w.Header()
	if f.status == http.StatusServiceUnavailable || f.status == http.StatusTooManyRequests {
		after := max(f.after, leastAfter)
		h.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 2, 64))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	c.w.WriteHeader(f.status)
	_, _ = c.w.Write([]byte(f.why + "\n"))
	kind := f.kind
	switch {
	case kind != "":
	case c.account.MayHaveRun():
		kind = outcome.Failed
	default:
		kind = outcome.Refused
	}
	c.tell(kind, f.status, f.why, f.after)
}

// Bounds of what is read of a body that nobody wants.
const (
	mostSkipped = 512 << 10
	skipTime    = 500 * time.Millisecond
)

// skipBody reads the rest of a body that is refused: a connection that is closed
// over unread bytes is reset, and the answer may be lost with it.
func (c *call) skipBody() {
	if c.r.Body == nil || c.r.Body == http.NoBody || c.hasBody || c.r.Header.Get("Expect") != "" {
		return
	}
	_ = c.rc.SetReadDeadline(time.Now().Add(skipTime))
	// What fails here fails again, and is told, when the answer is written.
	_, _ = io.CopyN(io.Discard, c.r.Body, mostSkipped)
	_ = c.rc.SetReadDeadline(time.Time{})
}

// leastAfter is the shortest time that a refused caller is asked to wait.
const leastAfter = 100 * time.Millisecond
