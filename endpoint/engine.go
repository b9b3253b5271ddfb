// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package endpoint

import (
	"context"
	"encoding/json"

	"github.com/rotisserie/eris"
)

// Errors of endpoints.
var (
	// ErrNotSent means that no byte of the request was sent, for instance
	// because the connection was refused; it may go elsewhere.
	ErrNotSent = eris.New("request not sent; choose another endpoint")
	// ErrLost means that the request was sent and its answer was lost.
	ErrLost = eris.New("answer lost; resume the stream or report the outcome as unknown")
	// ErrRejected means that the endpoint refused the request without running it.
	ErrRejected = eris.New("endpoint refused the request; choose another endpoint or retry later")
	// ErrUnknownStream means that the endpoint does not know the stream to resume.
	ErrUnknownStream = eris.New("endpoint does not hold the stream; submit again under a new ID")
	// ErrWrongStream means that a piece belongs to another request.
	ErrWrongStream = eris.New("piece of another request; the answer was dropped")
	// ErrOutOfOrder means that a piece was repeated, missing or late.
	ErrOutOfOrder = eris.New("piece out of order; the answer was dropped")
	// ErrStaleToken means that an order carried an older fencing token than one obeyed before.
	ErrStaleToken = eris.New("order of an older lease holder; read the lease again")
)

// Call is a request to an engine.
type Call struct {
	// ID names the stream; pieces carry it.
	ID string
	// Model and Adapter say what is asked.
	Model   string
	Adapter string
	// Prompt is the text to complete.
	Prompt string
	// MaxTokens bounds the answer, in tokens.
	MaxTokens int
	// Priority is the tier's rank, 0 the highest.
	Priority int
}

// Piece is a part of an engine's answer.
type Piece struct {
	// ID is the stream it belongs to.
	ID string
	// Seq counts pieces from 0.
	Seq int
	// Text is the token's text, unless Data has it.
	Text string
	// Data is the piece as the engine sent it, in JSON, valid until the next
	// piece is read; nil for a piece that came otherwise.
	Data []byte
	// Finish is the reason of the end on the last piece, otherwise empty.
	Finish string
}

// Content returns the token's text, decoding Data if need be.
func (p *Piece) Content() string {
	if p.Data == nil {
		return p.Text
	}
	var ch Chunk
	if json.Unmarshal(p.Data, &ch) != nil || len(ch.Choices) != 1 {
		return ""
	}
	return ch.Choices[0].Text
}

// Stream gives the pieces of one answer.
type Stream interface {
	// Next returns the next piece, or io.EOF after the last.
	Next() (Piece, error)
	// More reports whether another piece, or a part of one, is at hand.
	More() bool
	// Close ends the reading; it does not cancel the request.
	Close() error
}

// CacheEvent tells that an engine holds a prompt block or no longer does.
type CacheEvent struct {
	// Seq numbers the events of an engine; a gap means that some were lost.
	Seq uint64 `json:"seq"`
	// Block is the block's chained hash.
	Block uint64 `json:"block,string"`
	// Evicted is true if the block was evicted.
	Evicted bool `json:"gone,omitempty"`
}

// ModelSpec is a model version that an engine holds.
type ModelSpec struct {
	// Model and Version name it.
	Model   string `json:"model"`
	Version string `json:"version"`
	// Adapters are loaded beside it.
	Adapters []string `json:"adapters,omitempty"`
}

// Report is an engine's account of itself; it lags.
type Report struct {
	// AgeMS is how long ago the figures were taken, in milliseconds.
	AgeMS int64 `json:"age_ms"`
	// Running and Waiting count requests.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// PrefillTokens is the number of prompt tokens accepted and not yet computed.
	PrefillTokens int `json:"prefill_tokens"`
	// Slots is the number of requests that run at once.
	Slots int `json:"slots"`
	// StepUS is the time of a step in microseconds, and PrefillPerStep the
	// prompt tokens computed in one.
	StepUS         int64 `json:"step_us"`
	PrefillPerStep int   `json:"prefill_per_step"`
	// Loaded is what it holds and Loading what it is loading, if anything.
	Loaded  *ModelSpec `json:"holding,omitempty"`
	Loading *ModelSpec `json:"loading,omitempty"`
	// Role is "prefill", "decode" or "both".
	Role string `json:"role"`
	// Token is the fencing token last obeyed.
	Token uint64 `json:"token"`
	// Served and Errors count requests since the engine's start.
	Served int64 `json:"served"`
	Errors int64 `json:"errors"`
	// Events are cache events after the number asked for.
	Events []CacheEvent `json:"events,omitempty"`
	// NextEvent is the number of the next event.
	NextEvent uint64 `json:"next_event"`
}

// Order is the whole desired state of an engine.
type Order struct {
	// Token is the fencing token of the lease holder.
	Token uint64 `json:"token"`
	// Want is what the engine shall hold; nil means nothing.
	Want *ModelSpec `json:"want"`
	// Role is "prefill", "decode" or "both".
	Role string `json:"role"`
	// Digest is the digest that the loaded weights must have.
	Digest string `json:"digest,omitempty"`
}

// Engine is a model engine.
type Engine interface {
	// Generate sends a request: ErrNotSent and ErrRejected mean that it was not
	// run, ErrLost that it may have been.
	Generate(ctx context.Context, call Call) (Stream, error)
	// Resume continues a stream from piece number from, or returns ErrNoStream.
	Resume(ctx context.Context, id string, from int) (Stream, error)
	// Cancel ends a stream; an unknown one is no error.
	Cancel(ctx context.Context, id string) error
	// Report returns the engine's account with cache events from number after on.
	Report(ctx context.Context, after uint64) (Report, error)
	// Order gives the desired state, or returns ErrStale.
	Order(ctx context.Context, o Order) error
	// Export returns the KV cache of a prompt's blocks, which Import takes elsewhere.
	Export(ctx context.Context, blocks []uint64) ([]uint64, error)
	Import(ctx context.Context, blocks []uint64) error
}
