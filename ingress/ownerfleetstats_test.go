// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import (
	"fmt"
	"time"

	"github.com/heathkeel/heathkeel/peers"
)

// loadStats counts the requests of one load. A request counts as served if its first output came within the objective.
type loadStats struct {
	offered, served, ran, refused, attempts int
	slotTime                                time.Duration
	longestWait                             time.Duration // at a host, of a request that was run
	sizes                                   sizes
}

// record stores samples for the hosts' reports to each other.
func (f *ownerFleet) record(keep int) {
	total := make([]int, len(f.endpoints))
	for _, h := range f.hosts {
		snapshot := append([]int(nil), h.current...)
		h.running = append(h.running, snapshot)
		if len(h.running) > keep {
			h.running = h.running[1:]
		}
		for e, n := range snapshot {
			total[e] += n
		}
	}
	f.totals = append(f.totals, total)
	if len(f.totals) > keep {
		f.totals = f.totals[1:]
	}
	sum := 0
	for _, n := range total {
		sum += n
		f.maxAt = max(f.maxAt, n)
	}
	f.peak = max(f.peak, sum)
}

// reportPeers tells a host what the others had running some time ago.
func (f *ownerFleet) reportPeers(h *ownerHost) {
	loads := peers.PeerLoads{Load: make(map[string]peers.Load), Waiting: make(map[string][]int), Age: f.cfg.age}
	if i := len(f.totals) - 1 - int(f.cfg.age/(25*time.Millisecond)); i >= 0 {
		for e, x := range f.endpoints {
			loads.Load[x.name] = peers.Load{Running: max(0, f.totals[i][e]-h.running[i][e])}
		}
		for _, o := range f.hosts {
			if o == h {
				continue
			}
			for m, w := range o.s.balance.sched.OwnWaiting() {
				if loads.Waiting[m] == nil {
					loads.Waiting[m] = make([]int, len(w))
				}
				for k, n := range w {
					loads.Waiting[m][k] += n
				}
			}
		}
	}
	h.s.balance.setPeerLoads(f.now, loads)
}

// reset starts the measurement anew.
func (f *ownerFleet) reset() {
	for _, st := range f.stats {
		*st = loadStats{}
	}
	f.peak, f.maxAt, f.busy, f.datagrams, f.bytes, f.hostWait, f.dispatched, f.since = 0, 0, 0, 0, 0, 0, 0, f.now
}

// utilization returns the share of the slot time that was used since the start.
func (f *ownerFleet) utilization() float64 {
	return f.busy.Seconds() / ((f.now - f.since).Seconds() * float64(f.cfg.endpoints*f.cfg.slots))
}

// String describes what was measured.
func (f *ownerFleet) String() string {
	out := fmt.Sprintf("peak %d of %d slots, %d at one endpoint, utilization %.3f, wait at hosts %.1f ms, %.1f datagrams and %.2f KB per second and host",
		f.peak, f.cfg.endpoints*f.cfg.slots, f.maxAt, f.utilization(), 1000*f.hostWait.Seconds()/float64(max(1, f.dispatched)),
		float64(f.datagrams)/(f.now-f.since).Seconds()/float64(f.cfg.hosts), float64(f.bytes)/1000/(f.now-f.since).Seconds()/float64(f.cfg.hosts))
	for i, st := range f.stats {
		out += fmt.Sprintf("\n  w%d: offered %d, served %.3f, ran %.3f, refusals %d", i, st.offered, float64(st.served)/float64(max(1, st.offered)), float64(st.ran)/float64(max(1, st.offered)), st.refused)
	}
	return out
}
