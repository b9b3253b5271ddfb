// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/heathkeel/heathkeel/outcome"
	"github.com/heathkeel/heathkeel/sched"
)

// response is an endpoint's response, or its buffered beginning.
type response struct {
	status int
	header http.Header
	body   []byte
}

// Limits of responses, in bytes.
const (
	// maxBuffered is the largest response that is read completely before any of it is written to the caller.
	maxBuffered = 512 << 10
	// minBuffered is the initial size of the buffer of such a response.
	minBuffered = 4 << 10
	// forwardBuffer is the size of the buffer through which a larger response is forwarded.
	forwardBuffer = 16 << 10
	// maxDiscarded limits what is read of an endpoint's error that is discarded, because a stream was begun before.
	maxDiscarded = 64 << 10
)

// discardBody reads and drops a response's body, so that its connection can be reused.
func discardBody(resp *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxDiscarded))
}

// forwardPlain reads a response that is not a stream and forwards it. Unless it is large, it is read completely first, so that the
// request can be retried if it breaks off.
func (c *call) forwardPlain(x *exchange) (sendOutcome, time.Duration) {
	resp, sent := x.resp, x.sentAt
	body, whole, err := c.readBuffered(x)
	if errors.Is(err, errReplaced) {
		return sendReplaced, 0
	}
	if err != nil {
		return sendLost, backoffLost
	}
	if whole {
		whole, c.endUnknown = c.endIsWhole(c.r.Context(), x, len(body) > 0)
		if !whole {
			return sendLost, backoffLost
		}
	}
	buffered := &response{status: resp.StatusCode, header: resp.Header, body: body}
	if !whole {
		return c.forwardLarge(buffered, x)
	}
	if buffered.status >= http.StatusInternalServerError && c.route.MayRepeat() && c.sends() < c.route.Attempts {
		c.savedResponse = buffered
		return sendFailed, 0
	}
	elapsed := c.elapsed(sent, c.s.Now())
	c.s.balance.noteFirstOutput(c, elapsed)
	if c.serverError {
		c.s.balance.endSend(c, sched.Errored, 0, 0)
	} else {
		c.s.balance.endSend(c, sched.Completed, 1, elapsed)
	}
	c.writeResponse(buffered)
	return sendCompleted, 0
}

// errReplaced means that another endpoint has taken over while the body was read.
var errReplaced = errors.New("another endpoint has taken over")

// readBuffered reads a body up to maxBuffered bytes, or fewer if the host has no memory for more. whole says that it was read to its end.
func (c *call) readBuffered(x *exchange) (body []byte, whole bool, err error) {
	for {
		if len(body) == cap(body) {
			size := min(max(minBuffered, 2*cap(body)), maxBuffered+1)
			if len(body) > maxBuffered || !c.reserveResponse(int64(size-cap(body))) {
				return body, false, nil
			}
			body = append(make([]byte, 0, size), body...)
		}
		x.silence.arm()
		n, err := x.resp.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		ended := errors.Is(err, io.EOF)
		replaced := x.silence.stop(waitError(err, ended))
		switch {
		case ended:
			c.dropReplacement(c.r.Context())
			return body, len(body) <= maxBuffered, nil
		case replaced:
			err = errReplaced
		}
		if err != nil {
			c.memory.Free(Responses, int64(cap(body)))
			return nil, false, err
		}
	}
}

// reserveResponse counts n further bytes of a response. It returns false if the host has no memory for them.
func (c *call) reserveResponse(n int64) bool { return c.memory.Reserve(Responses, n) }

// freeBuffered drops the body of a buffered response that was written.
func (c *call) freeBuffered(buffered *response) {
	c.memory.Free(Responses, int64(cap(buffered.body)))
	buffered.body = nil
}

// writeResponse writes a complete response to the caller.
func (c *call) writeResponse(buffered *response) {
	if buffered.status >= http.StatusInternalServerError {
		c.logOutcome(outcome.EndpointFailed, buffered.status, "the endpoint's own answer", 0)
	}
	c.timings.firstWritten = c.s.Now()
	c.copyHeader(buffered.header)
	if bodyAllowed(c.r.Method, buffered.status) {
		c.w.Header().Set("Content-Length", strconv.Itoa(len(buffered.body)))
	}
	c.w.WriteHeader(buffered.status)
	c.responseBytes += int64(len(buffered.body))
	_ = c.write(buffered.body) // the caller has left, or c.unread tells that it does not read
}

// bodyAllowed reports whether a response has a body.
func bodyAllowed(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// forwardLarge forwards a large response as it arrives.
func (c *call) forwardLarge(buffered *response, x *exchange) (sendOutcome, time.Duration) {
	resp, sent := x.resp, x.sentAt
	c.timings.firstWritten = c.s.Now()
	c.copyHeader(buffered.header)
	c.stream.started = true
	c.w.WriteHeader(buffered.status)
	c.responseBytes += int64(len(buffered.body))
	if err := c.write(buffered.body); err != nil {
		return sendAbandoned, 0
	}
	c.freeBuffered(buffered)
	buf := make([]byte, forwardBuffer)
	for {
		n, err := resp.Body.Read(buf)
		c.responseBytes += int64(n)
		if n > 0 {
			if werr := c.write(buf[:n]); werr != nil {
				return sendAbandoned, 0
			}
		}
		if err == io.EOF {
			var whole bool
			if whole, c.endUnknown = c.endIsWhole(c.r.Context(), x, true); !whole {
				return sendLost, backoffLost
			}
		}
		if err == io.EOF {
			c.s.balance.noteFirstOutput(c, c.elapsed(sent, c.s.Now()))
			c.s.balance.endSend(c, sched.Completed, 1, 0)
			return sendCompleted, 0
		}
		if err != nil {
			return sendLost, backoffLost
		}
	}
}

// copyHeader copies an endpoint's header to the response to the caller.
func (c *call) copyHeader(from http.Header) {
	closing := c.w.Header().Get("Connection")
	removeHopByHop(from)
	h := c.w.Header()
	for k, vs := range from {
		h[k] = vs
	}
	if closing != "" {
		h.Set("Connection", closing)
	}
}
