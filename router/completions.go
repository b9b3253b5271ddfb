// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package router

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/heathkeel/heathkeel/endpoint"
	"github.com/heathkeel/heathkeel/metrics"
	"github.com/heathkeel/heathkeel/problem"
	"github.com/heathkeel/heathkeel/sched"
)

// activity is a dispatched request to an engine.
type activity struct {
	j        *job
	engine   endpoint.Engine
	endpoint string
	model    string
	cancel   *time.Timer // set while the caller is away
}

// serveCompletion takes a request to an engine.
func (r *Router) serveCompletion(w http.ResponseWriter, req *http.Request) {
	j, p := r.begin(w, req, req.Header.Get(HeaderService))
	if p != nil {
		problem.Write(w, p)
		return
	}
	if j == nil {
		return
	}
	body, p := r.parseCompletion(j, req)
	if p != nil {
		problem.Write(w, r.refuse(j, p))
		return
	}
	d, p := r.submit(req.Context(), j)
	if p != nil {
		problem.Write(w, p)
		return
	}
	var stream endpoint.Stream
	t, p := r.dispatch(req.Context(), j, d, func(t *target) error {
		// The engine's stream must outlive the caller's connection for a while.
		var err error
		stream, err = t.engine.Generate(context.WithoutCancel(req.Context()), r.engineCall(j, body))
		return err
	})
	if p != nil {
		problem.Write(w, p)
		return
	}
	r.release(j)
	a := &activity{j: j, engine: t.engine, endpoint: t.Name, model: body.Model}
	r.onceMu.Lock()
	r.active[j.id()] = a
	r.onceMu.Unlock()
	checked := &endpoint.CheckedStream{Stream: stream, ID: j.id()}
	if body.Stream {
		r.streamAnswer(w, req, a, checked)
		return
	}
	r.wholeAnswer(w, req, a, checked)
}

// parseCompletion reads the body of a request and fills in the scheduler's view of it.
func (r *Router) parseCompletion(j *job, req *http.Request) (*endpoint.CompletionBody, *problem.Problem) {
	var body endpoint.CompletionBody
	if err := json.Unmarshal(j.body, &body); err != nil {
		return nil, problem.New(problem.BadRequest, "send JSON in the customary completion format", "the body is no JSON: %v", err)
	}
	if body.Prompt == "" || body.MaxTokens < 0 {
		return nil, problem.New(problem.BadRequest, "send prompt as text and max_tokens above 0", "prompt is empty or max_tokens is negative")
	}
	known := slices.Contains(j.snap.Fleet.Models, body.Model)
	allowed := len(j.eff.Models) == 0 || slices.Contains(j.eff.Models, body.Model)
	if !known || !allowed {
		models := j.eff.Models
		if len(models) == 0 {
			models = j.snap.Fleet.Models
		}
		return nil, problem.New(problem.UnknownModel, "use one of: "+strings.Join(models, ", "), "model %q is not declared or not allowed", body.Model)
	}
	if body.MaxTokens == 0 || body.MaxTokens > j.eff.MaxTokens {
		body.MaxTokens = j.eff.MaxTokens
	}
	j.req = &sched.Request{
		Model: body.Model, Blocks: sched.Blocks(body.Prompt), PromptTokens: sched.Tokens(len(body.Prompt)),
		MaxTokens: body.MaxTokens, Retry: req.Header.Get(HeaderResubmits) != "",
	}
	return &body, nil
}

// engineCall makes the call to an engine.
func (r *Router) engineCall(j *job, body *endpoint.CompletionBody) endpoint.Call {
	return endpoint.Call{
		ID: j.id(), Model: body.Model, Adapter: body.Adapter, Prompt: body.Prompt,
		MaxTokens: body.MaxTokens, Priority: j.eff.Rank,
	}
}

// answerHead sets the headers that let a caller resume at any host.
func answerHead(w http.ResponseWriter, a *activity) {
	w.Header().Set(HeaderID, a.j.id())
	w.Header().Set(HeaderEndpoint, a.endpoint)
}

// sink takes the pieces of an answer; an error means that the caller is gone.
type sink func(endpoint.Piece) error

// errCaller means that the caller went away.
var errCaller = errors.New("router: the caller went away")

// relay passes the pieces of an answer on, resuming a broken stream at the same
// engine, and keeps the figures. It returns the number of pieces passed on.
func (r *Router) relay(ctx context.Context, a *activity, s *endpoint.CheckedStream, out sink) (int, error) {
	defer func() { _ = s.Close() }()
	last := a.j.arrived
	for {
		p, err := s.Next()
		switch {
		case err == io.EOF:
			return s.NextSeq, nil
		case errors.Is(err, endpoint.ErrLost):
			if err = r.resumeAt(ctx, a, s); err != nil {
				return s.NextSeq, err
			}
			continue
		case err != nil:
			return s.NextSeq, err
		}
		now := r.now()
		r.noteToken(a, p.Seq, now-last)
		last = now
		if out(p) != nil || ctx.Err() != nil {
			return s.NextSeq, errCaller
		}
	}
}

