// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peers

import "maps"

// Update tells what changed in a host's loads since its last update or heartbeat. It is
// one datagram of JSON. A lost one is made good by the next heartbeat, which tells all.
type Update struct {
	// Host names the sender, Life one run of its process.
	Host        string `json:"h"`
	Incarnation uint64 `json:"l"`
	// LoadSeq numbers the loads that the sender told, in updates and heartbeats.
	LoadSeq uint32 `json:"n"`
	// Load is what the sender has running now at the endpoints where that changed.
	Load map[string]Load `json:"o,omitempty"`
	// Waiting is the number of requests that wait, by service and tier.
	Waiting map[string][]int `json:"t,omitempty"`
}

// ReceiveUpdate takes an update and reports whether it told anything new: one that was
// overtaken, or that comes from a host or a life not known yet, does not.
func (t *Table) ReceiveUpdate(u *Update) bool {
	m := t.members[u.Host]
	if m == nil || m.Incarnation != u.Incarnation || u.LoadSeq <= m.loadSeq {
		return false
	}
	m.loadSeq = u.LoadSeq
	// Copies of members that were given out share the old map.
	load := maps.Clone(m.Load)
	if load == nil {
		load = make(map[string]Load, len(u.Load))
	}
	maps.Copy(load, u.Load)
	m.Load, m.Waiting = load, u.Waiting
	return true
}
