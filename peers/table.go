// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peers

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Figures of the table.
const (
	// DefaultSilenceTimeout is the silence after which a host is not given to callers, in
	// fleets of up to directHosts hosts; it grows with the fleet, as a relay then names
	// each host more seldom, up to longestSilent. Relays tell at once of hosts that fell
	// silent, so that this time only counts where a relay went with them.
	DefaultSilenceTimeout = 1200 * time.Millisecond
	directHosts           = 50
	longestSilent         = 12 * time.Second
	// DefaultForgetTimeout is the silence after which a host is dropped.
	DefaultForgetTimeout = 20 * time.Second
	// leastKnown is the number of hosts passed on in a heartbeat or a digest, if that many
	// are known; in large fleets it is more, so that knownRound of them name all.
	leastKnown = 24
	knownRound = 20
	// seqRing is the number of own heartbeats whose sending times are kept.
	seqRing = 64
)

// Member is another host.
type Member struct {
	// Host and Life name it.
	Host        string
	Incarnation uint64
	// Info is what it told.
	Info HostInfo
	// LastHeard is when it was last known to live.
	LastHeard time.Duration
	// Load is what it has running, by endpoint, and Waiting the number of requests that
	// wait there, by service and tier.
	Load    map[string]Load
	Waiting map[string][]int

	direct  time.Duration
	changed time.Duration // when its row changed last
	lastSeq uint32
	loadSeq uint32
}

// Proof says what a peer knew to be the newest at a moment of this host's clock.
type Proof struct {
	// Host is the peer, Control where it can be asked.
	Host, Control string
	// Settings and Endpoints are what it knew.
	Settings, Endpoints Version
}

// Table is what a host knows of the others. It is pure and not safe for concurrent use.
type Table struct {
	// Host and Life name this host.
	Host        string
	Incarnation uint64
	// SilenceTimeout and Forget are silences; see the defaults.
	SilenceTimeout, ForgetTimeout time.Duration

	members map[string]*Member
	seq     uint32
	loadSeq uint32
	named   map[string]string // the last host that was passed on, by the zone asked for
	sent    [seqRing]time.Duration
}

// NextSeq numbers a heartbeat that is sent now.
func (t *Table) NextSeq(now time.Duration) uint32 {
	t.seq++
	t.sent[t.seq%seqRing] = now
	return t.seq
}

