// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peers

import "time"

// Figures of the way to a relay.
const (
	// relayPatience is the time without a digest after which another relay is taken: three
	// heartbeats and a part of one.
	relayPatience = 700 * time.Millisecond
	// suspectFor is the time for which a relay that sent no digest is not taken again.
	suspectFor = 2500 * time.Millisecond
	// digestLife is the age at which a digest tells nothing of loads any more: until then
	// another relay can be taken and have heard of all hosts.
	digestLife = 2 * time.Second
)

// uplink is the relay that passes on what this host tells, and what it told last.
type uplink struct {
	host     string
	since    time.Duration // when this host began to use it
	heard    time.Duration // when it last sent a digest
	suspects map[string]time.Duration
	digest   *Digest
	at       time.Duration // when the digest came
}

// choose picks the relay to use from the candidates in order of preference: the first that
// is not suspected, or nil. A relay that has sent no digest for too long is.
func (u *uplink) choose(now time.Duration, self string, candidates []*Member) *Member {
	if u.suspects == nil {
		u.suspects = make(map[string]time.Duration)
	}
	if u.host != "" && u.host != self && now-max(u.since, u.heard) > relayPatience {
		u.suspects[u.host] = now
	}
	for _, c := range candidates {
		if at, ok := u.suspects[c.Host]; ok && now-at < suspectFor {
			continue
		}
		delete(u.suspects, c.Host)
		if c.Host != u.host {
			u.host, u.since = c.Host, now
		}
		return c
	}
	return nil
}

// fresh tells whether the relay in use told of the others lately; a host that relays itself
// is fresh if other relays or members told it something.
func (u *uplink) fresh(now time.Duration, self string) bool {
	if u.digest == nil || now-u.at > relayPatience {
		return false
	}
	return u.host != self || u.digest.Hosts > 1
}

// hear takes a digest of the relay in use and returns what the other hosts used.
func (u *uplink) hear(now time.Duration, d *Digest, told *history) (Usage, bool) {
	old := u.digest
	if d.Partial || d.Host != u.host || (old != nil && old.Host == d.Host && old.Incarnation == d.Incarnation && d.Seq <= old.Seq) {
		return Usage{}, false
	}
	u.heard = now
	// A relay that has just become one knows of some hosts only; what was known before is
	// better for a while.
	if old == nil || d.Host == old.Host || 10*d.Hosts >= 9*old.Hosts || now-u.at > digestLife {
		u.digest, u.at = d, now
	}
	own, ok := told.at(d.Echo)
	if !ok {
		return Usage{}, false
	}
	used := make(map[string]float64, len(d.Used))
	for ws, n := range d.Used {
		used[ws] = n - own.Used[ws]
	}
	return Usage{Source: d.Host, Incarnation: d.Incarnation, Hosts: d.Hosts - 1, Used: used, Left: d.Left}, true
}

// others gives what the other hosts have running and waiting by the last digest: the sum
// of all but what this host had told of itself; and the number of these hosts.
func (u *uplink) others(now time.Duration, told *history) (o PeerLoads, hosts int) {
	load, waiting := make(map[string]Load), make(map[string][]int)
	o = PeerLoads{Load: load, Waiting: waiting}
	if u.digest == nil || now-u.at > digestLife {
		return o, 0
	}
	own, ok := told.at(u.digest.Echo)
	hosts = u.digest.Hosts
	if ok {
		hosts--
	}
	for name, l := range u.digest.Load {
		mine := own.Load[name]
		l.Running = max(0, l.Running-mine.Running)
		l.Prefill = max(0, l.Prefill-mine.Prefill)
		l.Good = max(0, l.Good-mine.Good)
		l.Bad = max(0, l.Bad-mine.Bad)
		load[name] = l
	}
	for service, tiers := range u.digest.Waiting {
		rest := make([]int, len(tiers))
		for k, n := range tiers {
			rest[k] = n
			if mine := own.Waiting[service]; k < len(mine) {
				rest[k] = max(0, n-mine[k])
			}
		}
		waiting[service] = rest
	}
	return o, hosts
}

// history holds what this host told in its last heartbeats; the zero value holds nothing.
type history struct {
	host  string
	words [historySize]Words
	seqs  [historySize]uint32
}

// historySize is the number of heartbeats kept: those that may still be under way in
// digests, which are a second old at most.
const historySize = 16

// note keeps the words of a heartbeat.
func (h *history) note(b *Heartbeat) {
	i := b.Seq % historySize
	h.host, h.words[i], h.seqs[i] = b.Host, b.Words, b.Seq
}

// at gives the words that a digest contains, and false if they are not known any more.
func (h *history) at(echo map[string]uint32) (Words, bool) {
	seq, ok := echo[h.host]
	if i := seq % historySize; ok && seq > 0 && h.seqs[i] == seq {
		return h.words[i], true
	}
	return Words{}, false
}
