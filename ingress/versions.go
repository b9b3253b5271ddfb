// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import (
	"time"

	"github.com/heathkeel/heathkeel/rollout"
)

// SetRollouts sets the operators' orders to move services to other versions. late says that the host did not run until now, so that
// the orders may be older than they look.
func (s *Server) SetRollouts(orders []rollout.Order, late bool) {
	b := s.balance
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	b.rollouts.SetOrders(now, orders, late)
	b.updateRollouts(now)
	b.syncEndpoints(now)
}

// RolloutCounts returns what this host counts of the answers of versions that are rolled out, for the other hosts.
func (s *Server) RolloutCounts() map[string]float64 {
	b := s.balance
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rollouts.Counts()
}

// MergeRolloutCounts applies what another host, or several, counted.
func (s *Server) MergeRolloutCounts(source string, incarnation uint64, counts map[string]float64) {
	b := s.balance
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rollouts.ApplyCounts(b.now(), source, incarnation, counts)
}

// RolloutStatuses returns the states of the roll-outs.
func (s *Server) RolloutStatuses() []rollout.Status {
	b := s.balance
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rollouts.Statuses(b.now())
}

// HoldRollout sets whether nothing is sent to a new version until it is known whether it was rolled back before.
func (s *Server) HoldRollout(service string, held bool) {
	b := s.balance
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rollouts.Hold(service, held)
}

// AdoptRollout puts the state of a roll-out in force that is in the store.
func (s *Server) AdoptRollout(service string, revision uint64, state rollout.State) {
	b := s.balance
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rollouts.Adopt(service, revision, state)
}

// newVersionSuffix marks the pool of the endpoints of a service's new version. It occurs in no name.
const newVersionSuffix = "\x00new"

// poolOf returns the name of the pool of the endpoints of a service that are of a version; mu must be held. The endpoints of a version
// that is rolled out are a pool of their own.
func (b *balancer) poolOf(service, version string) string {
	if v, ok := b.rollouts.NewVersion(service); ok && version == v {
		return service + newVersionSuffix
	}
	return service
}

// pickPool returns the name of the pool for a request; mu must be held. A request that one version has to serve goes to the pool of
// that version.
func (b *balancer) pickPool(now time.Duration, c *call) string {
	service := c.service.Name
	if c.req.Version != "" {
		return b.poolOf(service, c.req.Version)
	}
	if b.rollouts.Active() && !b.holdsNewVersion(c) && b.rollouts.PicksNew(now, service, b.rand.Float64()) {
		return service + newVersionSuffix
	}
	return service
}

// updateRollouts tells the roll-outs which endpoints there are, and the scheduler which of them get requests if that has changed; mu
// must be held.
func (b *balancer) updateRollouts(now time.Duration) {
	if !b.rollouts.Active() {
		return
	}
	slots := make(map[string]rollout.Slots)
	for _, t := range b.targets {
		v, ok := b.rollouts.NewVersion(t.Service)
		if !ok || t.replaced {
			continue
		}
		s := slots[t.Service]
		inUse := !t.leaves() && !b.evacuated[t.Zone]
		switch {
		case t.Version == v && inUse:
			s.New += t.Slots
		case t.Version != v && inUse:
			s.Old += t.Slots
		}
		if t.Version != v {
			s.OldRunning += t.ownLoad.Running + t.peerLoad.Running
		}
		slots[t.Service] = s
	}
	if b.rollouts.SetSlots(now, slots) {
		b.syncEndpoints(now)
	}
}

// noteVersion counts the outcome of a send for the roll-out of its service, if there is one. elapsed is the time that it took.
func (b *balancer) noteVersion(c *call, result sendOutcome, elapsed time.Duration) {
	failed := result == sendFailed || result == sendLost || (result == sendCompleted && c.serverError)
	if !failed && result != sendCompleted {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.rollouts.Active() {
		return
	}
	pace := 0.0
	if !failed {
		pace = float64(elapsed) / c.work()
	}
	b.rollouts.Note(c.service.Name, c.endpoint.Version, c.route.Name, failed, pace)
}

// work returns the work of an answered request, in steps of an engine; for plain services it is 1.
func (c *call) work() float64 {
	return 1 + float64(c.tokensIn)/defaultPrefillPerStep + float64(c.stream.events*c.eventTokens())
}
