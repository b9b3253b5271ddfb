// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import (
	"math/rand/v2"
	"time"

	"github.com/heathkeel/heathkeel/places"
)

// fullSendInterval is the time after which unchanged requests are sent to slot owners again: less than half of the time after
// which owners forget them.
const fullSendInterval = time.Second

// wantInterval is the time after which an unchanged want of a slot is sent again: every second round of requests repeats it, and owners
// keep it for three rounds (requestTTL of package places). Without it, each dispatch and each end of a request repeated all wants: a
// host of 64 at 1.2 times the capacity sent and received 2,000 datagrams a second.
const wantInterval = 75 * time.Millisecond

// slotOwner is the state of a host as the owner of slots, and what it last sent to other owners.
type slotOwner struct {
	allocators   map[string]*places.Allocator // by incarnation of the endpoint
	sentRequests map[string]places.Request    // what the owners know of this host
	usage        map[string]*WorkspaceSlots   // by workspace
	wantSentAt   map[string]time.Duration     // when the owners were last asked for a slot
	returned     map[string]bool              // incarnations at which a granted slot was not needed
	lastFullSend time.Duration                // when all requests were last sent to their owners
	rand         *rand.Rand
	slowNotices  noticeBudget
}

// ZoneOf implements peers.SlotHost.
func (s *Server) ZoneOf(endpoint string) string {
	b := s.balance
	b.mu.Lock()
	defer b.mu.Unlock()
	if t := b.targets[endpoint]; t != nil {
		return t.Endpoint.Zone
	}
	return ""
}

// SlotRequests implements peers.SlotHost.
func (s *Server) SlotRequests(grantsOnly bool) (map[string]places.Request, bool) {
	b := s.balance
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	ranks := b.sched.SlotRequests(now, grantsOnly)
	sendAll := now-b.slots.lastFullSend >= fullSendInterval
	if sendAll {
		b.slots.lastFullSend = now
	}
	out := make(map[string]places.Request)
	for incarnation, t := range b.targets {
		if grantsOnly && !t.inForce.any() {
			continue
		}
		request := places.Request{Running: b.sched.InFlight(incarnation), Rank: -1, Returned: b.slots.returned[incarnation], Rejected: t.rejected, NeedsGrant: t.inForce.grantsOnly()}
		rank, wanted := ranks[incarnation]
		if wanted {
			request.Rank, request.Wants = rank, b.sched.Wants(incarnation)
		}
		known, sent := b.slots.sentRequests[incarnation]
		repeat := wanted && now-b.slots.wantSentAt[incarnation] >= wantInterval
		if repeat || request.Returned || request.Rejected || (t.unsentLoad.urgent && !grantsOnly) || (sent && (known.Running != request.Running || !known.SameWants(request))) || (!sent && request.Running > 0) || (sendAll && request.Running > 0) {
			out[incarnation] = request
			b.slots.wantSentAt[incarnation] = now
			request.Returned, request.Rejected, t.rejected = false, false, false
			b.slots.sentRequests[incarnation] = request
			if !grantsOnly { // without relays each host sees enough responses itself
				request = out[incarnation]
				request.Stated = t.unsentLoad.take(now)
				out[incarnation] = request
			}
		}
	}
	clear(b.slots.returned)
	for incarnation := range b.slots.sentRequests {
		if b.targets[incarnation] == nil {
			delete(b.slots.sentRequests, incarnation)
			delete(b.slots.wantSentAt, incarnation)
		}
	}
	return out, len(ranks) > 0
}

// HandleSlotRequests implements peers.SlotHost.
func (s *Server) HandleSlotRequests(host string, hostIncarnation uint64, seq uint32, requests map[string]places.Request) map[string]map[string]places.Grant {
	b := s.balance
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	out := make(map[string]map[string]places.Grant)
	for incarnation, request := range requests {
		t := b.targets[incarnation]
		if t == nil {
			continue // not listed here yet, or no longer
		}
		allocator := b.allocator(now, t)
		b.noteReportedLoad(now, incarnation, request.Stated)
		allocator.Update(now, host, hostIncarnation, seq, request)
		if t.inForce.grantsOnly() && !t.mayGrant(now) {
			continue // the sender may take this host for the owner, and this host another one
		}
		if request.NeedsGrant && !t.stated.known() {
			continue // this host has just started: it knows neither the limit nor what other hosts have running there
		}
		slow := b.sched.Slowdown(now, incarnation)
		for _, x := range allocator.AllocateShares(now, b.sched.TierLimit(now, incarnation), b.slots.rand) {
			s.Count.SlotsGranted.Add(1)
			addGrant(out, x.Host, incarnation, places.Grant{Slots: 1, Running: allocator.OthersRunning(now, x.Host), Workspace: x.Workspace, Slow: slow})
		}
		if _, granted := out[host][incarnation]; !granted && request.Rank >= 0 {
			addGrant(out, host, incarnation, places.Grant{Running: allocator.OthersRunning(now, host), Slow: slow})
		}
		b.announceSlow(now, t, host, func(to string) {
			if _, granted := out[to][incarnation]; !granted {
				addGrant(out, to, incarnation, places.Grant{Running: allocator.OthersRunning(now, to), Slow: slow})
			}
		})
	}
	return out
}

// SlotsOwned returns the number of endpoints for whose slots other hosts asked this one.
func (s *Server) SlotsOwned() int {
	b := s.balance
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.slots.allocators)
}

// addGrant adds a grant for a host.
func addGrant(out map[string]map[string]places.Grant, host, incarnation string, g places.Grant) {
	if out[host] == nil {
		out[host] = make(map[string]places.Grant)
	}
	out[host][incarnation] = g
}

// HandleGrants implements peers.SlotHost.
func (s *Server) HandleGrants(grants map[string]places.Grant) {
	b := s.balance
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	for incarnation, g := range grants {
		if !b.sched.ApplyGrant(now, incarnation, g) {
			s.Count.SlotsReturned.Add(1)
			b.slots.returned[incarnation] = true
			b.requestSlots()
		}
	}
	b.poll(now)
}

// dropAllocators drops the allocators of endpoints that are no longer listed; mu must be held.
func (b *balancer) dropAllocators() {
	for incarnation := range b.slots.allocators {
		if b.targets[incarnation] == nil {
			delete(b.slots.allocators, incarnation)
		}
	}
}
