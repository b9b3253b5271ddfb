// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package fleet

import (
	"cmp"
	"context"
	"slices"

	"github.com/heathkeel/heathkeel/once"
)

// Floor is the lowest tier that a host still takes in one pool of endpoints.
type Floor struct {
	// Pool is the pool's key.
	Pool uint64 `json:"pool"`
	// Rank is the lowest tier taken there, 0 the highest tier.
	Rank int `json:"rank"`
	// AgeMS is how long ago the host that shed set it, in milliseconds.
	AgeMS int64 `json:"age_ms"`
}

// Heartbeat is what two hosts tell each other; the answer has the same form.
type Heartbeat struct {
	// From is the sender's own record.
	From Host `json:"from"`
	// Hosts are records that changed, or all with Full.
	Hosts []Host `json:"hosts,omitempty"`
	// Digest is the digest of the sender's table.
	Digest uint64 `json:"digest,string"`
	// Full asks for all records, and in an answer says that they are there.
	Full bool `json:"full,omitempty"`
	// Revision is the settings' revision in force at the sender.
	Revision uint64 `json:"rev"`
	// Floors are the shedding floors that the sender knows of.
	Floors []Floor `json:"floors,omitempty"`
}

// Transport sends a heartbeat to an address and returns the answer.
type Transport interface {
	// Heartbeat fails if no answer comes before ctx ends.
	Heartbeat(ctx context.Context, address string, hb *Heartbeat) (*Heartbeat, error)
}

// exchange sends one heartbeat and takes the answer.
func (a *Agent) exchange(ctx context.Context, to Host) {
	own := a.local()
	a.mu.Lock()
	hb := a.message(to.Incarnation, own)
	hb.Full = to.Incarnation == 0 || a.differ[to.Incarnation] >= digestRounds
	a.sent.Sent++
	a.mu.Unlock()
	ans, err := a.Transport.Heartbeat(ctx, to.Address, hb)
	if err != nil {
		a.failed(to, hb.Hosts)
		return
	}
	a.take(ans)
	if to.Incarnation != 0 && ans.From.Incarnation != to.Incarnation {
		a.replaced(to)
	}
}

// replaced notes that another incarnation answers at a host's address.
func (a *Agent) replaced(to Host) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.missed, to.Incarnation)
}

// local is what a heartbeat tells beside the table.
type local struct {
	revision uint64
	floors   []Floor
}

// local asks for it. It must be called without mu: what it calls may take locks
// whose holders ask the agent.
func (a *Agent) local() local {
	var l local
	if a.Revision != nil {
		l.revision = a.Revision()
	}
	if a.Floors != nil {
		l.floors = a.Floors()
	}
	return l
}

// message makes a heartbeat for a peer and clears its outbox; mu must be held.
func (a *Agent) message(to once.Incarnation, own local) *Heartbeat {
	batch := cmp.Or(a.MaxBatch, DefaultMaxBatch)
	box := a.outbox[to]
	n := min(batch, len(box))
	hb := &Heartbeat{
		From: a.table.Self, Hosts: box[:n:n], Digest: a.table.Digest(), Revision: own.revision, Floors: own.floors,
	}
	a.outbox[to] = box[n:]
	if n == len(box) {
		delete(a.outbox, to)
	}
	return hb
}

// failed counts a heartbeat without answer and suspects the peer after some.
func (a *Agent) failed(to Host, unsent []Host) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sent.Failed++
	if to.Incarnation == 0 {
		return
	}
	a.outbox[to.Incarnation] = append(unsent, a.outbox[to.Incarnation]...)
	a.missed[to.Incarnation]++
	if a.missed[to.Incarnation] < cmp.Or(a.MissThreshold, DefaultMissThreshold) {
		return
	}
	delete(a.missed, to.Incarnation)
	delete(a.outbox, to.Incarnation)
	if a.table.MarkSuspect(a.now(), to.Incarnation) {
		a.Log.Info("peer suspected", "peer", to.Name, "incarnation", to.Incarnation.String())
		a.distribute()
	}
}

// take merges what a peer told, as a heartbeat or as the answer to one.
func (a *Agent) take(hb *Heartbeat) {
	a.mu.Lock()
	now := a.now()
	delete(a.missed, hb.From.Incarnation)
	before := a.describe(hb.From.Incarnation)
	news := a.table.MergeDirect(now, hb.From)
	news = a.table.Merge(now, hb.Hosts) || news
	for _, h := range a.table.TakeRejectedSuspicions() {
		a.outbox[h.Incarnation] = append(a.outbox[h.Incarnation], h)
	}
	if after := a.describe(hb.From.Incarnation); before != after {
		a.Log.Info("peer "+after, "peer", hb.From.Name, "incarnation", hb.From.Incarnation.String())
	}
	if a.table.Digest() == hb.Digest {
		delete(a.differ, hb.From.Incarnation)
	} else {
		a.differ[hb.From.Incarnation]++
	}
	if hb.Full && len(hb.Hosts) > 0 {
		delete(a.differ, hb.From.Incarnation)
	}
	if news {
		a.distribute()
	}
	a.mu.Unlock()
	if news {
		a.SendNow()
	}
	if a.OnNewerRevision != nil && a.Revision != nil && hb.Revision > a.Revision() {
		a.OnNewerRevision(hb.Revision, hb.From.Address)
	}
	if a.ApplyFloors != nil && len(hb.Floors) > 0 {
		a.ApplyFloors(hb.Floors)
	}
}

// describe names the state of a member for the log; mu must be held.
func (a *Agent) describe(id once.Incarnation) string {
	h, ok := a.table.Find(id)
	switch {
	case !ok:
		return "unknown"
	case h.Gone:
		return "gone"
	case h.Suspect:
		return "suspected"
	case h.Leaving:
		return "leaving"
	}
	return "live"
}

// distribute puts changed records into the outbox of every neighbour; mu must be held.
func (a *Agent) distribute() {
	changed := a.table.TakeChanged()
	if len(changed) == 0 {
		return
	}
	for _, h := range a.neighbors() {
		a.outbox[h.Incarnation] = append(a.outbox[h.Incarnation], changed...)
	}
	// Those that send to this host get the news with its answers.
	old := a.now() - inboundIntervals*cmp.Or(a.Interval, DefaultInterval)
	for id, at := range a.inbound {
		if at < old {
			delete(a.inbound, id)
			continue
		}
		if !slices.ContainsFunc(a.peers, func(h Host) bool { return h.Incarnation == id }) {
			a.outbox[id] = append(a.outbox[id], changed...)
		}
	}
}

// inboundIntervals is the number of intervals after which a sender no longer counts as one.
const inboundIntervals = 4

// Receive takes a peer's heartbeat and returns the answer.
func (a *Agent) Receive(hb *Heartbeat) *Heartbeat {
	a.mu.Lock()
	a.init()
	a.sent.Received++
	_, known := a.table.Find(hb.From.Incarnation)
	a.inbound[hb.From.Incarnation] = a.now()
	a.mu.Unlock()
	a.take(hb)
	own := a.local()
	a.mu.Lock()
	defer a.mu.Unlock()
	ans := a.message(hb.From.Incarnation, own)
	if hb.Full || !known {
		ans.Full = true
		ans.Hosts = a.table.Hosts()
	}
	return ans
}
