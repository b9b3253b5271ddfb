// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package edge

import (
	"fmt"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"
)

// scriptedListener returns errors, nil for a connection, and then that it is closed.
type scriptedListener struct {
	net.Listener
	errs []error
}

func (l *scriptedListener) Accept() (net.Conn, error) {
	if len(l.errs) == 0 {
		return nil, fmt.Errorf("accept: %w", net.ErrClosed)
	}
	err := l.errs[0]
	l.errs = l.errs[1:]
	if err != nil {
		return nil, err
	}
	c, _ := net.Pipe()
	return c, nil
}

// TestAcceptAll guards against a host that served no one any more, and went on to say that it is ready, after it had no descriptor left for
// two connections in a row; a connection that came between the two was lost.
func TestAcceptAll(t *testing.T) {
	full := syscall.EMFILE
	cases := []struct {
		name     string
		errs     []error
		accepted int
		took     time.Duration
	}{
		{"closed", nil, 0, 0},
		{"no error", []error{nil, nil}, 2, 0},
		{"one error", []error{full, nil, nil}, 2, minAcceptPause},
		{"two errors in a row", []error{nil, full, full, nil}, 2, 3 * minAcceptPause},
		{"errors apart", []error{full, nil, full, nil}, 2, 2 * minAcceptPause},
		{"many errors", []error{full, full, full, full, full, full, full, full, full, full, nil}, 1, 255*minAcceptPause + 2*maxAcceptPause},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start, accepted := time.Now(), 0
				acceptAll(&scriptedListener{errs: tc.errs}, logr.Discard(), func(net.Conn) { accepted++ })
				must.EqOp(t, tc.accepted, accepted)
				must.EqOp(t, tc.took, time.Since(start))
			})
		})
	}
}
