// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/heathkeel/heathkeel/metrics"
	"github.com/heathkeel/heathkeel/outcome"
	"github.com/heathkeel/heathkeel/sched"
)

// stream is the state of the event stream to the caller.
type stream struct {
	started bool          // the header was written
	events  int           // events forwarded
	lastID  int64         // number of the last event forwarded that has one
	hasID   bool          // there is one: comments have none, and 0 may be the first
	lastAt  time.Duration // when it was forwarded
	version string        // the version of the endpoints' software that began it, empty if unknown
	source  originSource  // how the version is known of a stream that another request of the caller began
}

// Sizes of events, in bytes.
const (
	// maxEvent is the largest event accepted.
	maxEvent = 256 << 10
	// maxRepeated limits the events in one response that were forwarded before. An endpoint that does not read where a stream is to
	// go on sends all of them again.
	maxRepeated = 1 << 20
	// eventBuffer is the initial buffer size.
	eventBuffer = 4 << 10
)

// errMalformedEvent means that an endpoint sent an oversized event or an invalid event number.
var errMalformedEvent = errors.New("event is malformed")

// event is one event of a stream: its bytes, including the empty line at the end, and its number.
type event struct {
	bytes []byte
	id    int64
	hasID bool
}

// eventReader reads events.
type eventReader struct {
	br      *bufio.Reader
	buf     []byte
	reserve func(n int64) bool // counts further bytes of buf
}

// next reads one complete event. io.EOF means that the stream ended between two events.
func (r *eventReader) next() (event, error) {
	var e event
	r.buf = r.buf[:0]
	for {
		line, err := r.br.ReadSlice('\n')
		if len(r.buf)+len(line) > maxEvent {
			return e, errMalformedEvent
		}
		if !r.grow(len(line)) {
			return e, errResponseMemory
		}
		r.buf = append(r.buf, line...)
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			if errors.Is(err, io.EOF) && len(r.buf) > 0 {
				return e, io.ErrUnexpectedEOF
			}
			return e, err
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			e.bytes = r.buf
			return e, nil
		}
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id, err := strconv.ParseInt(string(bytes.TrimSpace(v)), 10, 64)
			if err != nil {
				return e, errMalformedEvent
			}
			e.id, e.hasID = id, true
		}
	}
}

// grow makes room for n more bytes in the buffer. It returns false if the host has no memory for them.
func (r *eventReader) grow(n int) bool {
	need := len(r.buf) + n
	if need <= cap(r.buf) {
		return true
	}
	size := min(max(eventBuffer, 2*cap(r.buf), need), maxEvent)
	if !r.reserve(int64(size - cap(r.buf))) {
		return false
	}
	r.buf = append(make([]byte, 0, size), r.buf...)
	return true
}

// errResponseMemory means that a response does not fit into the host's memory.
var errResponseMemory = errors.New("response exceeds the memory of the host")

// forwardStream forwards a stream, each event as it arrives. Only complete events go to the caller, and events that were forwarded
// before are skipped, so that a stream may be resumed at another endpoint.
func (c *call) forwardStream(ctx context.Context, x *exchange) (sendOutcome, time.Duration) {
	resp, sent := x.resp, x.sentAt
	r := eventReader{br: bufio.NewReaderSize(resp.Body, eventBuffer), reserve: c.reserveResponse}
	defer func() { c.memory.Free(Responses, int64(cap(r.buf))) }()
	var lastAt time.Duration
	n, repeated := 0, 0
	c.noteContinued()
	for {
		if n == 1 && x.silence.replace != nil {
			x.silence.limit = c.silenceTimeout() // that of a stream which has begun
		}
		x.silence.arm()
		e, err := r.next()
		whole, unknown := false, false
		if errors.Is(err, io.EOF) {
			whole, unknown = c.endIsWhole(ctx, x, n > 0)
		}
		replaced := x.silence.stop(waitError(err, whole))
		if whole {
			c.endUnknown = unknown
			c.dropReplacement(ctx)
			return c.finishStream(resp, n, sent)
		}
		if replaced {
			return sendReplaced, 0
		}
		if errors.Is(err, errResponseMemory) {
			c.s.Count.Memory.Add(1)
			c.outOfMemory = true
			return sendAbandoned, 0
		}
		if err != nil {
			return sendLost, backoffLost
		}
		at := c.s.Now()
		c.noteHeard(at)
		x.progress.note(at)
		switch {
		case n == 0:
			c.s.balance.noteFirstOutput(c, c.elapsed(sent, at))
			c.recordDuration(metrics.FirstToken, at-c.arrived)
		case !c.s.Watch.GapSince(lastAt):
			c.s.balance.observeStep(c, (at-lastAt)/time.Duration(c.eventTokens()))
		}
		lastAt = at
		n++
		order := c.orderOf(&e)
		if order == eventRepeated {
			if repeated += len(e.bytes); repeated <= maxRepeated {
				continue
			}
			c.logExceeded(limitRepeated)
		}
		if order != eventNext {
			return sendLost, backoffLost
		}
		if !c.forwardEvent(resp, &e, r.br.Buffered() > 0) {
			return sendAbandoned, 0
		}
		if ctx.Err() != nil {
			return sendAbandoned, 0
		}
	}
}

