// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package dev_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/client"
	"github.com/heathkeel/heathkeel/internal/dev"
	"github.com/heathkeel/heathkeel/internal/fake"
	"github.com/heathkeel/heathkeel/problem"
	"github.com/heathkeel/heathkeel/revision"
	"github.com/heathkeel/heathkeel/router"
	"github.com/heathkeel/heathkeel/settings"
)

const declaration = `
models: {m: {}}
endpoints:
  e1: {address: "127.0.0.1:1", zone: z1, slots: 8}
  e2: {address: "127.0.0.1:2", zone: z1, slots: 8}
  e3: {address: "127.0.0.1:3", zone: z1, slots: 8}
  s1: {kind: service, address: "127.0.0.1:4", zone: z2, slots: 64}
placements:
  m: {model: m, version: "1", replicas: 3}
workspaces:
  w:
    services:
      push: {set: {tier: urgent, repeatable: false, endpoints: [s1], deadline: 20s}}
      push-alone: {set: {tier: urgent, repeatable: false, witness: false, endpoints: [s1], deadline: 20s}}
      look: {set: {tier: urgent, endpoints: [s1], deadline: 20s}}
      write: {set: {tier: normal, models: [m], deadline: 60s}}
`

// fleet is a cluster under load with its counts.
type fleet struct {
	*dev.Cluster
	t        *testing.T
	stop     atomic.Bool
	wg       sync.WaitGroup
	answered atomic.Int64
	notRun   atomic.Int64
	unknown  atomic.Int64
	other    atomic.Int64
	ids      sync.Map // name of a call to its outcome
	quiet    bool     // do not log each lost call
	mu       sync.Mutex
}

// seeds are the addresses of the hosts that run now.
func (f *fleet) seeds() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Addresses()
}

// replace kills a host and starts another.
func (f *fleet) replace(i int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.StartedHosts[i].Kill()
	f.StartedHosts = append(f.StartedHosts[:i], f.StartedHosts[i+1:]...)
	if _, err := f.AddHost("127.0.0.1:0"); err != nil {
		f.t.Error(err)
	}
}

// start starts three hosts.
func start(t *testing.T, place bool) *fleet {
	p := settings.Parse([]settings.File{{Name: "t.yaml", Data: []byte(declaration)}})
	must.Len(t, 0, p.Faults, must.Sprint(p.Faults))
	f := &fleet{t: t, Cluster: &dev.Cluster{
		Declaration: p.Declaration, Hosts: 3, Zones: []string{"z1", "z2", "z3"}, StepTime: time.Millisecond, RunPlacers: place,
		ConfigureRouter: func(r *router.Router) {
			r.ReportEvery, r.ReportRate = 50*time.Millisecond, 1000
			r.Heartbeat, r.WitnessTimeout = 200*time.Millisecond, 3*time.Second
			r.MaxAge = 300 * time.Millisecond
		},
	}}
	must.NoError(t, f.Start())
	t.Cleanup(f.Stop)
	f.ready()
	return f
}

// ready waits until all hosts are.
func (f *fleet) ready() {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	must.NoError(f.t, f.WaitReady(ctx))
}

// load starts callers that send until halt; call is one request and its result.
func (f *fleet) load(callers int, call func(cl *client.Client, name string) error) {
	for i := range callers {
		f.wg.Add(1)
		go func() {
			defer f.wg.Done()
			cl := &client.Client{Seeds: f.Addresses(), Workspace: "w"}
			for n := 0; !f.stop.Load(); n++ {
				cl.Seeds = f.seeds()
				name := fmt.Sprintf("c%d-%d", i, n)
				f.count(name, call(cl, name))
			}
		}()
	}
}

