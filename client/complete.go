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
	// Service and Tier say what it belongs to; an empty tier is the service's own.
	Service, Tier string
	// Model, Prompt and MaxTokens are the customary fields.
	Model, Prompt string
	MaxTokens     int
	// NoRepeat says that the request must not be run twice: one whose outcome is
	// unknown is reported and not resubmitted.
	NoRepeat bool
}

// Answer is a whole answer and how it came.
type Answer struct {
	// ID is the request's last ID and Endpoint where it ran.
	ID, Endpoint string
	// Text is the answer and Tokens the number of its pieces.
	Text   string
	Tokens int
	// FirstToken is the time to the first token.
	FirstToken time.Duration
	// Resumed and Resubmitted count what it took.
	Resumed, Resubmitted int
}

// attempt is one ID's way to an answer.
type attempt struct {
	c     *Client
	q     Completion
	id    string
	old   string
	start time.Time
	text  strings.Builder
	ans   Answer
}

// Complete sends a request and returns the whole answer, or a *problem.Problem
// that says what became of it.
func (c *Client) Complete(ctx context.Context, q Completion) (Answer, error) {
	start := time.Now()
	var last error
	var old string
	for n := range c.tries() {
		list, err := c.Addresses(ctx)
		if err != nil {
			return Answer{}, err
		}
		at := pick(list, n)
		a := &attempt{c: c, q: q, id: newID(at, q.NoRepeat), old: old, start: start}
		err = a.run(ctx, at.Address)
		if err == nil {
			a.ans.Text, a.ans.ID, a.ans.Resubmitted = a.text.String(), a.id, n
			return a.ans, nil
		}
		last = err
		p := problem.FromError(err)
		if !resubmit(p, q.NoRepeat) || ctx.Err() != nil {
			return a.ans, err
		}
		if p.Outcome == problem.Unknown {
			c.InvalidateAddresses()
		}
		old = a.id
		if err := rest(ctx, p); err != nil {
			return a.ans, last
		}
	}
	return Answer{}, last
}

// resubmit reports whether a request that ended with p may go out under a new ID.
func resubmit(p *problem.Problem, noRepeat bool) bool {
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

// errNotSent means that the host was not reached, so that the ID was never used.
var errNotSent = problem.New(problem.OwnerLost, "ask another host", "the host cannot be reached")

// run sends the request and follows its stream over hosts until it ends.
func (a *attempt) run(ctx context.Context, host string) error {
	err := a.submit(ctx, host)
	for n := range a.c.tries() {
		if err == nil || !errors.Is(err, errBroken) || ctx.Err() != nil {
			return err
		}
		if rest(ctx, nil) != nil {
			return ctx.Err()
		}
		err = a.resume(ctx, n)
	}
	if errors.Is(err, errBroken) {
		return problem.Lost(problem.OwnerLost, a.ans.Endpoint, "resubmit if running twice does no harm", "the stream broke too often")
	}
	return err
}

// errBroken means that the connection broke with the request possibly on its way.
var errBroken = errors.New("client: the connection broke")

// submit sends the request for the first time.
func (a *attempt) submit(ctx context.Context, host string) error {
	resp, err := a.post(ctx, host)
	if err != nil {
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			a.c.InvalidateAddresses()
			return errNotSent
		}
		return errBroken
	}
	return a.read(resp)
}

// post sends the request to a host.
func (a *attempt) post(ctx context.Context, host string) (*http.Response, error) {
	b, err := json.Marshal(endpoint.CompletionBody{
		Model: a.q.Model, Prompt: a.q.Prompt, MaxTokens: a.q.MaxTokens, Stream: true,
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
	req.Header.Set(router.HeaderWorkspace, a.c.Workspace)
	req.Header.Set(router.HeaderService, a.q.Service)
	req.Header.Set(router.HeaderTier, a.q.Tier)
	if a.old != "" {
		req.Header.Set(router.HeaderResubmits, a.old)
	}
	return a.c.httpClient().Do(req)
}

// resume goes on after a break: from the last piece if the endpoint is known,
// otherwise by sending the same ID again, which no host will run twice.
func (a *attempt) resume(ctx context.Context, n int) error {
	a.c.InvalidateAddresses()
	list, err := a.c.Addresses(ctx)
	if err != nil {
		return errBroken
	}
	host := pick(list, n).Address
	if a.ans.Endpoint == "" {
		resp, err := a.post(ctx, host)
		if err != nil {
			return errBroken
		}
		err = a.read(resp)
		// It runs, or it ran and the answer got lost on the way: the engine has it.
		if p := new(problem.Problem); errors.As(err, &p) && (p.Outcome == problem.Pending || p.Kind == problem.AlreadyRun) {
			a.ans.Endpoint = p.Endpoint
			return errBroken
		}
		return err
	}
	u := "http://" + host + router.PathStreams + a.ans.Endpoint + "/" + a.id
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return err
	}
	req.Header.Set(endpoint.HeaderResume, strconv.Itoa(a.ans.Tokens-1))
	resp, err := a.c.httpClient().Do(req)
	if err != nil {
		return errBroken
	}
	a.ans.Resumed++
	return a.read(resp)
}

// maxEvent bounds a line of a stream, in bytes.
const maxEvent = 128 << 10

// read takes the pieces of a stream, each checked to be the request's own and the next one.
func (a *attempt) read(resp *http.Response) error {
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return readProblem(resp)
	}
	a.ans.Endpoint = resp.Header.Get(router.HeaderEndpoint)
	sc := bufio.NewScanner(resp.Body)
	sc.Buffer(nil, maxEvent)
	seq, failed, finished := -1, false, false
	for sc.Scan() {
		line := sc.Text()
		data, isData := strings.CutPrefix(line, "data: ")
		switch {
		case strings.HasPrefix(line, "event: error"):
			failed = true
		case strings.HasPrefix(line, "id: "):
			seq, _ = strconv.Atoi(line[len("id: "):])
		case isData && failed:
			var p problem.Problem
			if json.Unmarshal([]byte(data), &p) != nil {
				return errBroken
			}
			return &p
		case isData && data == endpoint.DoneData && finished:
			return nil
		case isData && data != endpoint.DoneData:
			fin, err := a.piece(seq, data)
			if err != nil {
				return err
			}
			finished = finished || fin
		}
	}
	if err := sc.Err(); err != nil && errors.Is(err, io.EOF) {
		return errBroken
	}
	return errBroken
}

// piece takes one piece and reports whether it is the last.
func (a *attempt) piece(seq int, data string) (bool, error) {
	var ch endpoint.Chunk
	if err := json.Unmarshal([]byte(data), &ch); err != nil || len(ch.Choices) != 1 {
		return false, errBroken
	}
	if ch.ID != a.id || seq != a.ans.Tokens {
		return false, problem.Lost(problem.BadAnswer, a.ans.Endpoint, "resubmit if running twice does no harm", "a piece of another answer came")
	}
	if a.ans.Tokens == 0 {
		a.ans.FirstToken = time.Since(a.start)
	}
	a.ans.Tokens++
	a.text.WriteString(ch.Choices[0].Text)
	return ch.Choices[0].FinishReason != nil, nil
}
