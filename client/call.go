// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package client

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"

	"github.com/heathkeel/heathkeel/problem"
	"github.com/heathkeel/heathkeel/router"
)

// Call is a call to a plain service.
type Call struct {
	// Service and Tier say what it belongs to; an empty tier is the service's own.
	Service, Tier string
	// Method, Path, Header and Body are passed on; Path begins with a slash.
	Method, Path string
	Header       http.Header
	Body         []byte
	// NoRepeat says that the call must not be run twice: one whose outcome is
	// unknown is reported and not made again.
	NoRepeat bool
	// NoWitness leaves the witness out, for services set witness: false: then
	// nobody knows what became of a call whose host died.
	NoWitness bool
}

// CallAnswer is the answer of a plain service.
type CallAnswer struct {
	// ID is the call's last ID and Endpoint where it ran.
	ID, Endpoint string
	// Status, Header and Body are the service's.
	Status int
	Header http.Header
	Body   []byte
}

// Do makes a call and returns its whole answer, or a *problem.Problem that says
// what became of it. With NoRepeat the service runs it at most once.
func (c *Client) Do(ctx context.Context, q Call) (CallAnswer, error) {
	var last error
	var old string
	for n := range c.tries() {
		list, err := c.Addresses(ctx)
		if err != nil {
			return CallAnswer{}, err
		}
		at := pick(list, n)
		id := newID(at, q.NoRepeat && !q.NoWitness)
		ans, err := c.callOnce(ctx, at.Address, id, old, q)
		if err == nil {
			return ans, nil
		}
		last = err
		p := problem.FromError(err)
		if !resubmit(p, q.NoRepeat) || ctx.Err() != nil {
			return CallAnswer{ID: id}, err
		}
		old = id
		if rest(ctx, p) != nil {
			break
		}
	}
	return CallAnswer{}, last
}

// callOnce makes a call under one ID; if the connection breaks it asks what became of it.
func (c *Client) callOnce(ctx context.Context, host, id, old string, q Call) (CallAnswer, error) {
	req, err := http.NewRequestWithContext(ctx, q.Method, "http://"+host+router.PathCall+q.Service+q.Path, bytes.NewReader(q.Body))
	if err != nil {
		return CallAnswer{}, err
	}
	for k, v := range q.Header {
		req.Header[k] = v
	}
	req.Header.Set(router.HeaderID, id)
	req.Header.Set(router.HeaderWorkspace, c.Workspace)
	if q.Tier != "" {
		req.Header.Set(router.HeaderTier, q.Tier)
	}
	if old != "" {
		req.Header.Set(router.HeaderResubmits, old)
	}
	resp, err := c.httpClient().Do(req)
	var op *net.OpError
	switch {
	case err == nil:
	case errors.As(err, &op) && op.Op == "dial":
		c.InvalidateAddresses()
		return CallAnswer{}, errNotSent
	default:
		return CallAnswer{}, c.settle(ctx, id)
	}
	defer resp.Body.Close()
	if resp.Header.Get(problem.OutcomeHeader) != "" {
		return CallAnswer{}, readProblem(resp)
	}
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return CallAnswer{}, c.settle(ctx, id)
	}
	return CallAnswer{
		ID: id, Endpoint: resp.Header.Get(router.HeaderEndpoint),
		Status: resp.StatusCode, Header: resp.Header, Body: b,
	}, nil
}

// settle finds what became of a call whose connection broke.
func (c *Client) settle(ctx context.Context, id string) error {
	c.InvalidateAddresses()
	last := problem.Lost(problem.OwnerLost, "", "ask again with Outcome", "no host told what became of the call")
	for range c.tries() {
		p, err := c.Outcome(ctx, id)
		if err == nil {
			p.RequestID = id
			last = p
			if p.Outcome != problem.Pending && p.Kind != problem.WitnessLost {
				return p
			}
		}
		if rest(ctx, nil) != nil {
			break
		}
	}
	if last.Outcome == problem.Pending {
		last.Outcome = problem.Unknown
	}
	return last
}
