// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import (
	"net/http"
	"strings"
	"time"

	"github.com/heathkeel/heathkeel/clock"
	"github.com/heathkeel/heathkeel/route"
)

// NoteGap handles a time in which the process did not run. It cancels calls past their deadlines, closes idle connections, since
// endpoints have mostly closed them, and excludes the gap from what is learned of requests in flight.
func (s *Server) NoteGap(g clock.Gap) {
	s.deadlines.resetTimers()
	s.pool.CloseIdle()
	s.balance.noteGap(g.Ended - g.Began)
}

// noteGap excludes a time in which the process did not run from what is learned.
func (b *balancer) noteGap(gap time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sched.NoteGap(gap)
}

// unconfirmedRetryAfter is the Retry-After of requests refused after a gap: hosts confirm to each other what they know every 0.2 s.
const unconfirmedRetryAfter = 250 * time.Millisecond

// checkConfirmed refuses requests while the host has received no confirmation since a gap: it may still list endpoints that have left
// and keys that were withdrawn.
func (c *call) checkConfirmed() *refusal {
	if c.s.Unconfirmed == nil || !c.s.Unconfirmed() {
		return nil
	}
	c.s.Count.Unproven.Add(1)
	return &refusal{status: http.StatusServiceUnavailable, why: "this host did not run for a while; use another, or come back", retryAfter: unconfirmedRetryAfter}
}

// recheck repeats, at the last moment before a send, the checks by which the request was admitted. The process may not have run for a
// while since, so that what it knew of keys and endpoints may be that much older.
func (c *call) recheck() *refusal {
	c.s.Watch.Check()
	if c.s.Watch.GapSince(c.arrived) {
		if f := c.checkConfirmed(); f != nil {
			return f
		}
		if f := c.checkKey(); f != nil {
			return f
		}
	}
	for _, check := range []func() *refusal{c.checkListAge, c.checkSettingsNow, c.checkHeld} {
		if f := check(); f != nil {
			return f
		}
	}
	return nil
}

// checkSettingsNow refuses a request while the settings are too old now: an order to evacuate the endpoint's zone may be missing.
func (c *call) checkSettingsNow() *refusal {
	_, age := c.s.Settings.InForce()
	return c.checkSettingsAge(age)
}

// checkListAge refuses a request while the endpoint list is too old: it may contain endpoints that left longer ago than they may
// get work. The list ages when this host is slow, when other hosts report nothing and when calls to the store fail; none of these
// is bounded, so the limit is enforced here.
func (c *call) checkListAge() *refusal {
	if c.s.ListUsable == nil || c.s.ListUsable() {
		return nil
	}
	c.s.Count.OldList.Add(1)
	return &refusal{status: http.StatusServiceUnavailable, why: "the list of endpoints is too old; use another host, or come back", retryAfter: unconfirmedRetryAfter}
}

// checkKey refuses a request whose key is no longer known, or for which the settings have become too old.
func (c *call) checkKey() *refusal {
	if c.workspace == nil {
		return nil
	}
	src, age := c.s.Settings.InForce()
	if !c.s.acceptsKeys(age) {
		return c.refuseStaleKeys()
	}
	if src.Table == c.table || c.workspaceForKey(src.Table) != nil {
		return nil
	}
	c.s.Count.NoKey.Add(1)
	return c.refuseUnknown(age, http.StatusUnauthorized, "the key was withdrawn while the request waited")
}

// refuseStaleKeys refuses a request with a key because the settings are too old to show which keys were withdrawn.
func (c *call) refuseStaleKeys() *refusal {
	c.s.Count.Stale.Add(1)
	return &refusal{status: http.StatusServiceUnavailable, why: "settings are too old for keys; use another host", retryAfter: time.Second}
}

// workspaceForKey returns the workspace of the caller's key, or nil.
func (c *call) workspaceForKey(t *route.Table) *route.Workspace {
	key, ok := strings.CutPrefix(c.r.Header.Get("Authorization"), c.s.Headers.KeyScheme)
	if !ok {
		return nil
	}
	return t.Workspace(strings.TrimSpace(key))
}
