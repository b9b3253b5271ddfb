// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import (
	"context"
	"sync"
	"time"
)

// deadlines ends calls that are past their callers' deadlines. A timer stops while the host is suspended and its caller waits on: timers are
// set anew when the process wakes.
type deadlines struct {
	now func() time.Duration

	mu    sync.Mutex
	calls map[*call]*time.Timer
}

// withDeadline returns a context that ends at a call's deadline, and what is to be called once the call is over.
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

// resetTimers sets all timers anew: time passed that they did not count.
func (d *deadlines) resetTimers() {
	now := d.now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for c, t := range d.calls {
		// One that fires at this moment ends its call once more, which does nothing.
		t.Reset(max(0, c.deadline-now))
		c.setWriteDeadline(now)
	}
}

// setWriteDeadline lets writes to the caller fail some time after its deadline.
func (c *call) setWriteDeadline(now time.Duration) {
	// A connection that takes no deadline is of a test; the caller's own patience bounds it.
	_ = c.rc.SetWriteDeadline(time.Now().Add(max(0, c.deadline-now) + writeGrace))
}
