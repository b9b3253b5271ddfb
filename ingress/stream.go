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
	"github.com/heathkeel/heathkeel/sched"
)

// stream is what the caller has got of a series of events.
type stream struct {
	begun  bool          // the head went to the caller
	events int           // events passed on
	last   int64         // number of the last event passed on
	at     time.Duration // when it was
}

// Bounds of events.
const (
	// mostEvent is the largest event, in bytes.
	mostEvent = 256 << 10
	// eventBuffer is the first size of the buffers.
	eventBuffer = 4 << 10
)

// errEvent means that bytes of a stream are no event.
var errEvent = errors.New("event is malformed")

// event is one event of a series: its bytes, up to and with the empty line, and its number.
type event struct {
	bytes []byte
	id    int64
	hasID bool
}

// eventReader reads events.
type eventReader struct {
	br  *bufio.Reader
	buf []byte
}

// next reads one whole event. io.EOF means that the series ended between two events.
func (r *eventReader) next() (event, error) {
	var e event
	r.buf = r.buf[:0]
	for {
		line, err := r.br.ReadSlice('\n')
		r.buf = append(r.buf, line...)
		if len(r.buf) > mostEvent {
			return e, errEvent
		}
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
				return e, errEvent
			}
			e.id, e.hasID = id, true
		}
	}
}

// passStream passes a series of events on, each as it comes. Only whole events
// go to the caller; one that was passed on before is left out, so that a series
// may go on at another endpoint.
func (c *call) passStream(ctx context.Context, resp *http.Response, sent time.Duration, watch *silence) (ending, time.Duration) {
	r := eventReader{br: bufio.NewReaderSize(resp.Body, eventBuffer)}
	var lastAt time.Duration
	n := 0
	if c.stream.begun {
		c.s.Count.Resumed.Add(1)
	}
	for {
		e, err := r.next()
		if errors.Is(err, io.EOF) {
			return c.endStream(resp, n, sent)
		}
		if err != nil {
			return lost, holdLost
		}
		watch.heard()
		at := c.s.Now()
		switch {
		case n == 0:
			c.s.balance.first(c, c.spent(sent, at))
			c.record(metrics.FirstToken, at-c.arrived)
		case !c.s.Watch.GapSince(lastAt):
			c.s.balance.paced(c, (at-lastAt)/time.Duration(c.eventTokens()))
		}
		lastAt = at
		n++
		if e.hasID && c.stream.events > 0 && e.id <= c.stream.last {
			continue
		}
		if e.hasID && c.stream.events > 0 && e.id != c.stream.last+1 {
			c.s.Log.Info("event out of order", "id", c.id, "endpoint", c.at.Instance, "event", e.id, "last", c.stream.last)
			return lost, holdLost
		}
		if !c.passEvent(resp, &e, r.br.Buffered() > 0) {
			return given, 0
		}
		if ctx.Err() != nil {
			return given, 0
		}
	}
}

// passEvent writes one event, and the head before the first. more says that
// further bytes are at hand, so that they can go together.
func (c *call) passEvent(resp *http.Response, e *event, more bool) bool {
	if !c.stream.begun {
		c.copyHeader(resp.Header)
		c.w.WriteHeader(resp.StatusCode)
		c.stream.begun = true
	}
	c.notePause()
	if _, err := c.w.Write(e.bytes); err != nil {
		return false
	}
	c.stream.events++
	if e.hasID {
		c.stream.last = e.id
		c.header.Set(c.s.Headers.LastEvent, strconv.FormatInt(e.id, 10))
	}
	return more || c.rc.Flush() == nil
}

// notePause notes the time since the last event that was passed on.
func (c *call) notePause() {
	now := c.s.Now()
	if c.times.first == 0 {
		c.times.first = now
	} else {
		c.times.longest = max(c.times.longest, now-c.stream.at)
	}
	c.stream.at = now
}

// endStream ends a series that came whole.
func (c *call) endStream(resp *http.Response, n int, sent time.Duration) (ending, time.Duration) {
	if !c.stream.begun {
		c.copyHeader(resp.Header)
		c.w.WriteHeader(resp.StatusCode)
		c.stream.begun = true
	}
	c.s.balance.first(c, c.spent(sent, c.s.Now()))
	c.s.balance.done(c, sched.Completed, n*c.eventTokens(), 0)
	return whole, 0
}

// spent is the time that an endpoint took, or 0 if this process did not run for a part of it.
func (c *call) spent(sent, now time.Duration) time.Duration {
	if c.s.Watch.GapSince(sent) {
		return 0
	}
	return now - sent
}

// eventTokens is the number of tokens in an event of the service.
func (c *call) eventTokens() int { return max(1, c.service.EventTokens) }
