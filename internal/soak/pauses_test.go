// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/heathkeel/heathkeel/internal/site"
	"github.com/heathkeel/heathkeel/platform"
)

// Limits of a pause of endpoints, and the longest time between it and the change of the configuration beside it, before or after.
const (
	minPause     = 800 * time.Millisecond
	maxPause     = 3 * time.Second
	changeOffset = 500 * time.Millisecond
)

// pauseOptions says how often endpoints pause, and what changes in the configuration beside that.
type pauseOptions struct {
	longestGap time.Duration // from the end of a pause to the next one
	changes    []func(v *configVariant)
}

// soakPauses are the pauses in a run with all faults.
var soakPauses = pauseOptions{longestGap: 4 * time.Second, changes: append(slices.Clone(limitChanges), func(v *configVariant) { v.shortObjectives = !v.shortObjectives })}

// pauseEndpoints lets all endpoints, or a random part of them, pause again and again until ctx ends, each time beside a change of the
// configuration. It draws from a source of its own, so that the other faults of a seed stay the same.
func (c *faultInjector) pauseEndpoints(ctx context.Context, r *rand.Rand, opts pauseOptions) {
	var changes sync.WaitGroup
	defer changes.Wait()
	for ctx.Err() == nil {
		pause(ctx, time.Duration(r.Int64N(int64(opts.longestGap))))
		list := c.fleet.stayingEndpoints("")
		if r.IntN(2) == 0 {
			r.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
			list = list[:1+r.IntN(len(list))]
		}
		duration := minPause + time.Duration(r.Int64N(int64(maxPause-minPause)))
		change, offset := opts.changes[r.IntN(len(opts.changes))], time.Duration(r.Int64N(2*int64(changeOffset)))
		if ctx.Err() != nil {
			return
		}
		changes.Go(func() {
			time.Sleep(offset)
			c.changeVariant(change)
		})
		time.Sleep(changeOffset)
		c.logFault(fmt.Sprintf("endpoints-pause %d for %s", len(list), duration))
		for _, m := range list {
			m.Pause(duration)
		}
		pause(ctx, duration)
	}
}

// shortStreamTimeout is the time-out of the stream routes in some variants; usually it is 8 s.
const shortStreamTimeout = 6 * time.Second

// configVariant is what differs between the configurations of a run beside versions and keys. The zero value is that of newConfig.
type configVariant struct {
	shortIdle, shortTimeout, extraRoute, shortObjectives bool
}

// apply changes a configuration. No variant is a reason to end a request that runs.
func (v configVariant) apply(d *site.Config) {
	if v.shortIdle {
		d.Limits.IdleMs = 10000
	}
	for i := range d.Routes {
		route := &d.Routes[i]
		if route.Service != site.Engines {
			continue
		}
		if v.shortTimeout {
			route.TimeoutMs = int(shortStreamTimeout.Milliseconds())
		}
		if v.shortObjectives { // hosts then take an endpoint for silent after a second
			route.SloMs, route.GapSloMs = 300, 250
		}
	}
	if v.extraRoute {
		extra := d.Routes[0]
		extra.Name, extra.PathPrefix = "extra", "/extra/"
		d.Routes = append(d.Routes, extra)
	}
}

// limitChanges change the idle limit, the time-outs and the list of routes.
var limitChanges = []func(v *configVariant){
	func(v *configVariant) { v.shortIdle = !v.shortIdle },
	func(v *configVariant) { v.shortTimeout = !v.shortTimeout },
	func(v *configVariant) { v.extraRoute = !v.extraRoute },
}

// config returns a configuration of the present variant. configMu must be held.
func (c *faultInjector) config(version int, keys [2]string) site.Config {
	d := newConfig(version, keys)
	c.variant.apply(&d)
	return d
}

// changeVariant writes a configuration of another variant with the present keys.
func (c *faultInjector) changeVariant(change func(v *configVariant)) {
	c.configMu.Lock()
	defer c.configMu.Unlock()
	change(&c.variant)
	c.configVersion++
	c.fleet.store.Put(platform.KeyConfig, c.config(c.configVersion, workspaceKeys(c.clients.currentGeneration())))
}

