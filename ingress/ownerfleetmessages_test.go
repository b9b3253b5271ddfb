// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/heathkeel/heathkeel/peers"
	"github.com/heathkeel/heathkeel/places"
)

// messageDelay returns the random delay of a message.
func (f *ownerFleet) messageDelay() time.Duration {
	return f.cfg.minDelay + time.Duration(f.rand.Int64N(int64(f.cfg.maxDelay-f.cfg.minDelay)+1))
}

// slowness returns the additional delay of a host's grants.
func (f *ownerFleet) slowness(host int) time.Duration {
	if f.slow != 0 && f.slow == host {
		return 300 * time.Millisecond
	}
	return 0
}

// trigger makes a host send its requests to slot owners soon, as peers.Agent does.
func (f *ownerFleet) trigger(h *ownerHost) {
	if h.triggered || f.cfg.withoutOwners {
		return
	}
	h.triggered = true
	f.at(3*time.Millisecond, func() {
		h.triggered = false
		f.askOwners(h)
	})
}

// askOwners sends what a host asks the owners of slots.
func (f *ownerFleet) askOwners(h *ownerHost) {
	requests, waits := h.s.SlotRequests(false)
	h.waits = waits
	h.seq++
	seq, from := h.seq, f.index(h)
	byOwner := make(map[int]map[string]places.Request)
	for e, x := range f.endpoints {
		r, ok := requests[x.name]
		if !ok {
			continue
		}
		owner := x.owner
		if f.split && from >= len(f.hosts)/2 {
			owner = (len(f.hosts) - 1 - e) % len(f.hosts)
		}
		if byOwner[owner] == nil {
			byOwner[owner] = make(map[string]places.Request)
		}
		byOwner[owner][x.name] = r
	}
	if h.down {
		return
	}
	for o := range f.hosts {
		part := byOwner[o]
		if part == nil {
			continue
		}
		handle := func() {
			if !f.hosts[o].down {
				f.sendGrants(o, f.hosts[o].s.HandleSlotRequests(fmt.Sprint(from), 1, seq, part))
			}
		}
		if o == from {
			handle()
			continue
		}
		f.count(&peers.SlotRequests{Host: "host-10-0-0-1", Incarnation: 1 << 50, Seq: seq, Requests: part})
		f.at(f.messageDelay(), handle)
	}
}

// sendGrants sends grants to hosts.
func (f *ownerFleet) sendGrants(owner int, grants map[string]map[string]places.Grant) {
	for i, h := range f.hosts {
		part := grants[fmt.Sprint(i)]
		if part == nil {
			continue
		}
		apply := func() {
			if !h.down {
				h.s.HandleGrants(part)
				f.collect(h)
			}
		}
		if i == owner {
			apply()
			continue
		}
		f.count(&peers.Grants{Host: "host-10-0-0-1", To: 1 << 50, Grants: part})
		f.at(f.messageDelay()+f.slowness(owner), apply)
	}
}

// count counts a datagram.
func (f *ownerFleet) count(msg any) {
	f.datagrams++
	if f.cfg.measureBytes {
		data, _ := json.Marshal(msg)
		f.bytes += len(data) + 1 + 28 // the kind, and the headers of IP and UDP
	}
}
