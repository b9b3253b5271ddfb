// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"bufio"

	"github.com/heathkeel/heathkeel/endpoint"
	"github.com/heathkeel/heathkeel/problem"
	"github.com/heathkeel/heathkeel/router"
)

// Completion is a request to an engine.
type Completion struct {
	// Service and Tier are the service to call and the tier of the request; an empty tier
	// means the service's own.
	Service, Tier string
	// Model, Prompt and MaxTokens are the usual fields of a completion request.
	Model, Prompt string
	MaxTokens     int
	// NoRepeat means that the request must not be run twice: a request with an unknown
	// outcome is reported and not resubmitted.
	NoRepeat bool
}

// Answer is a whole answer, with how it was obtained.
type Answer struct {
	// ID is the last ID of the request, Endpoint the endpoint where it ran.
	ID, Endpoint string
	// Text is the text of the answer, Tokens the number of its pieces.
	Text   string
	Tokens int
	// FirstToken is the time from the start of the request to the first token.
	FirstToken time.Duration
	// Resumed and Resubmitted count how often the request was resumed and resubmitted.
	Resumed, Resubmitted int
}

// attempt is one attempt to complete a request, under one ID.
type attempt struct {
	client     *Client
	completion Completion
	id         string
	resubmits  string
	start      time.Time
	text       strings.Builder
	ans        Answer
}

// Complete sends a request and returns the whole answer, or a *problem.Problem with the
// outcome.
func (c *Client) Complete(ctx context.Context, completion Completion) (Answer, error) {
	start := time.Now()
	var lastErr error
	var resubmits string
	for n := range c.maxAttempts() {
		addrs, err := c.Addresses(ctx)
		if err != nil {
			return Answer{}, err
		}
		addr := pickAddress(addrs, n)
		a := &attempt{client: c, completion: completion, id: newID(addr, completion.NoRepeat), resubmits: resubmits, start: start}
		err = a.run(ctx, addr.Address)
		if err == nil {
			a.ans.Text, a.ans.ID, a.ans.Resubmitted = a.text.String(), a.id, n
			return a.ans, nil
		}
		lastErr = err
		p := problem.FromError(err)
		if !mayResubmit(p, completion.NoRepeat) || ctx.Err() != nil {
			return a.ans, err
		}
		if p.Outcome == problem.Unknown {
			c.InvalidateAddresses()
		}
		resubmits = a.id
		if err := waitBeforeRetry(ctx, p); err != nil {
			return a.ans, lastErr
		}
	}
	return Answer{}, lastErr
}

// mayResubmit reports whether a request that ended with p may be resubmitted under a new
// ID.
func mayResubmit(p *problem.Problem, noRepeat bool) bool {
	if p.Outcome == problem.Unknown {
		return !noRepeat
	}
	switch p.Kind {
	case problem.BadRequest, problem.BadID, problem.BodyTooLarge, problem.UnknownModel,
		problem.UnknownWorkspace, problem.MissingID, problem.Canceled:
		return false
	}
	return p.Outcome == problem.NotRun
}

// errNotSent means that the host could not be reached, so that the ID was never used.
var errNotSent = problem.New(problem.OwnerLost, "ask another host", "the host cannot be reached")

// run sends the request and reads its stream until the end, resuming it at other hosts.
func (a *attempt) run(ctx context.Context, host string) error {
	err := a.submit(ctx, host)
	for n := range a.client.maxAttempts() {
		if err == nil || !errors.Is(err, errConnBroken) || ctx.Err() != nil {
			return err
		}
		if waitBeforeRetry(ctx, nil) != nil {
			return ctx.Err()
		}
		err = a.resume(ctx, n)
	}
	if errors.Is(err, errConnBroken) {
		return problem.Lost(problem.OwnerLost, a.ans.Endpoint, "resubmit if running twice does no harm", "the stream broke too often")
	}
	return err
}

// errConnBroken means that the connection broke when the request may have been sent.
var errConnBroken = errors.New("client: connection broke before the answer was complete")

// submit sends the request for the first time.
func (a *attempt) submit(ctx context.Context, host string) error {
	resp, err := a.post(ctx, host)
	if err != nil {
		var opErr *net.OpError
		if errors.As(err, &opErr) && opErr.Op == "dial" {
			a.client.InvalidateAddresses()
			return errNotSent
		}
		return errConnBroken
	}
	return a.readStream(resp)
}

