// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package upstream

import (
	"errors"
	"io"
	"net/http"
)

// body is the body of a response. It limits the framing of chunks, and unlike that of net/http it is not drained when it is closed.
type body struct {
	conn    *Conn
	inner   io.Reader
	begin   int64 // bytes that the parser had read before it
	decoded int64 // bytes without the framing of chunks
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
	if b.err = err; err != nil && !errors.Is(err, io.EOF) {
		b.conn.err = err
	}
	return n, err
}

// Close makes later reads fail. A connection with an unread body is closed when it is released.
func (b *body) Close() error {
	if b.err == nil {
		b.err = http.ErrBodyReadAfterClose
	}
	return nil
}
