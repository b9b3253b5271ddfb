// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peers

import (
	"net"
	"time"

	"github.com/heathkeel/heathkeel/quarantine"
)

// sendRelayed sends a heartbeat to the relay of this host's zone, which may be this host, and the digests that
// this host sends as a relay.
func (a *Agent) sendRelayed(b Heartbeat) {
	b.Known = nil // relays send known hosts to their members
	a.mu.Lock()
	now := a.Now()
	a.sentReports.add(&b)
	self := &Member{Host: b.Host, Incarnation: b.Incarnation, Info: b.Info}
	relay := a.uplink.choose(now, b.Host, a.Table.Relays(now, b.Info.Zone, self))
	var to []string
	switch relay {
	case nil:
	case self:
		a.relay.ReceiveHeartbeat(now, &b)
	default:
		to = []string{relay.Info.Address}
		b.Echo = a.Table.Echo([]*Member{relay})
	}
	a.mu.Unlock()
	a.addStamps(&b.Words)
	a.sendTo(&memberHeartbeat{Heartbeat: b}, to)
	a.sendDigests(now, &b)
}

// sendDigests sends the sum of the members to the other relays, and the sum of all hosts to the members, if
// this host has any.
func (a *Agent) sendDigests(now time.Duration, b *Heartbeat) {
	a.mu.Lock()
	members := a.relay.Members(now)
	if len(members) == 0 && a.uplink.host != b.Host {
		a.mu.Unlock()
		return
	}
	relays := append(a.otherRelays(now, b), a.relay.RelayAddresses(now)...)
	partial, full := a.relay.PartialDigest(now), a.relay.FullDigest(now)
	partial.Known, full.Known = a.Table.KnownHosts(now, b.Info.Zone, toRelays), a.Table.KnownHosts(now, "", toMembers)
	var own Usage
	var counted bool
	for _, d := range []*Digest{&partial, &full} {
		d.Seq, d.Info = a.Table.NextSeq(now), b.Info
		d.Left = b.Left
	}
	if a.uplink.host == b.Host {
		own, counted = a.uplink.receive(now, &full, &a.sentReports)
		a.loadsReceived = true
	}
	a.mu.Unlock()
	if counted {
		a.Host.UsageReceived(own)
	}
	a.addStamps(&partial.Words)
	a.addStamps(&full.Words)
	partial.Limits = a.Host.Limits()
	full.Limits = partial.Limits
	partial.Crashes, full.Crashes = a.Host.Crashes(quarantine.All), a.Host.Crashes(quarantine.Repeated)
	a.sendTo(&partial, relays)
	if len(members) > 0 {
		a.mu.Lock()
		part := memberDigest{Digest: a.relay.nextPart(&full)}
		a.mu.Unlock()
		a.sendToMembers(&part, members)
	}
}

// sendToMembers sends a digest to each member with its echo.
func (a *Agent) sendToMembers(d *memberDigest, members []memberEcho) {
	d.Echo = nil
	data, err := encode(d)
	a.mu.Lock()
	a.relay.notePartSize(len(data))
	a.mu.Unlock()
	if err != nil || len(data) > maxDatagramSize {
		a.Log.Info("digest not sent: encoding failed or it is too large", "bytes", len(data), "loads", len(d.Load), "amounts", len(d.Used), "part", d.Part)
		return
	}
	for _, m := range members {
		if to, err := net.ResolveUDPAddr("udp", m.address); err == nil {
			// A lost datagram is followed by the next one.
			_, _ = a.Conn.WriteTo(withEcho(data, m.seq), to)
		}
	}
}

// otherRelays returns the addresses of the preferred relays of all zones, without this host. mu must be held.
func (a *Agent) otherRelays(now time.Duration, b *Heartbeat) []string {
	self := &Member{Host: b.Host, Incarnation: b.Incarnation, Info: b.Info}
	all := append(a.Table.Live(now), self)
	var out []string
	for _, zone := range zonesOf(all) {
		if relays := relayCandidates(all, zone); len(relays) > 0 && relays[0] != self {
			out = append(out, relays[0].Info.Address)
		}
	}
	return out
}
