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

// engineRequest is a request that was dispatched to an engine.
type engineRequest struct {
	job         *job
	engine      endpoint.Engine
	endpoint    string
	model       string
	cancelTimer *time.Timer // set while the caller is disconnected
}

// serveCompletion serves a request to an engine.
func (r *Router) serveCompletion(w http.ResponseWriter, req *http.Request) {
	j, p := r.receive(w, req, req.Header.Get(HeaderService))
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
		// The stream must survive a lost connection of the caller until CancelGrace
		// has passed.
		var err error
		stream, err = t.engine.Generate(context.WithoutCancel(req.Context()), r.newEngineCall(j, body))
		return err
	})
	if p != nil {
		problem.Write(w, p)
		return
	}
	r.releaseBody(j)
	engineReq := &engineRequest{job: j, engine: t.engine, endpoint: t.Name, model: body.Model}
	r.onceMu.Lock()
	r.active[j.id()] = engineReq
	r.onceMu.Unlock()
	checked := &endpoint.CheckedStream{Stream: stream, ID: j.id()}
	if body.Stream {
		r.streamAnswer(w, req, engineReq, checked)
		return
	}
	r.writeWholeAnswer(w, req, engineReq, checked)
}

// parseCompletion parses and validates the body of a request and sets the job's
// request to the scheduler. It limits the answer to the settings' max-tokens.
func (r *Router) parseCompletion(j *job, req *http.Request) (*endpoint.CompletionBody, *problem.Problem) {
	var body endpoint.CompletionBody
	if err := json.Unmarshal(j.body, &body); err != nil {
		return nil, problem.New(problem.BadRequest, "send JSON in the customary completion format", "the body is no JSON: %v", err)
	}
	if body.Prompt == "" || body.MaxTokens < 0 {
		return nil, problem.New(problem.BadRequest, "send prompt as text and max_tokens above 0", "prompt is empty or max_tokens is negative")
	}
	known := slices.Contains(j.snapshot.Fleet.Models, body.Model)
	allowed := len(j.settings.Models) == 0 || slices.Contains(j.settings.Models, body.Model)
	if !known || !allowed {
		models := j.settings.Models
		if len(models) == 0 {
			models = j.snapshot.Fleet.Models
		}
		return nil, problem.New(problem.UnknownModel, "use one of: "+strings.Join(models, ", "), "model %q is not declared or not allowed", body.Model)
	}
	if body.MaxTokens == 0 || body.MaxTokens > j.settings.MaxTokens {
		body.MaxTokens = j.settings.MaxTokens
	}
	j.req = &sched.Request{
		Model: body.Model, Blocks: sched.Blocks(body.Prompt), PromptTokens: sched.Tokens(len(body.Prompt)),
		MaxTokens: body.MaxTokens, Retry: req.Header.Get(HeaderResubmits) != "",
	}
	return &body, nil
}

// newEngineCall returns the call to send to an engine.
func (r *Router) newEngineCall(j *job, body *endpoint.CompletionBody) endpoint.Call {
	return endpoint.Call{
		ID: j.id(), Model: body.Model, Adapter: body.Adapter, Prompt: body.Prompt,
		MaxTokens: body.MaxTokens, Priority: j.settings.Rank,
	}
}

// setAnswerHeaders sets the headers with which a caller can resume the stream at
// any host.
func setAnswerHeaders(w http.ResponseWriter, engineReq *engineRequest) {
	w.Header().Set(HeaderID, engineReq.job.id())
	w.Header().Set(HeaderEndpoint, engineReq.endpoint)
}

// sink receives the pieces of an answer. An error other than errAnswerTooLarge means that the
// caller went away.
type sink func(endpoint.Piece) error

var (
	// errCallerGone means that the caller went away.
	errCallerGone = errors.New("router: the caller went away")
	// errAnswerTooLarge means that an answer to be collected is larger than wholeAnswerLimit.
	errAnswerTooLarge = errors.New("router: the answer is too large for its number of tokens; check the engine, or ask for a stream")
)

// Limits of the text of an answer that the host collects for its caller, in bytes. An engine may send pieces of any length, without an end.
const (
	maxTokenText   = 256 // of a token, on average
	minWholeAnswer = 64 << 10
	maxWholeAnswer = 16 << 20
)

// wholeAnswerLimit returns the limit in bytes for an answer of at most maxTokens tokens.
func wholeAnswerLimit(maxTokens int) int {
	return min(max(minWholeAnswer, maxTokenText*maxTokens), maxWholeAnswer)
}

// copyStream passes the pieces of an answer to a sink and records the token
// metrics. It resumes a broken stream at the same engine. It returns the number
// of pieces received.
func (r *Router) copyStream(ctx context.Context, engineReq *engineRequest, s *endpoint.CheckedStream, write sink) (int, error) {
	defer func() { _ = s.Close() }()
	lastToken := engineReq.job.arrived
	for {
		p, err := s.Next()
		switch {
		case err == io.EOF:
			return s.NextSeq, nil
		case errors.Is(err, endpoint.ErrLost):
			if err = r.resumeStream(ctx, engineReq, s); err != nil {
				return s.NextSeq, err
			}
			continue
		case err != nil:
			return s.NextSeq, err
		}
		now := r.now()
		r.recordToken(engineReq, p.Seq, now-lastToken)
		lastToken = now
		err = write(p)
		switch {
		case errors.Is(err, errAnswerTooLarge):
			return s.NextSeq, err
		case err != nil || ctx.Err() != nil:
			return s.NextSeq, errCallerGone
		}
	}
}

