// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package endpoint

import "io"

// CheckedStream passes the pieces of a stream on only if each belongs to the request,
// follows the one before, and the last one says that it is.
type CheckedStream struct {
	// Stream is the source and ID the stream it must be.
	Stream Stream
	ID     string
	// NextSeq is the number of the next piece.
	NextSeq int

	finished bool
}

// Next returns the next piece, io.EOF after a whole answer, ErrCrossed or
// ErrOrder for a piece that does not belong, and ErrLost for an end without finish.
func (c *CheckedStream) Next() (Piece, error) {
	p, err := c.Stream.Next()
	switch {
	case err == io.EOF && c.finished:
		return Piece{}, io.EOF
	case err == io.EOF:
		return Piece{}, ErrLost
	case err != nil:
		return Piece{}, err
	case p.ID != c.ID:
		return Piece{}, ErrWrongStream
	case p.Seq != c.NextSeq || c.finished:
		return Piece{}, ErrOutOfOrder
	}
	c.NextSeq++
	c.finished = p.Finish != ""
	return p, nil
}

// More reports whether another piece, or a part of one, is at hand.
func (c *CheckedStream) More() bool { return c.Stream.More() }

// Close closes the source.
func (c *CheckedStream) Close() error { return c.Stream.Close() }
