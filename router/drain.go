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
	// drainSlack is added to the answers' maximum age, for the time until all
	// hosts have heard that this one leaves.
	drainSlack = 3 * time.Second
	// drainCheck is the time between looks at what still runs.
	drainCheck = 50 * time.Millisecond
	// goneWait is the time that the last heartbeats get.
	goneWait = 200 * time.Millisecond
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
	if err := pause(ctx, r.MaxAge+drainSlack); err != nil {
		return err
	}
	for r.busy() {
		if err := pause(ctx, drainCheck); err != nil {
			return err
		}
	}
	r.handOn(ctx)
	r.agent.Update(func(h *fleet.Host) { h.Gone = true })
	r.Log.Info("drained")
	return pause(ctx, goneWait)
}

// pause waits for d or the end of ctx.
func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// busy reports whether requests wait or run.
func (r *Router) busy() bool {
	return r.running.Load() > 0
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

// handOn gives the witness records to other hosts. The copies are sealed, so that
// several may answer, and the loss of one loses nothing.
func (r *Router) handOn(ctx context.Context) {
	r.onceMu.Lock()
	h := r.witness.PrepareHandover()
	r.onceMu.Unlock()
	if len(h.Recorded) == 0 {
		return
	}
	done := 0
	for _, to := range fleet.SelectHosts("handover", r.Self.Region, r.hosts(), handCopies) {
		if r.handTo(ctx, to, h) {
			done++
		}
	}
	r.Log.Info("witness records handed on", "records", len(h.Recorded), "copies", done)
}

// handTo gives the witness records to one host.
func (r *Router) handTo(ctx context.Context, to fleet.Host, h once.Handover) bool {
	for range handTries {
		tctx, cancel := context.WithTimeout(ctx, askTimeout)
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
	// handCopies is the number of hosts that get them.
	handCopies = 2
	// handTries bounds the tries at one host.
	handTries = 3
)
