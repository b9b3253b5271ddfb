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

// setEndpoints takes the declared endpoints and watches this host's part of them.
func (r *Router) setEndpoints(list []settings.Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	watched := watchedPart(list, r.Self.Name, r.MaxWatched)
	specs := make([]sched.Endpoint, 0, len(watched))
	keep := make(map[string]bool, len(watched))
	for _, e := range watched {
		keep[e.Name] = true
		specs = append(specs, sched.Endpoint{
			Name: e.Name, Engine: e.Engine, Slots: e.Slots, Leaving: e.Leaving || r.leaving[e.Name],
		})
		r.setTarget(e)
	}
	for name, t := range r.endpoints {
		if !keep[name] {
			t.stop()
			delete(r.endpoints, name)
		}
	}
	r.sched.SetEndpoints(specs)
	r.pump()
}

// watchedPart returns all plain services and, of the engines, at most n, chosen
// by rendezvous hashing of host and endpoint.
func watchedPart(list []settings.Endpoint, host string, n int) []settings.Endpoint {
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

// setTarget makes or replaces the means to reach an endpoint; mu must be held.
func (r *Router) setTarget(e settings.Endpoint) {
	old := r.endpoints[e.Name]
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
		t.engine = &endpoint.Client{Base: base, HTTP: r.engines}
	} else {
		t.service = &endpoint.Service{Base: base, Transport: r.plain}
		// Reports of services may reuse connections; calls may not.
		t.engine = &endpoint.Client{Base: base, HTTP: r.engines}
	}
	r.endpoints[e.Name] = t
	go r.watch(ctx, t.Name, t.engine)
}

// watch reads an endpoint's reports until ctx ends.
func (r *Router) watch(ctx context.Context, name string, e endpoint.Engine) {
	after := uint64(0)
	for ctx.Err() == nil {
		every := r.reportPause()
		rctx, cancel := context.WithTimeout(ctx, 2*every)
		rep, err := e.Report(rctx, after)
		cancel()
		if err == nil {
			after = rep.NextEvent
			r.takeReport(name, rep)
		}
		select {
		case <-ctx.Done():
		case <-time.After(every):
		}
	}
}

// reportPause is the time between reads of one endpoint's report, so that all
// together keep to the rate.
func (r *Router) reportPause() time.Duration {
	r.mu.Lock()
	n := len(r.endpoints)
	r.mu.Unlock()
	return max(r.MinReportInterval, time.Duration(float64(n)/r.MaxReportRate*float64(time.Second)))
}

// takeReport hands a report to the scheduler.
func (r *Router) takeReport(name string, rep endpoint.Report) {
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
	r.pump()
}

// listed takes a reading of the platform's list: endpoints that leave get no new work.
func (r *Router) listed(entries []keyval.ListEntry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	leaving := make(map[string]bool)
	for _, e := range entries {
		if e.Endpoint && e.Leaving {
			leaving[e.Name] = true
		}
	}
	for name, t := range r.endpoints {
		if leaving[name] != r.leaving[name] {
			r.Log.Info("endpoint leaving", "endpoint", name, "leaving", leaving[name])
		}
		r.sched.SetLeaving(name, t.Leaving || leaving[name])
	}
	r.leaving = leaving
	r.pump()
}

// isLeaving reports whether an endpoint gets no new work.
func (r *Router) isLeaving(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.endpoints[name]
	return t == nil || t.Leaving || r.leaving[name]
}

// target returns the means to reach an endpoint, or nil.
func (r *Router) target(name string) *target {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.endpoints[name]
}

// anyEngine returns a client for any declared engine, watched or not, or nil.
func (r *Router) anyEngine(name string) endpoint.Engine {
	if t := r.target(name); t != nil {
		return t.engine
	}
	s := r.follower.Snapshot()
	if s == nil {
		return nil
	}
	for _, e := range s.Fleet.Endpoints {
		if e.Name == name && e.Engine {
			return &endpoint.Client{Base: "http://" + e.Address, HTTP: r.engines}
		}
	}
	return nil
}

// AllEndpointsReported reports whether every endpoint that the host watches has reported.
func (r *Router) AllEndpointsReported() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name := range r.endpoints {
		if !r.sched.HasReport(name) {
			return false
		}
	}
	return len(r.endpoints) > 0
}
