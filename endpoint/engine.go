// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package endpoint

import (
	"context"
	"encoding/json"

	"github.com/rotisserie/eris"
)

// Errors that calls to endpoints return.
var (
	// ErrNotSent means that no byte of the request was sent, for instance because the
	// connection was refused. The request may be sent to another endpoint.
	ErrNotSent = eris.New("request not sent; choose another endpoint")
	// ErrLost means that the request was sent, but its answer was lost.
	ErrLost = eris.New("answer lost; resume the stream or report the outcome as unknown")
	// ErrRejected means that the endpoint refused the request and did not run it.
	ErrRejected = eris.New("endpoint refused the request; choose another endpoint or retry later")
	// ErrUnknownStream means that the endpoint does not have the stream to resume.
	ErrUnknownStream = eris.New("endpoint does not hold the stream; submit again under a new ID")
	// ErrWrongStream means that a piece belongs to another request.
	ErrWrongStream = eris.New("piece of another request; the answer was dropped")
	// ErrOutOfOrder means that a piece was repeated, missing, late or malformed.
	ErrOutOfOrder = eris.New("piece out of order; the answer was dropped")
	// ErrStaleToken means that an order had an older fencing token than an earlier order
	// that the engine obeyed.
	ErrStaleToken = eris.New("order of an older lease holder; read the lease again")
)

// Call is a request to an engine.
type Call struct {
	// ID is the ID of the stream; each piece has it.
	ID string
	// Model and Adapter are the model and the adapter to use.
	Model   string
	Adapter string
	// Prompt is the text to complete.
	Prompt string
	// MaxTokens is the largest length of the answer, in tokens.
	MaxTokens int
	// Priority is the rank of the tier; 0 is the highest tier.
	Priority int
}

// Piece is a part of an engine's answer.
type Piece struct {
	// ID is the ID of the stream that the piece belongs to.
	ID string
	// Seq is the number of the piece, counted from 0.
	Seq int
	// Text is the text of the token, unless Data has it.
	Text string
	// Data is the piece in JSON as the engine sent it, valid until the next piece is read;
	// nil for a piece from another source.
	Data []byte
	// Finish is the finish reason on the last piece, otherwise empty.
	Finish string
}

// Content returns the text of the token, decoded from Data if it is set.
func (p *Piece) Content() string {
	if p.Data == nil {
		return p.Text
	}
	var chunk Chunk
	if json.Unmarshal(p.Data, &chunk) != nil || len(chunk.Choices) != 1 {
		return ""
	}
	return chunk.Choices[0].Text
}

// Stream returns the pieces of one answer.
type Stream interface {
	// Next returns the next piece, or io.EOF after the last.
	Next() (Piece, error)
	// More reports whether another piece, or a part of one, is buffered.
	More() bool
	// Close stops reading; it does not cancel the request.
	Close() error
}

// CacheEvent reports that an engine has cached or evicted a block of a prompt.
type CacheEvent struct {
	// Seq numbers the events of an engine; a gap means that events were lost.
	Seq uint64 `json:"seq"`
	// Block is the chained hash of the block.
	Block uint64 `json:"block,string"`
	// Evicted means that the block was evicted.
	Evicted bool `json:"gone,omitempty"`
}

// ModelSpec is a version of a model with adapters, which an engine can load.
type ModelSpec struct {
	// Model and Version are the model's name and version.
	Model   string `json:"model"`
	Version string `json:"version"`
	// Adapters are the adapters loaded with the model.
	Adapters []string `json:"adapters,omitempty"`
}

// Report is the load report of an endpoint. It lags behind the endpoint's state.
type Report struct {
	// AgeMS is the age of the values, in milliseconds.
	AgeMS int64 `json:"age_ms"`
	// Running and Waiting are numbers of requests.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// PrefillTokens is the number of prompt tokens accepted but not yet computed.
	PrefillTokens int `json:"prefill_tokens"`
	// Slots is the number of requests that the engine runs at once.
	Slots int `json:"slots"`
	// StepUS is the duration of a step in microseconds, PrefillPerStep the number of prompt
	// tokens computed in a step.
	StepUS         int64 `json:"step_us"`
	PrefillPerStep int   `json:"prefill_per_step"`
	// Loaded is the loaded model and Loading the one being loaded; nil means none.
	Loaded  *ModelSpec `json:"holding,omitempty"`
	Loading *ModelSpec `json:"loading,omitempty"`
	// Role is "prefill", "decode", "both", or "drain" for an engine that takes no new
	// requests.
	Role string `json:"role"`
	// Token is the fencing token of the last order that the engine obeyed.
	Token uint64 `json:"token"`
	// Served and Errors count requests since the start of the engine.
	Served int64 `json:"served"`
	Errors int64 `json:"errors"`
	// Events are the cache events from the requested number on.
	Events []CacheEvent `json:"events,omitempty"`
	// NextEvent is the number of the next cache event.
	NextEvent uint64 `json:"next_event"`
}

// Order is the complete desired state of an engine.
type Order struct {
	// Token is the fencing token of the lease holder.
	Token uint64 `json:"token"`
	// Want is the model that the engine must load; nil means none.
	Want *ModelSpec `json:"want"`
	// Role is "prefill", "decode", "both", or "drain" for an engine that must take no new
	// requests.
	Role string `json:"role"`
	// Digest is the required digest of the loaded weights.
	Digest string `json:"digest,omitempty"`
}

// Engine is the interface of a model engine.
type Engine interface {
	// Generate sends a request. ErrNotSent and ErrRejected mean that it was not run,
	// ErrLost that it may have been run.
	Generate(ctx context.Context, call Call) (Stream, error)
	// Resume continues a stream at piece number from, or returns ErrUnknownStream.
	Resume(ctx context.Context, id string, from int) (Stream, error)
	// Cancel ends a stream; it returns no error for an unknown stream.
	Cancel(ctx context.Context, id string) error
	// Report returns the engine's load report with the cache events from number after on.
	Report(ctx context.Context, after uint64) (Report, error)
	// Order sets the desired state, or returns ErrStaleToken.
	Order(ctx context.Context, o Order) error
	// Export returns the KV cache of the blocks of a prompt; Import loads it into another
	// engine.
	Export(ctx context.Context, blocks []uint64) ([]uint64, error)
	Import(ctx context.Context, blocks []uint64) error
}
