// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package endpoint

import "io"

// CheckedStream passes on the pieces of a stream only if each belongs to the request and
// follows the one before it, and if the last one is marked as the last.
type CheckedStream struct {
	// Stream is the source, and ID the ID of the expected stream.
	Stream Stream
	ID     string
	// NextSeq is the expected number of the next piece.
	NextSeq int

	finished bool
}

// Next returns the next piece, io.EOF after a complete answer, ErrWrongStream for a piece
// of another stream, ErrOutOfOrder for one with an unexpected number, and ErrLost for a
// stream that ends without a finish reason.
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

// More reports whether another piece, or a part of one, is buffered.
func (c *CheckedStream) More() bool { return c.Stream.More() }

// Close closes the source.
func (c *CheckedStream) Close() error { return c.Stream.Close() }
