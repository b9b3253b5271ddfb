// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import (
	"math/rand/v2"
	"time"

	"github.com/heathkeel/heathkeel/places"
)

// refreshAsks is the time after which owners are told again of requests that did not change: less than half of the
// time after which they forget them.
const refreshAsks = time.Second

// owner is what a host knows as the owner of places, and what it told other owners.
type owner struct {
	books    map[string]*places.Allocator // by life of the endpoint
	told     map[string]places.Request    // what the owners know of this host
	returned map[string]bool              // places that were granted and are of no use
	fresh    time.Duration                // when owners were told of all requests
	rand     *rand.Rand
}

// ZoneOf implements peers.PlaceHost.
func (s *Server) ZoneOf(endpoint string) string {
	b := s.balance
	b.mu.Lock()
	defer b.mu.Unlock()
	if t := b.targets[endpoint]; t != nil {
		return t.Endpoint.Zone
	}
	return ""
}

// SlotRequests implements peers.PlaceHost.
func (s *Server) SlotRequests() (map[string]places.Request, bool) {
	b := s.balance
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	wants := b.sched.SlotRequests(now)
	all := now-b.owner.fresh >= refreshAsks
	if all {
		b.owner.fresh = now
	}
	out := make(map[string]places.Request)
	for life := range b.targets {
		ask := places.Request{Running: b.sched.InFlight(life), Rank: -1, Returned: b.owner.returned[life]}
		rank, wanted := wants[life]
		if wanted {
			ask.Rank = rank
		}
		known, told := b.owner.told[life]
		if wanted || ask.Returned || (told && known != ask) || (!told && ask.Running > 0) || (all && ask.Running > 0) {
			out[life] = ask
			ask.Returned = false
			b.owner.told[life] = ask
		}
	}
	clear(b.owner.returned)
	for life := range b.owner.told {
		if b.targets[life] == nil {
			delete(b.owner.told, life)
		}
	}
	return out, len(wants) > 0
}

// HandleSlotRequests implements peers.PlaceHost.
func (s *Server) HandleSlotRequests(host string, run uint64, seq uint32, asks map[string]places.Request) map[string]map[string]places.Grant {
	b := s.balance
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	out := make(map[string]map[string]places.Grant)
	for life, ask := range asks {
		if b.targets[life] == nil {
			continue // not known here yet, or not any more
		}
		book := b.owner.books[life]
		if book == nil {
			book = &places.Allocator{}
			b.owner.books[life] = book
		}
		book.Update(now, host, run, seq, ask)
		for _, to := range book.Allocate(now, b.sched.TierLimit(now, life), b.owner.rand) {
			add(out, to, life, places.Grant{Slots: 1, Running: book.OthersRunning(now, to)})
		}
		if _, granted := out[host][life]; !granted && ask.Rank >= 0 {
			add(out, host, life, places.Grant{Running: book.OthersRunning(now, host)})
		}
	}
	return out
}

// SlotsOwned counts the endpoints about whose places other hosts asked this one.
func (s *Server) SlotsOwned() int {
	b := s.balance
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.owner.books)
}

// add notes a grant for a host.
func add(out map[string]map[string]places.Grant, host, life string, g places.Grant) {
	if out[host] == nil {
		out[host] = make(map[string]places.Grant)
	}
	out[host][life] = g
}

// HandleGrants implements peers.PlaceHost.
func (s *Server) HandleGrants(grants map[string]places.Grant) {
	b := s.balance
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	for life, g := range grants {
		if !b.sched.ApplyGrant(now, life, g) {
			b.owner.returned[life] = true
			b.kick()
		}
	}
	b.poll(now)
}

// sweepBooks forgets endpoints that are gone; mu must be held.
func (b *balancer) sweepBooks() {
	for life := range b.owner.books {
		if b.targets[life] == nil {
			delete(b.owner.books, life)
		}
	}
}
