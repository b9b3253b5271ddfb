// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peers

import (
	"time"

	"github.com/heathkeel/heathkeel/quarantine"
)

// sendRelayed gives a heartbeat to the relay of this host's zone, which may be this host,
// and sends the digests that this host owes as a relay.
func (a *Agent) sendRelayed(b Heartbeat) {
	b.Known = nil // relays name hosts to their members
	a.mu.Lock()
	now := a.Now()
	a.told.note(&b)
	self := &Member{Host: b.Host, Incarnation: b.Incarnation, Info: b.Info}
	up := a.uplink.choose(now, b.Host, a.Table.Relays(now, b.Info.Zone, self))
	var to []string
	switch up {
	case nil:
	case self:
		a.relay.ReceiveHeartbeat(now, &b)
	default:
		to = []string{up.Info.Address}
		b.Echo = a.Table.Echo([]*Member{up})
	}
	a.mu.Unlock()
	a.stamp(&b.Words)
	a.write(&member{Heartbeat: b}, to)
	a.sendDigests(now, &b)
}

// sendDigests sends the sum of the members to the other relays, and that of all hosts to
// the members, if this host has any.
func (a *Agent) sendDigests(now time.Duration, b *Heartbeat) {
	a.mu.Lock()
	members := a.relay.MemberAddresses(now)
	if len(members) == 0 && a.uplink.host != b.Host {
		a.mu.Unlock()
		return
	}
	relays := append(a.otherRelays(now, b), a.relay.RelayAddresses(now)...)
	part, whole := a.relay.PartialDigest(now), a.relay.FullDigest(now)
	part.Known, whole.Known = a.Table.KnownHosts(now, b.Info.Zone), a.Table.KnownHosts(now, "")
	var own Usage
	var counted bool
	for _, d := range []*Digest{&part, &whole} {
		d.Seq, d.Info = a.Table.NextSeq(now), b.Info
		d.Left = b.Left
	}
	if a.uplink.host == b.Host {
		own, counted = a.uplink.hear(now, &whole, &a.told)
		a.heard = true
	}
	a.mu.Unlock()
	if counted {
		a.Host.UsageReceived(own)
	}
	a.stamp(&part.Words)
	a.stamp(&whole.Words)
	part.Crashes, whole.Crashes = a.Host.Crashes(quarantine.All), a.Host.Crashes(quarantine.Repeated)
	a.write(&part, relays)
	a.write(&whole, members)
}

// otherRelays are the addresses of the first choices of all zones, but for this host; mu
// must be held.
func (a *Agent) otherRelays(now time.Duration, b *Heartbeat) []string {
	self := &Member{Host: b.Host, Incarnation: b.Incarnation, Info: b.Info}
	all := append(a.Table.Live(now), self)
	var out []string
	for _, zone := range zonesOf(all) {
		if relays := preferred(all, zone); len(relays) > 0 && relays[0] != self {
			out = append(out, relays[0].Info.Address)
		}
	}
	return out
}
