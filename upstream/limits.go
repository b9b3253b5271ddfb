// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package upstream

import (
	"errors"
	"io"
	"net/http"

	"github.com/heathkeel/heathkeel/internal/respcheck"
)

// Limits of what is read of a response besides the body that is forwarded. A head takes about three times its bytes in memory while it
// is parsed.
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
	// maxFramingBytes and framingPerByte limit the bytes of chunk lines, chunk extensions and trailers: a fixed amount, and
	// framingPerByte for each byte of the body. A chunk of one byte without an extension needs 5. The fixed amount is below the 16 KB
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
	// LimitAfterEnd means bytes after the declared end of a response. The response is whole, so that no error reports it; see
	// Conn.Exceeded.
	LimitAfterEnd Limit = "bytes behind the end"
)

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
	invalid := err
	switch {
	case err == nil:
		invalid = respcheck.Head(resp)
	case m.readErr != nil:
		return nil, err // the connection failed
	}
	if invalid != nil {
		c.Close()
		return nil, &HeadError{invalid}
	}
	return resp, nil
}

// exceed closes the connection, because a response exceeds a limit.
func (c *Conn) exceed(l Limit, cause error) error {
	c.noReuse, c.exceeded = true, l
	c.Close()
	return &LimitError{l, cause}
}

// Exceeded returns the limit that the endpoint exceeded on this connection, or "". Bytes after the end of a response count if they
// have been read from the connection already.
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

// Received returns the number of bytes that have come on the connection. It may be called while the connection is in use.
func (c *Conn) Received() int64 { return c.meter.total.Load() }

// consumed returns the bytes that the parser has read from the connection.
func (c *Conn) consumed() int64 { return c.meter.total.Load() - int64(c.reader.Buffered()) }

// surplusBytes returns the number of bytes that were read after the end of a response that was read completely.
func (c *Conn) surplusBytes() int {
	if !c.bodyEnded {
		return 0
	}
	return c.reader.Buffered()
}
