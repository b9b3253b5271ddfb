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

// Times of a drain.
const (
	// drainMargin is added to the maximum age of address answers. It covers the
	// time until all hosts know that this host is leaving.
	drainMargin = 3 * time.Second
	// drainCheckInterval is the time between checks for open requests.
	drainCheckInterval = 50 * time.Millisecond
	// finalHeartbeatTime is the time allowed for the last heartbeats.
	finalHeartbeatTime = 200 * time.Millisecond
)

// Drain makes the host leave without interrupting requests. The host is no
// longer named in address answers, takes requests while callers may still use
// older answers, waits until no request is waiting or running, hands its witness
// records over to other hosts and announces that it is gone. Drain returns early
// if ctx ends.
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
	r.closed.Store(true)
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

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// hasRequests reports whether requests are waiting or running.
func (r *Router) hasRequests() bool {
	return r.openRequests.Load() > 0
}

// serveDrain starts a drain on behalf of an operator.
func (r *Router) serveDrain(w http.ResponseWriter, _ *http.Request) {
	if r.OnDrain == nil {
		problem.Write(w, problem.New(problem.BadRequest, "send SIGTERM to the process", "this host cannot be drained by a call"))
		return
	}
	r.OnDrain()
	writeJSON(w, struct{}{})
}

// handOver sends the witness records to several other hosts. The copies are
// sealed, so each of them may answer, and the records survive the loss of one
// copy.
func (r *Router) handOver(ctx context.Context) {
	r.onceMu.Lock()
	h := r.witness.PrepareHandover()
	r.onceMu.Unlock()
	if len(h.Recorded) == 0 {
		return
	}
	copies := 0
	for _, to := range fleet.SelectHosts("handover", r.Self.Region, r.liveHosts(), handoverCopies) {
		if r.handOverTo(ctx, to, h) {
			copies++
		}
	}
	r.Log.Info("witness records handed over", "records", len(h.Recorded), "copies", copies)
}

// handOverTo sends the witness records to one host and reports success.
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

// Limits of a handover of witness records.
const (
	// handoverCopies is the number of hosts that receive the records.
	handoverCopies = 2
	// maxHandoverAttempts is the maximum number of attempts per host.
	maxHandoverAttempts = 3
)
