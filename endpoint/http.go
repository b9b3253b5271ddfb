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
	"github.com/heathkeel/heathkeel/internal/respcheck"
)

// The paths and fields below are the whole wire format of engines. The fake engine in
// internal/fake uses them too.
const (
	// PathCompletions accepts requests in the usual completion format.
	PathCompletions = "/v1/completions"
	// PathStreams is followed by the ID of a stream: GET resumes it, DELETE cancels it.
	PathStreams = "/v1/streams/"
	// PathLoad returns the report; the query parameter "after" is the number of the first
	// cache event to return.
	PathLoad = "/load"
	// PathOrders accepts orders.
	PathOrders = "/orders"
	// PathCache exports (POST) and imports (PUT) KV cache.
	PathCache = "/cache"
	// HeaderRequestID is the header with the ID of the stream.
	HeaderRequestID = "X-Request-Id"
	// HeaderResume is the header with the number of the last piece received.
	HeaderResume = "Last-Event-ID"
)

// CompletionBody is a request in the usual completion format.
type CompletionBody struct {
	// Model, Prompt, MaxTokens and Stream are the usual fields.
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens,omitempty"`
	Stream    bool   `json:"stream,omitempty"`
	// Adapter and Priority are extensions that engines support.
	Adapter  string `json:"adapter,omitempty"`
	Priority int    `json:"priority,omitempty"`
}

// Choice is the only choice of a chunk.
type Choice struct {
	// Index is always 0.
	Index int `json:"index"`
	// Text is the text of the token, or the whole answer.
	Text string `json:"text"`
	// FinishReason is null except at the end of the answer.
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
	// Choices has exactly one element.
	Choices []Choice `json:"choices"`
}

// DoneData is the data of the last event of a stream.
const DoneData = "[DONE]"

// maxLineBytes is the largest length of a line of a stream; it limits the memory of a
// stream.
const maxLineBytes = 64 << 10

// Client is the HTTP client of one engine.
type Client struct {
	// Base is the base URL of the engine, such as "http://127.0.0.1:9000".
	Base string
	// HTTP sends the requests; nil means http.DefaultClient.
	HTTP *http.Client
}

// send sends a request. It returns ErrNotSent if it cannot connect, and ErrLost for any
// other failure, such as a response that is none of HTTP.
func (c *Client) send(req *http.Request) (*http.Response, error) {
	httpClient := c.HTTP
	if httpClient == nil {
		httpClient = http.DefaultClient
	}
	resp, err := httpClient.Do(req)
	if err == nil && respcheck.Head(resp) != nil {
		_ = resp.Body.Close() // nothing of it is used
		return nil, ErrLost
	}
	if err == nil {
		return resp, nil
	}
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
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
	return c.openStream(req, call.ID)
}

// Resume implements Engine.
func (c *Client) Resume(ctx context.Context, id string, from int) (Stream, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.Base+PathStreams+id, nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set(HeaderResume, strconv.Itoa(from-1))
	return c.openStream(req, id)
}

