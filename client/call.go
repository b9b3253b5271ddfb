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
	// Service and Tier are the service to call and the tier of the call; an empty tier
	// means the service's own.
	Service, Tier string
	// Method, Path, Header and Body are forwarded; Path begins with a slash.
	Method, Path string
	Header       http.Header
	Body         []byte
	// NoRepeat means that the call must not be run twice: a call with an unknown outcome is
	// reported and not sent again.
	NoRepeat bool
	// NoWitness leaves out the witness, for services with witness: false in the settings.
	// Then the outcome of a call is unknown if its host dies.
	NoWitness bool
}

// CallAnswer is the answer of a plain service.
type CallAnswer struct {
	// ID is the last ID of the call, Endpoint the endpoint where it ran.
	ID, Endpoint string
	// Status, Header and Body are those of the service's response.
	Status int
	Header http.Header
	Body   []byte
}

// Do makes a call and returns its whole answer, or a *problem.Problem with the outcome.
// With NoRepeat the service runs the call at most once.
func (c *Client) Do(ctx context.Context, call Call) (CallAnswer, error) {
	var lastErr error
	var resubmits string
	for n := range c.maxAttempts() {
		addrs, err := c.Addresses(ctx)
		if err != nil {
			return CallAnswer{}, err
		}
		addr := pickAddress(addrs, n)
		id := newID(addr, call.NoRepeat && !call.NoWitness)
		ans, err := c.callOnce(ctx, addr.Address, id, resubmits, call)
		if err == nil {
			return ans, nil
		}
		lastErr = err
		p := problem.FromError(err)
		if !mayResubmit(p, call.NoRepeat) || ctx.Err() != nil {
			return CallAnswer{ID: id}, err
		}
		resubmits = id
		if waitBeforeRetry(ctx, p) != nil {
			break
		}
	}
	return CallAnswer{}, lastErr
}

// callOnce makes a call under one ID. If the connection breaks, it asks for the outcome.
func (c *Client) callOnce(ctx context.Context, host, id, resubmits string, call Call) (CallAnswer, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+host+router.PathCall+call.Service+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return CallAnswer{}, err
	}
	for k, v := range call.Header {
		req.Header[k] = v
	}
	req.Header.Set(router.HeaderID, id)
	req.Header.Set(router.HeaderWorkspace, c.Workspace)
	if call.Tier != "" {
		req.Header.Set(router.HeaderTier, call.Tier)
	}
	if resubmits != "" {
		req.Header.Set(router.HeaderResubmits, resubmits)
	}
	resp, err := c.httpClient().Do(req)
	var opErr *net.OpError
	switch {
	case err == nil:
	case errors.As(err, &opErr) && opErr.Op == "dial":
		c.InvalidateAddresses()
		return CallAnswer{}, errNotSent
	default:
		return CallAnswer{}, c.resolveOutcome(ctx, id)
	}
	defer resp.Body.Close()
	if resp.Header.Get(problem.OutcomeHeader) != "" {
		return CallAnswer{}, readProblem(resp)
	}
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return CallAnswer{}, c.resolveOutcome(ctx, id)
	}
	return CallAnswer{
		ID: id, Endpoint: resp.Header.Get(router.HeaderEndpoint),
		Status: resp.StatusCode, Header: resp.Header, Body: b,
	}, nil
}

// resolveOutcome asks for the outcome of a call whose connection broke and returns it as a
// problem.
func (c *Client) resolveOutcome(ctx context.Context, id string) error {
	c.InvalidateAddresses()
	last := problem.Lost(problem.OwnerLost, "", "ask again with Outcome", "no host told what became of the call")
	for range c.maxAttempts() {
		p, err := c.Outcome(ctx, id)
		if err == nil {
			p.RequestID = id
			last = p
			if p.Outcome != problem.Pending && p.Kind != problem.WitnessLost {
				return p
			}
		}
		if waitBeforeRetry(ctx, nil) != nil {
			break
		}
	}
	if last.Outcome == problem.Pending {
		last.Outcome = problem.Unknown
	}
	return last
}
