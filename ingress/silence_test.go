// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// TestSilenceTimer checks when a replacement begins, that it is abandoned once the silent endpoint sends something, and that it may
// finish if the silent send is lost.
func TestSilenceTimer(t *testing.T) {
	const limit = time.Second
	lost := errors.New("connection reset")
	for _, tc := range []struct {
		name     string
		limit    time.Duration
		silence  time.Duration // until the wait for the endpoint ends
		err      error         // of the wait
		takes    time.Duration // until the replacement has taken over
		begun    int           // replacements
		replaced bool
		waited   time.Duration
	}{
		{"answer in time", limit, limit / 2, nil, limit, 0, false, limit / 2},
		{"lost in time", limit, limit / 2, lost, limit, 0, false, limit / 2},
		{"never", 0, 10 * limit, nil, limit, 0, false, 10 * limit},
		{"answer before the replacement", limit, limit + limit/2, nil, limit, 1, false, limit + limit/2},
		{"answer after the replacement", limit, 3 * limit, nil, limit, 1, true, 3 * limit},
		{"lost before the replacement", limit, limit + limit/2, lost, limit, 1, true, 2 * limit},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				begun, start := 0, time.Now()
				s := silenceTimer{limit: tc.limit, ctx: t.Context(), replace: func(ctx, _ context.Context) bool {
					begun++
					select {
					case <-time.After(tc.takes):
						return true
					case <-ctx.Done():
						return false
					}
				}}
				for range 2 { // the timer is used for each wait of a send
					s.arm()
					time.Sleep(tc.silence)
					must.EqOp(t, tc.replaced, s.stop(tc.err))
					must.EqOp(t, tc.waited, time.Since(start))
					must.EqOp(t, tc.begun, begun)
					must.False(t, s.stop(nil)) // not armed
					begun, start = 0, time.Now()
				}
			})
		})
	}
}

// TestSilenceTimerEndsTries checks that no further replacement is tried once the silent send is lost.
func TestSilenceTimerEndsTries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := silenceTimer{limit: time.Second, ctx: t.Context(), replace: func(ctx, tries context.Context) bool {
			<-tries.Done()
			return ctx.Err() != nil
		}}
		s.arm()
		time.Sleep(2 * time.Second)
		must.False(t, s.stop(errors.New("connection reset")))
	})
}
