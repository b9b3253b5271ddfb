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

// Floor is the lowest tier that hosts still admit in one pool of endpoints.
type Floor struct {
	// Pool is the pool's key.
	Pool uint64 `json:"pool"`
	// Rank is the rank of the lowest tier that is admitted; 0 is the highest tier.
	Rank int `json:"rank"`
	// AgeMS is the time since the shedding host set the floor, in milliseconds.
	AgeMS int64 `json:"age_ms"`
}

// Heartbeat is the message that two hosts exchange; the answer has the same form.
type Heartbeat struct {
	// From is the sender's own record.
	From Host `json:"from"`
	// Hosts are the records that changed, or all records if Full is set.
	Hosts []Host `json:"hosts,omitempty"`
	// Digest is the digest of the sender's table.
	Digest uint64 `json:"digest,string"`
	// Full asks for all records; in an answer it says that Hosts has all records.
	Full bool `json:"full,omitempty"`
	// Revision is the revision of the settings in force at the sender.
	Revision uint64 `json:"rev"`
	// Floors are the shedding floors that the sender knows of.
	Floors []Floor `json:"floors,omitempty"`
}

// Transport sends a heartbeat to an address and returns the answer.
type Transport interface {
	// Heartbeat returns an error if no answer arrives before ctx ends.
	Heartbeat(ctx context.Context, address string, hb *Heartbeat) (*Heartbeat, error)
}

// exchange sends one heartbeat and merges the answer.
func (a *Agent) exchange(ctx context.Context, to Host) {
	settings := a.localSettings()
	a.mu.Lock()
	hb := a.takeHeartbeat(to.Incarnation, settings)
	hb.Full = to.Incarnation == 0 || a.digestMismatches[to.Incarnation] >= fullSyncThreshold
	a.traffic.Sent++
	a.mu.Unlock()
	ans, err := a.Transport.Heartbeat(ctx, to.Address, hb)
	if err != nil {
		a.noteFailure(to, hb.Hosts)
		return
	}
	a.merge(ans)
	if to.Incarnation != 0 && ans.From.Incarnation != to.Incarnation {
		a.clearMissed(to)
	}
}

// clearMissed resets the count of unanswered heartbeats of a host, because another
// incarnation answers at its address.
func (a *Agent) clearMissed(to Host) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.missed, to.Incarnation)
}

// settingsState is the part of a heartbeat that does not come from the table.
type settingsState struct {
	revision uint64
	floors   []Floor
}

// localSettings returns this host's settingsState. The caller must not hold mu: Revision
// and Floors may take locks whose holders call the agent.
func (a *Agent) localSettings() settingsState {
	var l settingsState
	if a.Revision != nil {
		l.revision = a.Revision()
	}
	if a.Floors != nil {
		l.floors = a.Floors()
	}
	return l
}

// takeHeartbeat makes a heartbeat for a peer and removes from its outbox what the heartbeat
// carries; mu must be held.
func (a *Agent) takeHeartbeat(to once.Incarnation, settings settingsState) *Heartbeat {
	maxBatch := cmp.Or(a.MaxBatch, DefaultMaxBatch)
	outbox := a.outboxes[to]
	n := min(maxBatch, len(outbox))
	hb := &Heartbeat{
		From: a.table.Self, Hosts: outbox[:n:n], Digest: a.table.Digest(), Revision: settings.revision, Floors: settings.floors,
	}
	a.outboxes[to] = outbox[n:]
	if n == len(outbox) {
		delete(a.outboxes, to)
	}
	return hb
}

// noteFailure counts an unanswered heartbeat, puts its records back into the outbox and
// marks the peer as suspect once MissThreshold is reached.
func (a *Agent) noteFailure(to Host, unsent []Host) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.traffic.Failed++
	if to.Incarnation == 0 {
		return
	}
	a.outboxes[to.Incarnation] = append(unsent, a.outboxes[to.Incarnation]...)
	a.missed[to.Incarnation]++
	if a.missed[to.Incarnation] < cmp.Or(a.MissThreshold, DefaultMissThreshold) {
		return
	}
	delete(a.missed, to.Incarnation)
	delete(a.outboxes, to.Incarnation)
	if a.table.MarkSuspect(a.now(), to.Incarnation) {
		a.Log.Info("peer suspected", "peer", to.Name, "incarnation", to.Incarnation.String())
		a.distribute()
	}
}

// merge merges a peer's heartbeat or its answer to one.
func (a *Agent) merge(hb *Heartbeat) {
	a.mu.Lock()
	now := a.now()
	delete(a.missed, hb.From.Incarnation)
	before := a.memberState(hb.From.Incarnation)
	changed := a.table.MergeDirect(now, hb.From)
	changed = a.table.Merge(now, hb.Hosts) || changed
	for _, h := range a.table.TakeRejectedSuspicions() {
		a.outboxes[h.Incarnation] = append(a.outboxes[h.Incarnation], h)
	}
	if after := a.memberState(hb.From.Incarnation); before != after {
		a.Log.Info("peer "+after, "peer", hb.From.Name, "incarnation", hb.From.Incarnation.String())
	}
	if a.table.Digest() == hb.Digest {
		delete(a.digestMismatches, hb.From.Incarnation)
	} else {
		a.digestMismatches[hb.From.Incarnation]++
	}
	if hb.Full && len(hb.Hosts) > 0 {
		delete(a.digestMismatches, hb.From.Incarnation)
	}
	if changed {
		a.distribute()
	}
	a.mu.Unlock()
	if changed {
		a.SendNow()
	}
	if a.OnNewerRevision != nil && a.Revision != nil && hb.Revision > a.Revision() {
		a.OnNewerRevision(hb.Revision, hb.From.Address)
	}
	if a.ApplyFloors != nil && len(hb.Floors) > 0 {
		a.ApplyFloors(hb.Floors)
	}
}

// memberState returns the state of a member for the log; mu must be held.
func (a *Agent) memberState(id once.Incarnation) string {
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

// distribute adds the changed records to the outbox of every neighbour; mu must be held.
func (a *Agent) distribute() {
	changed := a.table.TakeChanged()
	if len(changed) == 0 {
		return
	}
	for _, h := range a.neighbors() {
		a.outboxes[h.Incarnation] = append(a.outboxes[h.Incarnation], changed...)
	}
	// Hosts that send heartbeats to this one get the changes with the answers.
	cutoff := a.now() - senderTTLIntervals*cmp.Or(a.Interval, DefaultInterval)
	for id, at := range a.lastReceived {
		if at < cutoff {
			delete(a.lastReceived, id)
			continue
		}
		if !slices.ContainsFunc(a.neighborCache, func(h Host) bool { return h.Incarnation == id }) {
			a.outboxes[id] = append(a.outboxes[id], changed...)
		}
	}
}

// senderTTLIntervals is the number of intervals without a heartbeat after which a host no
// longer counts as a sender.
const senderTTLIntervals = 4

// Receive merges a peer's heartbeat and returns the answer.
func (a *Agent) Receive(hb *Heartbeat) *Heartbeat {
	a.mu.Lock()
	a.initialize()
	a.traffic.Received++
	_, known := a.table.Find(hb.From.Incarnation)
	a.lastReceived[hb.From.Incarnation] = a.now()
	a.mu.Unlock()
	a.merge(hb)
	settings := a.localSettings()
	a.mu.Lock()
	defer a.mu.Unlock()
	ans := a.takeHeartbeat(hb.From.Incarnation, settings)
	if hb.Full || !known {
		ans.Full = true
		ans.Hosts = a.table.Hosts()
	}
	return ans
}
