// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import (
	"errors"
	"net/http"
	"os"
	"time"

	"github.com/heathkeel/heathkeel/outcome"
)

// Limits of writes to callers. While a write is blocked, the host reads nothing from the endpoint, and an endpoint aborts a response
// that is left unread for some seconds.
const (
	// maxUnread is the time after which a caller that reads nothing is ended.
	maxUnread = 2 * time.Second
	// writeBlock is the number of bytes that a caller must take within maxUnread.
	writeBlock = 8 << 10
)

// errEnded means that the response was ended in order to free its memory.
var errEnded = errors.New("the response was ended for its memory")

// setWriteDeadline makes writes to the caller fail writeGrace after the call's deadline.
func (c *call) setWriteDeadline(now time.Duration) {
	c.memory.unlessEnded(func(writing bool) { c.armWrite(now, writing) })
}

// armWrite sets the write deadline of the connection; the lock of the memory account must be held.
func (c *call) armWrite(now time.Duration, writing bool) {
	left := max(0, c.deadline-now) + writeGrace
	if writing {
		left = min(left, maxUnread)
	}
	// Only connections of tests support no write deadline; there the caller's own timeout applies.
	_ = c.rc.SetWriteDeadline(time.Now().Add(left))
}

// write writes bytes to the caller. It fails if the caller does not take a block of them within maxUnread.
func (c *call) write(p []byte) error {
	for len(p) > 0 {
		n := min(len(p), writeBlock)
		if err := c.timedWrite(func() error { _, err := c.w.Write(p[:n]); return err }); err != nil {
			return err
		}
		p = p[n:]
	}
	return nil
}

// flush sends what is buffered to the caller, within maxUnread.
func (c *call) flush() error { return c.timedWrite(c.rc.Flush) }

// timedWrite runs one write to the caller.
func (c *call) timedWrite(write func() error) error {
	if !c.memory.beginWrite(func() { c.armWrite(c.s.Now(), true) }) {
		c.unread = true
		return errEnded
	}
	err := write()
	c.memory.endWrite(func() { c.armWrite(c.s.Now(), false) })
	if errors.Is(err, os.ErrDeadlineExceeded) && (c.memory.wasEnded() || c.s.Now() < c.deadline) {
		c.unread = true
	}
	return err
}

// endUnread ends the response to a caller that did not read it.
func (c *call) endUnread() {
	why := "the caller read nothing for " + maxUnread.String()
	c.s.Count.SlowReaders.Add(1)
	if c.memory.wasEnded() {
		c.s.Count.SlowReadersForMemory.Add(1)
		why = "the caller read slowest of all when the host's memory for requests was used up"
	}
	c.logOutcome(outcome.Truncated, 0, why, 0)
	panic(http.ErrAbortHandler)
}
