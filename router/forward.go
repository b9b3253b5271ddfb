// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package router

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"github.com/heathkeel/heathkeel/endpoint"
	"github.com/heathkeel/heathkeel/fleet"
	"github.com/heathkeel/heathkeel/once"
	"github.com/heathkeel/heathkeel/problem"
)

// forwardToOwner forwards a request to the host that owns its ID. If the owner
// cannot be reached, it returns a problem with what is known of the ID.
func (r *Router) forwardToOwner(w http.ResponseWriter, req *http.Request, id once.ID) *problem.Problem {
	if req.Header.Get(headerForwarded) != "" {
		return problem.Lost(problem.OwnerLost, "", "ask "+PathOutcome+"{id}", "the ID's owner is another incarnation of this host")
	}
	if h, ok := r.reachableOwner(id); ok && r.proxy(w, req, h.Address) {
		return nil
	}
	return r.outcomeFromWitness(req.Context(), id)
}

// reachableOwner returns the host that owns an ID, unless it is gone or suspected
// of being unreachable.
func (r *Router) reachableOwner(id once.ID) (h fleet.Host, ok bool) {
	h, ok = r.findHost(id.Owner)
	return h, ok && !h.Suspect
}

// proxy forwards a request to another host and the answer to the caller. It
// returns false if no answer was received; in that case nothing was written.
func (r *Router) proxy(w http.ResponseWriter, req *http.Request, address string) bool {
	out := req.Clone(req.Context())
	out.RequestURI = ""
	out.URL.Scheme, out.URL.Host = "http", address
	out.Header.Set(headerForwarded, r.Self.Name)
	endpoint.DropHopHeaders(out.Header)
	resp, err := r.engineClient.Transport.RoundTrip(out)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	endpoint.DropHopHeaders(resp.Header)
	for k, v := range resp.Header {
		w.Header()[k] = v
	}
	w.WriteHeader(resp.StatusCode)
	if copyAndFlush(w, resp.Body) != nil {
		panic(http.ErrAbortHandler)
	}
	return true
}

// copyAndFlush copies a body and flushes after each read.
func copyAndFlush(w http.ResponseWriter, body io.Reader) error {
	rc := http.NewResponseController(w)
	buf := make([]byte, 32<<10)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if _, werr := w.Write(buf[:n]); werr != nil {
				return werr
			}
			_ = rc.Flush()
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// forwardResume forwards the resumption of a stream to the owner of its ID. It
// returns false if the owner cannot be reached.
func (r *Router) forwardResume(w http.ResponseWriter, req *http.Request, id once.ID) bool {
	h, ok := r.reachableOwner(id)
	if !ok {
		return false
	}
	// A connection attempt with a short timeout avoids a long wait for an owner
	// that cannot be reached.
	c, err := net.DialTimeout("tcp", h.Address, ownerDialTimeout)
	if err != nil {
		return false
	}
	_ = c.Close()
	return r.proxy(w, req, h.Address)
}

// ownerDialTimeout is the timeout of the connection attempt that checks whether
// an owner can be reached.
const ownerDialTimeout = 300 * time.Millisecond

// queryTimeout is the timeout of a query to an owner or a witness.
const queryTimeout = time.Second

// serveOutcome returns the outcome of a request to a caller.
func (r *Router) serveOutcome(w http.ResponseWriter, req *http.Request) {
	id, err := once.ParseID(mux.Vars(req)["id"])
	if err != nil {
		problem.Write(w, problem.New(problem.BadID, "use the ID that the request was sent with", "%v", err))
		return
	}
	p := r.findOutcome(req.Context(), id)
	p.RequestID = id.String()
	w.Header().Set(problem.OutcomeHeader, string(p.Outcome))
	writeJSON(w, p)
}

// findOutcome queries the owner of an ID for the outcome and, if the owner cannot
// be reached, the witness.
func (r *Router) findOutcome(ctx context.Context, id once.ID) *problem.Problem {
	if id.Owner == r.Self.Incarnation {
		return r.localOutcome(id)
	}
	if h, ok := r.reachableOwner(id); ok {
		qctx, cancel := context.WithTimeout(ctx, queryTimeout)
		defer cancel()
		if p, err := r.peers.query(qctx, h.Address, id); err == nil && p.Kind != "" {
			return p
		}
	}
	return r.outcomeFromWitness(ctx, id)
}

// localOutcome returns the outcome of a request that this host owns.
func (r *Router) localOutcome(id once.ID) *problem.Problem {
	r.onceMu.Lock()
	defer r.onceMu.Unlock()
	return recordProblem(r.owner.Query(id))
}

// serveQuery answers another host with the outcome of a request that this host
// owns.
func (r *Router) serveQuery(w http.ResponseWriter, req *http.Request) {
	id, err := once.ParseID(mux.Vars(req)["id"])
	if err != nil || id.Owner != r.Self.Incarnation {
		http.Error(w, "not the owner", http.StatusNotFound)
		return
	}
	writeJSON(w, r.localOutcome(id))
}

// outcomeFromWitness determines the outcome of a request whose owner cannot be
// reached. It closes the ID at its witness if the witness has no record of it.
func (r *Router) outcomeFromWitness(ctx context.Context, id once.ID) *problem.Problem {
	if id.Witness == 0 {
		return problem.Lost(problem.OwnerLost, "", "resubmit under a new ID if running twice does no harm", "the ID's owner cannot be reached and it names no witness")
	}
	f, endpointName, err := r.closeAtWitness(ctx, id)
	switch {
	case err != nil:
		p := problem.Lost(problem.WitnessLost, "", "ask again after the time given", "owner and witness cannot be reached: %v", err)
		return p.WithRetryAfter(time.Second)
	case f == once.FindingNotRun:
		return problem.New(problem.ClosedID, "resubmit under a new ID", "the owner cannot be reached and the witness closed the ID")
	case f == once.FindingRecorded:
		return problem.Lost(problem.OwnerLost, endpointName, "read its effect at the endpoint", "a dispatch was recorded and the owner cannot be reached")
	case f == once.FindingExpired:
		return problem.Lost(problem.ExpiredID, "", "read its effect at the endpoints", "the ID is too old to be known")
	}
	return problem.Lost(problem.WitnessLost, "", "read its effect at the endpoints", "the ID's witness is gone")
}

// closeAtWitness closes an ID at a host that answers for its witness: at this
// host if it does, otherwise at the first other host that gives a finding.
func (r *Router) closeAtWitness(ctx context.Context, id once.ID) (f once.Finding, endpointName string, err error) {
	if f, endpointName = r.closeLocal(id); f != once.FindingNotResponsible {
		return f, endpointName, nil
	}
	for _, h := range r.witnessHosts(id.Witness) {
		if h.Incarnation == r.Self.Incarnation {
			continue
		}
		actx, cancel := context.WithTimeout(ctx, queryTimeout)
		f, endpointName, err = r.peers.closeID(actx, h.Address, id)
		cancel()
		if err == nil && f != once.FindingNotResponsible {
			return f, endpointName, nil
		}
	}
	return once.FindingNotResponsible, "", err
}

// endOrphanStream writes the end of a stream whose owner cannot be reached: the
// end marker, or the problem for err.
func (r *Router) endOrphanStream(w io.Writer, err error) {
	if errors.Is(err, io.EOF) {
		_, _ = io.WriteString(w, "data: "+endpoint.DoneData+"\n\n")
		return
	}
	p := problem.Lost(problem.EndpointLost, "", "resume again from the last piece", "%v", err)
	b, _ := json.Marshal(p)
	_, _ = w.Write(append(append([]byte("event: error\ndata: "), b...), "\n\n"...))
}
