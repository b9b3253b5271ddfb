// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package upstream

import (
	"net"
	"sync/atomic"
)

// meter counts the bytes that are read from a connection, and limits them while a head is read.
type meter struct {
	net     net.Conn
	total   atomic.Int64
	readErr error // the first error of the connection
	head    headScanner
	inHead  bool
}

// Read implements io.Reader.
func (m *meter) Read(p []byte) (int, error) {
	n, err := m.net.Read(p)
	m.total.Add(int64(n))
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
