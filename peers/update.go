// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peers

import "maps"

// Update holds the changes of a host's loads since its last update or heartbeat. It is one datagram of JSON.
// The next heartbeat, which has all loads, makes up for a lost update.
type Update struct {
	// Host is the name of the sender; Incarnation identifies one run of its process.
	Host        string `json:"h"`
	Incarnation uint64 `json:"l"`
	// LoadSeq numbers the sender's load reports, in updates and heartbeats.
	LoadSeq uint32 `json:"n"`
	// Load is what the sender has running now at the endpoints where that changed.
	Load map[string]Load `json:"o,omitempty"`
	// Waiting is the number of waiting requests, by service and tier.
	Waiting map[string][]int `json:"t,omitempty"`
}

// ReceiveUpdate applies an update and reports whether it was new: an update that arrives after a newer one, or
// from a host or an incarnation that is not known yet, is ignored.
func (t *Table) ReceiveUpdate(u *Update) bool {
	m := t.members[u.Host]
	if m == nil || m.Incarnation != u.Incarnation || u.LoadSeq <= m.loadSeq {
		return false
	}
	m.loadSeq = u.LoadSeq
	// Copies of members that were returned earlier share the old map.
	load := maps.Clone(m.Load)
	if load == nil {
		load = make(map[string]Load, len(u.Load))
	}
	maps.Copy(load, u.Load)
	m.Load, m.Waiting = load, u.Waiting
	return true
}