// NextLoadSeq numbers loads that are told now.
func (t *Table) NextLoadSeq() uint32 {
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

// ReceiveHeartbeat takes a heartbeat. The proof is valid if the peer told an age and had
// heard of a heartbeat whose sending time is still known: the peer's words were
// written after that time, so its age can only be counted from there.
func (t *Table) ReceiveHeartbeat(now time.Duration, b *Heartbeat) (Proof, bool) {
	if b.Host == t.Host || b.Host == "" {
		return Proof{}, false
	}
	m := t.member(b.Host)
	if b.Incarnation == m.Incarnation && b.Seq <= m.lastSeq {
		return Proof{}, false
	}
	if b.Incarnation != m.Incarnation || b.LoadSeq >= m.loadSeq {
		m.Load, m.Waiting, m.loadSeq = b.Load, b.Waiting, b.LoadSeq
	}
	m.setRow(now, b.Info)
	t.back(now, m)
	m.Incarnation, m.lastSeq = b.Incarnation, b.Seq
	m.LastHeard, m.direct = now, now
	for _, k := range b.Known {
		t.hearOf(now, k)
	}
	return t.proof(b.Host, &b.Info, b.Echo, &b.Words)
}

// ReceiveDigest takes a relay's digest of all hosts. The hosts that it lost are silent from now.
func (t *Table) ReceiveDigest(now time.Duration, d *Digest) (Proof, bool) {
	if d.Host == t.Host || d.Host == "" {
		return Proof{}, false
	}
	m := t.member(d.Host)
	if d.Incarnation == m.Incarnation && d.Seq <= m.lastSeq {
		return Proof{}, false
	}
	m.setRow(now, d.Info)
	m.Incarnation, m.lastSeq = d.Incarnation, d.Seq
	m.LastHeard, m.direct = now, now
	for _, k := range d.Known {
		t.hearOf(now, k)
	}
	for _, name := range d.Lost {
		if m := t.members[name]; m != nil && now-m.direct > sourceLife {
			m.LastHeard = min(m.LastHeard, now-t.silent()-1)
		}
	}
	return t.proof(d.Host, &d.Info, d.Echo, &d.Words)
}

// MarkAlive notes that a known member, in one life of its process or in the one that is known if life is 0, sent something but a heartbeat. A relay that
// lost some heartbeats takes it for silent; who hears from it knows better.
func (t *Table) MarkAlive(now time.Duration, host string, life uint64) {
	if m := t.members[host]; m != nil && (life == 0 || life == m.Incarnation) {
		t.back(now, m)
		m.LastHeard, m.direct = now, now
	}
}

// proof gives what a peer's words prove: they were written after it had heard the datagram
// of this host that it echoes.
func (t *Table) proof(host string, row *HostInfo, echoes map[string]uint32, w *Words) (Proof, bool) {
	echo, ok := echoes[t.Host]
	if !ok || echo > t.seq || t.seq-echo >= seqRing {
		return Proof{}, false
	}
	sent := t.sent[echo%seqRing]
	return Proof{Host: host, Control: row.Control, Settings: w.Settings.since(sent), Endpoints: w.Endpoints.since(sent)}, true
}

// Relays lists the hosts of a zone that may relay, the first choice first. self is this
// host, which counts like the others.
func (t *Table) Relays(now time.Duration, zone string, self *Member) []*Member {
	return preferred(append(t.Live(now), self), zone)
}

// relayCapacity is the part of the largest capacity of a zone from which a host may relay.
const relayCapacity = 0.75

// preferred lists the hosts of a zone that may relay: those with about the largest
// capacity of the zone, in an order drawn from their names, so that all hosts name the same.
func preferred(all []*Member, zone string) []*Member {
	var out []*Member
	largest := 0.0
	for _, m := range all {
		if m.Info.Zone == zone && m.Info.Ready {
			out = append(out, m)
			largest = max(largest, m.Info.Capacity)
		}
	}
	out = slices.DeleteFunc(out, func(m *Member) bool { return m.Info.Capacity < relayCapacity*largest })
	slices.SortFunc(out, func(a, b *Member) int {
		return cmp.Compare(xxhash.Sum64String(a.Host), xxhash.Sum64String(b.Host))
	})
	return out
}

// zonesOf lists the availability zones of some hosts.
func zonesOf(all []*Member) []string {
	var out []string
	for _, m := range all {
		if !slices.Contains(out, m.Info.Zone) {
			out = append(out, m.Info.Zone)
		}
	}
	return out
}

// setRow takes what a member tells of itself.
func (m *Member) setRow(now time.Duration, row HostInfo) {
	if m.Info != row {
		m.Info, m.changed = row, now
	}
}

// back notes that a member which was silent is heard again: that is passed on before others.
func (t *Table) back(now time.Duration, m *Member) {
	if now-m.LastHeard > t.silent() {
		m.changed = now
	}
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
func (t *Table) hearOf(now time.Duration, k KnownHost) {
	heard := now - time.Duration(k.Age)*time.Millisecond
	if k.Host == t.Host || k.Host == "" || now-heard > t.silent() {
		return
	}
	m := t.member(k.Host)
	if m.Info.Address == "" || (heard > m.direct && heard > m.LastHeard) {
		if m.Incarnation != k.Incarnation {
			m.Incarnation, m.lastSeq, m.loadSeq = k.Incarnation, 0, 0
		}
		m.setRow(now, k.Info)
		t.back(now, m)
		m.LastHeard = max(heard, m.LastHeard)
	}
}

func (t *Table) silent() time.Duration {
	base := t.SilenceTimeout
	if base <= 0 {
		base = DefaultSilenceTimeout
	}
	return min(base*time.Duration(max(directHosts, len(t.members)))/directHosts, max(base, longestSilent))
}

func (t *Table) forget() time.Duration {
	if t.ForgetTimeout > 0 {
		return t.ForgetTimeout
	}
	return DefaultForgetTimeout
}

// Live returns the members heard of lately, sorted by name.
func (t *Table) Live(now time.Duration) []*Member {
	return t.within(now, t.silent())
}

// Unexpired returns the members that may still run: those not silent for long.
func (t *Table) Unexpired(now time.Duration) []*Member {
	return t.within(now, t.forget())
}

// ServingCount counts the members that may be serving: those that may still run and did not say
// that they stop.
func (t *Table) ServingCount(now time.Duration) int {
	n := 0
	for _, m := range t.members {
		if m.Info.Ready && now-m.LastHeard <= t.forget() {
			n++
		}
	}
	return n
}

// within returns the members heard of within a time, and drops those that are to be forgotten.
func (t *Table) within(now, limit time.Duration) []*Member {
	out := make([]*Member, 0, len(t.members))
	for name, m := range t.members {
		switch age := now - m.LastHeard; {
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
	all := t.Unexpired(now)
	r.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(n, len(all))]
}

// KnownHosts picks members to pass on, of one zone if it is not empty: first those that
// relay, which a host that knows few others needs most, then those whose row changed
// lately, and the others in turn.
func (t *Table) KnownHosts(now time.Duration, zone string) []KnownHost {
	all := slices.DeleteFunc(t.Live(now), func(m *Member) bool { return zone != "" && m.Info.Zone != zone })
	most := max(leastKnown, len(all)/knownRound)
	out := make([]KnownHost, 0, most)
	named := make(map[string]bool, most)
	add := func(m *Member) {
		if !named[m.Host] && len(out) < most {
			named[m.Host] = true
			out = append(out, m.known(now))
		}
	}
	for _, z := range zonesOf(all) {
		if relays := preferred(all, z); len(relays) > 0 {
			add(relays[0])
		}
	}
	for _, m := range all {
		if now-m.changed < newsFor && len(out) < most/2 {
			add(m)
		}
	}
	// All are sorted by name; go on behind the one that was named last.
	if t.named == nil {
		t.named = make(map[string]string)
	}
	first, _ := slices.BinarySearchFunc(all, t.named[zone]+"\x00", func(m *Member, name string) int { return strings.Compare(m.Host, name) })
	for i := 0; i < len(all) && len(out) < most; i++ {
		m := all[(first+i)%len(all)]
		add(m)
		t.named[zone] = m.Host
	}
	return out
}

// newsFor is the time for which a change of a row is passed on before others.
const newsFor = time.Second

// known is how a member is passed on.
func (m *Member) known(now time.Duration) KnownHost {
	return KnownHost{m.Host, m.Incarnation, m.Info, (now - m.LastHeard).Milliseconds()}
}

// heardSeq is the number of the newest heartbeat heard of a host, 0 for none.
func (t *Table) heardSeq(host string) uint32 {
	if m := t.members[host]; m != nil {
		return m.lastSeq
	}
	return 0
}

// Size is the number of members that may still run, as of the last look at them.
func (t *Table) Size() int { return len(t.members) }
