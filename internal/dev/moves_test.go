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

// loadedCluster is a cluster under the load of callers, with counts of the calls' outcomes.
type loadedCluster struct {
	*dev.Cluster
	t        *testing.T
	stop     atomic.Bool
	wg       sync.WaitGroup
	answered atomic.Int64
	notRun   atomic.Int64
	unknown  atomic.Int64
	other    atomic.Int64
	outcomes sync.Map // outcome of each call, by its name
	quiet    bool     // do not log lost calls
	mu       sync.Mutex
}

// hostAddresses returns the addresses of the hosts that replaceHost has not removed.
func (c *loadedCluster) hostAddresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Addresses()
}

// replaceHost kills the i-th host and starts a new one.
func (c *loadedCluster) replaceHost(i int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.StartedHosts[i].Kill()
	c.StartedHosts = append(c.StartedHosts[:i], c.StartedHosts[i+1:]...)
	if _, err := c.AddHost("127.0.0.1:0"); err != nil {
		c.t.Error(err)
	}
}

// startCluster starts three hosts in three zones and waits until they are ready.
func startCluster(t *testing.T, runPlacers bool) *loadedCluster {
	p := settings.Parse([]settings.File{{Name: "t.yaml", Data: []byte(declaration)}})
	must.Len(t, 0, p.Faults, must.Sprint(p.Faults))
	c := &loadedCluster{t: t, Cluster: &dev.Cluster{
		Declaration: p.Declaration, Hosts: 3, Zones: []string{"z1", "z2", "z3"}, StepTime: time.Millisecond, RunPlacers: runPlacers,
		ConfigureRouter: func(r *router.Router) {
			r.MinReportInterval, r.MaxReportRate = 50*time.Millisecond, 1000
			r.HeartbeatInterval, r.WitnessTimeout = 200*time.Millisecond, 3*time.Second
			r.MaxAge = 300 * time.Millisecond
		},
	}}
	must.NoError(t, c.Start())
	t.Cleanup(c.Stop)
	c.waitReady()
	return c
}

// waitReady waits until all hosts are ready, for at most 20 s.
func (c *loadedCluster) waitReady() {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	must.NoError(c.t, c.WaitReady(ctx))
}

// startLoad starts callers that repeat call until stopLoad; call sends the requests of one
// name and returns their result.
func (c *loadedCluster) startLoad(callers int, call func(cl *client.Client, name string) error) {
	for i := range callers {
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			cl := &client.Client{Seeds: c.Addresses(), Workspace: "w"}
			for n := 0; !c.stop.Load(); n++ {
				cl.Seeds = c.hostAddresses()
				name := fmt.Sprintf("c%d-%d", i, n)
				c.recordOutcome(name, call(cl, name))
			}
		}()
	}
}

// recordOutcome counts and stores the outcome of a call.
func (c *loadedCluster) recordOutcome(name string, err error) {
	outcome := problem.Answered
	var p *problem.Problem
	switch {
	case err == nil:
		c.answered.Add(1)
	case errors.As(err, &p) && p.Outcome == problem.NotRun:
		outcome = problem.NotRun
		c.notRun.Add(1)
	case errors.As(err, &p):
		outcome = problem.Unknown
		c.unknown.Add(1)
		c.logLostCall(name, err)
	default:
		outcome = problem.Unknown
		c.other.Add(1)
		c.logLostCall(name, err)
	}
	c.outcomes.Store(name, outcome)
}

// logLostCall logs a call with an unknown outcome unless quiet is set.
func (c *loadedCluster) logLostCall(name string, err error) {
	if !c.quiet {
		c.t.Logf("%s: %v", name, err)
	}
}

// stopLoad stops the callers, waits for them and logs the counts.
func (c *loadedCluster) stopLoad() {
	c.stop.Store(true)
	c.wg.Wait()
	c.t.Logf("answered %d, not run %d, unknown %d, other %d", c.answered.Load(), c.notRun.Load(), c.unknown.Load(), c.other.Load())
}

