// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package upstream

import (
	"sync/atomic"
	"time"

	"github.com/heathkeel/heathkeel/internal/sticky"
)

// minArrivalWait is the time after which bytes that are read from a connection which was seen without any were sent since. Until then a
// read may return bytes that it took before.
const minArrivalWait = 10 * time.Millisecond

// meter counts the bytes that are read from a connection, and limits them while a head is read.
type meter struct {
	net     *sticky.Conn
	now     func() time.Duration
	total   atomic.Int64
	readErr error // the first error of the connection
	failed  atomic.Bool
	// emptyAt is when no bytes waited on the connection, in nanoseconds, and wrote says that some have come since; see Pool.noteDialed.
	emptyAt atomic.Int64
	wrote   atomic.Bool
	head    headScanner
	inHead  bool
}

// Read implements io.Reader.
func (m *meter) Read(p []byte) (int, error) {
	n, err := m.net.Read(p)
	m.total.Add(int64(n))
	if at := time.Duration(m.emptyAt.Load()); n > 0 && at > 0 && m.now()-at >= minArrivalWait {
		m.wrote.Store(true)
	}
	if err != nil && m.readErr == nil {
		m.readErr = err
		m.failed.Store(true)
	}
	if m.inHead {
		if m.head.scan(p[:n]); m.head.exceeded != "" {
			return 0, &LimitError{Limit: m.head.exceeded}
		}
	}
	return n, err
}

// watchFrom makes the meter note whether bytes come from now on. Bytes that wait on the connection already prevent that.
func (m *meter) watchFrom(now time.Duration) {
	if m.emptyAt.Load() == 0 && m.isEmpty() {
		m.emptyAt.Store(int64(now))
	}
}

// unwatch ends the effect of watchFrom.
func (m *meter) unwatch() {
	m.emptyAt.Store(0)
	m.wrote.Store(false)
}

// isEmpty reports whether no bytes wait on the connection. It may be called while another goroutine reads. Connections that cannot tell
// count as empty: whatever comes is read at once.
func (m *meter) isEmpty() bool {
	drained, known := m.net.Drained()
	return drained || !known
}
