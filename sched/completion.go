// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package sched

import (
	"math"
	"slices"
	"time"
)

// minIdleCompletion returns the shortest time to the end of the answer among the pool's endpoints
// if they were idle.
func (s *Scheduler) minIdleCompletion(now time.Duration, r *Request) time.Duration {
	least := time.Duration(1<<63 - 1)
	for _, e := range r.pool.members {
		least = min(least, s.idleCompletion(r, e))
	}
	return least
}

// tooLate reports whether no endpoint is fast enough to end a waiting request in time; running it would
// only take room from others.
func (s *Scheduler) tooLate(now time.Duration, r *Request) bool {
	return !s.cfg.Disabled.EarlyRefusal && now+s.fastestCompletion(now, r) > r.Deadline
}

// fastestCompletion returns the shortest time to the end of the answer over the pool's usable endpoints
// if they were idle, and 0 if there are none.
func (s *Scheduler) fastestCompletion(now time.Duration, r *Request) time.Duration {
	least := time.Duration(math.MaxInt64)
	for _, e := range r.pool.members {
		if r.pool.usable(now, e) {
			least = min(least, s.idleCompletion(r, e))
		}
	}
	if least == math.MaxInt64 {
		return 0
	}
	return least
}

// needsFastEndpoint reports whether some usable endpoints are too slow to end a request in time.
func (s *Scheduler) needsFastEndpoint(now time.Duration, r *Request) bool {
	return slices.ContainsFunc(r.pool.members, func(e *endpointState) bool {
		return r.pool.usable(now, e) && now+s.idleCompletion(r, e) > r.Deadline
	})
}

// fastEndpointWait is the factor by which a request waits longer that needs a fast endpoint: it may take few of the slots that become free,
// and in a shortage the slow endpoints have most of those that are left to the lowest tier.
const fastEndpointWait = 3

// extendWait makes a request wait longer for a slot. The rest of a stream does not: its caller has waited already, and gives up soon.
func (r *Request) extendWait(now time.Duration) {
	if r.DispatchBy > now {
		r.DispatchBy = now + fastEndpointWait*(r.DispatchBy-now)
	}
}

// idleCompletion returns the time to the end of the answer at an endpoint if it were idle.
func (s *Scheduler) idleCompletion(r *Request, e *endpointState) time.Duration {
	if !e.Engine {
		return e.step()
	}
	return e.prefillTime(r.PromptTokens) + time.Duration(r.expectedOutput)*e.step()
}