// eventOrder says how an event follows those that were forwarded.
type eventOrder uint8

const (
	// eventNext is the event that is due, or one of which nothing else is known.
	eventNext eventOrder = iota
	// eventRepeated was forwarded before.
	eventRepeated
	// eventOutOfOrder is neither.
	eventOutOfOrder
)

// orderOf returns how an event follows those that were forwarded, and logs one that is out of order.
func (c *call) orderOf(e *event) eventOrder {
	switch {
	case !e.hasID || !c.stream.hasID || e.id == c.stream.lastID+1:
		return eventNext
	case e.id <= c.stream.lastID:
		return eventRepeated
	}
	c.s.Log.Info("event out of order", "id", c.id, "endpoint", c.endpoint.Instance, "event", e.id, "last", c.stream.lastID)
	return eventOutOfOrder
}

// waitError returns the error of a wait for an endpoint, or nil if its response is whole.
func waitError(err error, whole bool) error {
	if whole {
		return nil
	}
	return err
}

// noteContinued counts and logs that a stream goes on that another send or another request of its caller began.
func (c *call) noteContinued() {
	switch {
	case c.stream.started:
		c.s.Count.Resumed.Add(1)
	case c.r.Header.Get(c.s.Headers.LastEvent) != "":
		c.s.Count.ResumedByCallers.Add(1)
	default:
		return
	}
	c.logOutcome(outcome.Continued, http.StatusOK, "a stream that was begun before goes on", 0)
}

// forwardEvent writes one event, and the header before the first. more says that further bytes are buffered, so that the flush can wait.
func (c *call) forwardEvent(resp *http.Response, e *event, more bool) bool {
	if !c.stream.started {
		c.copyHeader(resp.Header)
		c.w.WriteHeader(resp.StatusCode)
		c.stream.started = true
	}
	c.notePause()
	c.responseBytes += int64(len(e.bytes))
	if err := c.write(e.bytes); err != nil {
		return false
	}
	if c.stream.events == 0 {
		c.noteOrigin()
	}
	c.stream.events++
	if e.hasID {
		c.stream.lastID, c.stream.hasID = e.id, true
		c.header.Set(c.s.Headers.LastEvent, strconv.FormatInt(e.id, 10))
	}
	return more || c.flush() == nil
}

// noteHeard records that an endpoint sent something, unless it came by another host.
func (c *call) noteHeard(now time.Duration) {
	if c.endpoint.Instance != "" {
		c.s.paths.heard(now)
	}
}

// notePause records the time since the last event that was forwarded.
func (c *call) notePause() {
	now := c.s.Now()
	if c.timings.firstWritten == 0 {
		c.timings.firstWritten = now
	} else {
		c.timings.longestPause = max(c.timings.longestPause, now-c.stream.lastAt)
	}
	c.stream.lastAt = now
}

// finishStream ends a stream that was forwarded completely.
func (c *call) finishStream(resp *http.Response, n int, sent time.Duration) (sendOutcome, time.Duration) {
	if !c.stream.started {
		c.copyHeader(resp.Header)
		c.w.WriteHeader(resp.StatusCode)
		c.stream.started = true
	}
	c.s.balance.noteFirstOutput(c, c.elapsed(sent, c.s.Now()))
	c.s.balance.endSend(c, sched.Completed, n*c.eventTokens(), 0)
	return sendCompleted, 0
}

// elapsed returns the time that an endpoint took, or 0 if this process did not run for part of it.
func (c *call) elapsed(sent, now time.Duration) time.Duration {
	if c.s.Watch.GapSince(sent) {
		return 0
	}
	return now - sent
}

// eventTokens returns the number of tokens in an event of the service.
func (c *call) eventTokens() int { return max(1, c.service.EventTokens) }
