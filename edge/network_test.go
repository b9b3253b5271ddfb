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

// hangingNetwork neither opens nor refuses connections.
type hangingNetwork struct{ Network }

func (hangingNetwork) DialContext(ctx context.Context, _, _ string) (net.Conn, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// TestStoreCallEndsBeforeDial checks that a call to the store whose connection is not opened ends
// when the caller gives up, and does not fail before that. A failure counts as an answer of the
// store when its silence is judged.
//
// The failure was seen in runs of 78 processes on one core: five requests reached endpoints up to
// 11.2 s after these had left. Their hosts had logged "store lost", caused by "dial tcp: i/o
// timeout" after 1 s, four times in a row, while the store was sound and the processes were waiting
// for the processor.
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
				time.Sleep(time.Minute) // until the dial times out
			})
		})
	}
}
