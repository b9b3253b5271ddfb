// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package client

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/heathkeel/heathkeel/fleet"
	"github.com/heathkeel/heathkeel/problem"
	"github.com/heathkeel/heathkeel/router"
)

// Defaults of a Client.
const (
	// DefaultMaxAttempts is the default of Client.MaxAttempts.
	DefaultMaxAttempts = 4
	// defaultRetryDelay is the time between attempts when the answer gives none.
	defaultRetryDelay = 100 * time.Millisecond
)

// Client sends the requests of one workspace. Set the exported fields before use.
type Client struct {
	// Seeds are addresses of some hosts, which are asked until the first answer arrives.
	Seeds []string
	// Workspace is the full name of the workspace.
	Workspace string
	// HTTP sends the requests; nil means a client of its own. Its transport must not be
	// shared with requests that may be repeated silently.
	HTTP *http.Client
	// MaxAttempts is the largest number of attempts for one request; 0 means
	// DefaultMaxAttempts.
	MaxAttempts int

	once    sync.Once
	mu      sync.Mutex
	cached  fleet.Answer
	expires time.Time
}

// httpClient returns the client that sends the requests.
func (c *Client) httpClient() *http.Client {
	c.once.Do(func() {
		if c.HTTP == nil {
			c.HTTP = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
		}
	})
	return c.HTTP
}

// maxAttempts returns MaxAttempts or its default.
func (c *Client) maxAttempts() int {
	if c.MaxAttempts == 0 {
		return DefaultMaxAttempts
	}
	return c.MaxAttempts
}

// Addresses returns the hosts to use. It asks a host when the cached answer has expired. If
// no host answers, it returns the expired answer, which is better than none.
func (c *Client) Addresses(ctx context.Context) ([]fleet.Address, error) {
	c.mu.Lock()
	cached, fresh := c.cached, time.Now().Before(c.expires)
	c.mu.Unlock()
	if fresh {
		return cached.Addresses, nil
	}
	var candidates []string
	for _, a := range cached.Addresses {
		candidates = append(candidates, a.Address)
	}
	var lastErr error = problem.New(problem.NotReady, "set Seeds", "no host to ask")
	for _, h := range append(candidates, c.Seeds...) {
		answer, err := c.askHost(ctx, h)
		if err == nil {
			c.store(answer)
			return answer.Addresses, nil
		}
		lastErr = err
	}
	if len(cached.Addresses) > 0 {
		return cached.Addresses, nil
	}
	return nil, lastErr
}

// store caches an answer for its maximum age.
func (c *Client) store(ans fleet.Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cached = ans
	c.expires = time.Now().Add(time.Duration(ans.MaxAgeMS) * time.Millisecond)
}

// InvalidateAddresses expires the cached answer, so that the next request asks a host for
// addresses.
func (c *Client) InvalidateAddresses() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expires = time.Time{}
}

// addressTimeout is the timeout of an address request to one host.
const addressTimeout = 2 * time.Second

// askHost asks one host for addresses.
func (c *Client) askHost(ctx context.Context, host string) (fleet.Answer, error) {
	var ans fleet.Answer
	ctx, cancel := context.WithTimeout(ctx, addressTimeout)
	defer cancel()
	target := "http://" + host + router.PathAddress + "?workspace=" + url.QueryEscape(c.Workspace)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return ans, err
	}
	resp, err := c.httpClient().Do(req)
	if err != nil {
		return ans, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return ans, readProblem(resp)
	}
	if err := json.NewDecoder(resp.Body).Decode(&ans); err != nil {
		return ans, err
	}
	if len(ans.Addresses) == 0 {
		return ans, problem.New(problem.NotReady, "ask another host", "the answer names no host")
	}
	return ans, nil
}

// readProblem reads the problem in a response.
func readProblem(resp *http.Response) *problem.Problem {
	var p problem.Problem
	b, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	if json.Unmarshal(b, &p) != nil || p.Kind == "" {
		return problem.Lost(problem.BadAnswer, "", "look at the host's log", "status %s without a problem", resp.Status)
	}
	return &p
}

// pickAddress returns the address to use for attempt n; the first attempt uses the
// preferred one.
func pickAddress(addrs []fleet.Address, n int) fleet.Address { return addrs[n%len(addrs)] }

// newID makes an ID for a request to a host. A witnessed ID names a witness if the host has
// one; it is for requests that may not be repeated.
func newID(addr fleet.Address, witnessed bool) string {
	if witnessed && addr.OncePrefix != "" {
		return addr.OncePrefix + rand.Text()
	}
	return addr.Prefix + rand.Text()
}

// Outcome asks the known hosts in turn for the outcome of a request and returns the first
// answer.
func (c *Client) Outcome(ctx context.Context, id string) (*problem.Problem, error) {
	addrs, err := c.Addresses(ctx)
	if err != nil {
		return nil, err
	}
	for _, a := range addrs {
		var p *problem.Problem
		if p, err = c.outcomeAt(ctx, a.Address, id); err == nil {
			return p, nil
		}
	}
	return nil, fmt.Errorf("no host returned the outcome of request %s: %w; ask again", id, err)
}

// outcomeAt asks one host for the outcome of a request.
func (c *Client) outcomeAt(ctx context.Context, host, id string) (*problem.Problem, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*addressTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+host+router.PathOutcome+id, nil)
	if err != nil {
		return nil, err
	}
	resp, err := c.httpClient().Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	return readProblem(resp), nil
}

// waitBeforeRetry waits for the time that a problem asks for, or for defaultRetryDelay.
func waitBeforeRetry(ctx context.Context, p *problem.Problem) error {
	d := defaultRetryDelay
	if p != nil && p.RetryAfterMS > 0 {
		d = time.Duration(p.RetryAfterMS) * time.Millisecond
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
