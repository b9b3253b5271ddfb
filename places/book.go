// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package places

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Parameters of the allocator.
const (
	// grantTTL is the time in which a granted slot is to be taken. It covers a datagram each way
	// between zones of different regions, and the wait of a slow host for its processor.
	grantTTL = 80 * time.Millisecond
	// requestTTL is the time for which a host's request for a slot counts; the host repeats it
	// within that time.
	requestTTL = 120 * time.Millisecond
	// hostTTL is the silence after which a host's last message no longer counts: twice the
	// interval between its messages, plus half of one.
	hostTTL = 2500 * time.Millisecond
)

// Request is a host's message to the owner of an endpoint's slots.
type Request struct {
	// Running is the number of the host's requests at the endpoint.
	Running int `json:"r"`
	// Rank is the highest tier for which it wants a slot, 0 the highest, -1 for none.
	Rank int `json:"k"`
	// Returned says that a granted slot is not taken. A host that no longer wants a slot may still
	// receive one whose grant was in flight.
	Returned bool `json:"b,omitempty"`
	// Rejected says that an endpoint that crashes when it has to reject requests rejected one of the host.
	Rejected bool `json:"f,omitempty"`
	// NeedsGrant says that the endpoint stated a limit for which the host sends no request there without a grant.
	NeedsGrant bool `json:"n,omitempty"`
	// Wants says for which workspaces it wants the slot. Without them, a request counts as one of workspace "" and of Rank.
	Wants Wants `json:"w,omitzero"`
	// Stated is the latest load that the endpoint stated to the host since its last message, nil for none.
	Stated *StatedLoad `json:"l,omitempty"`
}

// Grant is the owner's answer.
type Grant struct {
	// Slots is the number of slots that the host may take.
	Slots int `json:"p,omitempty"`
	// Running is the number of requests of all hosts at the endpoint.
	Running int `json:"r"`
	// Workspace is the one for which the slots are granted.
	Workspace string `json:"w,omitempty"`
	// Slow is how long work takes at the endpoint by its statements, in hundredths of the usual time; 0 stands for 100.
	Slow int `json:"x,omitempty"`
}

// Allocator allocates the slots of one endpoint, and the requests per second that it takes from all hosts
// together if it limits them. The zero value is empty and has no such limit.
type Allocator struct {
	// GrantAhead allows grants beyond the slots for the time that messages take.
	GrantAhead bool

	hosts       map[string]*hostState
	order       []*hostState // the same; maps take ten times as long to iterate
	shares      shares
	limited     bool
	rate        float64 // requests per second, if limited
	pacer       pacer
	pausedUntil time.Duration // no grants until then
}

// rejectPause is the time without grants after an endpoint rejected a request: endpoints that crash count
// what they reject within a second.
const rejectPause = time.Second

// SetRate limits the grants per second.
func (a *Allocator) SetRate(perSecond float64) { a.limited, a.rate = true, perSecond }

// LiftRate ends the limit on the grants per second.
func (a *Allocator) LiftRate() { a.limited, a.pacer = false, pacer{} }

// NoteOwn records the owner's own requests at the endpoint and the grants that it holds, which it knows without
// a message.
func (a *Allocator) NoteOwn(now time.Duration, self string, running, granted int) {
	if a.hosts == nil {
		a.hosts = make(map[string]*hostState)
	}
	h := a.hosts[self]
	if h == nil {
		h = &hostState{rank: -1}
		a.add(self, h)
	}
	h.take(now, &a.shares, running-h.running)
	h.end(now, &a.shares, h.running-running)
	h.dropOldest(&a.shares, len(h.grants)-granted) // the owner's own grants expire without a message
	h.running, h.granted, h.grantExpiry = running, granted, now+grantTTL
	h.updatedAt = max(h.updatedAt, now-requestTTL-1) // its want of a slot is as old as its message
}

// TakeOwn takes a slot for the owner without a message while fewer than limit are taken, and reports whether it
// may: not while a host wants a slot, so that the owner's requests do not go before those of a higher tier
// elsewhere.
func (a *Allocator) TakeOwn(now time.Duration, limit int) bool {
	return now >= a.pausedUntil && !a.Wanted(now) && a.used(now) < limit && (!a.limited || a.pacer.take(now, a.rate))
}

// ReturnOwn returns a slot that TakeOwn took and that was not used.
func (a *Allocator) ReturnOwn() { a.pacer.put(1) }

// used returns the number of slots that are taken or granted.
func (a *Allocator) used(now time.Duration) int {
	n := a.Running(now)
	for _, h := range a.order {
		if now >= h.grantExpiry {
			h.dropGrants(&a.shares)
		}
		n += h.granted
	}
	return n
}