// complete sends a completion request to an engine.
func complete(cl *client.Client, name string) error {
	_, err := cl.Complete(context.Background(), client.Completion{Service: "write", Model: "m", Prompt: name, MaxTokens: 30})
	return err
}

// push sends a call that may not be repeated, with owner and witness.
func push(cl *client.Client, name string) error {
	_, err := cl.Do(context.Background(), client.Call{
		Service: "push", Method: http.MethodPost, Path: "/", Header: http.Header{fake.HeaderCall: {name}}, NoRepeat: true,
	})
	return err
}

// completeAndPush sends a completion request and a call that may not be repeated.
func completeAndPush(cl *client.Client, name string) error {
	if err := complete(cl, name); err != nil {
		return err
	}
	return push(cl, name)
}

// checkRunCounts checks that no call that may not be repeated ran more than once, that calls
// with outcome NotRun did not run and answered ones ran once, and that no completion ran more
// than once.
func (c *loadedCluster) checkRunCounts() {
	maxRuns, _ := c.Services["s1"].RunStats()
	must.LessEq(c.t, 1, maxRuns)
	c.outcomes.Range(func(name, out any) bool {
		runs := c.Services["s1"].Runs(name.(string))
		if out == problem.NotRun {
			must.Zero(c.t, runs, must.Sprint(name))
		}
		if out == problem.Answered {
			must.Eq(c.t, 1, runs, must.Sprint(name))
		}
		return true
	})
	for name, e := range c.Engines {
		_, n := e.RunStats()
		must.LessEq(c.t, 1, n, must.Sprint(name))
	}
}

// TestPlacementMovesWithoutLoss checks that no request is lost while a placement changes the
// version of all its engines under load.
func TestPlacementMovesWithoutLoss(t *testing.T) {
	c := startCluster(t, true)
	c.startLoad(4, complete)
	st := revision.Store{KV: c.Platform.KV}
	_, err := st.Apply(context.Background(), revision.Change{ID: "v2"},
		[]settings.Edit{{Node: "placements/m", Key: settings.KeyVersion, Old: "1", New: "2"}})
	must.NoError(t, err)
	c.eventually("all engines hold version 2", func() bool {
		for _, e := range c.Engines {
			if h := e.Loaded(); h == nil || h.Version != "2" {
				return false
			}
		}
		return true
	})
	c.stopLoad()
	must.Zero(t, c.notRun.Load()+c.unknown.Load()+c.other.Load())
	must.Positive(t, c.answered.Load())
}

// eventually polls ok until it returns true; it fails the test after about 60 s.
func (c *loadedCluster) eventually(what string, ok func() bool) {
	c.t.Helper()
	for range 6000 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.t.Fatalf("condition did not hold within 60 s: %s", what)
}

// TestRollingRestartLosesNoCalls checks that every call is answered while all three hosts are
// drained and replaced one after the other.
func TestRollingRestartLosesNoCalls(t *testing.T) {
	c := startCluster(t, false)
	c.startLoad(6, completeAndPush)
	for range 3 {
		old := c.StartedHosts[0]
		must.NoError(t, old.Router.Drain(context.Background()))
		c.replaceHost(0)
		c.waitReady()
	}
	c.stopLoad()
	must.Zero(t, c.unknown.Load()+c.other.Load()+c.notRun.Load())
	c.checkRunCounts()
}

// TestKillOfOneHostUnderLoad checks that calls go on after one of three hosts is killed, and
// that the kill makes no call run twice.
func TestKillOfOneHostUnderLoad(t *testing.T) {
	c := startCluster(t, false)
	c.startLoad(8, completeAndPush)
	c.eventually("load runs", func() bool { return c.answered.Load() > 200 })
	c.StartedHosts[1].Kill()
	before := c.answered.Load()
	c.eventually("load goes on", func() bool { return c.answered.Load() > before+400 })
	c.stopLoad()
	c.checkRunCounts()
}
