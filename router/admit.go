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

// job is the state of one request at the host that owns its ID.
type job struct {
	snapshot  *settings.Snapshot
	settings  *settings.Effective
	record    *once.Record
	idText    string // the ID
	callerID  bool   // the caller chose the ID and can resume with it
	req       *sched.Request
	decisions chan sched.Decision
	arrived   time.Duration
	body      []byte
	heldBytes int64
}

// key returns the key of the job's metrics.
func (j *job) key() metrics.Key {
	return metrics.Key{Workspace: j.settings.Workspace, Tier: j.settings.Tier}
}

// id returns the request's ID as text.
func (j *job) id() string { return j.idText }

// generatedIDs counts the IDs that this process generated for requests without
// one; it makes them unique.
var generatedIDs atomic.Uint64

// receive resolves the settings of a request, creates its record at the owner
// and reads its whole body. On a problem it refuses the ID, if the request has
// one, permanently, so that "not run" stays true. It returns neither a job nor a
// problem if the owner's host answered the request.
func (r *Router) receive(w http.ResponseWriter, req *http.Request, service string) (*job, *problem.Problem) {
	arrived := r.now()
	id, fromCaller, p := r.requestID(req)
	if p != nil {
		return nil, p
	}
	if fromCaller && id.Owner != r.Self.Incarnation {
		return nil, r.forwardToOwner(w, req, id)
	}
	j := &job{callerID: fromCaller, arrived: arrived, decisions: make(chan sched.Decision, 1)}
	if r.closed.Load() {
		return nil, r.refuseID(id, fromCaller, problem.New(problem.NotReady, "ask for addresses again and use another host", "this host drains"))
	}
	if p := r.resolveSettings(j, req, service); p != nil {
		return nil, r.refuseID(id, fromCaller, p)
	}
	if p := r.accept(j, id); p != nil {
		return nil, p
	}
	if p := r.readBody(j, req); p != nil {
		return nil, r.refuse(j, p)
	}
	return j, nil
}

// requestID returns the request's ID and whether the caller sent it; without one
// it generates an ID.
func (r *Router) requestID(req *http.Request) (once.ID, bool, *problem.Problem) {
	header := req.Header.Get(HeaderID)
	if header == "" {
		return r.newID(), false, nil
	}
	id, err := once.ParseID(header)
	if err != nil {
		return once.ID{}, false, problem.New(problem.BadID, "ask "+PathAddress+" for a prefix and append your own part", "%v", err)
	}
	return id, true, nil
}

// newID generates an ID for a request without one.
func (r *Router) newID() once.ID {
	r.onceMu.Lock()
	defer r.onceMu.Unlock()
	p := once.Prefix{Owner: r.Self.Incarnation, OwnerGeneration: r.owner.Generation()}
	return once.ID{Prefix: p, Unique: "h" + strconv.FormatUint(generatedIDs.Add(1), 36)}
}

// newPrefix returns a prefix of this host for a resubmission. With witnessed it
// names a witness, if there is one.
func (r *Router) newPrefix(witnessed bool) string {
	hosts := r.liveHosts()
	var witness fleet.Host
	if witnessed {
		r.mu.Lock()
		witness, _ = fleet.PickWitness(fleet.Host{}, r.Self, hosts, r.rnd)
		r.mu.Unlock()
	}
	r.onceMu.Lock()
	defer r.onceMu.Unlock()
	self := r.Self
	self.Generation = r.owner.Generation()
	return fleet.Prefix(self, witness).String()
}

