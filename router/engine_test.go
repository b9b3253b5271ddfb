// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package router_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/client"
	"github.com/heathkeel/heathkeel/endpoint"
	"github.com/heathkeel/heathkeel/internal/fake"
	"github.com/heathkeel/heathkeel/keyval"
	"github.com/heathkeel/heathkeel/problem"
	"github.com/heathkeel/heathkeel/router"
)

// newClient returns a client of workspace w.
func newClient(r *testCluster) *client.Client {
	return &client.Client{Seeds: r.Addresses(), Workspace: "w"}
}

// setEngines injects the same faults into all engines.
func (r *testCluster) setEngines(f fake.EngineFaults) {
	for _, e := range r.Engines {
		e.SetFaults(f)
	}
}

// maxRuns returns the largest number of runs of one ID at any engine.
func (r *testCluster) maxRuns() int {
	highest := 0
	for _, e := range r.Engines {
		_, runs := e.RunStats()
		highest = max(highest, runs)
	}
	return highest
}

// tokenCount is the number of tokens requested.
const tokenCount = 20

// expectedText returns the complete answer of the fake engines.
func expectedText() string {
	var b strings.Builder
	for i := range tokenCount {
		fmt.Fprintf(&b, "t%d ", i)
	}
	return b.String()
}

// TestAnswersAreComplete checks that a caller gets either the complete answer or
// an error with the outcome Unknown, and that no engine runs a request twice.
func TestAnswersAreComplete(t *testing.T) {
	cases := []struct {
		name   string
		faults fake.EngineFaults
		ok     bool
	}{
		{"no fault", fake.EngineFaults{}, true},
		{"stream cut once and resumed", fake.EngineFaults{BreakAfter: 7}, true},
		{"crossed piece", fake.EngineFaults{WrongIDAt: 5}, false},
		{"repeated piece", fake.EngineFaults{DuplicateAt: 5}, false},
		{"missing piece", fake.EngineFaults{SkipAt: 5}, false},
		{"server error", fake.EngineFaults{ServerErrors: true}, false},
		{"dead", fake.EngineFaults{Dead: true}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := newTestCluster(t, nil)
			r.setEngines(c.faults)
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			a, err := newClient(r).Complete(ctx, client.Completion{Service: "write", Model: "m", Prompt: "p", MaxTokens: tokenCount, NoRepeat: true})
			if c.ok {
				must.NoError(t, err)
				must.Eq(t, expectedText(), a.Text)
				must.Eq(t, tokenCount, a.Tokens)
			} else {
				must.Error(t, err)
				must.Eq(t, problem.Unknown, problem.FromError(err).Outcome)
			}
			must.LessEq(t, 1, r.maxRuns())
		})
	}
}

