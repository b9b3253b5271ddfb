// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package edge

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/clock"
	"github.com/heathkeel/heathkeel/platform"
)

// hangingNetwork opens no connection and refuses none.
type hangingNetwork struct{ Network }

func (hangingNetwork) DialContext(ctx context.Context, _, _ string) (net.Conn, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// TestStoreCallEndsBeforeDial holds that a call to the store to which no connection is opened ends when it is given up, and does not fail before
// that: what judges how long the store was silent takes a failure for the store's own word.
//
// In runs of 78 processes on one core, five requests reached endpoints up to 11.2 s after they had left: their hosts had logged "store lost",
// caused by "dial tcp: i/o timeout" after 1 s, four times in a row, while the store was sound and the processes waited for the processor.
func TestStoreCallEndsBeforeDial(t *testing.T) {
	for _, d := range []time.Duration{500 * time.Millisecond, time.Second, 3 * time.Second, 5 * time.Second} {
		t.Run(d.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := &Host{Boot: platform.Boot{Host: "a", Store: "10.0.0.9:80"}, Log: logr.Discard(), Clock: clock.NewSteady(), Network: hangingNetwork{}}
				h.assemble()
				ctx, cancel := context.WithTimeout(t.Context(), d)
				defer cancel()
				_, err := h.store.Watch(ctx, "servers/", 1, time.Second)
				must.Error(t, err)
				must.ErrorIs(t, ctx.Err(), context.DeadlineExceeded)
				synctest.Wait()
				time.Sleep(time.Minute) // the connection is given up
			})
		})
	}
}
