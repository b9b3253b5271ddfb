// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/heathkeel/heathkeel/internal/site"
)

// streamEvents is the number of events of a stream.
const streamEvents = 12

// workspaceKeys returns the keys of the large and the small workspace in a generation of keys.
func workspaceKeys(generation int) [2]string {
	return [2]string{fmt.Sprint("large-key-", generation), fmt.Sprint("small-key-", generation)}
}

// The small workspace's quota in tokens: the rate per second and the burst.
const (
	smallRate  = 400
	smallBurst = 400
)

// newConfig returns a configuration with the example's routes and two workspaces.
func newConfig(version int, k [2]string) site.Config {
	c := site.Example()
	c.Version = version
	large := c.Tenants[0]
	large.Keys, large.PerS, large.Burst = []string{k[0]}, 1e6, 1e6
	small := large
	small.Name, small.Keys, small.PerS, small.Burst = "small", []string{k[1]}, smallRate, smallBurst
	c.Tenants = []site.Tenant{large, small}
	return c
}

// kind is a kind of request.
type kind struct {
	path       string
	repeatable bool
	stream     bool
}

// kinds are the kinds of requests that callers send.
var kinds = []kind{{"/push/", false, false}, {"/ask/", true, false}, {"/draft/", false, true}, {"/review/", true, true}}

// sentRequest is a request and its outcome, as its caller saw it.
type sentRequest struct {
	id         string
	kind       kind
	host       *host
	generation int
	small      bool
	// resumes and lastEvent say which stream the request resumes, and after which event.
	resumes         string
	lastEvent       int
	sentAt, endedAt time.Time
	callerLeft      bool // the caller disconnected at endedAt
	status          int
	body            string
	stamp           string
	complete        bool
	// duringStop is set if the host was being stopped when the request ended and nothing else
	// disturbed it.
	duringStop bool
	// hostUndisturbed is set if nothing had disturbed the host for the contact time when the
	// request ended.
	hostUndisturbed bool
	// slow is set if the caller reads the answer slowly, and burst if the request is part of a burst.
	slow, burst bool
}

// maxAnswer is the number of bytes after which callers stop reading an answer.
const maxAnswer = 1 << 20

// clients send requests until their context ends.
type clients struct {
	fleet *fleet
	// readerTries is how often a stream that breaks is asked for; 0 means readerTries.
	readerTries int

	mu         sync.Mutex
	generation int // of the current keys
	// withdrawn holds the time at which each generation of keys was withdrawn at the store.
	withdrawn map[int]time.Time
	sent      []*sentRequest
}

// requestTokens is the number of tokens that each request counts for.
const requestTokens = 40

// run sends the requests of one caller, which keeps connections open and reuses them.
func (c *clients) run(ctx context.Context, r *rand.Rand) {
	transport := &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true}
	defer transport.CloseIdleConnections()
	h := c.fleet.hosts[r.IntN(len(c.fleet.hosts))]
	for ctx.Err() == nil {
		if r.IntN(12) == 0 {
			h = c.fleet.hosts[r.IntN(len(c.fleet.hosts))]
		}
		s := c.nextRequest(h, r)
		leave := time.Duration(0)
		if r.IntN(10) == 0 {
			leave = time.Duration(1+r.IntN(250)) * time.Millisecond
		}
		c.do(transport, s, leave)
		if s.status != http.StatusOK {
			h = c.fleet.hosts[r.IntN(len(c.fleet.hosts))] // as a caller that avoids an address that failed
		}
		time.Sleep(time.Duration(r.IntN(60)) * time.Millisecond)
	}
}

// nextRequest creates and records the next request of a caller.
func (c *clients) nextRequest(h *host, r *rand.Rand) *sentRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := &sentRequest{id: fmt.Sprint("id-", len(c.sent)+1), kind: kinds[r.IntN(len(kinds))], host: h, generation: c.generation, small: r.IntN(4) == 0, sentAt: time.Now()}
	if c.generation > 0 && r.IntN(15) == 0 {
		s.generation-- // a caller that does not have the new key yet
	}
	c.sent = append(c.sent, s)
	return s
}

// oneTimeBody is a body that cannot be read again, so that the HTTP library repeats no request by
// itself.
type oneTimeBody struct{ io.Reader }

// do sends a request and waits for its answer. The caller disconnects after leave; 0 means never.
func (c *clients) do(t *http.Transport, s *sentRequest, leave time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if leave > 0 {
		ctx, cancel = context.WithTimeout(ctx, leave)
		defer cancel()
	}
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		s.endedAt = time.Now()
		s.callerLeft = leave > 0 && ctx.Err() != nil
		s.duringStop, s.hostUndisturbed = s.host.onlyStopping(s.sentAt), s.host.isUndisturbed(s.endedAt)
	}()
	k := workspaceKeys(s.generation)[0]
	if s.small {
		k = workspaceKeys(s.generation)[1]
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.host.front+s.kind.path+"x", oneTimeBody{strings.NewReader("body of " + s.id)})
	if err != nil {
		panic(err)
	}
	req.Host = site.HostName
	req.Header.Set("Heathkeel-Attempt-Id", s.id)
	req.Header.Set("Authorization", "Token "+k)
	req.Header.Set("Heathkeel-Token-Count", fmt.Sprintf("%d,%d", requestTokens/2, requestTokens/2))
	req.Header.Set("Heathkeel-Deadline-Ms", "8000")
	if s.resumes != "" {
		req.Header.Set("Resumes", s.resumes)
		req.Header.Set("Last-Event-Id", fmt.Sprint(s.lastEvent))
	}
	resp, err := t.RoundTrip(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	var body io.Reader = resp.Body
	if s.slow {
		body = &slowReader{body}
	}
	b, err := io.ReadAll(io.LimitReader(body, maxAnswer))
	c.mu.Lock()
	defer c.mu.Unlock()
	s.status, s.body, s.complete = resp.StatusCode, strings.TrimRight(string(b), site.Fill), err == nil && len(b) < maxAnswer
	s.stamp = resp.Header.Get("Heathkeel-Response-Stamp")
}

// currentGeneration returns the generation of the current keys.
func (c *clients) currentGeneration() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.generation
}

// rotateKeys makes callers use the next generation of keys.
func (c *clients) rotateKeys() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.generation++
}

// noteWithdrawn records that a generation of keys was withdrawn at the store.
func (c *clients) noteWithdrawn(generation int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.withdrawn[generation] = time.Now()
}

// requests returns all requests so far.
func (c *clients) requests() []*sentRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*sentRequest(nil), c.sent...)
}

// recent returns the latest requests.
func (c *clients) recent() []*sentRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*sentRequest(nil), c.sent[max(0, len(c.sent)-recentRequests):]...)
}

// recentRequests is large enough for the requests of the last seconds.
const recentRequests = 2000