// finishMargin is the time by which an endpoint's work must end before the request's time does, so that the request counts. It covers
// the waits of processes for a processor.
const finishMargin = time.Second

// shortestTimeout returns the shortest time-out that the kind's route has in any variant. The deadlines of callers are longer.
func (k kind) shortestTimeout() time.Duration {
	if k.stream {
		return shortStreamTimeout
	}
	return 4 * time.Second // of site.Example
}

// finish returns when the endpoint's work on the request ends at the latest if nobody ends it before: after its own time and the pauses.
func (a arrival) finish() time.Time {
	end := a.ReceivedAt.Add(streamEvents * slowPace)
	for _, p := range a.endpoint.Pauses() {
		if from := latest(p.From, a.ReceivedAt); from.Before(end) && p.Until.After(from) {
			end = end.Add(p.Until.Sub(from))
		}
	}
	return end
}

// latest returns the later of two times.
func latest(x, y time.Time) time.Time {
	if x.After(y) {
		return x
	}
	return y
}

// paused reports whether a pause of the endpoint overlaps its work on the request.
func (a arrival) paused() bool {
	until := a.EndedAt
	if until.IsZero() {
		until = a.finish()
	}
	return slices.ContainsFunc(a.endpoint.Pauses(), func(p site.Pause) bool {
		return span{p.From, p.Until}.overlaps(a.ReceivedAt, until)
	})
}

// runsOn reports whether the endpoint goes on with the request until it ends, while nothing but its host can end it.
func (a arrival) runsOn(s *sentRequest) bool {
	m := a.endpoint
	m.mu.Lock()
	left := m.leftAt
	m.mu.Unlock()
	leaves := !left.IsZero() && left.Before(s.endedAt)
	return a.Fault == site.None && !leaves && !m.pathCutBetween(s.sentAt, s.endedAt)
}

// serves reports whether the host passes on whatever the endpoints do until a time: it is not killed, held or cut off from the caller, and
// a planned stop leaves it the time.
func (h *host) serves(s *sentRequest, until time.Time) bool {
	if h.pathCutBetween(s.sentAt, s.endedAt) {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return !slices.ContainsFunc(h.stops, func(stop span) bool {
		return stop.overlaps(s.sentAt, s.endedAt) && until.After(stop.from.Add(gracePeriod))
	})
}

// mustComplete reports whether a request has been passed on to endpoints all of which go on with it in time, so that its caller gets the
// whole answer.
func (r *record) mustComplete(s *sentRequest) bool {
	runs := r.runs[s.id]
	if len(runs) == 0 || s.callerLeft || s.slow {
		return false
	}
	for _, a := range runs {
		needed := a.finish().Add(finishMargin)
		if !a.runsOn(s) || needed.After(s.sentAt.Add(s.kind.shortestTimeout())) || !s.host.serves(s, needed) {
			return false
		}
	}
	return true
}

// endedByHosts describes the requests that hosts ended although their endpoints went on with them.
func (r *record) endedByHosts() []string {
	var out []string
	for _, s := range r.sent {
		if !r.mustComplete(s) || s.status == http.StatusOK && s.complete {
			continue
		}
		text := fmt.Sprintf("%s %s at %s ended with status %d and %d events %s after it was sent", s.id, s.kind.path, s.host.name, s.status, s.events(), s.endedAt.Sub(s.sentAt))
		for _, a := range r.runs[s.id] {
			text += fmt.Sprintf("; %s has it from %s on, paused %t, and goes on until %s at the latest", a.endpoint.Instance, a.ReceivedAt.Sub(s.sentAt), a.paused(), a.finish().Sub(s.sentAt))
		}
		out = append(out, text)
	}
	return out
}

// pausedRequests counts the requests that must complete although one of their endpoints paused, and those of them that did not.
func (r *record) pausedRequests() (counted, ended int) {
	for _, s := range r.sent {
		if !r.mustComplete(s) || !slices.ContainsFunc(r.runs[s.id], arrival.paused) {
			continue
		}
		counted++
		if s.status != http.StatusOK || !s.complete {
			ended++
		}
	}
	return counted, ended
}
