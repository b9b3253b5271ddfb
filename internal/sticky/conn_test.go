// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package sticky

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// ended is a connection that has ended: reads see an end in order.
type ended struct {
	net.Conn
	over     bool // in both directions
	writeErr error
	delay    time.Duration // of a write
}

func (c *ended) Read([]byte) (int, error) { return 0, io.EOF }

func (c *ended) Write([]byte) (int, error) {
	time.Sleep(c.delay)
	return 0, c.writeErr
}

func (c *ended) Over() bool { return c.over }

// TestEndError checks which errors of a write the reads are told of.
func TestEndError(t *testing.T) {
	const long = time.Hour
	cases := []struct {
		name string
		conn ended
		// under way says that the write has not returned when the read sees the end.
		underWay bool
		want     error
	}{
		{"no error", ended{}, false, io.EOF},
		{"reset", ended{over: true, writeErr: syscall.ECONNRESET}, false, syscall.ECONNRESET},
		{"time-out", ended{over: true, writeErr: syscall.ETIMEDOUT}, false, syscall.ETIMEDOUT},
		{"reset behind an end in order", ended{over: true, writeErr: syscall.EPIPE}, false, io.EOF},
		{"closed by this side", ended{over: true, writeErr: net.ErrClosed}, false, io.EOF},
		{"deadline of this side", ended{writeErr: os.ErrDeadlineExceeded}, false, io.EOF},
		{"reset, of which the write is about to tell", ended{over: true, writeErr: syscall.ECONNRESET, delay: time.Millisecond}, true, syscall.ECONNRESET},
		{"end in order while the write goes on", ended{writeErr: syscall.ECONNRESET, delay: long}, true, io.EOF},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := New(&tc.conn)
				if tc.underWay {
					go func() { _, _ = c.Write(nil) }() // its error is that of the case
					synctest.Wait()
				} else {
					_, err := c.Write(nil)
					must.ErrorIs(t, err, tc.conn.writeErr)
				}
				start := time.Now()
				_, err := c.Read(nil)
				must.ErrorIs(t, err, tc.want)
				must.Less(t, long, time.Since(start))
				time.Sleep(long) // for the write to return
			})
		})
	}
}
