// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package edge

import (
	"sync/atomic"
	"time"

	"github.com/heathkeel/heathkeel/clock"
)

// maxUnconfirmedTime is the time after a gap for which a host waits for confirmation of what it
// knows. After that it continues by the rules for an outage of the store. Peers prove what they
// know within 0.21 s, also among 300 hosts (TestResumedHostRejoins), and the store answers within
// one call.
const maxUnconfirmedTime = time.Second

// gapState describes the gaps in which the process did not run.
type gapState struct {
	endedAt        atomic.Int64 // end of the last gap in nanoseconds of the host's clock, 0 once its knowledge is confirmed again
	resumedAt      atomic.Int64 // the same for good, 0 if there was no gap
	nothingNewerAt atomic.Int64 // when a peer last proved that it knows nothing newer than this host
	count          atomic.Int64
	totalMS        atomic.Int64 // total duration of all gaps
}

// noteGap is called once after each gap in which the process did not run, before anything else uses
// what the host knew. It treats a suspension of the host and a stall of the process alike, since
// they look the same from outside.
func (h *Host) noteGap(g clock.Gap) {
	gap := g.Ended - g.Began
	h.gaps.endedAt.Store(int64(g.Ended))
	h.gaps.resumedAt.Store(int64(g.Ended))
	h.gaps.count.Add(1)
	h.gaps.totalMS.Add(gap.Milliseconds())
	h.Log.Info("did not run", "for_ms", gap.Milliseconds(), "suspended_ms", g.Suspended.Milliseconds(), "active", h.ingress.Active())
	h.ingress.NoteGap(g)
	h.agent.NoteGap(gap)
	// The other ends have usually given up the connections by now.
	h.store.HTTP.CloseIdleConnections()
	h.peerHTTP.CloseIdleConnections()
	h.settings.NoteGap()
	h.endpoints.NoteGap()
	h.hostRegistry.NoteGap()
}

// unconfirmed reports whether the host has had a gap and since then neither a proof that its
// settings and endpoints are the newest nor a peer that has no newer ones. While the store is down,
// only the second is possible; it makes this host as good as the others.
func (h *Host) unconfirmed() bool {
	endedAt := h.gaps.endedAt.Load()
	if endedAt == 0 {
		return false
	}
	now, gapEnd := h.now(), time.Duration(endedAt)
	view, listed := h.endpoints.View()
	age, known := h.settings.Age.At(now)
	confirmed := listed && view.ProvenAt >= gapEnd && known && now-age >= gapEnd
	if nothingNewer := time.Duration(h.gaps.nothingNewerAt.Load()); now-gapEnd < maxUnconfirmedTime && !confirmed && nothingNewer < gapEnd {
		return true
	}
	h.gaps.endedAt.CompareAndSwap(endedAt, 0)
	return false
}