// count notes one outcome.
func (f *fleet) count(name string, err error) {
	out := problem.Answered
	var p *problem.Problem
	switch {
	case err == nil:
		f.answered.Add(1)
	case errors.As(err, &p) && p.Outcome == problem.NotRun:
		out = problem.NotRun
		f.notRun.Add(1)
	case errors.As(err, &p):
		out = problem.Unknown
		f.unknown.Add(1)
		f.say(name, err)
	default:
		out = problem.Unknown
		f.other.Add(1)
		f.say(name, err)
	}
	f.ids.Store(name, out)
}

// say logs a lost call.
func (f *fleet) say(name string, err error) {
	if !f.quiet {
		f.t.Logf("%s: %v", name, err)
	}
}

// halt ends the callers.
func (f *fleet) halt() {
	f.stop.Store(true)
	f.wg.Wait()
	f.t.Logf("answered %d, not run %d, unknown %d, other %d", f.answered.Load(), f.notRun.Load(), f.unknown.Load(), f.other.Load())
}

// write sends a request to an engine.
func write(cl *client.Client, name string) error {
	_, err := cl.Complete(context.Background(), client.Completion{Service: "write", Model: "m", Prompt: name, MaxTokens: 30})
	return err
}

// push makes a call that may not be repeated.
func push(cl *client.Client, name string) error {
	_, err := cl.Do(context.Background(), client.Call{
		Service: "push", Method: http.MethodPost, Path: "/", Header: http.Header{fake.HeaderCall: {name}}, NoRepeat: true,
	})
	return err
}

// both sends one of each.
func both(cl *client.Client, name string) error {
	if err := write(cl, name); err != nil {
		return err
	}
	return push(cl, name)
}

// checkRuns holds the promises of calls that may not be repeated.
func (f *fleet) checkRuns() {
	most, _ := f.Services["s1"].Most()
	must.LessEq(f.t, 1, most)
	f.ids.Range(func(name, out any) bool {
		runs := f.Services["s1"].Runs(name.(string))
		if out == problem.NotRun {
			must.Zero(f.t, runs, must.Sprint(name))
		}
		if out == problem.Answered {
			must.Eq(f.t, 1, runs, must.Sprint(name))
		}
		return true
	})
	for name, e := range f.Engines {
		_, n := e.TotalRuns()
		must.LessEq(f.t, 1, n, must.Sprint(name))
	}
}

func TestPlacementMovesWithoutLoss(t *testing.T) {
	f := start(t, true)
	f.load(4, write)
	st := revision.Store{KV: f.Platform.KV}
	_, err := st.Apply(context.Background(), revision.Change{ID: "v2"},
		[]settings.Edit{{Node: "placements/m", Key: settings.KeyVersion, Old: "1", New: "2"}})
	must.NoError(t, err)
	f.until("all engines hold version 2", func() bool {
		for _, e := range f.Engines {
			if h := e.Held(); h == nil || h.Version != "2" {
				return false
			}
		}
		return true
	})
	f.halt()
	must.Zero(t, f.notRun.Load()+f.unknown.Load()+f.other.Load())
	must.Positive(t, f.answered.Load())
}

// until waits until ok holds.
func (f *fleet) until(what string, ok func() bool) {
	f.t.Helper()
	for range 6000 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	f.t.Fatalf("never: %s", what)
}

func TestRollingRestartCutsNothing(t *testing.T) {
	f := start(t, false)
	f.load(6, both)
	for range 3 {
		old := f.StartedHosts[0]
		must.NoError(t, old.Router.Drain(context.Background()))
		f.replace(0)
		f.ready()
	}
	f.halt()
	must.Zero(t, f.unknown.Load()+f.other.Load()+f.notRun.Load())
	f.checkRuns()
}

func TestKillOfOneHostUnderLoad(t *testing.T) {
	f := start(t, false)
	f.load(8, both)
	f.until("load runs", func() bool { return f.answered.Load() > 200 })
	f.StartedHosts[1].Kill()
	before := f.answered.Load()
	f.until("load goes on", func() bool { return f.answered.Load() > before+400 })
	f.halt()
	f.checkRuns()
}
