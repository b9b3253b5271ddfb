// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package router

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/heathkeel/heathkeel/fleet"
	"github.com/heathkeel/heathkeel/metrics"
	"github.com/heathkeel/heathkeel/once"
	"github.com/heathkeel/heathkeel/problem"
	"github.com/heathkeel/heathkeel/sched"
	"github.com/heathkeel/heathkeel/settings"
)

// job is one request on its way through the host that owns it.
type job struct {
	snap    *settings.Snapshot
	eff     *settings.Effective
	rec     *once.Record
	text    string // the ID
	ownID   bool   // the caller brought the ID and can resume
	req     *sched.Request
	grant   chan sched.Decision
	arrived time.Duration
	body    []byte
	held    int64
}

// key names the job's series of metrics.
func (j *job) key() metrics.Key {
	return metrics.Key{Workspace: j.eff.Workspace, Tier: j.eff.Tier}
}

// id gives the job's ID as text.
func (j *job) id() string { return j.text }

// uniqueCount numbers the IDs that this process makes for callers without one.
var uniqueCount atomic.Uint64

// begin brings a request from its arrival to an accepted record with its whole
// body. On a problem the ID, if the request has one, is refused for good, so
// that "not run" stays true. A nil job without a problem was answered elsewhere.
func (r *Router) begin(w http.ResponseWriter, req *http.Request, service string) (*job, *problem.Problem) {
	arrived := r.now()
	id, own, p := r.requestID(req)
	if p != nil {
		return nil, p
	}
	if own && id.Owner != r.Self.Incarnation {
		return nil, r.forward(w, req, id)
	}
	j := &job{ownID: own, arrived: arrived, grant: make(chan sched.Decision, 1)}
	if p := r.resolve(j, req, service); p != nil {
		return nil, r.refuseID(id, own, p)
	}
	if p := r.accept(j, id); p != nil {
		return nil, p
	}
	if p := r.readBody(j, req); p != nil {
		return nil, r.refuse(j, p)
	}
	return j, nil
}

// requestID reads the caller's ID or makes one.
func (r *Router) requestID(req *http.Request) (once.ID, bool, *problem.Problem) {
	text := req.Header.Get(HeaderID)
	if text == "" {
		return r.freshID(), false, nil
	}
	id, err := once.ParseID(text)
	if err != nil {
		return once.ID{}, false, problem.New(problem.BadID, "ask "+PathAddress+" for a prefix and append your own part", "%v", err)
	}
	return id, true, nil
}

// freshID makes an ID for a caller without one.
func (r *Router) freshID() once.ID {
	r.onceMu.Lock()
	defer r.onceMu.Unlock()
	p := once.Prefix{Owner: r.Self.Incarnation, OwnerGeneration: r.owner.Generation()}
	return once.ID{Prefix: p, Unique: "h" + strconv.FormatUint(uniqueCount.Add(1), 36)}
}

// freshPrefix gives a prefix to resubmit under at this host, with a witness or without.
func (r *Router) freshPrefix(witnessed bool) string {
	hosts := r.hosts()
	var w fleet.Host
	if witnessed {
		r.mu.Lock()
		w, _ = fleet.PickWitness(fleet.Host{}, r.Self, hosts, r.rnd)
		r.mu.Unlock()
	}
	r.onceMu.Lock()
	defer r.onceMu.Unlock()
	self := r.Self
	self.Generation = r.owner.Generation()
	return fleet.Prefix(self, w).String()
}

// resolve finds the settings in force for a request.
func (r *Router) resolve(j *job, req *http.Request, service string) *problem.Problem {
	j.snap = r.follower.Snapshot()
	if j.snap == nil {
		return problem.New(problem.NotReady, "retry at another host", "no settings yet").WithRetryAfter(time.Second)
	}
	ref := settings.Ref{
		Workspace: req.Header.Get(HeaderWorkspace), Service: service, Tier: req.Header.Get(HeaderTier),
	}
	eff, ok := j.snap.Resolve(ref)
	if !ok {
		return problem.New(problem.UnknownWorkspace, r.whatExists(j.snap, ref),
			"workspace %q has no service %q with tier %q", ref.Workspace, ref.Service, ref.Tier)
	}
	if !j.ownID && !eff.Repeatable {
		return problem.New(problem.MissingID, "ask "+PathAddress+" for a prefix and send "+HeaderID,
			"service %q may not be repeated and the request has no ID", service)
	}
	j.eff = eff
	return nil
}

