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

// forward passes a request on to the host that owns its ID. If the owner cannot
// be reached, the problem tells what is known of the ID.
func (r *Router) forward(w http.ResponseWriter, req *http.Request, id once.ID) *problem.Problem {
	if req.Header.Get(headerForwarded) != "" {
		return problem.Lost(problem.OwnerLost, "", "ask "+PathOutcome+"{id}", "the ID's owner is another incarnation of this host")
	}
	if h, ok := r.owningHost(id); ok && r.passOn(w, req, h.Address) {
		return nil
	}
	return r.settle(req.Context(), id)
}

// owningHost finds the host that owns an ID, if it is not known to be gone.
func (r *Router) owningHost(id once.ID) (h fleet.Host, ok bool) {
	h, ok = r.knownHost(id.Owner)
	return h, ok && !h.Suspect
}

// passOn sends a request to another host and its answer back; false means that
// no answer came and nothing was written.
func (r *Router) passOn(w http.ResponseWriter, req *http.Request, address string) bool {
	out := req.Clone(req.Context())
	out.RequestURI = ""
	out.URL.Scheme, out.URL.Host = "http", address
	out.Header.Set(headerForwarded, r.Self.Name)
	endpoint.DropHopHeaders(out.Header)
	resp, err := r.engines.Transport.RoundTrip(out)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	endpoint.DropHopHeaders(resp.Header)
	for k, v := range resp.Header {
		w.Header()[k] = v
	}
	w.WriteHeader(resp.StatusCode)
	if copyFlush(w, resp.Body) != nil {
		panic(http.ErrAbortHandler)
	}
	return true
}

// copyFlush copies a body and flushes each part as it comes.
func copyFlush(w http.ResponseWriter, body io.Reader) error {
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

// forwardStream passes a resumption on to the owner; false means that it cannot be reached.
func (r *Router) forwardStream(w http.ResponseWriter, req *http.Request, id once.ID) bool {
	h, ok := r.owningHost(id)
	if !ok {
		return false
	}
	// A quick look spares the caller a long wait for an owner that is cut off.
	c, err := net.DialTimeout("tcp", h.Address, dialLook)
	if err != nil {
		return false
	}
	_ = c.Close()
	return r.passOn(w, req, h.Address)
}

// dialLook bounds the look whether an owner can be reached.
const dialLook = 300 * time.Millisecond

// askTimeout bounds a question to an owner or a witness.
const askTimeout = time.Second

// serveOutcome tells what became of a request.
func (r *Router) serveOutcome(w http.ResponseWriter, req *http.Request) {
	id, err := once.ParseID(mux.Vars(req)["id"])
	if err != nil {
		problem.Write(w, problem.New(problem.BadID, "use the ID that the request was sent with", "%v", err))
		return
	}
	p := r.outcome(req.Context(), id)
	p.RequestID = id.String()
	w.Header().Set(problem.OutcomeHeader, string(p.Outcome))
	writeJSON(w, p)
}

// outcome asks the owner and, if it cannot be reached, the witness.
func (r *Router) outcome(ctx context.Context, id once.ID) *problem.Problem {
	if id.Owner == r.Self.Incarnation {
		return r.outcomeHere(id)
	}
	if h, ok := r.owningHost(id); ok {
		qctx, cancel := context.WithTimeout(ctx, askTimeout)
		defer cancel()
		if p, err := r.peers.query(qctx, h.Address, id); err == nil && p.Kind != "" {
			return p
		}
	}
	return r.settle(ctx, id)
}

// outcomeHere tells what this owner knows of an ID.
func (r *Router) outcomeHere(id once.ID) *problem.Problem {
	r.onceMu.Lock()
	defer r.onceMu.Unlock()
	return outcomeOf(r.owner.Query(id))
}

// serveQuery tells another host what this owner knows of an ID.
func (r *Router) serveQuery(w http.ResponseWriter, req *http.Request) {
	id, err := once.ParseID(mux.Vars(req)["id"])
	if err != nil || id.Owner != r.Self.Incarnation {
		http.Error(w, "not the owner", http.StatusNotFound)
		return
	}
	writeJSON(w, r.outcomeHere(id))
}

// settle finds what became of an ID whose owner cannot be reached, from its witness.
func (r *Router) settle(ctx context.Context, id once.ID) *problem.Problem {
	if id.Witness == 0 {
		return problem.Lost(problem.OwnerLost, "", "resubmit under a new ID if running twice does no harm", "the ID's owner cannot be reached and it names no witness")
	}
	f, name, err := r.askFinding(ctx, id)
	switch {
	case err != nil:
		p := problem.Lost(problem.WitnessLost, "", "ask again after the time given", "owner and witness cannot be reached: %v", err)
		return p.WithRetryAfter(time.Second)
	case f == once.FindingNotRun:
		return problem.New(problem.ClosedID, "resubmit under a new ID", "the owner cannot be reached and the witness closed the ID")
	case f == once.FindingRecorded:
		return problem.Lost(problem.OwnerLost, name, "read its effect at the endpoint", "a dispatch was recorded and the owner cannot be reached")
	case f == once.FindingExpired:
		return problem.Lost(problem.ExpiredID, "", "read its effect at the endpoints", "the ID is too old to be known")
	}
	return problem.Lost(problem.WitnessLost, "", "read its effect at the endpoints", "the ID's witness is gone")
}

// askFinding asks whoever answers for the witness of an ID, this host first.
func (r *Router) askFinding(ctx context.Context, id once.ID) (f once.Finding, name string, err error) {
	if f, name = r.closeHere(id); f != once.FindingNotResponsible {
		return f, name, nil
	}
	for _, h := range r.witnessHosts(id.Witness) {
		if h.Incarnation == r.Self.Incarnation {
			continue
		}
		actx, cancel := context.WithTimeout(ctx, askTimeout)
		f, name, err = r.peers.closeID(actx, h.Address, id)
		cancel()
		if err == nil && f != once.FindingNotResponsible {
			return f, name, nil
		}
	}
	return once.FindingNotResponsible, "", err
}

// endForeign ends a stream of an owner that is gone.
func (r *Router) endForeign(w io.Writer, err error) {
	if errors.Is(err, io.EOF) {
		_, _ = io.WriteString(w, "data: "+endpoint.DoneData+"\n\n")
		return
	}
	p := problem.Lost(problem.EndpointLost, "", "resume again from the last piece", "%v", err)
	b, _ := json.Marshal(p)
	_, _ = w.Write(append(append([]byte("event: error\ndata: "), b...), "\n\n"...))
}