// add adds the state of a host, or replaces it.
func (a *Allocator) add(host string, h *hostState) {
	h.name = host
	if old := a.hosts[host]; old != nil {
		a.remove(old)
	}
	a.hosts[host] = h
	a.order = append(a.order, h)
}

// remove removes the state of a host.
func (a *Allocator) remove(h *hostState) {
	h.dropGrants(&a.shares)
	delete(a.hosts, h.name)
	if i := slices.Index(a.order, h); i >= 0 {
		a.order = slices.Delete(a.order, i, i+1)
	}
}

// Wanted reports whether a host wants a slot.
func (a *Allocator) Wanted(now time.Duration) bool {
	for _, h := range a.order {
		if h.wantsSlot(now) {
			return true
		}
	}
	return false
}

// wantsSlot reports whether a host wants a slot and has no grant.
func (h *hostState) wantsSlot(now time.Duration) bool {
	return h.rank >= 0 && h.granted == 0 && now-h.updatedAt <= requestTTL
}

// hostState is the last message of a host, and the slots granted to it.
type hostState struct {
	shareState
	name        string
	incarnation uint64
	seq         uint32
	running     int
	rank        int
	updatedAt   time.Duration
	granted     int
	grantExpiry time.Duration // end of the time to take the granted slots
}

// Update applies a message of a host, from the given incarnation of its process. It ignores
// messages that arrive out of order. An increase of the host's running requests uses up the slots
// granted to it.
func (a *Allocator) Update(now time.Duration, host string, incarnation uint64, seq uint32, req Request) {
	if a.hosts == nil {
		a.hosts = make(map[string]*hostState)
	}
	h := a.hosts[host]
	if h == nil || h.incarnation != incarnation || now-h.updatedAt > hostTTL {
		h = &hostState{incarnation: incarnation}
		a.add(host, h)
	}
	if seq <= h.seq && h.seq != 0 && h.seq-seq < 1<<31 {
		return
	}
	req.Running = max(0, req.Running)
	h.granted = max(0, h.granted-max(0, req.Running-h.running))
	h.take(now, &a.shares, req.Running-h.running)
	h.end(now, &a.shares, h.running-req.Running)
	if req.Rejected {
		a.pausedUntil = now + rejectPause
	}
	if req.Returned {
		if now < h.grantExpiry {
			a.pacer.put(h.granted)
		}
		h.dropGrants(&a.shares)
	}
	h.setWants(&a.shares, &req)
	h.seq, h.running, h.rank, h.updatedAt = seq, req.Running, req.Rank, now
}

// Running returns the number of requests at the endpoint according to the hosts' messages.
func (a *Allocator) Running(now time.Duration) int {
	n := 0
	for i := len(a.order) - 1; i >= 0; i-- {
		h := a.order[i]
		if now-h.updatedAt > hostTTL {
			a.remove(h)
			continue
		}
		n += h.running
	}
	return n
}

// Allocate grants free slots as AllocateShares does, and returns a host for each slot.
func (a *Allocator) Allocate(now time.Duration, limit func(rank int) int, r *rand.Rand) []string {
	var out []string
	for _, x := range a.AllocateShares(now, limit, r) {
		out = append(out, x.Host)
	}
	return out
}

// AllocateShares grants free slots; limit returns the number of requests up to which a tier may fill
// the endpoint. Higher tiers get slots first, and within a tier the workspaces that have received
// the least of the endpoint's time for their weight.
func (a *Allocator) AllocateShares(now time.Duration, limit func(rank int) int, r *rand.Rand) []Allocation {
	used := a.used(now)
	var out []Allocation
	for now >= a.pausedUntil {
		h, f := a.nextShare(now, r)
		if h == nil {
			return out
		}
		if n := limit(f.rank); used >= n+a.inTransit(n) || (a.limited && !a.pacer.take(now, a.rate)) {
			return out
		}
		h.grants = append(h.grants, use{flow: f, charged: a.shares.charge(f), grantedAt: now})
		h.granted++
		h.grantExpiry = now + grantTTL
		a.notePassed(now, f)
		used++
		out = append(out, Allocation{h.name, f.workspace, f.rank})
	}
	return out
}

// OthersRunning returns the number of requests of all hosts but one; their granted slots count as
// taken.
func (a *Allocator) OthersRunning(now time.Duration, host string) int {
	n := a.Running(now)
	for _, h := range a.order {
		if h.name != host && now < h.grantExpiry {
			n += h.granted
		}
	}
	if h := a.hosts[host]; h != nil {
		n -= h.running
	}
	return n
}
