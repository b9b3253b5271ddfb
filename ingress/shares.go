// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import (
	"time"

	"github.com/heathkeel/heathkeel/outcome"
	"github.com/heathkeel/heathkeel/places"
)

const (
	// shareLine is the kind of the log lines about workspaces that are limited by their share of slots.
	shareLine outcome.Kind = "share limited"
	// maxSharesShown limits the workspaces in the metrics.
	maxSharesShown = 256
	// minPassed is the number of times within a second that a workspace is passed over from which it counts as limited: fewer are usual
	// when several requests wait for the same slot.
	minPassed = 20
)

// WorkspaceSlots is what a workspace got of the slots that this host owns.
type WorkspaceSlots struct {
	// Granted is the number of slots granted for it, and Passed the number of times that one of its hosts waited while a slot went to a
	// workspace of the same tier that had received less.
	Granted int64 `json:"granted"`
	Passed  int64 `json:"passed"`
	// LimitedSeconds is the number of seconds in which it was passed over more often than served.
	LimitedSeconds int64 `json:"limited_s"`
}

// WorkspaceSlots returns what workspaces got of the slots that this host owns, since its start.
func (s *Server) WorkspaceSlots() map[string]WorkspaceSlots {
	b := s.balance
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]WorkspaceSlots, len(b.slots.usage))
	for w, u := range b.slots.usage {
		out[w] = *u
	}
	return out
}

// sweepShares adds up what workspaces got in the last second, and logs which of them were limited by their share.
func (s *Server) sweepShares(now time.Duration) {
	for w, u := range s.balance.sweepShares() {
		s.Count.ShareLimited.Add(1)
		s.mu.Lock()
		limiter := s.lineLimiters[shareLine]
		if limiter == nil {
			limiter = &outcome.LineLimiter{Rate: 0.1, Burst: 10}
			s.lineLimiters[shareLine] = limiter
		}
		dropped, ok := limiter.Allow(now)
		s.mu.Unlock()
		if !ok {
			s.Count.LinesDropped.Add(1)
			continue
		}
		s.Log.Info("workspace is limited by its share of slots; if it needs more, raise its weight or add endpoints", "workspace", w, "granted", u.Granted, "passed", u.Passed, "lines_dropped", dropped)
	}
}

// sweepShares returns the workspaces that were limited since the last call.
func (b *balancer) sweepShares() map[string]places.Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	recent := make(map[string]places.Usage)
	for _, a := range b.slots.allocators {
		a.TakeUsage(func(workspace string, _ int, u places.Usage) {
			sum := recent[workspace]
			sum.Granted += u.Granted
			sum.Passed += u.Passed
			recent[workspace] = sum
		})
	}
	for w, u := range recent {
		limited := u.Passed >= minPassed && u.Passed > u.Granted
		if total := b.slots.usageOf(w); total != nil {
			total.Granted += u.Granted
			total.Passed += u.Passed
			if limited {
				total.LimitedSeconds++
			}
		}
		if !limited {
			delete(recent, w)
		}
	}
	return recent
}

// usageOf returns the sums of a workspace, or nil if there are too many workspaces.
func (o *slotOwner) usageOf(workspace string) *WorkspaceSlots {
	u := o.usage[workspace]
	if u == nil && len(o.usage) < maxSharesShown {
		u = &WorkspaceSlots{}
		o.usage[workspace] = u
	}
	return u
}
