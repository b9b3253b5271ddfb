// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package router_test

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"testing"
	"time"

	"encoding/json"

	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/fleet"
	"github.com/heathkeel/heathkeel/internal/dev"
	"github.com/heathkeel/heathkeel/internal/fake"
	"github.com/heathkeel/heathkeel/problem"
	"github.com/heathkeel/heathkeel/router"
	"github.com/heathkeel/heathkeel/settings"
)

// declaration is a small settings tree for tests.
const declaration = `
set: {tiers: [urgent, normal, patient]}
models: {m: {}}
endpoints:
  e1: {address: "127.0.0.1:1", zone: z1, slots: 4}
  e2: {address: "127.0.0.1:2", zone: z2, slots: 4}
  s1: {kind: service, address: "127.0.0.1:3", zone: z1, slots: 64}
  s2: {kind: service, address: "127.0.0.1:4", zone: z3, slots: 64}
placements:
  m: {model: m}
workspaces:
  w:
    services:
      push: {set: {tier: urgent, repeatable: false, endpoints: [s1, s2], deadline: 5s}}
      look: {set: {tier: urgent, endpoints: [s1, s2], max-body: 100}}
      write:
        set: {tier: normal, models: [m]}
        tiers: {patient: {set: {deadline: 20s}}}
`

// parse parses the test declaration.
func parse(t testing.TB) settings.Declaration {
	p := settings.Parse([]settings.File{{Name: "test.yaml", Data: []byte(declaration)}})
	must.Len(t, 0, p.Faults, must.Sprint(p.Faults))
	return p.Declaration
}

// gate lets a test block a host at a stage of one request.
type gate struct {
	mu        sync.Mutex
	hold      map[router.Stage]chan struct{}
	reached   map[router.Stage]chan struct{}
	onReached map[router.Stage]func()
}

func newGate() *gate {
	return &gate{hold: map[router.Stage]chan struct{}{}, reached: map[router.Stage]chan struct{}{}, onReached: map[router.Stage]func(){}}
}

// holdAt blocks the next request at a stage until release is called. It closes
// reached when the request is at the stage.
func (g *gate) holdAt(s router.Stage) (reached <-chan struct{}, release func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	hold, atStage := make(chan struct{}), make(chan struct{})
	g.hold[s], g.reached[s] = hold, atStage
	var once sync.Once
	return atStage, func() { once.Do(func() { close(hold) }) }
}

// trace is the host's Trace function.
func (g *gate) trace(s router.Stage, _ string) {
	g.mu.Lock()
	hold, reached := g.hold[s], g.reached[s]
	delete(g.hold, s)
	g.mu.Unlock()
	if hold != nil {
		close(reached)
		<-hold
	}
}

// testCluster is a cluster with a gate at each host.
type testCluster struct {
	*dev.Cluster
	gates map[string]*gate // by host name
}

// newTestCluster starts a cluster of three hosts in three zones.
func newTestCluster(t testing.TB, configure func(*router.Router)) *testCluster {
	r := &testCluster{gates: make(map[string]*gate)}
	r.Cluster = &dev.Cluster{
		Declaration: parse(t), Hosts: 3, StepTime: time.Millisecond,
		ConfigureRouter: func(x *router.Router) {
			g := newGate()
			r.gates[x.Self.Name] = g
			x.Trace = g.trace
			x.MinReportInterval, x.MaxReportRate = 50*time.Millisecond, 1000
			// Long enough that hosts do not suspect each other on a busy machine.
			x.HeartbeatInterval, x.WitnessTimeout = 200*time.Millisecond, 3*time.Second
			x.MaxAge = 200 * time.Millisecond
			if configure != nil {
				configure(x)
			}
		},
	}
	must.NoError(t, r.Start())
	t.Cleanup(r.Stop)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	must.NoError(t, r.WaitReady(ctx))
	return r
}

// address queries a host for the addresses of workspace w.
func (r *testCluster) address(t testing.TB, n *dev.Host) fleet.Answer {
	resp, err := http.Get("http://" + n.Address + router.PathAddress + "?workspace=w")
	must.NoError(t, err)
	defer resp.Body.Close()
	var a fleet.Answer
	must.NoError(t, json.NewDecoder(resp.Body).Decode(&a))
	return a
}

// hostAt returns the host that was started last at an address.
func (r *testCluster) hostAt(address string) *dev.Host {
	for i := len(r.StartedHosts) - 1; i >= 0; i-- {
		if r.StartedHosts[i].Address == address {
			return r.StartedHosts[i]
		}
	}
	return nil
}

// gateOf returns the gate of a host.
func (r *testCluster) gateOf(n *dev.Host) *gate { return r.gates[n.Router.Self.Name] }

// reply is the answer to a request.
type reply struct {
	status  int
	outcome problem.Outcome
	problem problem.Problem
	body    string
	err     error
}

// callPush sends a call that may not be repeated to a host. Its runs are counted
// by its ID.
func callPush(host, id string) reply { return callService(host, "push", id) }

// callService sends a call of a service to a host.
func callService(host, service, id string) reply {
	req, _ := http.NewRequest(http.MethodPost, "http://"+host+router.PathCall+service+"/x?y=1", strings.NewReader("body"))
	req.Header.Set(router.HeaderWorkspace, "w")
	req.Header.Set(router.HeaderID, id)
	req.Header.Set(fake.HeaderCall, id)
	return sendRequest(req)
}

// queryOutcome queries a host for the outcome of a request.
func queryOutcome(host, id string) reply {
	req, _ := http.NewRequest(http.MethodPost, "http://"+host+router.PathOutcome+url.PathEscape(id), nil)
	return sendRequest(req)
}

// sendRequest sends a request on a new connection.
func sendRequest(req *http.Request) reply {
	tr := &http.Transport{DisableKeepAlives: true}
	resp, err := tr.RoundTrip(req)
	if err != nil {
		return reply{err: err, outcome: problem.Unknown}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	r := reply{status: resp.StatusCode, body: string(b), err: err, outcome: problem.Outcome(resp.Header.Get(problem.OutcomeHeader))}
	if r.outcome == "" && err == nil {
		r.outcome = problem.Answered
	}
	_ = json.Unmarshal(b, &r.problem)
	return r
}

// runs returns how often all services together ran a call.
func (r *testCluster) runs(id string) int {
	n := 0
	for _, s := range r.Services {
		n += s.Runs(id)
	}
	return n
}

// eventually waits until ok returns true; it fails the test after 20 seconds.
func eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for range 2000 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("timeout while waiting for: %s", what)
}
