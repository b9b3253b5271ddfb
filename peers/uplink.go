// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peers

import "time"

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

// uplink is the state of the relay that this host uses, and the last digest that it sent.
type uplink struct {
	host       string
	usedSince  time.Duration // when this host began to use it
	lastDigest time.Duration // when it last sent a digest
	suspects   map[string]time.Duration
	digest     *Digest
	digestAt   time.Duration // when digest was received
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
			u.host, u.usedSince = c.Host, now
		}
		return c
	}
	return nil
}

// isFresh reports whether the relay in use has sent the reports of other hosts recently. If this host is the
// relay, they are fresh if other relays or members have reported to it.
func (u *uplink) isFresh(now time.Duration, self string) bool {
	if u.digest == nil || now-u.digestAt > digestTimeout {
		return false
	}
	return u.host != self || u.digest.Hosts > 1
}

// receive stores a digest of the relay in use and returns what the other hosts used.
func (u *uplink) receive(now time.Duration, d *Digest, sent *history) (Usage, bool) {
	old := u.digest
	if d.Partial || d.Host != u.host || (old != nil && old.Host == d.Host && old.Incarnation == d.Incarnation && d.Seq <= old.Seq) {
		return Usage{}, false
	}
	u.lastDigest = now
	// A new relay knows some hosts only; the previous digest is better for a while.
	if old == nil || d.Host == old.Host || 10*d.Hosts >= 9*old.Hosts || now-u.digestAt > maxDigestAge {
		u.digest, u.digestAt = d, now
	}
	own, ok := sent.lookup(d.Echo)
	if !ok {
		return Usage{}, false
	}
	used := make(map[string]float64, len(d.Used))
	for ws, n := range d.Used {
		used[ws] = n - own.Used[ws]
	}
	return Usage{Source: d.Host, Incarnation: d.Incarnation, Hosts: d.Hosts - 1, Used: used, Left: d.Left}, true
}

// peerLoads returns what the other hosts have running and waiting according to the last digest, which is its
// sum minus what this host had reported, and the number of these hosts.
func (u *uplink) peerLoads(now time.Duration, sent *history) (sum PeerLoads, hosts int) {
	load, waiting := make(map[string]Load), make(map[string][]int)
	sum = PeerLoads{Load: load, Waiting: waiting}
	if u.digest == nil || now-u.digestAt > maxDigestAge {
		return sum, 0
	}
	own, ok := sent.lookup(u.digest.Echo)
	hosts = u.digest.Hosts
	if ok {
		hosts--
	}
	for name, l := range u.digest.Load {
		ownLoad := own.Load[name]
		l.Running = max(0, l.Running-ownLoad.Running)
		l.Prefill = max(0, l.Prefill-ownLoad.Prefill)
		l.Good = max(0, l.Good-ownLoad.Good)
		l.Bad = max(0, l.Bad-ownLoad.Bad)
		load[name] = l
	}
	for service, tiers := range u.digest.Waiting {
		remaining := make([]int, len(tiers))
		for k, n := range tiers {
			remaining[k] = n
			if ownLoad := own.Waiting[service]; k < len(ownLoad) {
				remaining[k] = max(0, n-ownLoad[k])
			}
		}
		waiting[service] = remaining
	}
	return sum, hosts
}

// history holds what this host reported in its last heartbeats. The zero value is empty.
type history struct {
	host    string
	reports [historySize]Words
	seqs    [historySize]uint32
}

// historySize is the number of heartbeats kept: those that may still be in flight in digests, which are one
// second old at most.
const historySize = 16

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
