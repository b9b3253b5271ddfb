// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import (
	"time"

	"github.com/heathkeel/heathkeel/feed"
	"github.com/heathkeel/heathkeel/outlier"
	"github.com/heathkeel/heathkeel/sched"
)

// submit asks the scheduler for a slot.
func (b *balancer) submit(c *call) sched.Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	c.req.Settings = b.effectiveSettings(c)
	c.req.Version, c.req.Resumable = c.stream.version, c.resumable()
	c.req.Model = b.pickPool(b.now(), c)
	c.req.HomeOnly = c.relayed.from != ""
	b.zones.noteArrival(b.now(), c)
	b.holdGrants(b.now())
	d := b.sched.Submit(b.now(), c.req)
	b.noteDispatch(d)
	if d.Verdict == sched.Wait {
		b.requestSlots()
	}
	b.poll(b.now())
	return d
}

// redispatch asks for another slot after a send that ended without a response.
func (b *balancer) redispatch(c *call) sched.Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	b.removeSend(c)
	c.req.DispatchBy = c.dispatchBy(now)
	c.req.Version = c.stream.version
	c.req.Model = b.pickPool(now, c)
	b.holdGrants(now)
	d := b.sched.Redispatch(now, c.req)
	b.noteDispatch(d)
	b.poll(now)
	return d
}

// submitHedge asks for a second slot for a request, at an endpoint that has not been silent for d and was not tried. It refuses if no
// endpoint has a slot now, and if the silence seems to have a common cause and the request may wait.
func (b *balancer) submitHedge(c *call, first *sched.Request, d time.Duration, mayWait bool) sched.Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	silent, common := b.silentEndpoints(now, c.service.Name, d)
	if common && mayWait {
		return sched.Decision{Verdict: sched.Refuse}
	}
	for _, incarnation := range c.hedges.tried {
		silent[incarnation] = true
	}
	c.req.Settings, c.req.HomeOnly, c.req.Version = first.Settings, first.HomeOnly, c.stream.version
	c.req.Resumable = c.resumable()
	c.req.Model = b.pickPool(now, c)
	b.holdGrants(now)
	decision := b.hedgeBesidePeers(now, c, first, silent)
	b.noteDispatch(decision)
	b.poll(now)
	return decision
}

// silentEndpoints returns the endpoints of a service at which requests of this host run, and which have sent nothing for d; mu must be held.
// common says that requests run at several and at more than are idle, and that none of them sends anything: another endpoint would
// probably not answer sooner.
func (b *balancer) silentEndpoints(now time.Duration, service string, d time.Duration) (silent map[string]bool, common bool) {
	silent = make(map[string]bool)
	idle, busy, speaking := 0, 0, 0
	for incarnation, t := range b.targets {
		if t.Service != service || !b.getsRequests(t) {
			continue
		}
		if t.ownLoad.Running == 0 {
			idle++
			continue
		}
		busy++
		switch {
		case now-t.heardAt < d:
			speaking++
		case now-t.busySince >= d:
			silent[incarnation] = true
		}
	}
	return silent, speaking == 0 && busy > 1 && idle < busy
}

// noteFailure tells the scheduler that an endpoint failed a send.
func (b *balancer) noteFailure(c *call, f outlier.Failure) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sched.Failed(b.now(), c.req, f)
	b.changedLoads[c.endpoint.Incarnation()] = true
}

// backOff makes the scheduler send nothing to the endpoint of a call for a duration.
func (b *balancer) backOff(c *call, d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sched.BackOff(b.now(), c.req, d)
	if t := b.targets[c.endpoint.Incarnation()]; t != nil && t.inForce.rejectLimited {
		t.rejected = true
		b.requestSlots()
	}
}

// removeSend removes a send from the host's own load; mu must be held.
func (b *balancer) removeSend(c *call) {
	t := b.targets[c.endpoint.Incarnation()]
	if t == nil {
		return
	}
	b.changedLoads[c.endpoint.Incarnation()] = true
	b.requestSlots()
	t.ownLoad.Running--
	if !c.firstOutputSeen {
		t.ownLoad.Prefill -= c.req.PromptTokens
	}
	c.firstOutputSeen = false
}

// endpointCount returns the number of known endpoints.
func (b *balancer) endpointCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.targets)
}

// concurrent returns the number of other requests known to be in flight at a call's endpoint, those of other hosts included.
func (b *balancer) concurrent(c *call) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if t := b.targets[c.endpoint.Incarnation()]; t != nil {
		return max(0, t.ownLoad.Running+t.peerLoad.Running-1)
	}
	return 0
}

// registerSend registers a request as in flight at its endpoint, with the function that cancels it. It returns the function that
// ends the registration, and false if the endpoint has left or restarted, or its zone was evacuated, since it was chosen: opening a
// connection may take most of a second, and a process may wait for the processor between any two steps.
func (b *balancer) registerSend(c *call, cancel func()) (unregister func(), ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.targets[c.endpoint.Incarnation()]
	if t == nil || !b.getsRequests(t) || b.sched.Rests(b.now(), t.Incarnation()) {
		return func() {}, false
	}
	t.sends[c] = &targetSend{cancel: cancel}
	return func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		delete(t.sends, c)
	}, true
}

// noteFirstOutput records the first output of a send. elapsed is the time that it took, or 0 if it says nothing about the endpoint.
func (b *balancer) noteFirstOutput(c *call, elapsed time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.firstOutputSeen {
		return
	}
	c.firstOutputSeen = true
	if t := b.targets[c.endpoint.Incarnation()]; t != nil {
		t.heardAt = b.now()
		t.ownLoad.Prefill -= c.req.PromptTokens
		b.changedLoads[c.endpoint.Incarnation()] = true
		b.observePrefill(t, c.req.PromptTokens, elapsed)
	}
	b.sched.FirstToken(b.now(), c.req)
}

// endSend ends a send for good. elapsed is the time of a request at a plain service, or 0 if unknown.
func (b *balancer) endSend(c *call, res sched.Result, tokens int, elapsed time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	b.removeSend(c)
	if t := b.targets[c.endpoint.Incarnation()]; t != nil {
		t.step.Observe(float64(elapsed), plainQuantile)
		if res == sched.Completed {
			b.zones.noteServed(c, t, c.req.Load(), now-c.timings.lastSent)
		}
	}
	b.sched.Done(now, c.req, res, tokens)
	b.poll(now)
}

// withdraw removes a waiting request; it returns false if a decision has already been made.
func (b *balancer) withdraw(c *call) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sched.Withdraw(c.req)
}

// endpoint returns a copy of an endpoint, or the zero value if it is unknown.
func (b *balancer) endpoint(incarnation string) feed.Endpoint {
	b.mu.Lock()
	defer b.mu.Unlock()
	if t := b.targets[incarnation]; t != nil {
		return t.Endpoint
	}
	return feed.Endpoint{}
}
