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

// events is the length of streams.
const events = 12

// keys are the keys of the workspaces in a generation of the configuration.
func keys(generation int) [2]string {
	return [2]string{fmt.Sprint("large-key-", generation), fmt.Sprint("small-key-", generation)}
}

// The small workspace's amount, in tokens: a rate, and a burst above it.
const (
	smallRate  = 400
	smallBurst = 400
)

// config is a configuration of the example's routes with two workspaces.
func config(version int, k [2]string) site.Config {
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

// kinds are those that callers send.
var kinds = []kind{{"/push/", false, false}, {"/ask/", true, false}, {"/draft/", false, true}, {"/review/", true, true}}

// sent is a request and what became of it, as its caller saw it.
type sent struct {
	id         string
	kind       kind
	host       *host
	generation int
	small      bool
	at, over   time.Time
	left       bool // the caller left at over
	status     int
	body       string
	stamp      string
	whole      bool
	// planned says that when it was over its host was being stopped and nothing else disturbed it.
	planned bool
	// inTouch says that nothing had disturbed its host for the contact time when it was over.
	inTouch bool
}

// clients send requests until told to stop.
type clients struct {
	f *fleet

	mu         sync.Mutex
	generation int // of the keys in force
	// withdrawn is when a generation of keys was withdrawn at the store.
	withdrawn map[int]time.Time
	sent      []*sent
}

// tokens is what each request counts.
const tokens = 40

// run is one caller: it keeps connections and uses them until they end.
func (c *clients) run(ctx context.Context, r *rand.Rand) {
	transport := &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true}
	defer transport.CloseIdleConnections()
	h := c.f.hosts[r.IntN(len(c.f.hosts))]
	for ctx.Err() == nil {
		if r.IntN(12) == 0 {
			h = c.f.hosts[r.IntN(len(c.f.hosts))]
		}
		s := c.next(h, r)
		leave := time.Duration(0)
		if r.IntN(10) == 0 {
			leave = time.Duration(1+r.IntN(250)) * time.Millisecond
		}
		c.do(transport, s, leave)
		if s.status != http.StatusOK {
			h = c.f.hosts[r.IntN(len(c.f.hosts))] // as a caller that leaves out an address that failed it
		}
		time.Sleep(time.Duration(r.IntN(60)) * time.Millisecond)
	}
}

// next is the next request of a caller.
func (c *clients) next(h *host, r *rand.Rand) *sent {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := &sent{id: fmt.Sprint("id-", len(c.sent)+1), kind: kinds[r.IntN(len(kinds))], host: h, generation: c.generation, small: r.IntN(4) == 0, at: time.Now()}
	if c.generation > 0 && r.IntN(15) == 0 {
		s.generation-- // a caller that has not heard of the new key
	}
	c.sent = append(c.sent, s)
	return s
}

// once is a body that cannot be sent again: the library repeats nothing by itself.
type once struct{ io.Reader }

// do sends a request and waits for its answer; leave is when the caller leaves, 0 for never.
func (c *clients) do(t *http.Transport, s *sent, leave time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if leave > 0 {
		ctx, cancel = context.WithTimeout(ctx, leave)
		defer cancel()
	}
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		s.over = time.Now()
		s.left = leave > 0 && ctx.Err() != nil
		s.planned, s.inTouch = s.host.onlyStopping(s.at), s.host.inTouch(s.over)
	}()
	k := keys(s.generation)[0]
	if s.small {
		k = keys(s.generation)[1]
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.host.front+s.kind.path+"x", once{strings.NewReader("body of " + s.id)})
	if err != nil {
		panic(err)
	}
	req.Host = site.HostName
	req.Header.Set("Heathkeel-Attempt-Id", s.id)
	req.Header.Set("Authorization", "Token "+k)
	req.Header.Set("Heathkeel-Token-Count", fmt.Sprintf("%d,%d", tokens/2, tokens/2))
	req.Header.Set("Heathkeel-Deadline-Ms", "8000")
	resp, err := t.RoundTrip(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	c.mu.Lock()
	defer c.mu.Unlock()
	s.status, s.body, s.whole = resp.StatusCode, string(b), err == nil
	s.stamp = resp.Header.Get("Heathkeel-Response-Stamp")
}

// inForce is the generation of the keys in force.
func (c *clients) inForce() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.generation
}

// rotate makes callers use the next keys.
func (c *clients) rotate() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.generation++
}

// withdraw notes that a generation of keys was withdrawn at the store.
func (c *clients) withdraw(generation int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.withdrawn[generation] = time.Now()
}

// all are the requests so far.
func (c *clients) all() []*sent {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*sent(nil), c.sent...)
}

// recent are the newest requests.
func (c *clients) recent() []*sent {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*sent(nil), c.sent[max(0, len(c.sent)-recentRequests):]...)
}

// recentRequests covers those that were sent in the last seconds.
const recentRequests = 2000
