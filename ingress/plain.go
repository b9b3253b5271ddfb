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
	"github.com/heathkeel/heathkeel/sched"
)

// answer is an endpoint's whole answer.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// Bounds of answers.
const (
	// mostBuffered is the largest answer that is read whole before any of it goes back.
	mostBuffered = 512 << 10
	// mostDrained bounds what is read of an answer that nobody gets.
	mostDrained = 64 << 10
)

// drain reads an answer that nobody gets, so that its connection can be used again.
func drain(resp *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, mostDrained))
}

// passPlain reads an answer that is no stream and passes it on. It is read whole
// first where it is not large: one that breaks off can then still be mended.
func (c *call) passPlain(resp *http.Response, sent time.Duration) (ending, time.Duration) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, mostBuffered+1))
	if err != nil {
		return lost, holdLost
	}
	a := &answer{status: resp.StatusCode, header: resp.Header, body: body}
	if len(body) > mostBuffered {
		return c.passLarge(a, resp.Body, sent)
	}
	if a.status >= http.StatusInternalServerError && c.route.MayRepeat() && c.account.Sends() < c.route.Attempts {
		c.saved = a
		return failed, 0
	}
	took := c.spent(sent, c.s.Now())
	c.s.balance.first(c, took)
	if c.failedAnswer {
		c.s.balance.done(c, sched.Errored, 0, 0)
	} else {
		c.s.balance.done(c, sched.Completed, 1, took)
	}
	c.pass(a)
	return whole, 0
}

// pass writes a whole answer.
func (c *call) pass(a *answer) {
	if a.status >= http.StatusInternalServerError {
		c.tell(outcome.EndpointFailed, a.status, "the endpoint's own answer", 0)
	}
	c.times.first = c.s.Now()
	c.copyHeader(a.header)
	if bodyAllowed(c.r.Method, a.status) {
		c.w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	c.w.WriteHeader(a.status)
	_, _ = c.w.Write(a.body)
}

// bodyAllowed tells whether an answer has a body.
func bodyAllowed(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// passLarge passes a large answer on as it comes.
func (c *call) passLarge(a *answer, rest io.Reader, sent time.Duration) (ending, time.Duration) {
	c.times.first = c.s.Now()
	c.copyHeader(a.header)
	c.stream.begun = true
	c.w.WriteHeader(a.status)
	if _, err := c.w.Write(a.body); err != nil {
		return given, 0
	}
	buf := make([]byte, 32<<10)
	for {
		n, err := rest.Read(buf)
		if n > 0 {
			if _, werr := c.w.Write(buf[:n]); werr != nil {
				return given, 0
			}
		}
		if err == io.EOF {
			c.s.balance.first(c, c.spent(sent, c.s.Now()))
			c.s.balance.done(c, sched.Completed, 1, 0)
			return whole, 0
		}
		if err != nil {
			return lost, holdLost
		}
	}
}

// copyHeader copies an endpoint's header to the caller's answer.
func (c *call) copyHeader(from http.Header) {
	closing := c.w.Header().Get("Connection")
	dropSingle(from)
	h := c.w.Header()
	for k, vs := range from {
		h[k] = vs
	}
	if closing != "" {
		h.Set("Connection", closing)
	}
}
