// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peers

import "slices"

// newcomer is a host that needs to learn of the others.
type newcomer struct{ host, address string }

// noteNewcomer makes the next heartbeat answer a host that knows less than half of the hosts that this one
// knows, so that it learns of the others. mu must be held.
func (a *Agent) noteNewcomer(b *Heartbeat) {
	nc := newcomer{b.Host, b.Info.Address}
	if nc.address == "" || 2*b.Size >= a.Table.Size() || slices.Contains(a.newcomers, nc) {
		return
	}
	a.newcomers = append(a.newcomers, nc)
	a.TriggerHeartbeat()
}

// minTableFetch is the number of hosts from which a host that knows less than half of them fetches the table
// of another: heartbeats name maxKnownHosts at a time.
const minTableFetch = 2 * maxKnownHosts

// tableSource returns the control address of a host whose table this host should fetch, and false if it knows
// enough hosts. known is the number of hosts that a peer knows. Any host that this one knows will do, so that
// not all ask the same. mu must be held.
func (a *Agent) tableSource(known int) (control string, ok bool) {
	if known < minTableFetch || 2*a.Table.Size() >= known {
		return "", false
	}
	targets := a.Table.Targets(a.Now(), 1, a.Rand)
	if len(targets) == 0 {
		return "", false
	}
	return targets[0].Info.Control, true
}

// KnownHosts returns all hosts that are known to be live, this one included, to pass on to a host that knows few.
func (a *Agent) KnownHosts() []KnownHost {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Now()
	out := []KnownHost{{Host: a.Table.Host, Incarnation: a.Table.Incarnation, Info: a.info}}
	for _, m := range a.Table.Live(now) {
		out = append(out, m.knownHost(now))
	}
	return out
}

// Learn adds what another host knows of the hosts.
func (a *Agent) Learn(known []KnownHost) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Now()
	for _, k := range known {
		a.Table.mergeKnownHost(now, k)
	}
}