// openStream sends a request whose answer is a stream.
func (c *Client) openStream(req *http.Request, id string) (Stream, error) {
	resp, err := c.send(req)
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

// eventStream reads a stream of server-sent events.
type eventStream struct {
	body     io.ReadCloser
	buf      *bufio.Reader
	id       string
	prefix   []byte // first bytes of the data of a piece of this stream
	longLine []byte // buffer for lines longer than buf
}

// streamBufferSize is the size of the read buffer of a stream, in bytes.
const streamBufferSize = 4 << 10

// newEventStream returns a stream that reads the answer to the request with an ID.
func newEventStream(body io.ReadCloser, id string) *eventStream {
	quotedID, _ := json.Marshal(id)
	return &eventStream{
		body: body, buf: bufio.NewReaderSize(body, streamBufferSize), id: id,
		prefix: append(append([]byte(`{"id":`), quotedID...), ','),
	}
}

// Parts of the lines of a stream.
var (
	idField    = []byte("id: ")
	dataField  = []byte("data: ")
	doneData   = []byte(DoneData)
	unfinished = []byte(`"finish_reason":null`)
)

// Next implements Stream.
func (s *eventStream) Next() (Piece, error) {
	seq := -1
	for {
		line, err := s.readLine()
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
		return s.parsePiece(seq, data)
	}
}

// parsePiece parses the data of one event. It does not decode a piece of this stream that
// is not the last one: it recognizes such a piece by its first bytes and its null finish
// reason. Quotes in a text are escaped, so that no text can look like that field.
func (s *eventStream) parsePiece(seq int, data []byte) (Piece, error) {
	if bytes.HasPrefix(data, s.prefix) && bytes.Contains(data, unfinished) {
		return Piece{ID: s.id, Seq: seq, Data: data}, nil
	}
	return parseChunk(seq, data)
}

// readLine returns a line of at most maxLineBytes without its line end. The line is valid
// until the next call.
func (s *eventStream) readLine() ([]byte, error) {
	line, err := s.buf.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		s.longLine = s.longLine[:0]
		for errors.Is(err, bufio.ErrBufferFull) && len(s.longLine) <= maxLineBytes {
			s.longLine = append(s.longLine, line...)
			line, err = s.buf.ReadSlice('\n')
		}
		s.longLine = append(s.longLine, line...)
		line = s.longLine
	}
	return bytes.TrimRight(line, "\r\n"), err
}

// More implements Stream. It ignores the empty line that ends an event.
func (s *eventStream) More() bool {
	b, _ := s.buf.Peek(s.buf.Buffered())
	return len(bytes.Trim(b, "\r\n")) > 0
}

// parseChunk decodes the data of one event.
func parseChunk(seq int, data []byte) (Piece, error) {
	var chunk Chunk
	if err := json.Unmarshal(data, &chunk); err != nil || len(chunk.Choices) != 1 {
		return Piece{}, ErrOutOfOrder
	}
	p := Piece{ID: chunk.ID, Seq: seq, Data: data}
	if f := chunk.Choices[0].FinishReason; f != nil {
		p.Finish = *f
	}
	return p, nil
}

// Close implements Stream.
func (s *eventStream) Close() error { return s.body.Close() }

// AppendEvent appends p to b as a server-sent event, with the engine's own data if p has
// it.
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

// encodeChunk returns the JSON of one piece.
func encodeChunk(id, text, finish, model string) []byte {
	chunk := Chunk{ID: id, Object: "text_completion", Model: model, Choices: []Choice{{Text: text}}}
	if finish != "" {
		chunk.Choices[0].FinishReason = &finish
	}
	data, _ := json.Marshal(chunk)
	return data
}

// Cancel implements Engine.
func (c *Client) Cancel(ctx context.Context, id string) error {
	return c.callJSON(ctx, http.MethodDelete, PathStreams+id, nil, nil)
}

// Report implements Engine.
func (c *Client) Report(ctx context.Context, after uint64) (Report, error) {
	var r Report
	return r, c.callJSON(ctx, http.MethodGet, PathLoad+"?after="+strconv.FormatUint(after, 10), nil, &r)
}

// Order implements Engine.
func (c *Client) Order(ctx context.Context, o Order) error {
	return c.callJSON(ctx, http.MethodPost, PathOrders, o, nil)
}

// Export implements Engine.
func (c *Client) Export(ctx context.Context, blocks []uint64) ([]uint64, error) {
	var out []uint64
	return out, c.callJSON(ctx, http.MethodPost, PathCache, blocks, &out)
}

// Import implements Engine.
func (c *Client) Import(ctx context.Context, blocks []uint64) error {
	return c.callJSON(ctx, http.MethodPut, PathCache, blocks, nil)
}

// callJSON sends a request with an optional JSON body and decodes the JSON answer.
func (c *Client) callJSON(ctx context.Context, method, path string, in, out any) error {
	req, err := jsoncall.NewRequest(ctx, method, c.Base+path, in)
	if err != nil {
		return err
	}
	resp, err := c.send(req)
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
	return jsoncall.Decode(resp.Body, out)
}
