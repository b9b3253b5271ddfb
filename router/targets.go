// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package router

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/heathkeel/heathkeel/endpoint"
	"github.com/heathkeel/heathkeel/keyval"
	"github.com/heathkeel/heathkeel/sched"
	"github.com/heathkeel/heathkeel/settings"
)

// applyEndpoints applies the declared endpoints: it watches this host's part of
// them, stops watching the others, and updates the scheduler.
func (r *Router) applyEndpoints(list []settings.Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	watched := selectWatched(list, r.Self.Name, r.MaxWatched)
	specs := make([]sched.Endpoint, 0, len(watched))
	isWatched := make(map[string]bool, len(watched))
	for _, e := range watched {
		isWatched[e.Name] = true
		specs = append(specs, sched.Endpoint{
			Name: e.Name, Engine: e.Engine, Slots: e.Slots, Leaving: e.Leaving || r.leavingEndpoints[e.Name],
		})
		r.setTarget(e)
	}
	for name, t := range r.targets {
		if !isWatched[name] {
			t.stop()
			delete(r.targets, name)
		}
	}
	r.sched.SetEndpoints(specs)
	r.deliverDecisions()
}

// selectWatched returns all plain services and at most n engines, which it
// selects by rendezvous hashing of host and endpoint.
func selectWatched(list []settings.Endpoint, host string, n int) []settings.Endpoint {
	var engines, out []settings.Endpoint
	for _, e := range list {
		if e.Engine {
			engines = append(engines, e)
		} else {
			out = append(out, e)
		}
	}
	if len(engines) > n {
		score := func(e settings.Endpoint) uint64 { return xxhash.Sum64String(host + "\x00" + e.Name) }
		slices.SortFunc(engines, func(a, b settings.Endpoint) int { return cmp.Compare(score(b), score(a)) })
		engines = engines[:n]
	}
	return append(out, engines...)
}

// setTarget creates the target of an endpoint, or replaces it if the address or
// kind changed. The caller must hold mu.
func (r *Router) setTarget(e settings.Endpoint) {
	old := r.targets[e.Name]
	if old != nil && old.Address == e.Address && old.Engine == e.Engine {
		old.Endpoint = e
		return
	}
	if old != nil {
		old.stop()
	}
	ctx, cancel := context.WithCancel(context.Background())
	t := &target{Endpoint: e, stop: cancel}
	base := "http://" + e.Address
	if e.Engine {
		t.engine = &endpoint.Client{Base: base, HTTP: r.engineClient}
	} else {
		t.service = &endpoint.Service{Base: base, Transport: r.serviceTransport}
		// Reads of a service's reports may reuse connections; calls to it may not.
		t.engine = &endpoint.Client{Base: base, HTTP: r.engineClient}
	}
	r.targets[e.Name] = t
	go r.pollReports(ctx, t.Name, t.engine)
}

// pollReports reads and applies an endpoint's reports until ctx ends.
func (r *Router) pollReports(ctx context.Context, name string, e endpoint.Engine) {
	after := uint64(0)
	for ctx.Err() == nil {
		interval := r.reportInterval()
		rctx, cancel := context.WithTimeout(ctx, 2*interval)
		rep, err := e.Report(rctx, after)
		cancel()
		if err == nil {
			after = rep.NextEvent
			r.applyReport(name, rep)
		}
		select {
		case <-ctx.Done():
		case <-time.After(interval):
		}
	}
}

// reportInterval returns the time between two reads of one endpoint's report. It
// keeps the reads of all endpoints together within MaxReportRate.
func (r *Router) reportInterval() time.Duration {
	r.mu.Lock()
	n := len(r.targets)
	r.mu.Unlock()
	return max(r.MinReportInterval, time.Duration(float64(n)/r.MaxReportRate*float64(time.Second)))
}

// applyReport applies an endpoint's report and cache events to the scheduler.
func (r *Router) applyReport(name string, rep endpoint.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	sr := sched.Report{
		At:      now - time.Duration(rep.AgeMS)*time.Millisecond,
		Running: rep.Running, Waiting: rep.Waiting, PrefillTokens: rep.PrefillTokens, Slots: rep.Slots,
		Step: time.Duration(rep.StepUS) * time.Microsecond, PrefillPerStep: rep.PrefillPerStep,
		AcceptsPrompts: rep.Role != "decode" && rep.Role != "drain",
	}
	if rep.Loaded != nil {
		sr.Model = rep.Loaded.Model
	}
	r.sched.ApplyReport(now, name, sr)
	for _, ev := range rep.Events {
		r.sched.ApplyCacheEvent(name, ev.Block, ev.Evicted)
	}
	r.deliverDecisions()
}

// applyHostList applies a new reading of the platform's list. Endpoints that are
// leaving get no new requests.
func (r *Router) applyHostList(entries []keyval.ListEntry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	leaving := make(map[string]bool)
	for _, e := range entries {
		if e.Endpoint && e.Leaving {
			leaving[e.Name] = true
		}
	}
	for name, t := range r.targets {
		if leaving[name] != r.leavingEndpoints[name] {
			r.Log.Info("endpoint leaving state changed", "endpoint", name, "leaving", leaving[name])
		}
		r.sched.SetLeaving(name, t.Leaving || leaving[name])
	}
	r.leavingEndpoints = leaving
	r.deliverDecisions()
}

// isLeaving reports whether an endpoint gets no new requests because it is
// leaving or no longer a target.
func (r *Router) isLeaving(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.targets[name]
	return t == nil || t.Leaving || r.leavingEndpoints[name]
}

// target returns the target of an endpoint, or nil if the host does not watch it.
func (r *Router) target(name string) *target {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.targets[name]
}

// engineByName returns a client of a declared engine, watched or not, or nil if
// the engine is not declared.
func (r *Router) engineByName(name string) endpoint.Engine {
	if t := r.target(name); t != nil {
		return t.engine
	}
	s := r.follower.Snapshot()
	if s == nil {
		return nil
	}
	for _, e := range s.Fleet.Endpoints {
		if e.Name == name && e.Engine {
			return &endpoint.Client{Base: "http://" + e.Address, HTTP: r.engineClient}
		}
	}
	return nil
}

// AllEndpointsReported reports whether the host watches any endpoints and has a
// report of each of them.
func (r *Router) AllEndpointsReported() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name := range r.targets {
		if !r.sched.HasReport(name) {
			return false
		}
	}
	return len(r.targets) > 0
}
