// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import (
	"context"
	"sync"
	"time"
)

// deadlines cancels calls that are past their callers' deadlines. A timer does not advance while the host is suspended, although the
// caller still waits: timers are reset after each gap.
type deadlines struct {
	now func() time.Duration

	mu    sync.Mutex
	calls map[*call]*time.Timer
}

// withDeadline returns a context that ends at a call's deadline, and the function to call once the call is over.
func (d *deadlines) withDeadline(ctx context.Context, c *call) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	t := time.AfterFunc(c.deadline-d.now(), cancel)
	d.mu.Lock()
	d.calls[c] = t
	d.mu.Unlock()
	return ctx, func() {
		d.mu.Lock()
		delete(d.calls, c)
		d.mu.Unlock()
		t.Stop()
		cancel()
	}
}

// endAll cancels all calls.
func (d *deadlines) endAll() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, t := range d.calls {
		t.Reset(0)
	}
}

// resetTimers resets all timers after a gap that they did not count.
func (d *deadlines) resetTimers() {
	now := d.now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for c, t := range d.calls {
		// A timer that fires at this moment cancels its call a second time, which has no effect.
		t.Reset(max(0, c.deadline-now))
		c.setWriteDeadline(now)
	}
}
