// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package router

import (
	"context"
	"net/http"
	"time"

	"github.com/heathkeel/heathkeel/fleet"
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

// handOn gives the witness records to another host, in another zone if there is one.
func (r *Router) handOn(ctx context.Context) {
	r.onceMu.Lock()
	h := r.witness.Leave()
	r.onceMu.Unlock()
	if len(h.Recorded) == 0 {
		return
	}
	live := r.hosts()
	r.mu.Lock()
	to, ok := fleet.PickWitness(fleet.Host{}, r.Self, live, r.rnd)
	r.mu.Unlock()
	for try := 0; ok && try < handTries && ctx.Err() == nil; try++ {
		tctx, cancel := context.WithTimeout(ctx, askTimeout)
		err := r.peers.handover(tctx, to.Address, h)
		cancel()
		if err == nil {
			r.Log.Info("witness records handed on", "peer", to.Name, "records", len(h.Recorded))
			return
		}
	}
	r.Log.Info("witness records not handed on; callers that ask for them are told that the outcome is unknown", "records", len(h.Recorded))
}

// handTries bounds the tries to hand the witness records on.
const handTries = 5
