// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import "github.com/heathkeel/heathkeel/peers"

// Loads returns what this host has running, by endpoint, and how many requests wait, by service and tier.
func (s *Server) Loads() (map[string]peers.Load, map[string][]int) { return s.balance.loads() }

// ChangedLoads returns the loads that changed since its last call and what waits, and false if nothing changed.
func (s *Server) ChangedLoads() (map[string]peers.Load, map[string][]int, bool) {
	return s.balance.takeChangedLoads()
}

// EjectionCounts returns the number of endpoints that are ejected now because they fail, and of the ejections since the start.
func (s *Server) EjectionCounts() (now, ever int) {
	b := s.balance
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sched.Ejected(b.now()), b.sched.Ejections()
}

// SetPeerLoads applies the running and waiting requests of all other hosts together.
func (s *Server) SetPeerLoads(loads peers.PeerLoads) { s.balance.setPeerLoads(s.Now(), loads) }
