// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package upstream

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
)

// Limits of what is read of a response beside the body that is forwarded. The bytes of a head bound the memory that it takes while it
// is parsed, to about three times as much.
const (
	// maxHeadBytes limits the status line and all header lines of one response.
	maxHeadBytes = 64 << 10
	// maxHeaderLines limits the lines of one head. A parsed line takes about 100 bytes, however short it is.
	maxHeaderLines = 128
	// maxInterimResponses limits the 1xx responses to one request.
	maxInterimResponses = 5
	// maxSurplusResponses limits the responses to other requests that are read in search of the right one.
	maxSurplusResponses = 3
	// maxDiscardedBytes limits what is read of the body of a response to another request.
	maxDiscardedBytes = 64 << 10
	// maxFramingBytes and framingPerByte limit the bytes of chunk lines, chunk extensions and trailers: a fixed amount, and so
	// many for each byte of the body. A chunk of one byte without an extension needs 5. The fixed amount is below the 16 KB
	// after which net/http fails with an error that has no type.
	maxFramingBytes = 8 << 10
	framingPerByte  = 20
)

// Limit names a limit on responses.
type Limit string

// The limits on responses.
const (
	LimitHead        Limit = "bytes of the head"
	LimitHeaderLines Limit = "header lines"
	LimitInterim     Limit = "interim responses"
	LimitSurplus     Limit = "responses to other requests"
	LimitDiscarded   Limit = "discarded body"
	// LimitFraming also covers chunk lines and trailers that are malformed.
	LimitFraming Limit = "chunk lines and trailers"
	// LimitAfterEnd means bytes behind the declared end of a response. No error tells it, see Conn.Exceeded.
	LimitAfterEnd Limit = "bytes behind the end"
)

// LimitError means that an endpoint exceeded a limit on responses. Its connection has been closed, and the request may have run.
type LimitError struct {
	Limit Limit
	// Cause is the error of the parser, or nil.
	Cause error
}

// Error implements error.
func (e *LimitError) Error() string {
	s := "response exceeds the limit on " + string(e.Limit) + "; the connection is closed"
	if e.Cause != nil {
		s += ": " + e.Cause.Error()
	}
	return s
}

// Unwrap returns the error of the parser.
func (e *LimitError) Unwrap() error { return e.Cause }

// meter counts the bytes that are read from a connection, and limits them while a head is read.
type meter struct {
	net     net.Conn
	total   int64
	readErr error // the first error of the connection
	head    headScanner
	inHead  bool
}

// Read implements io.Reader.
func (m *meter) Read(p []byte) (int, error) {
	n, err := m.net.Read(p)
	m.total += int64(n)
	if err != nil && m.readErr == nil {
		m.readErr = err
	}
	if m.inHead {
		if m.head.scan(p[:n]); m.head.exceeded != "" {
			return 0, &LimitError{Limit: m.head.exceeded}
		}
	}
	return n, err
}

// headScanner counts the bytes and lines of a head, and finds its end.
type headScanner struct {
	bytes, lines int
	lineBytes    int // bytes of the current line without its end, not counting carriage returns
	done         bool
	exceeded     Limit
}

// scan counts the next bytes of a connection.
func (h *headScanner) scan(p []byte) {
	if h.done && len(p) > 0 {
		// The parser takes for the head what follows it; its bytes count as well.
		h.bytes += len(p)
	}
	for !h.done && len(p) > 0 {
		line, rest, complete := bytes.Cut(p, []byte{'\n'})
		h.bytes += len(p) - len(rest)
		h.lineBytes += len(line) - bytes.Count(line, []byte{'\r'})
		if p = rest; complete {
			h.done = h.lineBytes == 0
			h.lines++
			h.lineBytes = 0
		}
	}
	switch {
	case h.bytes > maxHeadBytes:
		h.exceeded = LimitHead
	case h.lines > maxHeaderLines:
		h.exceeded = LimitHeaderLines
	}
}

// readHead reads the head of the next response within the limits.
func (c *Conn) readHead(method string) (*http.Response, error) {
	m := c.meter
	m.head, m.inHead = headScanner{}, true
	defer func() { m.inHead = false }()
	buffered, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return nil, err
	}
	var resp *http.Response
	if m.head.scan(buffered); m.head.exceeded == "" {
		resp, err = http.ReadResponse(c.reader, &http.Request{Method: method})
	}
	if m.head.exceeded != "" {
		return nil, c.exceed(m.head.exceeded, nil)
	}
	return resp, err
}

// exceed closes the connection, because a response exceeds a limit.
func (c *Conn) exceed(l Limit, cause error) error {
	c.noReuse, c.exceeded = true, l
	c.Close()
	return &LimitError{l, cause}
}

// Exceeded returns the limit that the endpoint exceeded on this connection, or "". Bytes behind the end of the response count
// as far as they are known.
func (c *Conn) Exceeded() Limit {
	if c.exceeded == "" && c.surplusBytes() > 0 {
		return LimitAfterEnd
	}
	return c.exceeded
}

// Discard reads and drops a response, so that the connection can be used again.
func (c *Conn) Discard(resp *http.Response) error {
	if resp.ContentLength > maxDiscardedBytes {
		return c.exceed(LimitDiscarded, nil)
	}
	n, err := io.CopyN(io.Discard, resp.Body, maxDiscardedBytes+1)
	if n > maxDiscardedBytes {
		return c.exceed(LimitDiscarded, nil)
	}
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// openBody replaces the body of a response by one that is limited and is not drained when it is closed.
func (c *Conn) openBody(resp *http.Response) {
	if c.bodyEnded = resp.Body == http.NoBody; !c.bodyEnded {
		resp.Body = &body{conn: c, inner: resp.Body, begin: c.consumed(), chunked: len(resp.TransferEncoding) > 0}
	}
}

// consumed returns the bytes that the parser has read from the connection.
func (c *Conn) consumed() int64 { return c.meter.total - int64(c.reader.Buffered()) }

// surplusBytes returns the number of bytes that came behind the end of a response that was read completely, as far as they are
// known.
func (c *Conn) surplusBytes() int {
	if !c.bodyEnded {
		return 0
	}
	return c.reader.Buffered()
}

// body is the body of a response.
type body struct {
	conn    *Conn
	inner   io.Reader
	begin   int64 // bytes consumed before it
	decoded int64
	chunked bool
	err     error
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.inner.Read(p)
	b.decoded += int64(n)
	switch {
	case b.chunked && b.conn.consumed()-b.begin-b.decoded > maxFramingBytes+framingPerByte*b.decoded:
		err = b.conn.exceed(LimitFraming, nil)
	case errors.Is(err, io.EOF):
		b.conn.bodyEnded = true
	case err != nil && b.conn.meter.readErr == nil:
		// The connection did not fail, so the chunks or trailers are not what the parser accepts.
		err = b.conn.exceed(LimitFraming, err)
	}
	b.err = err
	return n, err
}

// Close ends the reading. A connection with an unread body is closed when it is released.
func (b *body) Close() error {
	if b.err == nil {
		b.err = http.ErrBodyReadAfterClose
	}
	return nil
}
