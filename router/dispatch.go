// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package router

import (
	"context"
	"errors"
	"time"

	"github.com/heathkeel/heathkeel/endpoint"
	"github.com/heathkeel/heathkeel/metrics"
	"github.com/heathkeel/heathkeel/once"
	"github.com/heathkeel/heathkeel/problem"
	"github.com/heathkeel/heathkeel/sched"
)

// dispatch records, dispatches and sends a request to the endpoint decided on,
// and to others as long as no byte went out. send does the sending.
func (r *Router) dispatch(ctx context.Context, j *job, d sched.Decision, send func(*target) error) (*target, *problem.Problem) {
	for {
		t := r.target(d.Endpoint)
		var err error
		if t == nil {
			err = endpoint.ErrNotSent
		} else {
			if p := r.allow(ctx, j, d); p != nil {
				return nil, p
			}
			r.importCache(ctx, j, d, t)
			// A witness's answer and a cache's move lie between the choice and here.
			if err = endpoint.ErrNotSent; !r.isLeaving(d.Endpoint) {
				err = send(t)
			}
		}
		if err == nil {
			r.trace(StageSent, j.id())
			return t, nil
		}
		if !errors.Is(err, endpoint.ErrNotSent) {
			return nil, r.lost(j, d.Endpoint, err)
		}
		var p *problem.Problem
		if d, p = r.again(ctx, j); p != nil {
			return nil, p
		}
	}
}

// allow obtains the right to dispatch, from the witness where one is named.
func (r *Router) allow(ctx context.Context, j *job, d sched.Decision) *problem.Problem {
	if j.rec.NeedsWitness {
		if st := r.record(ctx, j.rec, d.Endpoint); st != once.Recorded {
			r.finishSched(j, sched.Canceled, 0)
			return r.refuse(j, problem.New(problem.WitnessLost, "resubmit under the prefix given", "the witness did not record the request"))
		}
		r.trace(StageRecorded, j.id())
	}
	r.onceMu.Lock()
	err := r.owner.Dispatch(j.rec, d.Endpoint)
	known := outcomeOf(j.rec, once.Known)
	r.onceMu.Unlock()
	if err != nil {
		r.Log.Error(err, "dispatch refused")
		r.finishSched(j, sched.Canceled, 0)
		r.leave(j)
		known.RequestID = j.id()
		return known
	}
	r.trace(StageDispatched, j.id())
	return nil
}

// again decides anew after a dispatch of which no byte was sent.
func (r *Router) again(ctx context.Context, j *job) (sched.Decision, *problem.Problem) {
	r.onceMu.Lock()
	if j.rec.State == once.Dispatched {
		_ = r.owner.Retract(j.rec)
	}
	r.onceMu.Unlock()
	r.mu.Lock()
	d := r.sched.RedispatchUnsent(r.now(), j.req)
	r.pump()
	r.mu.Unlock()
	return r.await(ctx, j, d)
}

// importTimeout bounds the moving of KV cache; without it the prompt is computed.
const importTimeout = 200 * time.Millisecond

// importCache moves the prompt's KV cache to the chosen engine, if the decision says so.
func (r *Router) importCache(ctx context.Context, j *job, d sched.Decision, t *target) {
	if d.ImportFrom == "" {
		return
	}
	from := r.target(d.ImportFrom)
	if from == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, importTimeout)
	defer cancel()
	blocks, err := from.engine.Export(ctx, j.req.Blocks)
	if err == nil && len(blocks) > 0 {
		err = t.engine.Import(ctx, blocks)
	}
	if err != nil {
		r.metrics.Count(j.key(), "cache import failed")
		return
	}
	r.metrics.Count(j.key(), "cache imported")
}

// finishSched tells the scheduler of the end of a dispatched request.
func (r *Router) finishSched(j *job, res sched.Result, tokens int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sched.Done(r.now(), j.req, res, tokens)
	r.pump()
}

// lost ends a dispatched request whose answer will not come.
func (r *Router) lost(j *job, name string, err error) *problem.Problem {
	r.end(j, sched.Broken, 0)
	kind, remedy := problem.EndpointLost, "ask "+PathOutcome+"{id}; resubmit under a new ID if running twice does no harm"
	switch {
	case errors.Is(err, endpoint.ErrRejected):
		kind, remedy = problem.EndpointRefused, "correct the request or resubmit under a new ID"
	case errors.Is(err, endpoint.ErrWrongStream), errors.Is(err, endpoint.ErrOutOfOrder):
		kind = problem.BadAnswer
	}
	p := problem.Lost(kind, name, remedy, "%v", err)
	p.RequestID = j.id()
	return p
}

// end finishes a dispatched request with the scheduler, the owner and the metrics.
func (r *Router) end(j *job, res sched.Result, tokens int) {
	r.finishSched(j, res, tokens)
	r.onceMu.Lock()
	_ = r.owner.Finish(j.rec, res == sched.Completed)
	delete(r.active, j.id())
	r.onceMu.Unlock()
	r.leave(j)
	took := r.now() - j.arrived
	switch {
	case res != sched.Completed:
		r.metrics.Count(j.key(), string(problem.Unknown))
	case took <= j.eff.Deadline:
		r.metrics.Count(j.key(), string(problem.Answered))
	default:
		r.metrics.Count(j.key(), "answered late")
	}
	if res == sched.Completed {
		r.metrics.Record(j.key(), metrics.TotalTime, took)
	}
}