// recordToken reports one token to the scheduler and records its metrics. since
// is the time since the previous token, or since the arrival of the request.
func (r *Router) recordToken(engineReq *engineRequest, seq int, since time.Duration) {
	r.mu.Lock()
	if seq == 0 {
		r.sched.FirstToken(r.now(), engineReq.job.req)
	}
	r.sched.Progress(r.now(), engineReq.job.req, seq+1)
	r.mu.Unlock()
	if seq == 0 {
		r.metrics.Record(engineReq.job.key(), metrics.FirstToken, since)
		return
	}
	r.metrics.Record(engineReq.job.key(), metrics.InterToken, since)
}

// Limits on resuming a stream.
const (
	// maxResumeAttempts is the maximum number of attempts to resume a broken stream
	// at its engine: a second, as the path to it may be broken for a moment and nothing
	// else holds the rest.
	maxResumeAttempts = 20
	// maxRefusedResumes is the number of attempts that cannot connect after which the
	// stream is given up sooner, because its engine has ended.
	maxRefusedResumes = 3
	// resumeRetryInterval is the time between two attempts.
	resumeRetryInterval = 50 * time.Millisecond
)

// resumeStream resumes a broken stream at its engine, after the last piece
// received.
func (r *Router) resumeStream(ctx context.Context, engineReq *engineRequest, s *endpoint.CheckedStream) error {
	_ = s.Close()
	refused := 0
	for range maxResumeAttempts {
		next, err := engineReq.engine.Resume(context.WithoutCancel(ctx), engineReq.job.id(), s.NextSeq)
		switch {
		case err == nil:
			s.Stream = next
			r.metrics.Count(engineReq.job.key(), "stream resumed")
			return nil
		case errors.Is(err, endpoint.ErrUnknownStream):
			return err
		case errors.Is(err, endpoint.ErrNotSent):
			if refused++; refused == maxRefusedResumes {
				return endpoint.ErrLost
			}
		}
		time.Sleep(resumeRetryInterval)
	}
	return endpoint.ErrLost
}

// streamAnswer sends the answer as server-sent events.
func (r *Router) streamAnswer(w http.ResponseWriter, req *http.Request, engineReq *engineRequest, s *endpoint.CheckedStream) {
	setAnswerHeaders(w, engineReq)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	w.WriteHeader(http.StatusOK)
	rc := http.NewResponseController(w)
	var buf []byte
	n, err := r.copyStream(req.Context(), engineReq, s, func(p endpoint.Piece) error {
		buf = endpoint.AppendEvent(buf[:0], p, engineReq.model)
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
			err = errCallerGone
		}
	}
	if p := r.finishStream(engineReq, n, err); p != nil {
		b, _ := json.Marshal(p)
		_, _ = w.Write(append(append([]byte("event: error\ndata: "), b...), "\n\n"...))
		_ = rc.Flush()
	}
}

// writeWholeAnswer collects the answer and sends it as one JSON document.
func (r *Router) writeWholeAnswer(w http.ResponseWriter, req *http.Request, engineReq *engineRequest, s *endpoint.CheckedStream) {
	var text strings.Builder
	var finish string
	limit := wholeAnswerLimit(engineReq.job.req.MaxTokens)
	n, err := r.copyStream(req.Context(), engineReq, s, func(p endpoint.Piece) error {
		content := p.Content()
		if text.Len()+len(content) > limit {
			return errAnswerTooLarge
		}
		text.WriteString(content)
		finish = p.Finish
		return nil
	})
	if err == nil {
		setAnswerHeaders(w, engineReq)
		w.Header().Set(problem.OutcomeHeader, string(problem.Answered))
		writeJSON(w, endpoint.Chunk{
			ID: engineReq.job.id(), Object: "text_completion", Model: engineReq.model,
			Choices: []endpoint.Choice{{Text: text.String(), FinishReason: &finish}},
		})
	}
	if p := r.finishStream(engineReq, n, err); p != nil {
		problem.Write(w, p)
	}
}

// finishStream ends a request after its stream ended. It returns the problem to
// report to the caller, or nil. If a caller that sent an ID went away after the
// first piece, the stream continues for CancelGrace so that the caller can resume it.
func (r *Router) finishStream(engineReq *engineRequest, tokens int, err error) *problem.Problem {
	switch {
	case err == nil:
		r.finish(engineReq.job, sched.Completed, tokens)
		return nil
	case errors.Is(err, errCallerGone) && engineReq.job.callerID && tokens > 0:
		r.onceMu.Lock()
		engineReq.cancelTimer = time.AfterFunc(r.CancelGrace, func() { r.abandon(engineReq) })
		r.onceMu.Unlock()
		return nil
	case errors.Is(err, errCallerGone):
		r.abandon(engineReq)
		return nil
	}
	r.cancelStream(engineReq)
	return r.endLost(engineReq.job, engineReq.endpoint, err)
}

// cancelTimeout is the timeout of a call that cancels a stream at its engine.
const cancelTimeout = time.Second

// cancelStream cancels a stream at its engine.
func (r *Router) cancelStream(engineReq *engineRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_ = engineReq.engine.Cancel(ctx, engineReq.job.id())
}

// abandon cancels the stream and ends the request of a caller that went away.
func (r *Router) abandon(engineReq *engineRequest) {
	r.onceMu.Lock()
	active := r.active[engineReq.job.id()] == engineReq
	r.onceMu.Unlock()
	if !active {
		return
	}
	r.cancelStream(engineReq)
	r.finish(engineReq.job, sched.Canceled, 0)
}
