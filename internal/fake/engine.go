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

// EngineFaults are the faults of an engine; the zero value has none.
type EngineFaults struct {
	// Slowdown multiplies the time of a step; 0 means 1.
	Slowdown float64
	// Dead breaks every connection.
	Dead bool
	// StopReports makes reports fail.
	StopReports bool
	// DroppedEventsPerTen is the number of cache events lost of each ten.
	DroppedEventsPerTen int
	// BreakAfter breaks a stream after that many pieces, once for each stream; 0 never.
	BreakAfter int
	// WrongIDAt gives the piece of that number another request's ID, RepeatAt sends
	// it twice and SkipAt leaves it out; 0 never.
	WrongIDAt, DuplicateAt, SkipAt int
	// ServerErrors makes new requests fail with a server error.
	ServerErrors bool
}

// Engine is a stand-in model engine, served over HTTP.
type Engine struct {
	// Core is the batching engine; set its sizes before use.
	Core EngineCore
	// StepTime is the time of one step.
	StepTime time.Duration
	// ReportLag is the age of reports.
	ReportLag time.Duration
	// OutputTokens gives the number of tokens of an answer; nil means as many as asked.
	OutputTokens func(prompt string, maxTokens int) int
	// Store is where weights come from; nil means that loading takes no time.
	Store *WeightStore
	// Unfenced makes the engine obey any order.
	Unfenced bool

	mu      sync.Mutex
	faults  EngineFaults
	streams map[string]*engineStream
	past    []agedReport
	holding *endpoint.ModelSpec
	loading *endpoint.ModelSpec
	role    string
	token   uint64
	runs    map[string]int
	orders  int
	wake    chan struct{}
}

// engineStream keeps what was generated, so that it can be resumed.
type engineStream struct {
	job    *Job
	pieces []endpoint.Piece
	more   chan struct{}
	cut    bool
}

// agedReport is a report and when it was taken.
type agedReport struct {
	at time.Time
	endpoint.Report
}

// maxPast bounds the reports kept for lagging readers.
const maxPast = 256

// SetLoaded sets what the engine holds at the start.
func (e *Engine) SetLoaded(h endpoint.ModelSpec) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.holding = &h
}

// SetFaults replaces the faults in force.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// SetStepTime changes the time of a step while the engine runs.
func (e *Engine) SetStepTime(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.StepTime = d
}

// Runs returns how often a request was run under an ID.
func (e *Engine) Runs(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}

// RunStats returns the number of IDs run and the largest count of one.
func (e *Engine) RunStats() (ids, most int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, n := range e.runs {
		most = max(most, n)
	}
	return len(e.runs), most
}

// AppliedOrders returns the number of orders obeyed that changed something.
func (e *Engine) AppliedOrders() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.orders
}

// Active returns the number of requests in the engine.
func (e *Engine) Active() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.Core.Jobs())
}

// Restart drops all requests, streams and cache, as a new process would.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.Core.Clear()
	e.loading = nil
	for _, s := range e.streams {
		close(s.more)
		s.more = nil
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

// step runs one step and hands its tokens to the streams.
func (e *Engine) step() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, em := range e.Core.Step() {
		s := e.streams[em.Job.ID]
		if s == nil {
			continue
		}
		n := len(s.pieces)
		p := endpoint.Piece{ID: em.Job.ID, Seq: n, Text: "t" + strconv.Itoa(n) + " "}
		if em.Last {
			p.Finish = "stop"
		}
		s.pieces = append(s.pieces, p)
		close(s.more)
		s.more = make(chan struct{})
	}
	e.past = append(e.past, agedReport{time.Now(), e.report()})
	if len(e.past) > maxPast {
		e.past = slices.Delete(e.past, 0, len(e.past)-maxPast/2)
	}
}

// report returns the account now; mu must be held.
func (e *Engine) report() endpoint.Report {
	r := e.Core.Report()
	r.StepUS = e.StepTime.Microseconds()
	r.Loaded, r.Loading, r.Role, r.Token = e.holding, e.loading, e.role, e.token
	if r.Role == "" {
		r.Role = "both"
	}
	return r
}

// admit adds a request to the core; mu must be held.
func (e *Engine) admit(id string, body endpoint.CompletionBody) {
	if e.runs == nil {
		e.runs = make(map[string]int)
	}
	if e.streams == nil {
		e.streams = make(map[string]*engineStream)
	}
	e.runs[id]++
	out := max(body.MaxTokens, 1)
	if e.OutputTokens != nil {
		out = e.OutputTokens(body.Prompt, out)
	}
	j := &Job{
		ID: id, Blocks: sched.Blocks(body.Prompt), PromptTokens: sched.Tokens(len(body.Prompt)),
		OutputTokens: out, Priority: body.Priority,
	}
	e.streams[id] = &engineStream{job: j, more: make(chan struct{})}
	e.Core.Add(j)
	if e.wake != nil {
		select {
		case e.wake <- struct{}{}:
		default:
		}
	}
}

// fetch loads weights and holds them if nothing else was ordered meanwhile.
func (e *Engine) fetch(o endpoint.Order) {
	var digest string
	var err error
	if e.Store != nil {
		digest, err = e.Store.Load(context.Background(), o.Want.Model, o.Want.Version)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !sameHolding(e.loading, o.Want) {
		return
	}
	e.loading = nil
	if err != nil || (o.Digest != "" && digest != o.Digest) {
		return
	}
	e.holding = o.Want
}

// sameHolding compares two holdings.
func sameHolding(a, b *endpoint.ModelSpec) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.Model == b.Model && a.Version == b.Version && slices.Equal(a.Adapters, b.Adapters)
}

// Loaded returns what the engine holds, or nil.
func (e *Engine) Loaded() *endpoint.ModelSpec {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.holding
}
