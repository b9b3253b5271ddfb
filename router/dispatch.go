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

// dispatch dispatches a request to the endpoint of a decision and calls send,
// which sends it. As long as no byte was sent it asks the scheduler for another
// endpoint. If the ID names a witness, the request is recorded there first.
func (r *Router) dispatch(ctx context.Context, j *job, d sched.Decision, send func(*target) error) (*target, *problem.Problem) {
	for {
		t := r.target(d.Endpoint)
		var err error
		if t == nil {
			err = endpoint.ErrNotSent
		} else {
			if p := r.authorizeDispatch(ctx, j, d); p != nil {
				return nil, p
			}
			r.importCache(ctx, j, d, t)
			// The endpoint may have begun to leave since it was chosen: the witness's
			// answer and the cache import take time.
			if err = endpoint.ErrNotSent; !r.isLeaving(d.Endpoint) {
				err = send(t)
			}
		}
		if err == nil {
			r.trace(StageSent, j.id())
			return t, nil
		}
		if !errors.Is(err, endpoint.ErrNotSent) {
			return nil, r.endLost(j, d.Endpoint, err)
		}
		var p *problem.Problem
		if d, p = r.redispatch(ctx, j); p != nil {
			return nil, p
		}
	}
}

// authorizeDispatch obtains the right to dispatch from the owner, after the
// witness recorded the request if its ID names one.
func (r *Router) authorizeDispatch(ctx context.Context, j *job, d sched.Decision) *problem.Problem {
	if j.record.NeedsWitness {
		if state := r.record(ctx, j.record, d.Endpoint); state != once.Recorded {
			r.notifyScheduler(j, sched.Canceled, 0)
			return r.refuse(j, problem.New(problem.WitnessLost, "resubmit under the prefix given", "the witness did not record the request"))
		}
		r.trace(StageRecorded, j.id())
	}
	r.onceMu.Lock()
	err := r.owner.Dispatch(j.record, d.Endpoint)
	known := recordProblem(j.record, once.Known)
	r.onceMu.Unlock()
	if err != nil {
		r.Log.Error(err, "owner does not permit the dispatch")
		r.notifyScheduler(j, sched.Canceled, 0)
		r.closeJob(j)
		known.RequestID = j.id()
		return known
	}
	r.trace(StageDispatched, j.id())
	return nil
}

// redispatch retracts a dispatch of which no byte was sent and waits for a new
// decision of the scheduler.
func (r *Router) redispatch(ctx context.Context, j *job) (sched.Decision, *problem.Problem) {
	r.onceMu.Lock()
	if j.record.State == once.Dispatched {
		_ = r.owner.Retract(j.record)
	}
	r.onceMu.Unlock()
	r.mu.Lock()
	d := r.sched.RedispatchUnsent(r.now(), j.req)
	r.deliverDecisions()
	r.mu.Unlock()
	return r.awaitDecision(ctx, j, d)
}

// importTimeout is the timeout of a KV cache import. If the import fails, the
// engine computes the prompt instead.
const importTimeout = 200 * time.Millisecond

// importCache copies the prompt's KV cache from another engine to the chosen one
// if the decision names a source.
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

// notifyScheduler reports the end of a dispatched request to the scheduler.
func (r *Router) notifyScheduler(j *job, res sched.Result, tokens int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sched.Done(r.now(), j.req, res, tokens)
	r.deliverDecisions()
}

// endLost ends a dispatched request whose answer is lost and returns the problem
// to report.
func (r *Router) endLost(j *job, endpointName string, err error) *problem.Problem {
	r.finish(j, sched.Broken, 0)
	kind, remedy := problem.EndpointLost, "ask "+PathOutcome+"{id}; resubmit under a new ID if running twice does no harm"
	switch {
	case errors.Is(err, endpoint.ErrRejected):
		kind, remedy = problem.EndpointRefused, "correct the request or resubmit under a new ID"
	case errors.Is(err, endpoint.ErrWrongStream), errors.Is(err, endpoint.ErrOutOfOrder):
		kind = problem.BadAnswer
	}
	p := problem.Lost(kind, endpointName, remedy, "%v", err)
	p.RequestID = j.id()
	return p
}

// finish ends a dispatched request: it reports the result to the scheduler and
// the owner and records the metrics.
func (r *Router) finish(j *job, res sched.Result, tokens int) {
	r.notifyScheduler(j, res, tokens)
	r.onceMu.Lock()
	_ = r.owner.Finish(j.record, res == sched.Completed)
	delete(r.active, j.id())
	r.onceMu.Unlock()
	r.closeJob(j)
	duration := r.now() - j.arrived
	switch {
	case res != sched.Completed:
		r.metrics.Count(j.key(), string(problem.Unknown))
	case duration <= j.settings.Deadline:
		r.metrics.Count(j.key(), string(problem.Answered))
	default:
		r.metrics.Count(j.key(), "answered late")
	}
	if res == sched.Completed {
		r.metrics.Record(j.key(), metrics.TotalTime, duration)
	}
}
