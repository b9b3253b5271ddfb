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
	silenceBaseHosts      = 50
	maxSilenceTimeout     = 12 * time.Second
	// DefaultForgetTimeout is the silence after which a host is dropped.
	DefaultForgetTimeout = 20 * time.Second
	// minKnownHosts is the number of hosts passed on in a heartbeat or a digest, if that many
	// are known; in large fleets it is more, so that knownRound of them name all.
	minKnownHosts    = 24
	knownHostsRounds = 20
	// seqWindow is the number of own heartbeats whose sending times are kept.
	seqWindow = 64
)

// Member is another host.
type Member struct {
	// Host and Life name it.
	Host string
	Life uint64
	// Info is what it told.
	Info HostInfo
	// LastHeard is when it was last known to live.
	LastHeard time.Duration
	// Load is what it has running, by endpoint, and Waiting the number of requests that
	// wait there, by service and tier.
	Load    map[string]Load
	Waiting map[string][]int

	lastDirect  time.Duration
	infoChanged time.Duration // when its row changed last
	lastSeq     uint32
	loadSeq     uint32
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
	Host string
	Life uint64
	// SilenceTimeout and Forget are silences; see the defaults.
	SilenceTimeout, ForgetTimeout time.Duration

	members   map[string]*Member
	seq       uint32
	loadSeq   uint32
	lastNamed map[string]string // the last host that was passed on, by the zone asked for
	sentAt    [seqWindow]time.Duration
}

// NextSeq numbers a heartbeat that is sent now.
func (t *Table) NextSeq(now time.Duration) uint32 {
	t.seq++
	t.sentAt[t.seq%seqWindow] = now
	return t.seq
}

// NextLoadSeq numbers loads that are told now.
func (t *Table) NextLoadSeq() uint32 {
	t.loadSeq++
	return t.loadSeq
}

