// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package fake

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/heathkeel/heathkeel/endpoint"
	"github.com/heathkeel/heathkeel/sched"
)

// EngineFaults selects the faults that an Engine injects; the zero value has none.
type EngineFaults struct {
	// Slowdown multiplies the time of a step; 0 means 1.
	Slowdown float64
	// Dead breaks every connection.
	Dead bool
	// StopReports makes the load report fail with status 503.
	StopReports bool
	// DroppedEventsPerTen is the number of cache events that reports omit of every ten.
	DroppedEventsPerTen int
	// BreakAfter breaks the connection of a stream after this number of pieces, once
	// for each stream; 0 never does.
	BreakAfter int
	// WrongIDAt sends the piece of that number with another request's ID, DuplicateAt
	// sends it twice and SkipAt omits it; 0 never does.
	WrongIDAt, DuplicateAt, SkipAt int
	// PieceBytes is the number of bytes added to the text of each piece.
	PieceBytes int
	// ServerErrors makes new requests fail with status 500.
	ServerErrors bool
}

// Engine is a fake model engine, served over HTTP.
type Engine struct {
	// Core does the batching; set its sizes before use.
	Core EngineCore
	// StepTime is the duration of one step.
	StepTime time.Duration
	// ReportLag is the minimum age of the load reports that the engine serves; 0
	// serves current ones.
	ReportLag time.Duration
	// OutputTokens returns the number of tokens of an answer; nil generates maxTokens.
	OutputTokens func(prompt string, maxTokens int) int
	// Store is where the engine loads weights from; nil loads them instantly.
	Store *WeightStore
	// Unfenced makes the engine accept orders with stale fencing tokens.
	Unfenced bool

	mu            sync.Mutex
	faults        EngineFaults
	streams       map[string]*engineStream
	pastReports   []timedReport
	loaded        *endpoint.ModelSpec
	loading       *endpoint.ModelSpec
	role          string
	token         uint64
	runs          map[string]int
	appliedOrders int
	wake          chan struct{}
}

// engineStream keeps the generated pieces of a request, so that its stream can be resumed.
type engineStream struct {
	job     *Job
	pieces  []endpoint.Piece
	updated chan struct{}
	broken  bool
}

// timedReport is a report and the time at which it was taken.
type timedReport struct {
	takenAt time.Time
	endpoint.Report
}

// maxPastReports is the maximum number of reports kept to serve lagging ones.
const maxPastReports = 256

// SetLoaded sets the model that is loaded at the start.
func (e *Engine) SetLoaded(model endpoint.ModelSpec) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loaded = &model
}

// SetFaults replaces the injected faults.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// SetStepTime changes the duration of a step; the engine may be running.
func (e *Engine) SetStepTime(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.StepTime = d
}

// Runs returns the number of times that the request with an ID was started.
func (e *Engine) Runs(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}

// RunStats returns the number of IDs that were started and the maximum number of
// runs of one ID.
func (e *Engine) RunStats() (ids, maxRuns int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, n := range e.runs {
		maxRuns = max(maxRuns, n)
	}
	return len(e.runs), maxRuns
}

// AppliedOrders returns the number of accepted orders that changed the model.
func (e *Engine) AppliedOrders() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.appliedOrders
}

// Active returns the number of running and waiting requests.
func (e *Engine) Active() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.Core.Jobs())
}

// Restart drops all requests, streams and the cache, as a restart of the process does.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.Core.Clear()
	e.loading = nil
	for _, s := range e.streams {
		close(s.updated)
		s.updated = nil
	}
	e.streams = nil
}

// Run steps the engine until ctx ends.
func (e *Engine) Run(ctx context.Context) {
	for ctx.Err() == nil {
		e.mu.Lock()
		d := e.StepTime
		if e.faults.Slowdown > 0 {
			d = time.Duration(float64(d) * e.faults.Slowdown)
		}
		idle := e.Core.Idle()
		if e.wake == nil {
			e.wake = make(chan struct{}, 1)
		}
		wake := e.wake
		e.mu.Unlock()
		if idle {
			select {
			case <-ctx.Done():
				return
			case <-wake:
			case <-time.After(max(e.ReportLag/4, 10*time.Millisecond)):
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(d):
		}
		e.step()
	}
}

// step runs one step and appends its tokens to the streams.
func (e *Engine) step() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, tok := range e.Core.Step() {
		s := e.streams[tok.Job.ID]
		if s == nil {
			continue
		}
		n := len(s.pieces)
		p := endpoint.Piece{ID: tok.Job.ID, Seq: n, Text: "t" + strconv.Itoa(n) + " "}
		if tok.Last {
			p.Finish = "stop"
		}
		s.pieces = append(s.pieces, p)
		close(s.updated)
		s.updated = make(chan struct{})
	}
	e.pastReports = append(e.pastReports, timedReport{time.Now(), e.report()})
	if len(e.pastReports) > maxPastReports {
		e.pastReports = slices.Delete(e.pastReports, 0, len(e.pastReports)-maxPastReports/2)
	}
}

// report returns a current report; the caller must hold mu.
func (e *Engine) report() endpoint.Report {
	r := e.Core.Report()
	r.StepUS = e.StepTime.Microseconds()
	r.Loaded, r.Loading, r.Role, r.Token = e.loaded, e.loading, e.role, e.token
	if r.Role == "" {
		r.Role = "both"
	}
	return r
}

// addRequest adds a request to the core; the caller must hold mu.
func (e *Engine) addRequest(id string, body endpoint.CompletionBody) {
	if e.runs == nil {
		e.runs = make(map[string]int)
	}
	if e.streams == nil {
		e.streams = make(map[string]*engineStream)
	}
	e.runs[id]++
	outputTokens := max(body.MaxTokens, 1)
	if e.OutputTokens != nil {
		outputTokens = e.OutputTokens(body.Prompt, outputTokens)
	}
	j := &Job{
		ID: id, Blocks: sched.Blocks(body.Prompt), PromptTokens: sched.Tokens(len(body.Prompt)),
		OutputTokens: outputTokens, Priority: body.Priority,
	}
	e.streams[id] = &engineStream{job: j, updated: make(chan struct{})}
	e.Core.Add(j)
	if e.wake != nil {
		select {
		case e.wake <- struct{}{}:
		default:
		}
	}
}

// loadWeights loads the weights of an order and makes its model the loaded one,
// unless another order came in the meantime, the load failed or the digest differs.
func (e *Engine) loadWeights(o endpoint.Order) {
	var digest string
	var err error
	if e.Store != nil {
		digest, err = e.Store.Load(context.Background(), o.Want.Model, o.Want.Version)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !sameModel(e.loading, o.Want) {
		return
	}
	e.loading = nil
	if err != nil || (o.Digest != "" && digest != o.Digest) {
		return
	}
	e.loaded = o.Want
}

// sameModel reports whether a and b are both nil or have the same model, version
// and adapters.
func sameModel(a, b *endpoint.ModelSpec) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.Model == b.Model && a.Version == b.Version && slices.Equal(a.Adapters, b.Adapters)
}

// Loaded returns the loaded model, or nil.
func (e *Engine) Loaded() *endpoint.ModelSpec {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.loaded
}
