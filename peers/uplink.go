// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peers

import (
	"maps"
	"slices"
	"time"
)

// Parameters of the connection to a relay.
const (
	// digestTimeout is the time without a digest after which another relay is chosen: three and a half
	// heartbeats.
	digestTimeout = 700 * time.Millisecond
	// suspectPeriod is the time for which a relay that sent no digest is not chosen again.
	suspectPeriod = 2500 * time.Millisecond
	// maxDigestAge is the age at which the loads of a digest are no longer used: by then another relay can have
	// been chosen and have received the reports of all hosts.
	maxDigestAge = 2 * time.Second
)

// uplink is the state of the relay that this host uses, and what its last digests said.
type uplink struct {
	host       string
	usedSince  time.Duration // when this host began to use it
	lastDigest time.Duration // when it last sent a digest
	lastSeq    uint32        // number of that digest
	lastRun    uint64        // incarnation of the relay that sent it
	suspects   map[string]time.Duration
	current    *assembly // complete digests in use, or nil
	next       *assembly // those that replace them once they are complete, or nil
}

// choose returns the relay to use: the first of the candidates, which are in order of preference, that is not
// suspected, or nil. A relay that has sent no digest for digestTimeout is suspected.
func (u *uplink) choose(now time.Duration, self string, candidates []*Member) *Member {
	if u.suspects == nil {
		u.suspects = make(map[string]time.Duration)
	}
	if u.host != "" && u.host != self && now-max(u.usedSince, u.lastDigest) > digestTimeout {
		u.suspects[u.host] = now
	}
	for _, c := range candidates {
		if at, ok := u.suspects[c.Host]; ok && now-at < suspectPeriod {
			continue
		}
		delete(u.suspects, c.Host)
		if c.Host != u.host {
			u.host, u.usedSince, u.lastSeq = c.Host, now, 0
		}
		return c
	}
	return nil
}

// isFresh reports whether the relay in use has sent the reports of other hosts recently. If this host is the
// relay, they are fresh if other relays or members have reported to it.
func (u *uplink) isFresh(now time.Duration, self string) bool {
	if u.current == nil || now-u.current.newestAt() > digestTimeout {
		return false
	}
	return u.host != self || u.current.hosts > 1
}

// receive stores a digest of the relay in use. Once all its parts are known, it returns what the other hosts
// used.
func (u *uplink) receive(now time.Duration, d *Digest, sent *history) (Usage, bool) {
	if d.Partial || d.Host != u.host || (d.Incarnation == u.lastRun && d.Seq <= u.lastSeq) {
		return Usage{}, false
	}
	u.lastDigest, u.lastRun, u.lastSeq = now, d.Incarnation, d.Seq
	own, known := sent.lookup(d.Echo)
	var words *Words
	if known {
		words = &own
	}
	s := u.assemblyOf(d)
	s.add(now, d, words)
	u.replace(now)
	if !known || !s.countsAll() {
		return Usage{}, false
	}
	return Usage{Source: d.Host, Incarnation: d.Incarnation, Hosts: d.Hosts - 1, Used: maps.Clone(s.used), Left: d.Left}, true
}

// assemblyOf returns the assembly to which a digest belongs. If the number of parts of the same run has
// changed, what others used is still known.
func (u *uplink) assemblyOf(d *Digest) *assembly {
	if u.current.fits(d) {
		return u.current
	}
	if !u.next.fits(d) {
		u.next = newAssembly(d)
		if c := u.current; c != nil && c.host == d.Host && c.incarnation == d.Incarnation {
			u.next.used = c.used
		}
	}
	return u.next
}

// replace puts the next assembly in use once it is complete. A new relay knows some hosts only; what the one
// before told is better for a while.
func (u *uplink) replace(now time.Duration) {
	n, c := u.next, u.current
	if n == nil || !n.complete() {
		return
	}
	if c == nil || c.host == n.host || 10*n.hosts >= 9*c.hosts || now-c.newestAt() > c.maxAge() {
		u.current, u.next = n, nil
	}
}

// peerLoads returns what the other hosts have running and waiting according to the last digests, which is
// their sum minus what this host had reported, and the number of these hosts.
func (u *uplink) peerLoads(now time.Duration, sent *history) (sum PeerLoads, hosts int) {
	load, waiting := make(map[string]Load), make(map[string][]int)
	sum = PeerLoads{Load: load, Waiting: waiting, Zones: make(ZoneDemands)}
	if u.current == nil || now-u.current.newestAt() > u.current.maxAge() {
		return sum, 0
	}
	hosts = u.current.hosts
	newest := 0
	for i, d := range u.current.parts {
		if u.current.receivedAt[i] >= u.current.receivedAt[newest] {
			newest = i
		}
		if now-u.current.receivedAt[i] > u.current.maxAge() {
			continue
		}
		own, _ := sent.lookup(d.Echo)
		addOthers(load, d, &own)
	}
	d := u.current.parts[newest]
	own, ok := sent.lookup(d.Echo)
	if ok {
		hosts--
	}
	sum.Zones.Add(d.Zones, 1)
	sum.Zones.Add(own.Zones, -1)
	for service, tiers := range d.Waiting {
		waiting[service] = withoutOwn(tiers, own.Waiting[service])
	}
	return sum, hosts
}

// loadAge returns the mean age of the loads in use: in parts, each is refreshed once in as many heartbeats.
func (u *uplink) loadAge() time.Duration {
	if u.current == nil {
		return relayedAge
	}
	return relayedAge + time.Duration(len(u.current.parts)-1)*DefaultInterval/2
}

// addOthers adds the loads of a digest to load, without what this host had reported.
func addOthers(load map[string]Load, d *Digest, own *Words) {
	for name, l := range d.Load {
		o := own.Load[name]
		l.Running = max(0, l.Running-o.Running)
		l.Prefill = max(0, l.Prefill-o.Prefill)
		l.Silent = max(0, l.Silent-o.Silent)
		l.Good = max(0, l.Good-o.Good)
		l.Bad = max(0, l.Bad-o.Bad)
		load[name] = l
	}
}

// withoutOwn returns the numbers of waiting requests by tier without this host's.
func withoutOwn(tiers, own []int) []int {
	out := slices.Clone(tiers)
	for k := range out {
		if k < len(own) {
			out[k] = max(0, out[k]-own[k])
		}
	}
	return out
}

// history holds what this host reported in its last heartbeats. The zero value is empty.
type history struct {
	host    string
	reports [historySize]Words
	seqs    [historySize]uint32
}

// historySize is the number of heartbeats kept: those that may still be in flight in digests, or in parts of
// digests that are in use.
const historySize = 64

// add stores the content of a heartbeat.
func (h *history) add(b *Heartbeat) {
	i := b.Seq % historySize
	h.host, h.reports[i], h.seqs[i] = b.Host, b.Words, b.Seq
}

// lookup returns the report of this host that a digest includes, and false if it is no longer stored.
func (h *history) lookup(echo map[string]uint32) (Words, bool) {
	seq, ok := echo[h.host]
	if i := seq % historySize; ok && seq > 0 && h.seqs[i] == seq {
		return h.reports[i], true
	}
	return Words{}, false
}
