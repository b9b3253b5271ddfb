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

// NoteGap notes that the process did not run for a time. Calls past their deadlines are ended, connections that rested are closed, since endpoints
// have mostly closed them, and what is learned of requests under way leaves the time out.
func (s *Server) NoteGap(g clock.Gap) {
	s.deadlines.resetTimers()
	s.pool.CloseIdle()
	s.balance.noteGap(g.Ended - g.Began)
}

// noteGap takes a time in which the process did not run out of what is learned.
func (b *balancer) noteGap(gap time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sched.NoteGap(gap)
}

// unconfirmedRetryAfter is the time after which a request comes back to a host that woke: hosts prove to each other what they know each 0.2 s.
const unconfirmedRetryAfter = 250 * time.Millisecond

// checkConfirmed refuses requests while the host has heard nothing since it woke: it may know endpoints that left, and keys that were withdrawn.
func (c *call) checkConfirmed() *refusal {
	if c.s.Unconfirmed == nil || !c.s.Unconfirmed() {
		return nil
	}
	c.s.Count.Unproven.Add(1)
	return &refusal{status: http.StatusServiceUnavailable, why: "this host did not run for a while; use another, or come back", retryAfter: unconfirmedRetryAfter}
}

// recheck looks, at the last moment before the request is sent, at what it was admitted by. The process may not have run for a while
// since: then what it knew of keys and endpoints may be as old as that.
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
	if f := c.checkListAge(); f != nil {
		return f
	}
	return c.checkHeld()
}

// checkListAge refuses a request while the list of endpoints is too old: some in it may have left longer ago than they may get work. The list
// gets old by what this host does not do in time, by others that tell it nothing and by calls that fail; none of these is bounded, so the
// promise is kept here.
func (c *call) checkListAge() *refusal {
	if c.s.ListUsable == nil || c.s.ListUsable() {
		return nil
	}
	c.s.Count.OldList.Add(1)
	return &refusal{status: http.StatusServiceUnavailable, why: "the list of endpoints is too old; use another host, or come back", retryAfter: unconfirmedRetryAfter}
}

// checkKey refuses a request whose key is known no more, or for which the settings have become too old.
func (c *call) checkKey() *refusal {
	if c.workspace == nil {
		return nil
	}
	if !c.s.acceptsKeys() {
		return c.refuseStaleKeys()
	}
	src := c.s.Settings.Current()
	if src.Table == c.table || c.workspaceForKey(src.Table) != nil {
		return nil
	}
	c.s.Count.NoKey.Add(1)
	return c.refuseUnknown(http.StatusUnauthorized, "the key was withdrawn while the request waited")
}

// refuseStaleKeys refuses a request with a key because the settings are too old to know which were withdrawn.
func (c *call) refuseStaleKeys() *refusal {
	c.s.Count.Stale.Add(1)
	return &refusal{status: http.StatusServiceUnavailable, why: "settings are too old for keys; use another host", retryAfter: time.Second}
}

// workspaceForKey finds the workspace of the caller's key, or nil.
func (c *call) workspaceForKey(t *route.Table) *route.Workspace {
	key, ok := strings.CutPrefix(c.r.Header.Get("Authorization"), c.s.Headers.KeyScheme)
	if !ok {
		return nil
	}
	return t.Workspace(strings.TrimSpace(key))
}