// whatExists tells which part of a reference is wrong.
func (r *Router) whatExists(s *settings.Snapshot, ref settings.Ref) string {
	if !s.HasWorkspace(ref.Workspace) {
		return "set " + HeaderWorkspace + " to a declared workspace"
	}
	names := ""
	for _, x := range s.Refs(ref.Workspace) {
		if x.Tier == "" {
			names += " " + x.Service
		} else if x.Service == ref.Service {
			names += " " + x.Service + "/" + x.Tier
		}
	}
	return "use one of its services and their tiers:" + names
}

// refuseID refuses an ID that has no record yet; if it has one, or none can be
// made, the outcome told is what is known of it.
func (r *Router) refuseID(id once.ID, own bool, p *problem.Problem) *problem.Problem {
	if !own {
		return p
	}
	r.onceMu.Lock()
	rec, v := r.owner.Query(id)
	r.onceMu.Unlock()
	p.RequestID = id.String()
	if known := outcomeOf(rec, v); known.Outcome != problem.NotRun {
		p.Outcome = known.Outcome
	}
	return p
}

// accept makes the owner's record of a request.
func (r *Router) accept(j *job, id once.ID) *problem.Problem {
	if !j.eff.Repeatable && j.eff.Witness && id.Witness == 0 && r.fleetSize() > 1 {
		p := problem.New(problem.BadID, "use the once_prefix of an answer of "+PathAddress, "the call may not be repeated and its ID names no witness")
		return r.refuseID(id, j.ownID, p)
	}
	r.onceMu.Lock()
	rec, v := r.owner.Accept(id)
	r.onceMu.Unlock()
	if v == once.New {
		j.rec, j.text = rec, id.String()
		r.running.Add(1)
		r.trace(StageAccepted, j.text)
		return nil
	}
	p := outcomeOf(rec, v)
	p.RequestID = id.String()
	return p
}

// outcomeOf tells what the owner's record of an ID means to a caller.
func outcomeOf(rec *once.Record, v once.Verdict) *problem.Problem {
	switch v {
	case once.Expired:
		return problem.Lost(problem.ExpiredID, "", "ask for a new address; resubmit under a new ID if running twice does no harm", "the ID is too old to be known")
	case once.Full:
		return problem.New(problem.Overloaded, "ask for a new address and use its prefix", "no room for the ID").WithRetryAfter(time.Second)
	case once.Forged, once.NotOwner:
		return problem.Lost(problem.BadID, "", "use a prefix of an address answer", "no address answer gave this prefix")
	}
	switch rec.State {
	case once.Refused:
		return problem.New(problem.ClosedID, "resubmit under a new ID", "the request was refused before")
	case once.Dispatched:
		p := problem.Lost(problem.InProgress, rec.Endpoint, "resume it at "+PathStreams+"{endpoint}/{id}, or ask again later", "the request runs")
		p.Outcome = problem.Pending
		return p
	case once.Answered:
		p := problem.Lost(problem.AlreadyRun, rec.Endpoint, "read its effect at the endpoint", "the request ran once and its whole answer was sent")
		p.Outcome = problem.Answered
		return p
	case once.Lost:
		return problem.Lost(problem.EndpointLost, rec.Endpoint, "read its effect at the endpoint; resubmit under a new ID if running twice does no harm", "the request was dispatched and its answer lost")
	}
	p := problem.New(problem.InProgress, "ask again later", "the request waits")
	p.Outcome = problem.Pending
	return p
}

// refuse ends an accepted request without running it.
func (r *Router) refuse(j *job, p *problem.Problem) *problem.Problem {
	r.onceMu.Lock()
	err := r.owner.Refuse(j.rec)
	r.onceMu.Unlock()
	if err != nil {
		r.Log.Error(err, "refusal of a dispatched request")
		p.Outcome = problem.Unknown
	}
	r.leave(j)
	p.RequestID = j.id()
	if p.Kind != problem.BadRequest && p.Kind != problem.BodyTooLarge {
		p.Prefix = r.freshPrefix(j.rec.NeedsWitness)
	}
	r.metrics.Count(j.key(), string(p.Outcome))
	r.metrics.Count(j.key(), "refused: "+string(p.Kind))
	return p
}

// leave ends the request's stay on the host.
func (r *Router) leave(j *job) {
	r.release(j)
	r.running.Add(-1)
}

// release gives back the memory that a request's body holds.
func (r *Router) release(j *job) {
	r.memory.Add(-j.held)
	j.held = 0
	j.body = nil
}

