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

// declaration is a small tree for tests.
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

// parse reads the test declaration.
func parse(t testing.TB) settings.Declaration {
	p := settings.Parse([]settings.File{{Name: "test.yaml", Data: []byte(declaration)}})
	must.Len(t, 0, p.Faults, must.Sprint(p.Faults))
	return p.Declaration
}

// gate lets a test hold a host at a stage of one request.
type gate struct {
	mu    sync.Mutex
	hold  map[router.Stage]chan struct{}
	hit   map[router.Stage]chan struct{}
	onHit map[router.Stage]func()
}

func newGate() *gate {
	return &gate{hold: map[router.Stage]chan struct{}{}, hit: map[router.Stage]chan struct{}{}, onHit: map[router.Stage]func(){}}
}

// at makes the next request stop at a stage until release is called; reached
// is closed when it is there.
func (g *gate) at(s router.Stage) (reached <-chan struct{}, release func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	hold, hit := make(chan struct{}), make(chan struct{})
	g.hold[s], g.hit[s] = hold, hit
	var once sync.Once
	return hit, func() { once.Do(func() { close(hold) }) }
}

func (g *gate) trace(s router.Stage, _ string) {
	g.mu.Lock()
	hold, hit := g.hold[s], g.hit[s]
	delete(g.hold, s)
	g.mu.Unlock()
	if hold != nil {
		close(hit)
		<-hold
	}
}

// rig is a cluster with a gate at each host.
type rig struct {
	*dev.Cluster
	gates map[string]*gate // by host name
}

// newRig starts a cluster of three hosts in three zones.
func newRig(t testing.TB, tune func(*router.Router)) *rig {
	r := &rig{gates: make(map[string]*gate)}
	r.Cluster = &dev.Cluster{
		Declaration: parse(t), Hosts: 3, StepTime: time.Millisecond,
		ConfigureRouter: func(x *router.Router) {
			g := newGate()
			r.gates[x.Self.Name] = g
			x.Trace = g.trace
			x.MinReportInterval, x.MaxReportRate = 50*time.Millisecond, 1000
			// Wide enough that a busy machine makes nobody suspect.
			x.HeartbeatInterval, x.WitnessTimeout = 200*time.Millisecond, 3*time.Second
			x.MaxAge = 200 * time.Millisecond
			if tune != nil {
				tune(x)
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

// address asks a node for the addresses of workspace w.
func (r *rig) address(t testing.TB, n *dev.Host) fleet.Answer {
	resp, err := http.Get("http://" + n.Address + router.PathAddress + "?workspace=w")
	must.NoError(t, err)
	defer resp.Body.Close()
	var a fleet.Answer
	must.NoError(t, json.NewDecoder(resp.Body).Decode(&a))
	return a
}

// node returns the running host at an address.
func (r *rig) node(address string) *dev.Host {
	for i := len(r.StartedHosts) - 1; i >= 0; i-- {
		if r.StartedHosts[i].Address == address {
			return r.StartedHosts[i]
		}
	}
	return nil
}

// gateOf returns the gate of a node.
func (r *rig) gateOf(n *dev.Host) *gate { return r.gates[n.Router.Self.Name] }

// reply is an answer to a plain call.
type reply struct {
	status  int
	outcome problem.Outcome
	problem problem.Problem
	body    string
	err     error
}

// push makes a call that may not be repeated under an ID at a host. The call's
// name for counting its runs is the ID.
func push(host, id string) reply { return call(host, "push", id) }

// call makes a call to a service.
func call(host, service, id string) reply {
	req, _ := http.NewRequest(http.MethodPost, "http://"+host+router.PathCall+service+"/x?y=1", strings.NewReader("body"))
	req.Header.Set(router.HeaderWorkspace, "w")
	req.Header.Set(router.HeaderID, id)
	req.Header.Set(fake.HeaderCall, id)
	return send(req)
}

// outcome asks a host what became of an ID.
func outcome(host, id string) reply {
	req, _ := http.NewRequest(http.MethodPost, "http://"+host+router.PathOutcome+url.PathEscape(id), nil)
	return send(req)
}

// send does a request on a connection of its own.
func send(req *http.Request) reply {
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

// runs returns how often a call was run at any service.
func (r *rig) runs(id string) int {
	n := 0
	for _, s := range r.Services {
		n += s.Runs(id)
	}
	return n
}

// eventually waits until ok holds; it fails the test after a long while.
func eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for range 2000 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("never: %s", what)
}
