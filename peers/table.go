// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peers

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Figures of the table.
const (
	// DefaultSilent is the silence after which a host is not given to callers, in
	// fleets of up to directHosts hosts; it grows with the fleet, as news of a host then
	// comes by way of others, up to longestSilent.
	DefaultSilent = 1200 * time.Millisecond
	directHosts   = 50
	longestSilent = 6 * time.Second
	// DefaultForget is the silence after which a host is dropped.
	DefaultForget = 20 * time.Second
	// mostKnown bounds the hosts passed on in a heartbeat.
	mostKnown = 24
	// seqRing is the number of own heartbeats whose sending times are kept.
	seqRing = 64
)

// Member is another host.
type Member struct {
	// Host and Life name it.
	Host string
	Life uint64
	// Row is what it told.
	Row Row
	// Heard is when it was last known to live.
	Heard time.Duration
	// Load is what it has running, by endpoint, and Waiting the number of requests that
	// wait there, by service and tier.
	Load    map[string]Load
	Waiting map[string][]int

	direct  time.Duration
	lastSeq uint32
	loadSeq uint32
}

// Proof says that a peer knew its settings' revision to be the newest at a moment of this host's clock.
type Proof struct {
	// Host is the peer, Control where it can be asked.
	Host, Control string
	// Revision was the newest at At.
	Revision uint64
	At       time.Duration
}

// Table is what a host knows of the others. It is pure and not safe for concurrent use.
type Table struct {
	// Host and Life name this host.
	Host string
	Life uint64
	// Silent and Forget are silences; see the defaults.
	Silent, Forget time.Duration

	members map[string]*Member
	seq     uint32
	loadSeq uint32
	sent    [seqRing]time.Duration
}

// Next numbers a heartbeat that is sent now.
func (t *Table) Next(now time.Duration) uint32 {
	t.seq++
	t.sent[t.seq%seqRing] = now
	return t.seq
}

// NextLoad numbers loads that are told now.
func (t *Table) NextLoad() uint32 {
	t.loadSeq++
	return t.loadSeq
}

// Echo gives the newest numbers heard of the given members.
func (t *Table) Echo(to []*Member) map[string]uint32 {
	out := make(map[string]uint32, len(to))
	for _, m := range to {
		if m.lastSeq > 0 {
			out[m.Host] = m.lastSeq
		}
	}
	return out
}

// Hear takes a heartbeat. The proof is valid if the peer told an age and had
// heard of a heartbeat whose sending time is still known: the peer's words were
// written after that time, so its age can only be counted from there.
func (t *Table) Hear(now time.Duration, b *Beat) (Proof, bool) {
	if b.Host == t.Host || b.Host == "" {
		return Proof{}, false
	}
	m := t.member(b.Host)
	if b.Life == m.Life && b.Seq <= m.lastSeq {
		return Proof{}, false
	}
	if b.Life != m.Life || b.LoadSeq >= m.loadSeq {
		m.Load, m.Waiting, m.loadSeq = b.Load, b.Waiting, b.LoadSeq
	}
	m.Life, m.lastSeq, m.Row = b.Life, b.Seq, b.Row
	m.Heard, m.direct = now, now
	for _, k := range b.Known {
		t.hearOf(now, k)
	}
	echo, ok := b.Echo[t.Host]
	if !ok || b.AgeMS < 0 || echo > t.seq || t.seq-echo >= seqRing {
		return Proof{}, false
	}
	at := t.sent[echo%seqRing] - time.Duration(b.AgeMS)*time.Millisecond
	return Proof{Host: b.Host, Control: b.Row.Control, Revision: b.Revision, At: at}, true
}

// member returns a member, made when it is first heard of.
func (t *Table) member(host string) *Member {
	if t.members == nil {
		t.members = make(map[string]*Member)
	}
	m := t.members[host]
	if m == nil {
		m = &Member{Host: host}
		t.members[host] = m
	}
	return m
}

// hearOf takes what a peer says of another host.
func (t *Table) hearOf(now time.Duration, k Known) {
	heard := now - time.Duration(k.Age)*time.Millisecond
	if k.Host == t.Host || k.Host == "" || now-heard > t.silent() {
		return
	}
	m := t.member(k.Host)
	if m.Row.Address == "" || (heard > m.direct && heard > m.Heard) {
		if m.Life != k.Life {
			m.Life, m.lastSeq, m.loadSeq = k.Life, 0, 0
		}
		m.Row, m.Heard = k.Row, max(heard, m.Heard)
	}
}

func (t *Table) silent() time.Duration {
	base := t.Silent
	if base <= 0 {
		base = DefaultSilent
	}
	return min(base*time.Duration(max(directHosts, len(t.members)))/directHosts, max(base, longestSilent))
}

func (t *Table) forget() time.Duration {
	if t.Forget > 0 {
		return t.Forget
	}
	return DefaultForget
}

// Live returns the members heard of lately, sorted by name.
func (t *Table) Live(now time.Duration) []*Member {
	return t.within(now, t.silent())
}

// Counted returns the members that may still run: those not silent for long.
func (t *Table) Counted(now time.Duration) []*Member {
	return t.within(now, t.forget())
}

// within returns the members heard of within a time, and drops those that are to be forgotten.
func (t *Table) within(now, limit time.Duration) []*Member {
	out := make([]*Member, 0, len(t.members))
	for name, m := range t.members {
		switch age := now - m.Heard; {
		case age > t.forget():
			delete(t.members, name)
		case age <= limit:
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b *Member) int { return strings.Compare(a.Host, b.Host) })
	return out
}

// Targets picks at most n members to send a heartbeat to.
func (t *Table) Targets(now time.Duration, n int, r *rand.Rand) []*Member {
	all := t.Counted(now)
	r.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(n, len(all))]
}

// KnownRows picks members to pass on.
func (t *Table) KnownRows(now time.Duration, r *rand.Rand) []Known {
	all := t.Live(now)
	r.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	out := make([]Known, 0, mostKnown)
	for _, m := range all[:min(mostKnown, len(all))] {
		out = append(out, Known{m.Host, m.Life, m.Row, (now - m.Heard).Milliseconds()})
	}
	return out
}