// resolveSettings sets the job's snapshot and the settings that apply to the
// request.
func (r *Router) resolveSettings(j *job, req *http.Request, service string) *problem.Problem {
	j.snapshot = r.follower.Snapshot()
	if j.snapshot == nil {
		return problem.New(problem.NotReady, "retry at another host", "no settings yet").WithRetryAfter(time.Second)
	}
	ref := settings.Ref{
		Workspace: req.Header.Get(HeaderWorkspace), Service: service, Tier: req.Header.Get(HeaderTier),
	}
	effective, ok := j.snapshot.Resolve(ref)
	if !ok {
		return problem.New(problem.UnknownWorkspace, r.unresolvedRemedy(j.snapshot, ref),
			"workspace %q has no service %q with tier %q", ref.Workspace, ref.Service, ref.Tier)
	}
	if !j.callerID && !effective.Repeatable {
		return problem.New(problem.MissingID, "ask "+PathAddress+" for a prefix and send "+HeaderID,
			"service %q may not be repeated and the request has no ID", service)
	}
	j.settings = effective
	return nil
}

// unresolvedRemedy returns the remedy for a reference that does not resolve: it
// names the part that is wrong and, for a service or tier, the valid values.
func (r *Router) unresolvedRemedy(s *settings.Snapshot, ref settings.Ref) string {
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

// refuseID refuses an ID that has no record. If it has a record, or none can be
// created, it sets the problem's outcome to what is known of the ID.
func (r *Router) refuseID(id once.ID, fromCaller bool, p *problem.Problem) *problem.Problem {
	if !fromCaller {
		return p
	}
	r.onceMu.Lock()
	rec, v := r.owner.Query(id)
	r.onceMu.Unlock()
	p.RequestID = id.String()
	if known := recordProblem(rec, v); known.Outcome != problem.NotRun {
		p.Outcome = known.Outcome
	}
	return p
}

// accept creates the owner's record of a request.
func (r *Router) accept(j *job, id once.ID) *problem.Problem {
	if !j.settings.Repeatable && j.settings.Witness && id.Witness == 0 && r.liveHostCount() > 1 {
		p := problem.New(problem.BadID, "use the once_prefix of an answer of "+PathAddress, "the call may not be repeated and its ID names no witness")
		return r.refuseID(id, j.callerID, p)
	}
	r.onceMu.Lock()
	rec, v := r.owner.Accept(id)
	r.onceMu.Unlock()
	if v == once.New {
		j.record, j.idText = rec, id.String()
		r.openRequests.Add(1)
		r.trace(StageAccepted, j.idText)
		return nil
	}
	p := recordProblem(rec, v)
	p.RequestID = id.String()
	return p
}

// recordProblem returns the problem to report to a caller for the owner's record
// of an ID, or for the verdict if there is no record.
func recordProblem(rec *once.Record, v once.Verdict) *problem.Problem {
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

// refuse ends an accepted request without running it and completes the problem
// to report.
func (r *Router) refuse(j *job, p *problem.Problem) *problem.Problem {
	r.onceMu.Lock()
	err := r.owner.Refuse(j.record)
	r.onceMu.Unlock()
	if err != nil {
		r.Log.Error(err, "cannot refuse a request that was dispatched; its outcome is reported as unknown")
		p.Outcome = problem.Unknown
	}
	r.closeJob(j)
	p.RequestID = j.id()
	if p.Kind != problem.BadRequest && p.Kind != problem.BodyTooLarge {
		p.Prefix = r.newPrefix(j.record.NeedsWitness)
	}
	r.metrics.Count(j.key(), string(p.Outcome))
	r.metrics.Count(j.key(), "refused: "+string(p.Kind))
	return p
}

// closeJob releases the request's body and removes it from the open requests.
func (r *Router) closeJob(j *job) {
	r.releaseBody(j)
	r.openRequests.Add(-1)
}

// releaseBody releases the memory of a request's body.
func (r *Router) releaseBody(j *job) {
	r.bodyMemory.Add(-j.heldBytes)
	j.heldBytes = 0
	j.body = nil
}

// readBody reads the whole body. It enforces the service's limit on a body and
// the host's limit on the memory of all bodies.
func (r *Router) readBody(j *job, req *http.Request) *problem.Problem {
	limit := j.settings.MaxBody
	if req.ContentLength > limit {
		return bodyTooLarge(limit)
	}
	j.heldBytes = limit
	if req.ContentLength >= 0 {
		j.heldBytes = req.ContentLength
	}
	if r.bodyMemory.Add(j.heldBytes) > r.MaxBodyMemory {
		return problem.New(problem.Overloaded, "retry later or at another host", "the host holds %d bytes of bodies", r.MaxBodyMemory).WithRetryAfter(time.Second)
	}
	b, err := io.ReadAll(io.LimitReader(req.Body, limit+1))
	if err != nil {
		return problem.New(problem.BadRequest, "send the body whole", "the body was cut: %v", err)
	}
	if int64(len(b)) > limit {
		return bodyTooLarge(limit)
	}
	j.body = b
	return nil
}

// bodyTooLarge returns the problem of a body that exceeds the limit, in bytes.
func bodyTooLarge(limit int64) *problem.Problem {
	return problem.New(problem.BodyTooLarge, fmt.Sprintf("send at most %d bytes or raise %s", limit, settings.KeyMaxBody), "the body is too large")
}

// submit submits a request to the scheduler and waits for its decision.
func (r *Router) submit(ctx context.Context, j *job) (sched.Decision, *problem.Problem) {
	j.req.ID = j.id()
	j.req.Settings = j.settings
	j.req.Data = j
	r.mu.Lock()
	j.req.Arrived = j.arrived
	j.req.Deadline = j.req.Arrived + j.settings.Deadline
	d := r.sched.Submit(r.now(), j.req)
	r.deliverDecisions()
	r.mu.Unlock()
	return r.awaitDecision(ctx, j, d)
}

// awaitDecision waits until the scheduler decides to run or to refuse the
// request, or until the caller goes away.
func (r *Router) awaitDecision(ctx context.Context, j *job, d sched.Decision) (sched.Decision, *problem.Problem) {
	for d.Verdict == sched.Wait {
		select {
		case d = <-j.decisions:
		case <-ctx.Done():
			if p := r.withdraw(j); p != nil {
				return d, p
			}
			d = <-j.decisions
		case <-time.After(witnessCheckInterval):
			r.recordEarly(ctx, j)
		}
	}
	if d.Verdict == sched.Refuse {
		return d, r.refuse(j, refusalProblem(d))
	}
	r.metrics.Record(j.key(), metrics.QueueWait, r.now()-j.arrived)
	return d, nil
}

// withdraw removes a waiting request from the queue because its caller went
// away. It returns nil if the scheduler has decided on the request meanwhile.
func (r *Router) withdraw(j *job) *problem.Problem {
	r.mu.Lock()
	ok := r.sched.Withdraw(j.req)
	r.mu.Unlock()
	if !ok {
		return nil
	}
	return r.refuse(j, problem.New(problem.Canceled, "submit again if the answer is still wanted", "the caller went away"))
}

// witnessCheckInterval is the time between checks whether the witness of a
// waiting request is leaving.
const witnessCheckInterval = time.Second

// recordEarly records a waiting request at its witness if the witness is
// leaving, so that the request can be dispatched after the witness is gone.
func (r *Router) recordEarly(ctx context.Context, j *job) {
	r.onceMu.Lock()
	unrecorded := j.record.NeedsWitness && j.record.State == once.Waiting
	r.onceMu.Unlock()
	if !unrecorded {
		return
	}
	if h, ok := r.findHost(j.record.ID.Witness); ok && h.Leaving {
		r.record(ctx, j.record, "")
	}
}

// refusalProblem returns the problem for a refusal by the scheduler.
func refusalProblem(d sched.Decision) *problem.Problem {
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

// deliverDecisions polls the scheduler and delivers its decisions to the waiting
// requests. The caller must hold mu.
func (r *Router) deliverDecisions() {
	for _, d := range r.sched.Poll(r.now()) {
		d.Request.Data.(*job).decisions <- d
	}
}
