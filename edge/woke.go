// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package edge

import (
	"sync/atomic"
	"time"

	"github.com/heathkeel/heathkeel/clock"
)

// maxUnconfirmedTime is the time after which a host that woke and hears nothing goes on with what it knew, by the rules for an outage of
// the store. Peers prove what they know within 0.21 s, at 300 hosts too (TestWokenHostIsBack), the store within a call.
const maxUnconfirmedTime = time.Second

// gapState is what a host knows of times in which it did not run.
type gapState struct {
	endedAt     atomic.Int64 // when it woke last, in nanoseconds of its clock, until what it knows is proven again; else 0
	peerLevelAt atomic.Int64 // when a peer told last that it knows no more than this host
	count       atomic.Int64
	totalMS     atomic.Int64 // the sum of all gaps
}

// noteGap is called once after each time in which the process did not run, before anything else acts on what it knew. Whether the host was
// suspended or the process stood still makes no difference to the world outside.
func (h *Host) noteGap(g clock.Gap) {
	gap := g.Ended - g.Began
	h.gaps.endedAt.Store(int64(g.Ended))
	h.gaps.count.Add(1)
	h.gaps.totalMS.Add(gap.Milliseconds())
	h.Log.Info("did not run", "for_ms", gap.Milliseconds(), "suspended_ms", g.Suspended.Milliseconds(), "active", h.ingress.Active())
	h.ingress.NoteGap(g)
	h.agent.NoteGap(gap)
	// Who is at the other end has mostly given the connections up.
	h.store.HTTP.CloseIdleConnections()
	h.peerHTTP.CloseIdleConnections()
	h.settings.NoteGap()
	h.endpoints.NoteGap()
	h.hostRegistry.NoteGap()
}

// unconfirmed reports whether the host woke and has heard nothing of settings and endpoints since: neither a proof that they were the
// newest after that, nor a peer that knows no more. While the store is down the second is all that there is, and makes this host as
// good as the others.
func (h *Host) unconfirmed() bool {
	endedAt := h.gaps.endedAt.Load()
	if endedAt == 0 {
		return false
	}
	now, gapEnd := h.now(), time.Duration(endedAt)
	view, listed := h.endpoints.View()
	age, known := h.settings.Age.At(now)
	confirmed := listed && view.ProvenAt >= gapEnd && known && now-age >= gapEnd
	if peerLevel := time.Duration(h.gaps.peerLevelAt.Load()); now-gapEnd < maxUnconfirmedTime && !confirmed && peerLevel < gapEnd {
		return true
	}
	h.gaps.endedAt.CompareAndSwap(endedAt, 0)
	return false
}
