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
	"io"
	"net"
	"net/http"
	"strconv"

	"github.com/heathkeel/heathkeel/internal/jsoncall"
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
	return c.stream(req, call.ID)
}

// Resume implements Engine.
func (c *Client) Resume(ctx context.Context, id string, from int) (Stream, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.Base+PathStreams+id, nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set(HeaderResume, strconv.Itoa(from-1))
	return c.stream(req, id)
}

// stream sends a request whose answer is a stream.
func (c *Client) stream(req *http.Request, id string) (Stream, error) {
	resp, err := c.do(req)
	if err != nil {
		return nil, err
	}
	switch {
	case resp.StatusCode == http.StatusOK:
		return newEventStream(resp.Body, id), nil
	case resp.StatusCode == http.StatusNotFound && req.Method == http.MethodGet:
		err = ErrUnknownStream
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
	buf  *bufio.Reader
	id   string
	head []byte // how the data of an ordinary piece begins
	long []byte // a line that is longer than the buffer
}

// streamBuffer is the memory that a stream holds for reading, in bytes.
const streamBuffer = 4 << 10

// newEventStream returns the stream of a request.
func newEventStream(body io.ReadCloser, id string) *eventStream {
	quoted, _ := json.Marshal(id)
	return &eventStream{
		body: body, buf: bufio.NewReaderSize(body, streamBuffer), id: id,
		head: append(append([]byte(`{"id":`), quoted...), ','),
	}
}

// Parts of a stream's lines.
var (
	idField   = []byte("id: ")
	dataField = []byte("data: ")
	doneData  = []byte(DoneData)
	unended   = []byte(`"finish_reason":null`)
)

// Next implements Stream.
func (s *eventStream) Next() (Piece, error) {
	seq := -1
	for {
		line, err := s.line()
		if err != nil {
			return Piece{}, ErrLost
		}
		if id, ok := bytes.CutPrefix(line, idField); ok {
			n, err := strconv.Atoi(string(id))
			if err != nil {
				return Piece{}, ErrOutOfOrder
			}
			seq = n
			continue
		}
		data, ok := bytes.CutPrefix(line, dataField)
		if !ok {
			continue
		}
		if bytes.Equal(data, doneData) {
			return Piece{}, io.EOF
		}
		return s.piece(seq, data)
	}
}

// piece reads the data of one event. An ordinary piece, of this stream and not
// the last, is known by its begin and its null finish reason and not decoded: a
// quote inside a text is escaped, so that no text can look like that field.
func (s *eventStream) piece(seq int, data []byte) (Piece, error) {
	if bytes.HasPrefix(data, s.head) && bytes.Contains(data, unended) {
		return Piece{ID: s.id, Seq: seq, Data: data}, nil
	}
	return parseChunk(seq, data)
}

// line reads a line of at most maxLine bytes, without its end, valid until the next.
func (s *eventStream) line() ([]byte, error) {
	line, err := s.buf.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		s.long = s.long[:0]
		for errors.Is(err, bufio.ErrBufferFull) && len(s.long) <= maxLine {
			s.long = append(s.long, line...)
			line, err = s.buf.ReadSlice('\n')
		}
		s.long = append(s.long, line...)
		line = s.long
	}
	return bytes.TrimRight(line, "\r\n"), err
}

// More implements Stream. The empty line that ends an event does not count.
func (s *eventStream) More() bool {
	b, _ := s.buf.Peek(s.buf.Buffered())
	return len(bytes.Trim(b, "\r\n")) > 0
}

// parseChunk reads the data of one event.
func parseChunk(seq int, data []byte) (Piece, error) {
	var ch Chunk
	if err := json.Unmarshal(data, &ch); err != nil || len(ch.Choices) != 1 {
		return Piece{}, ErrOutOfOrder
	}
	p := Piece{ID: ch.ID, Seq: seq, Data: data}
	if f := ch.Choices[0].FinishReason; f != nil {
		p.Finish = *f
	}
	return p, nil
}

// Close implements Stream.
func (s *eventStream) Close() error { return s.body.Close() }

// AppendEvent appends p as a server-sent event to b, as the engine sent it if it
// did.
func AppendEvent(b []byte, p Piece, model string) []byte {
	data := p.Data
	if data == nil {
		data = encodeChunk(p.ID, p.Text, p.Finish, model)
	}
	b = append(b, idField...)
	b = strconv.AppendInt(b, int64(p.Seq), 10)
	b = append(b, '\n')
	b = append(b, dataField...)
	b = append(b, data...)
	return append(b, "\n\n"...)
}

// encodeChunk gives the JSON of one piece.
func encodeChunk(id, text, finish, model string) []byte {
	ch := Chunk{ID: id, Object: "text_completion", Model: model, Choices: []Choice{{Text: text}}}
	if finish != "" {
		ch.Choices[0].FinishReason = &finish
	}
	data, _ := json.Marshal(ch)
	return data
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
	req, err := jsoncall.NewRequest(ctx, method, c.Base+path, in)
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
		return ErrStaleToken
	default:
		return ErrRejected
	}
	if out == nil {
		return nil
	}
	return json.NewDecoder(resp.Body).Decode(out)
}
