// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package endpoint

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
)

// The paths and fields below are the whole wire format of engines; the stand-in
// uses them too.
const (
	// PathCompletions takes requests in the customary completion format.
	PathCompletions = "/v1/completions"
	// PathStreams is followed by a stream's ID: GET resumes, DELETE cancels.
	PathStreams = "/v1/streams/"
	// PathLoad gives the report; the query field "after" numbers the first cache event.
	PathLoad = "/load"
	// PathOrders takes orders.
	PathOrders = "/orders"
	// PathCache exports (GET) and imports (PUT) KV cache.
	PathCache = "/cache"
	// HeaderRequestID carries the stream's ID.
	HeaderRequestID = "X-Request-Id"
	// HeaderResume carries the number of the last piece received.
	HeaderResume = "Last-Event-ID"
)

// CompletionBody is a request in the customary completion format.
type CompletionBody struct {
	// Model, Prompt, MaxTokens and Stream are the customary fields.
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens,omitempty"`
	Stream    bool   `json:"stream,omitempty"`
	// Adapter and Priority are extensions that engines honour.
	Adapter  string `json:"adapter,omitempty"`
	Priority int    `json:"priority,omitempty"`
}

// Choice is the only choice of a chunk.
type Choice struct {
	// Index is always 0.
	Index int `json:"index"`
	// Text is the token's text or the whole answer.
	Text string `json:"text"`
	// FinishReason is null until the end.
	FinishReason *string `json:"finish_reason"`
}

// Chunk is the data of one server-sent event, or a whole answer.
type Chunk struct {
	// ID is the request's ID.
	ID string `json:"id"`
	// Object is "text_completion".
	Object string `json:"object"`
	// Model is the model that answers.
	Model string `json:"model,omitempty"`
	// Choices has one member.
	Choices []Choice `json:"choices"`
}

// DoneData ends a stream.
const DoneData = "[DONE]"

// maxLine is the longest line of a stream, in bytes; it bounds what one stream may hold.
const maxLine = 64 << 10

// Client speaks to one engine.
type Client struct {
	// Base is the engine's address, such as "http://127.0.0.1:9000".
	Base string
	// HTTP does the calls; nil means http.DefaultClient.
	HTTP *http.Client
}

// do sends a request; a failure to connect is ErrNotSent, any other ErrLost.
func (c *Client) do(req *http.Request) (*http.Response, error) {
	hc := c.HTTP
	if hc == nil {
		hc = http.DefaultClient
	}
	resp, err := hc.Do(req)
	if err == nil {
		return resp, nil
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return nil, ErrNotSent
	}
	return nil, ErrLost
}

// Generate implements Engine.
func (c *Client) Generate(ctx context.Context, call Call) (Stream, error) {
	b, err := json.Marshal(CompletionBody{
		Model: call.Model, Prompt: call.Prompt, MaxTokens: call.MaxTokens,
		Stream: true, Adapter: call.Adapter, Priority: call.Priority,
	})
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.Base+PathCompletions, bytes.NewReader(b))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(HeaderRequestID, call.ID)
	return c.stream(req)
}

// Resume implements Engine.
func (c *Client) Resume(ctx context.Context, id string, from int) (Stream, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.Base+PathStreams+id, nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set(HeaderResume, strconv.Itoa(from-1))
	return c.stream(req)
}

// stream sends a request whose answer is a stream.
func (c *Client) stream(req *http.Request) (Stream, error) {
	resp, err := c.do(req)
	if err != nil {
		return nil, err
	}
	switch {
	case resp.StatusCode == http.StatusOK:
		sc := bufio.NewScanner(resp.Body)
		sc.Buffer(make([]byte, 0, 1024), maxLine)
		return &eventStream{body: resp.Body, scan: sc}, nil
	case resp.StatusCode == http.StatusNotFound && req.Method == http.MethodGet:
		err = ErrNoStream
	case resp.StatusCode < 500 || resp.StatusCode == http.StatusServiceUnavailable:
		err = ErrRejected
	default:
		err = ErrLost
	}
	_ = resp.Body.Close()
	return nil, err
}

// eventStream reads server-sent events.
type eventStream struct {
	body io.ReadCloser
	scan *bufio.Scanner
}

// Next implements Stream.
func (s *eventStream) Next() (Piece, error) {
	seq := -1
	for s.scan.Scan() {
		line := s.scan.Text()
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			n, err := strconv.Atoi(id)
			if err != nil {
				return Piece{}, ErrOrder
			}
			seq = n
			continue
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == DoneData {
			return Piece{}, io.EOF
		}
		return parseChunk(seq, data)
	}
	return Piece{}, ErrLost
}

// parseChunk reads the data of one event.
func parseChunk(seq int, data string) (Piece, error) {
	var ch Chunk
	if err := json.Unmarshal([]byte(data), &ch); err != nil || len(ch.Choices) != 1 {
		return Piece{}, ErrOrder
	}
	p := Piece{ID: ch.ID, Seq: seq, Text: ch.Choices[0].Text}
	if f := ch.Choices[0].FinishReason; f != nil {
		p.Finish = *f
	}
	return p, nil
}

// Close implements Stream.
func (s *eventStream) Close() error { return s.body.Close() }

// AppendEvent appends p as a server-sent event to b.
func AppendEvent(b []byte, p Piece, model string) []byte {
	ch := Chunk{ID: p.ID, Object: "text_completion", Model: model, Choices: []Choice{{Text: p.Text}}}
	if p.Finish != "" {
		ch.Choices[0].FinishReason = &p.Finish
	}
	data, _ := json.Marshal(ch)
	b = fmt.Appendf(b, "id: %d\ndata: ", p.Seq)
	b = append(b, data...)
	return append(b, "\n\n"...)
}

// Cancel implements Engine.
func (c *Client) Cancel(ctx context.Context, id string) error {
	return c.plain(ctx, http.MethodDelete, PathStreams+id, nil, nil)
}

// Report implements Engine.
func (c *Client) Report(ctx context.Context, after uint64) (Report, error) {
	var r Report
	return r, c.plain(ctx, http.MethodGet, PathLoad+"?after="+strconv.FormatUint(after, 10), nil, &r)
}

// Order implements Engine.
func (c *Client) Order(ctx context.Context, o Order) error {
	return c.plain(ctx, http.MethodPost, PathOrders, o, nil)
}

// Export implements Engine.
func (c *Client) Export(ctx context.Context, blocks []uint64) ([]uint64, error) {
	var out []uint64
	return out, c.plain(ctx, http.MethodPost, PathCache, blocks, &out)
}

// Import implements Engine.
func (c *Client) Import(ctx context.Context, blocks []uint64) error {
	return c.plain(ctx, http.MethodPut, PathCache, blocks, nil)
}

// plain sends a request with JSON in and out.
func (c *Client) plain(ctx context.Context, method, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return err
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.Base+path, body)
	if err != nil {
		return err
	}
	resp, err := c.do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusConflict:
		return ErrStale
	default:
		return ErrRejected
	}
	if out == nil {
		return nil
	}
	return json.NewDecoder(resp.Body).Decode(out)
}