// TestStreamSurvivesOwnerCrash checks that a client resumes a stream at another
// host when the owner dies in the middle of it.
func TestStreamSurvivesOwnerCrash(t *testing.T) {
	r := newTestCluster(t, nil)
	for _, e := range r.Engines {
		e.SetStepTime(20 * time.Millisecond)
	}
	cl := newClient(r)
	list, err := cl.Addresses(context.Background())
	must.NoError(t, err)
	owner := r.hostAt(list[0].Address)
	reached, release := r.gateOf(owner).holdAt(router.StageSent)
	go func() {
		<-reached
		release()
		eventually(t, "an engine runs the request", func() bool { return r.busyEngines() > 0 })
		time.Sleep(100 * time.Millisecond)
		owner.Kill()
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	a, err := cl.Complete(ctx, client.Completion{Service: "write", Model: "m", Prompt: "p", MaxTokens: tokenCount, NoRepeat: true})
	must.NoError(t, err)
	must.Eq(t, expectedText(), a.Text)
	must.Positive(t, a.Resumed)
	must.Eq(t, 1, r.maxRuns())
}

// busyEngines returns the number of engines with active requests.
func (r *testCluster) busyEngines() int {
	n := 0
	for _, e := range r.Engines {
		if e.Active() > 0 {
			n++
		}
	}
	return n
}

// TestDisconnectCancelsStream checks that the stream of a caller that
// disconnects is canceled at its engine, with and without an ID of the caller.
func TestDisconnectCancelsStream(t *testing.T) {
	r := newTestCluster(t, func(x *router.Router) { x.CancelGrace = 50 * time.Millisecond })
	for _, e := range r.Engines {
		e.SetStepTime(10 * time.Millisecond)
	}
	a := r.address(t, r.StartedHosts[0]).Addresses[0]
	for _, id := range []string{"", a.Prefix + "leaves"} {
		ctx, cancel := context.WithCancel(context.Background())
		resp, err := http.DefaultClient.Do(newCompletionRequest(ctx, a.Address, id, 100000))
		must.NoError(t, err)
		_, err = resp.Body.Read(make([]byte, 10))
		must.NoError(t, err)
		must.Positive(t, r.busyEngines())
		cancel()
		eventually(t, "engine idle", func() bool { return r.busyEngines() == 0 })
		eventually(t, "host idle", func() bool { return r.hostAt(a.Address).Router.Status().Active == 0 })
	}
}

// newCompletionRequest returns a streaming request for n tokens.
func newCompletionRequest(ctx context.Context, host, id string, n int) *http.Request {
	b, _ := json.Marshal(endpoint.CompletionBody{Model: "m", Prompt: "p", MaxTokens: n, Stream: true})
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+host+router.PathCompletions, bytes.NewReader(b))
	req.Header.Set(router.HeaderWorkspace, "w")
	req.Header.Set(router.HeaderService, "write")
	if id != "" {
		req.Header.Set(router.HeaderID, id)
	}
	return req
}

// TestSlowCallerDoesNotBlockOthers checks that other callers are served while one
// does not read its stream, and that the slow caller gets its whole answer later.
func TestSlowCallerDoesNotBlockOthers(t *testing.T) {
	r := newTestCluster(t, nil)
	host := r.StartedHosts[0].Address
	slow, err := http.DefaultClient.Do(newCompletionRequest(context.Background(), host, "", 4096))
	must.NoError(t, err)
	defer slow.Body.Close()
	for range 5 {
		resp, err := http.DefaultClient.Do(newCompletionRequest(context.Background(), host, "", tokenCount))
		must.NoError(t, err)
		b, err := io.ReadAll(resp.Body)
		must.NoError(t, err)
		must.StrContains(t, string(b), endpoint.DoneData)
		_ = resp.Body.Close()
	}
	b, err := io.ReadAll(slow.Body)
	must.NoError(t, err)
	must.Eq(t, 4096, strings.Count(string(b), "id: "))
}

// TestBadRequests checks the kind, the outcome and the presence of a remedy of
// refusals for invalid requests.
func TestBadRequests(t *testing.T) {
	r := newTestCluster(t, nil)
	host := r.StartedHosts[0].Address
	good := r.address(t, r.StartedHosts[0]).Addresses[0]
	cases := []struct {
		name, path, ws, service, id, body string
		kind                              problem.Kind
		outcome                           problem.Outcome
	}{
		{"no such path", "/v2/x", "w", "", "", "", problem.BadRequest, problem.NotRun},
		{"unknown workspace", router.PathCompletions, "x", "write", "", "{}", problem.UnknownWorkspace, problem.NotRun},
		{"unknown service", router.PathCompletions, "w", "x", "", "{}", problem.UnknownWorkspace, problem.NotRun},
		{"broken JSON", router.PathCompletions, "w", "write", "", "{", problem.BadRequest, problem.NotRun},
		{"no prompt", router.PathCompletions, "w", "write", "", `{"model":"m"}`, problem.BadRequest, problem.NotRun},
		{"unknown model", router.PathCompletions, "w", "write", "", `{"model":"x","prompt":"p"}`, problem.UnknownModel, problem.NotRun},
		{"too large", router.PathCall + "look", "w", "", "", strings.Repeat("x", 101), problem.BodyTooLarge, problem.NotRun},
		{"broken ID", router.PathCall + "look", "w", "", "x.y", "", problem.BadID, problem.NotRun},
		{"may not be repeated and has no ID", router.PathCall + "push", "w", "", "", "", problem.MissingID, problem.NotRun},
		{"future generation", router.PathCall + "look", "w", "", strings.Replace(good.Prefix, ".1.", ".9.", 1) + "u", "", problem.BadID, problem.Unknown},
		{"unknown owner without witness", router.PathCall + "look", "w", "", "00000000000000ff.1.0000000000000000.0.u", "", problem.OwnerLost, problem.Unknown},
	}
	for _, c := range cases {
		req, _ := http.NewRequest(http.MethodPost, "http://"+host+c.path, strings.NewReader(c.body))
		req.Header.Set(router.HeaderWorkspace, c.ws)
		req.Header.Set(router.HeaderService, c.service)
		if c.id != "" {
			req.Header.Set(router.HeaderID, c.id)
		}
		got := sendRequest(req)
		must.Eq(t, c.kind, got.problem.Kind, must.Sprintf("%s: %+v", c.name, got))
		must.Eq(t, c.outcome, got.outcome, must.Sprint(c.name))
		must.NotEq(t, "", got.problem.Remedy, must.Sprint(c.name))
	}
}