// post sends the request to a host.
func (a *attempt) post(ctx context.Context, host string) (*http.Response, error) {
	b, err := json.Marshal(endpoint.CompletionBody{
		Model: a.completion.Model, Prompt: a.completion.Prompt, MaxTokens: a.completion.MaxTokens, Stream: true,
	})
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+host+router.PathCompletions, bytes.NewReader(b))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(router.HeaderID, a.id)
	req.Header.Set(router.HeaderWorkspace, a.client.Workspace)
	req.Header.Set(router.HeaderService, a.completion.Service)
	req.Header.Set(router.HeaderTier, a.completion.Tier)
	if a.resubmits != "" {
		req.Header.Set(router.HeaderResubmits, a.resubmits)
	}
	return a.client.httpClient().Do(req)
}

// resume continues after a broken connection: from the last piece if the endpoint is known,
// otherwise by sending the same ID again, which no host will run twice.
func (a *attempt) resume(ctx context.Context, n int) error {
	a.client.InvalidateAddresses()
	addrs, err := a.client.Addresses(ctx)
	if err != nil {
		return errConnBroken
	}
	host := pickAddress(addrs, n).Address
	if a.ans.Endpoint == "" {
		resp, err := a.post(ctx, host)
		if err != nil {
			return errConnBroken
		}
		err = a.readStream(resp)
		// The request runs, or it ran and its answer was lost on the way: the engine has
		// the stream.
		if p := new(problem.Problem); errors.As(err, &p) && (p.Outcome == problem.Pending || p.Kind == problem.AlreadyRun) {
			a.ans.Endpoint = p.Endpoint
			return errConnBroken
		}
		return err
	}
	u := "http://" + host + router.PathStreams + a.ans.Endpoint + "/" + a.id
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return err
	}
	req.Header.Set(endpoint.HeaderResume, strconv.Itoa(a.ans.Tokens-1))
	resp, err := a.client.httpClient().Do(req)
	if err != nil {
		return errConnBroken
	}
	a.ans.Resumed++
	return a.readStream(resp)
}

// maxLineBytes is the largest length of a line of a stream.
const maxLineBytes = 128 << 10

// readStream reads the pieces of a stream and checks that each belongs to the request and
// is the next one.
func (a *attempt) readStream(resp *http.Response) error {
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return readProblem(resp)
	}
	a.ans.Endpoint = resp.Header.Get(router.HeaderEndpoint)
	scanner := bufio.NewScanner(resp.Body)
	scanner.Buffer(nil, maxLineBytes)
	seq, failed, finished := -1, false, false
	for scanner.Scan() {
		line := scanner.Text()
		data, isData := strings.CutPrefix(line, "data: ")
		switch {
		case strings.HasPrefix(line, "event: error"):
			failed = true
		case strings.HasPrefix(line, "id: "):
			seq, _ = strconv.Atoi(line[len("id: "):])
		case isData && failed:
			var p problem.Problem
			if json.Unmarshal([]byte(data), &p) != nil {
				return errConnBroken
			}
			return &p
		case isData && data == endpoint.DoneData && finished:
			return nil
		case isData && data != endpoint.DoneData:
			isLast, err := a.addPiece(seq, data)
			if err != nil {
				return err
			}
			finished = finished || isLast
		}
	}
	if err := scanner.Err(); err != nil && errors.Is(err, io.EOF) {
		return errConnBroken
	}
	return errConnBroken
}

// addPiece checks and adds one piece, and reports whether it is the last.
func (a *attempt) addPiece(seq int, data string) (bool, error) {
	var chunk endpoint.Chunk
	if err := json.Unmarshal([]byte(data), &chunk); err != nil || len(chunk.Choices) != 1 {
		return false, errConnBroken
	}
	if chunk.ID != a.id || seq != a.ans.Tokens {
		return false, problem.Lost(problem.BadAnswer, a.ans.Endpoint, "resubmit if running twice does no harm", "a piece of another answer came")
	}
	if a.ans.Tokens == 0 {
		a.ans.FirstToken = time.Since(a.start)
	}
	a.ans.Tokens++
	a.text.WriteString(chunk.Choices[0].Text)
	return chunk.Choices[0].FinishReason != nil, nil
}
