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
	// DefaultMaxAttempts bounds the tries of one request.
	DefaultMaxAttempts = 4
	// pause is the time between tries that the answer does not set.
	pause = 100 * time.Millisecond
)

// Client sends the requests of one workspace. Set the exported fields before use.
type Client struct {
	// Seeds are the addresses of some hosts, asked until the first answer.
	Seeds []string
	// Workspace is the full name of the workspace.
	Workspace string
	// HTTP does the calls; nil means a client of its own. Its transport must not
	// be shared with calls that may be repeated silently.
	HTTP *http.Client
	// MaxAttempts bounds the tries of one request; 0 means DefaultTries.
	MaxAttempts int

	once   sync.Once
	mu     sync.Mutex
	answer fleet.Answer
	until  time.Time
}

// httpClient returns the client that does the calls.
func (c *Client) httpClient() *http.Client {
	c.once.Do(func() {
		if c.HTTP == nil {
			c.HTTP = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
		}
	})
	return c.HTTP
}

// tries returns the bound on tries.
func (c *Client) tries() int {
	if c.MaxAttempts == 0 {
		return DefaultMaxAttempts
	}
	return c.MaxAttempts
}

// Addresses returns the hosts to use, asking anew when the answer is too old. If
// no host answers, an answer that is too old is better than none.
func (c *Client) Addresses(ctx context.Context) ([]fleet.Address, error) {
	c.mu.Lock()
	ans, fresh := c.answer, time.Now().Before(c.until)
	c.mu.Unlock()
	if fresh {
		return ans.Addresses, nil
	}
	var hosts []string
	for _, a := range ans.Addresses {
		hosts = append(hosts, a.Address)
	}
	var last error = problem.New(problem.NotReady, "set Seeds", "no host to ask")
	for _, h := range append(hosts, c.Seeds...) {
		got, err := c.ask(ctx, h)
		if err == nil {
			c.keep(got)
			return got.Addresses, nil
		}
		last = err
	}
	if len(ans.Addresses) > 0 {
		return ans.Addresses, nil
	}
	return nil, last
}

// keep stores an answer for its age.
func (c *Client) keep(ans fleet.Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answer = ans
	c.until = time.Now().Add(time.Duration(ans.MaxAgeMS) * time.Millisecond)
}

// InvalidateAddresses drops the answer, so that the next request asks anew.
func (c *Client) InvalidateAddresses() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.until = time.Time{}
}

// askTimeout bounds the question to one host.
const askTimeout = 2 * time.Second

// ask asks one host for addresses.
func (c *Client) ask(ctx context.Context, host string) (fleet.Answer, error) {
	var ans fleet.Answer
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	u := "http://" + host + router.PathAddress + "?workspace=" + url.QueryEscape(c.Workspace)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
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

// readProblem reads the problem in an answer.
func readProblem(resp *http.Response) *problem.Problem {
	var p problem.Problem
	b, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	if json.Unmarshal(b, &p) != nil || p.Kind == "" {
		return problem.Lost(problem.BadAnswer, "", "look at the host's log", "status %s without a problem", resp.Status)
	}
	return &p
}

// pick returns the address to use for try number n, the preferred one first.
func pick(list []fleet.Address, n int) fleet.Address { return list[n%len(list)] }

// newID makes an ID for a host: with a witness, if there is one, for what may not
// be repeated.
func newID(at fleet.Address, once bool) string {
	if once && at.OncePrefix != "" {
		return at.OncePrefix + rand.Text()
	}
	return at.Prefix + rand.Text()
}

// Outcome asks any host that answers what became of a request.
func (c *Client) Outcome(ctx context.Context, id string) (*problem.Problem, error) {
	list, err := c.Addresses(ctx)
	if err != nil {
		return nil, err
	}
	for _, a := range list {
		var p *problem.Problem
		if p, err = c.outcomeAt(ctx, a.Address, id); err == nil {
			return p, nil
		}
	}
	return nil, fmt.Errorf("no host told the outcome of %s: %w; ask again", id, err)
}

// outcomeAt asks one host what became of a request.
func (c *Client) outcomeAt(ctx context.Context, host, id string) (*problem.Problem, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*askTimeout)
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

// rest waits as long as a problem asks, or a short while.
func rest(ctx context.Context, p *problem.Problem) error {
	d := pause
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
