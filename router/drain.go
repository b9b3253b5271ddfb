// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package router

import (
	"context"
	"net/http"
	"time"

	"github.com/heathkeel/heathkeel/fleet"
	"github.com/heathkeel/heathkeel/once"
	"github.com/heathkeel/heathkeel/problem"
)

// Figures of leaving.
const (
	// drainMargin is added to the answers' maximum age, for the time until all
	// hosts have heard that this one leaves.
	drainMargin = 3 * time.Second
	// drainCheckInterval is the time between looks at what still runs.
	drainCheckInterval = 50 * time.Millisecond
	// finalHeartbeatTime is the time that the last heartbeats get.
	finalHeartbeatTime = 200 * time.Millisecond
)

// Drain makes the host leave without cutting a request: it is no longer named
// in answers, serves on while callers may still use older ones, ends what waits
// and runs, hands its witness records on, and says that it is gone. It returns
// early if ctx ends.
func (r *Router) Drain(ctx context.Context) error {
	r.init()
	if r.draining.Swap(true) {
		return nil
	}
	r.Log.Info("draining")
	r.agent.Update(func(h *fleet.Host) { h.Leaving = true })
	if err := sleep(ctx, r.MaxAge+drainMargin); err != nil {
		return err
	}
	for r.hasRequests() {
		if err := sleep(ctx, drainCheckInterval); err != nil {
			return err
		}
	}
	r.handOver(ctx)
	r.agent.Update(func(h *fleet.Host) { h.Gone = true })
	r.Log.Info("drained")
	return sleep(ctx, finalHeartbeatTime)
}

// sleep waits for d or the end of ctx.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// hasRequests reports whether requests wait or run.
func (r *Router) hasRequests() bool {
	return r.openRequests.Load() > 0
}

// serveDrain makes the host leave.
func (r *Router) serveDrain(w http.ResponseWriter, _ *http.Request) {
	if r.OnDrain == nil {
		problem.Write(w, problem.New(problem.BadRequest, "send SIGTERM to the process", "this host cannot be drained by a call"))
		return
	}
	r.OnDrain()
	writeJSON(w, struct{}{})
}

// handOver gives the witness records to other hosts. The copies are sealed, so that
// several may answer, and the loss of one loses nothing.
func (r *Router) handOver(ctx context.Context) {
	r.onceMu.Lock()
	h := r.witness.PrepareHandover()
	r.onceMu.Unlock()
	if len(h.Recorded) == 0 {
		return
	}
	copies := 0
	for _, to := range fleet.Set("handover", r.Self.Region, r.liveHosts(), handoverCopies) {
		if r.handOverTo(ctx, to, h) {
			copies++
		}
	}
	r.Log.Info("witness records handed on", "records", len(h.Recorded), "copies", copies)
}

// handOverTo gives the witness records to one host.
func (r *Router) handOverTo(ctx context.Context, to fleet.Host, h once.Handover) bool {
	for range maxHandoverAttempts {
		tctx, cancel := context.WithTimeout(ctx, queryTimeout)
		err := r.peers.handover(tctx, to.Address, h)
		cancel()
		if err == nil {
			return true
		}
	}
	return false
}

// Bounds of handing the witness records on.
const (
	// handoverCopies is the number of hosts that get them.
	handoverCopies = 2
	// maxHandoverAttempts bounds the tries at one host.
	maxHandoverAttempts = 3
)