// readBody reads the whole body within the service's and the host's bounds.
func (r *Router) readBody(j *job, req *http.Request) *problem.Problem {
	limit := j.eff.MaxBody
	if req.ContentLength > limit {
		return tooLarge(limit)
	}
	j.held = limit
	if req.ContentLength >= 0 {
		j.held = req.ContentLength
	}
	if r.memory.Add(j.held) > r.MaxBodyMemory {
		return problem.New(problem.Overloaded, "retry later or at another host", "the host holds %d bytes of bodies", r.MaxBodyMemory).WithRetryAfter(time.Second)
	}
	b, err := io.ReadAll(io.LimitReader(req.Body, limit+1))
	if err != nil {
		return problem.New(problem.BadRequest, "send the body whole", "the body was cut: %v", err)
	}
	if int64(len(b)) > limit {
		return tooLarge(limit)
	}
	j.body = b
	return nil
}

// tooLarge is the problem of a body over the limit.
func tooLarge(limit int64) *problem.Problem {
	return problem.New(problem.BodyTooLarge, fmt.Sprintf("send at most %d bytes or raise %s", limit, settings.KeyMaxBody), "the body is too large")
}

// submit asks the scheduler and waits for the right to dispatch.
func (r *Router) submit(ctx context.Context, j *job) (sched.Decision, *problem.Problem) {
	j.req.ID = j.id()
	j.req.Settings = j.eff
	j.req.Data = j
	r.mu.Lock()
	j.req.Arrived = j.arrived
	j.req.Deadline = j.req.Arrived + j.eff.Deadline
	d := r.sched.Submit(r.now(), j.req)
	r.pump()
	r.mu.Unlock()
	return r.await(ctx, j, d)
}

// await waits until a decision to run or refuse comes.
func (r *Router) await(ctx context.Context, j *job, d sched.Decision) (sched.Decision, *problem.Problem) {
	for d.Verdict == sched.Wait {
		select {
		case d = <-j.grant:
		case <-ctx.Done():
			if p := r.withdraw(j); p != nil {
				return d, p
			}
			d = <-j.grant
		case <-time.After(witnessCheck):
			r.recordEarly(ctx, j)
		}
	}
	if d.Verdict == sched.Refuse {
		return d, r.refuse(j, refusal(d))
	}
	r.metrics.Record(j.key(), metrics.QueueWait, r.now()-j.arrived)
	return d, nil
}

// withdraw takes a waiting request out because its caller went away; nil means
// that it was decided in the same moment.
func (r *Router) withdraw(j *job) *problem.Problem {
	r.mu.Lock()
	ok := r.sched.Withdraw(j.req)
	r.mu.Unlock()
	if !ok {
		return nil
	}
	return r.refuse(j, problem.New(problem.Canceled, "submit again if the answer is still wanted", "the caller went away"))
}

// witnessCheck is the time between looks at the witness of a waiting request.
const witnessCheck = time.Second

// recordEarly records a waiting request at a witness that leaves, so that it
// can be dispatched after the witness is gone.
func (r *Router) recordEarly(ctx context.Context, j *job) {
	r.onceMu.Lock()
	due := j.rec.NeedsWitness && j.rec.State == once.Waiting
	r.onceMu.Unlock()
	if !due {
		return
	}
	if h, ok := r.knownHost(j.rec.ID.Witness); ok && h.Leaving {
		r.record(ctx, j.rec, "")
	}
}

// refusal tells a caller why the scheduler refused.
func refusal(d sched.Decision) *problem.Problem {
	kinds := []struct {
		reason sched.Reason
		kind   problem.Kind
	}{
		{sched.ReasonNoEndpoint, problem.NoEndpoint},
		{sched.ReasonDeadline, problem.DeadlineTooNear},
		{sched.ReasonRate, problem.RateLimited},
		{sched.ReasonRetryBudget, problem.RetryBudget},
	}
	kind := problem.Overloaded
	for _, k := range kinds {
		if k.reason == d.Reason {
			kind = k.kind
		}
	}
	return problem.New(kind, "resubmit under a new ID after the time given", "%s", d.Reason).WithRetryAfter(d.RetryAfter)
}

// pump hands due decisions to the requests that wait; mu must be held.
func (r *Router) pump() {
	for _, d := range r.sched.Poll(r.now()) {
		d.Request.Data.(*job).grant <- d
	}
}