// noteToken keeps the figures of one token.
func (r *Router) noteToken(a *activity, seq int, since time.Duration) {
	r.mu.Lock()
	if seq == 0 {
		r.sched.FirstToken(r.now(), a.j.req)
	}
	r.sched.Progress(r.now(), a.j.req, seq+1)
	r.mu.Unlock()
	if seq == 0 {
		r.metrics.Record(a.j.key(), metrics.FirstToken, since)
		return
	}
	r.metrics.Record(a.j.key(), metrics.InterToken, since)
}

// Figures of resuming.
const (
	// resumeTries bounds the tries to resume a broken stream at its engine.
	resumeTries = 3
	// resumePause is the time between them.
	resumePause = 50 * time.Millisecond
)

// resumeAt replaces a broken stream by its continuation.
func (r *Router) resumeAt(ctx context.Context, a *activity, s *endpoint.CheckedStream) error {
	_ = s.Close()
	for range resumeTries {
		next, err := a.engine.Resume(context.WithoutCancel(ctx), a.j.id(), s.NextSeq)
		if err == nil {
			s.Stream = next
			r.metrics.Count(a.j.key(), "stream resumed")
			return nil
		}
		if errors.Is(err, endpoint.ErrUnknownStream) {
			return err
		}
		time.Sleep(resumePause)
	}
	return endpoint.ErrLost
}

// streamAnswer sends the answer as server-sent events.
func (r *Router) streamAnswer(w http.ResponseWriter, req *http.Request, a *activity, s *endpoint.CheckedStream) {
	answerHead(w, a)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	w.WriteHeader(http.StatusOK)
	rc := http.NewResponseController(w)
	var buf []byte
	n, err := r.relay(req.Context(), a, s, func(p endpoint.Piece) error {
		buf = endpoint.AppendEvent(buf[:0], p, a.model)
		if _, err := w.Write(buf); err != nil || s.More() {
			return err
		}
		return rc.Flush()
	})
	if err == nil {
		_, err = io.WriteString(w, "data: "+endpoint.DoneData+"\n\n")
		if err == nil {
			err = rc.Flush()
		}
		if err != nil {
			err = errCaller
		}
	}
	if p := r.conclude(a, n, err); p != nil {
		b, _ := json.Marshal(p)
		_, _ = w.Write(append(append([]byte("event: error\ndata: "), b...), "\n\n"...))
		_ = rc.Flush()
	}
}

// wholeAnswer collects the answer and sends it in one piece.
func (r *Router) wholeAnswer(w http.ResponseWriter, req *http.Request, a *activity, s *endpoint.CheckedStream) {
	var text strings.Builder
	var finish string
	n, err := r.relay(req.Context(), a, s, func(p endpoint.Piece) error {
		text.WriteString(p.Content())
		finish = p.Finish
		return nil
	})
	if err == nil {
		answerHead(w, a)
		w.Header().Set(problem.OutcomeHeader, string(problem.Answered))
		writeJSON(w, endpoint.Chunk{
			ID: a.j.id(), Object: "text_completion", Model: a.model,
			Choices: []endpoint.Choice{{Text: text.String(), FinishReason: &finish}},
		})
	}
	if p := r.conclude(a, n, err); p != nil {
		problem.Write(w, p)
	}
}

// conclude ends a request after its stream ended; a problem is what the caller
// must be told. A caller that has an ID and went away gets time to resume.
func (r *Router) conclude(a *activity, n int, err error) *problem.Problem {
	switch {
	case err == nil:
		r.end(a.j, sched.Completed, n)
		return nil
	case errors.Is(err, errCaller) && a.j.ownID && n > 0:
		r.onceMu.Lock()
		a.cancel = time.AfterFunc(r.CancelGrace, func() { r.abandon(a) })
		r.onceMu.Unlock()
		return nil
	case errors.Is(err, errCaller):
		r.abandon(a)
		return nil
	}
	r.cancelAt(a)
	return r.lost(a.j, a.endpoint, err)
}

// cancelTimeout bounds the cancelling of a stream.
const cancelTimeout = time.Second

// cancelAt cancels a stream at its engine.
func (r *Router) cancelAt(a *activity) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_ = a.engine.Cancel(ctx, a.j.id())
}

// abandon cancels the stream of a caller that did not come back.
func (r *Router) abandon(a *activity) {
	r.onceMu.Lock()
	still := r.active[a.j.id()] == a
	r.onceMu.Unlock()
	if !still {
		return
	}
	r.cancelAt(a)
	r.end(a.j, sched.Canceled, 0)
}