// Echo gives the newest numbers heard of the given members.
func (t *Table) Echo(members []*Member) map[string]uint32 {
	out := make(map[string]uint32, len(members))
	for _, m := range members {
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
	if b.Life == m.Life && b.Seq <= m.lastSeq {
		return Proof{}, false
	}
	if b.Life != m.Life || b.LoadSeq >= m.loadSeq {
		m.Load, m.Waiting, m.loadSeq = b.Load, b.Waiting, b.LoadSeq
	}
	m.setInfo(now, b.Info)
	t.noteReturn(now, m)
	m.Life, m.lastSeq = b.Life, b.Seq
	m.LastHeard, m.lastDirect = now, now
	for _, k := range b.Known {
		t.mergeKnownHost(now, k)
	}
	return t.proof(b.Host, &b.Info, b.Echo, &b.Words)
}

// ReceiveDigest takes a relay's digest of all hosts. The hosts that it lost are silent from now.
func (t *Table) ReceiveDigest(now time.Duration, d *Digest) (Proof, bool) {
	if d.Host == t.Host || d.Host == "" {
		return Proof{}, false
	}
	m := t.member(d.Host)
	if d.Life == m.Life && d.Seq <= m.lastSeq {
		return Proof{}, false
	}
	m.setInfo(now, d.Info)
	m.Life, m.lastSeq = d.Life, d.Seq
	m.LastHeard, m.lastDirect = now, now
	for _, k := range d.Known {
		t.mergeKnownHost(now, k)
	}
	for _, name := range d.Lost {
		if m := t.members[name]; m != nil && now-m.lastDirect > sourceTimeout {
			m.LastHeard = min(m.LastHeard, now-t.silenceTimeout()-1)
		}
	}
	return t.proof(d.Host, &d.Info, d.Echo, &d.Words)
}

// MarkAlive notes that a known member, in one life of its process or in the one that is known if life is 0, sent something but a heartbeat. A relay that
// lost some heartbeats takes it for silent; who hears from it knows better.
func (t *Table) MarkAlive(now time.Duration, host string, life uint64) {
	if m := t.members[host]; m != nil && (life == 0 || life == m.Life) {
		t.noteReturn(now, m)
		m.LastHeard, m.lastDirect = now, now
	}
}

// proof gives what a peer's words prove: they were written after it had heard the datagram
// of this host that it echoes.
func (t *Table) proof(host string, info *HostInfo, echoes map[string]uint32, words *Words) (Proof, bool) {
	echo, ok := echoes[t.Host]
	if !ok || echo > t.seq || t.seq-echo >= seqWindow {
		return Proof{}, false
	}
	sentAt := t.sentAt[echo%seqWindow]
	return Proof{Host: host, Control: info.Control, Settings: words.Settings.since(sentAt), Endpoints: words.Endpoints.since(sentAt)}, true
}

// Relays lists the hosts of a zone that may relay, the first choice first. self is this
// host, which counts like the others.
func (t *Table) Relays(now time.Duration, zone string, self *Member) []*Member {
	return relayCandidates(append(t.Live(now), self), zone)
}

// relayCapacityRatio is the part of the largest capacity of a zone from which a host may relay.
const relayCapacityRatio = 0.75

// relayCandidates lists the hosts of a zone that may relay: those with about the largest
// capacity of the zone, in an order drawn from their names, so that all hosts name the same.
func relayCandidates(all []*Member, zone string) []*Member {
	var out []*Member
	largest := 0.0
	for _, m := range all {
		if m.Info.Zone == zone && m.Info.Ready {
			out = append(out, m)
			largest = max(largest, m.Info.Capacity)
		}
	}
	out = slices.DeleteFunc(out, func(m *Member) bool { return m.Info.Capacity < relayCapacityRatio*largest })
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

// setInfo takes what a member tells of itself.
func (m *Member) setInfo(now time.Duration, info HostInfo) {
	if m.Info != info {
		m.Info, m.infoChanged = info, now
	}
}

// noteReturn notes that a member which was silent is heard again: that is passed on before others.
func (t *Table) noteReturn(now time.Duration, m *Member) {
	if now-m.LastHeard > t.silenceTimeout() {
		m.infoChanged = now
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

// mergeKnownHost takes what a peer says of another host.
func (t *Table) mergeKnownHost(now time.Duration, k KnownHost) {
	heard := now - time.Duration(k.Age)*time.Millisecond
	if k.Host == t.Host || k.Host == "" || now-heard > t.silenceTimeout() {
		return
	}
	m := t.member(k.Host)
	if m.Info.Address == "" || (heard > m.lastDirect && heard > m.LastHeard) {
		if m.Life != k.Life {
			m.Life, m.lastSeq, m.loadSeq = k.Life, 0, 0
		}
		m.setInfo(now, k.Info)
		t.noteReturn(now, m)
		m.LastHeard = max(heard, m.LastHeard)
	}
}

func (t *Table) silenceTimeout() time.Duration {
	base := t.SilenceTimeout
	if base <= 0 {
		base = DefaultSilenceTimeout
	}
	return min(base*time.Duration(max(silenceBaseHosts, len(t.members)))/silenceBaseHosts, max(base, maxSilenceTimeout))
}

func (t *Table) forgetTimeout() time.Duration {
	if t.ForgetTimeout > 0 {
		return t.ForgetTimeout
	}
	return DefaultForgetTimeout
}

// Live returns the members heard of lately, sorted by name.
func (t *Table) Live(now time.Duration) []*Member {
	return t.heardWithin(now, t.silenceTimeout())
}

// Unexpired returns the members that may still run: those not silent for long.
func (t *Table) Unexpired(now time.Duration) []*Member {
	return t.heardWithin(now, t.forgetTimeout())
}

// ServingCount counts the members that may be serving: those that may still run and did not say
// that they stop.
func (t *Table) ServingCount(now time.Duration) int {
	n := 0
	for _, m := range t.members {
		if m.Info.Ready && now-m.LastHeard <= t.forgetTimeout() {
			n++
		}
	}
	return n
}

// heardWithin returns the members heard of within a time, and drops those that are to be forgotten.
func (t *Table) heardWithin(now, limit time.Duration) []*Member {
	out := make([]*Member, 0, len(t.members))
	for name, m := range t.members {
		switch age := now - m.LastHeard; {
		case age > t.forgetTimeout():
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
	maxHosts := max(minKnownHosts, len(all)/knownHostsRounds)
	out := make([]KnownHost, 0, maxHosts)
	added := make(map[string]bool, maxHosts)
	add := func(m *Member) {
		if !added[m.Host] && len(out) < maxHosts {
			added[m.Host] = true
			out = append(out, m.knownHost(now))
		}
	}
	for _, z := range zonesOf(all) {
		if relays := relayCandidates(all, z); len(relays) > 0 {
			add(relays[0])
		}
	}
	for _, m := range all {
		if now-m.infoChanged < recentChange && len(out) < maxHosts/2 {
			add(m)
		}
	}
	// All are sorted by name; go on behind the one that was named last.
	if t.lastNamed == nil {
		t.lastNamed = make(map[string]string)
	}
	start, _ := slices.BinarySearchFunc(all, t.lastNamed[zone]+"\x00", func(m *Member, name string) int { return strings.Compare(m.Host, name) })
	for i := 0; i < len(all) && len(out) < maxHosts; i++ {
		m := all[(start+i)%len(all)]
		add(m)
		t.lastNamed[zone] = m.Host
	}
	return out
}

// recentChange is the time for which a change of a row is passed on before others.
const recentChange = time.Second

// knownHost is how a member is passed on.
func (m *Member) knownHost(now time.Duration) KnownHost {
	return KnownHost{m.Host, m.Life, m.Info, (now - m.LastHeard).Milliseconds()}
}

// lastSeqOf is the number of the newest heartbeat heard of a host, 0 for none.
func (t *Table) lastSeqOf(host string) uint32 {
	if m := t.members[host]; m != nil {
		return m.lastSeq
	}
	return 0
}

// Size is the number of members that may still run, as of the last look at them.
func (t *Table) Size() int { return len(t.members) }