// TestRefusalForBodyIsFinal checks that an ID whose body was too large is not
// run when it is sent again with a small body: "not run" was reported.
func TestRefusalForBodyIsFinal(t *testing.T) {
	r := newTestCluster(t, nil)
	a := r.address(t, r.StartedHosts[0]).Addresses[0]
	for i, body := range []string{strings.Repeat("x", 101), "small"} {
		req, _ := http.NewRequest(http.MethodPost, "http://"+a.Address+router.PathCall+"look", strings.NewReader(body))
		req.Header.Set(router.HeaderWorkspace, "w")
		req.Header.Set(router.HeaderID, a.Prefix+"same")
		req.Header.Set(fake.HeaderCall, "same")
		got := sendRequest(req)
		must.Eq(t, problem.NotRun, got.outcome, must.Sprint(i, got))
	}
	must.Zero(t, r.runs("same"))
}

// leavingCluster is a cluster whose services leave and return.
type leavingCluster struct {
	*testCluster
	t  *testing.T
	cl *client.Client
}

// moveWork marks one service as leaving and the other as not leaving, and waits
// until no request is sent to the first.
func (r *leavingCluster) moveWork(leaves, stays string) {
	for name, leaving := range map[string]bool{leaves: true, stays: false} {
		r.Platform.Hosts.Put(keyval.ListEntry{Name: name, Zone: "z1", Endpoint: true, Leaving: leaving})
	}
	eventually(r.t, leaves+" gets no requests", func() bool {
		for range 20 {
			if r.servingEndpoint() == leaves {
				return false
			}
		}
		return true
	})
}

// servingEndpoint sends a request and returns the endpoint that answered it.
func (r *leavingCluster) servingEndpoint() string {
	a, err := r.cl.Do(context.Background(), client.Call{Service: "look", Method: http.MethodGet, Path: "/"})
	must.NoError(r.t, err)
	return a.Endpoint
}

func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	r := newTestCluster(t, nil)
	l := &leavingCluster{r, t, newClient(r)}
	l.moveWork("s1", "s2")
}

// TestDispatchAvoidsEndpointThatLeaves guards against sending a request to an
// endpoint that began to leave after the owner chose it and obtained the right to
// dispatch. Recording at the witness and importing the cache take time between
// the choice and the send. The request must go to another endpoint.
func TestDispatchAvoidsEndpointThatLeaves(t *testing.T) {
	r := newTestCluster(t, nil)
	l := &leavingCluster{r, t, newClient(r)}
	l.moveWork("s2", "s1")
	var reached []<-chan struct{}
	var release []func()
	for _, g := range r.gates {
		reachedGate, releaseGate := g.holdAt(router.StageDispatched)
		reached, release = append(reached, reachedGate), append(release, releaseGate)
	}
	got := make(chan string, 1)
	go func() { got <- l.servingEndpoint() }()
	owner := 0
	select {
	case <-reached[0]:
	case <-reached[1]:
		owner = 1
	case <-reached[2]:
		owner = 2
	}
	for i, releaseGate := range release {
		if i != owner {
			releaseGate() // other requests continue at this host
		}
	}
	l.moveWork("s1", "s2")
	release[owner]()
	must.EqOp(t, "s2", <-got)
}
