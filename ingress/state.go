// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import "github.com/heathkeel/heathkeel/peers"

// Loads tells what this host has running, by endpoint, and how many requests wait, by
// service and tier.
func (s *Server) Loads() (map[string]peers.Load, map[string][]int) { return s.balance.loads() }

// ChangedLoads tells the loads that changed since its last call and what waits, and false if
// nothing changed.
func (s *Server) ChangedLoads() (map[string]peers.Load, map[string][]int, bool) {
	return s.balance.changes()
}

// EjectionCounts counts the endpoints that get no work now because they fail, and the ejections since the start.
func (s *Server) EjectionCounts() (now, ever int) {
	b := s.balance
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sched.Ejected(b.now()), b.sched.Ejections()
}

// SetPeerLoads takes what all other hosts together have running and waiting.
func (s *Server) SetPeerLoads(o peers.PeerLoads) { s.balance.setOthers(s.Now(), o) }
