// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peers

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Parameters of the table.
const (
	// DefaultSilenceTimeout is the silence after which a host is not given to callers, in fleets of up to
	// silenceBaseHosts hosts. It grows with the fleet up to maxSilenceTimeout, because a relay then names each
	// host less often. Relays report silent hosts immediately, so that this timeout matters only if a relay is
	// lost together with them.
	DefaultSilenceTimeout = 1200 * time.Millisecond
	silenceBaseHosts      = 50
	maxSilenceTimeout     = 12 * time.Second
	// DefaultForgetTimeout is the silence after which a host is dropped.
	DefaultForgetTimeout = 20 * time.Second
	// minKnownHosts is the number of hosts passed on in a heartbeat or digest, if that many are known. In large
	// fleets the number is higher, so that knownHostsRounds of them name all hosts, up to maxKnownHosts, which
	// are 3 KB.
	minKnownHosts    = 24
	maxKnownHosts    = 48
	knownHostsRounds = 20
	// seqWindow is the number of own heartbeats and digests whose sending times are kept.
	seqWindow = 64
)

// Member is another host.
type Member struct {
	// Host and Incarnation identify the host and one run of its process.
	Host        string
	Incarnation uint64
	// Info is what the host reported about itself.
	Info HostInfo
	// LastHeard is when the host was last known to be live.
	LastHeard time.Duration
	// Load is what the host has running, by endpoint, and Waiting the number of requests that wait there, by
	// service and tier.
	Load    map[string]Load
	Waiting map[string][]int

	zones       ZoneDemands   // as of the last heartbeat
	lastDirect  time.Duration // when it last sent something to this host
	infoChanged time.Duration // when Info changed last, or the member returned
	lastSeq     uint32
	loadSeq     uint32
}

// Proof says which versions a peer knew to be the newest at a time on this host's clock.
type Proof struct {
	// Host is the name of the peer, Control the address where it can be queried.
	Host, Control string
	// Settings and Endpoints are the versions that the peer knew.
	Settings, Endpoints Version
}

// Table is what a host knows about the others. It does no I/O, and it is not safe for concurrent use.
type Table struct {
	// Host and Incarnation identify this host and one run of its process.
	Host        string
	Incarnation uint64
	// SilenceTimeout and ForgetTimeout are described at their defaults, which are used for 0.
	SilenceTimeout, ForgetTimeout time.Duration

	members   map[string]*Member
	sorted    []*Member // members by name, or nil if it has to be made anew
	seq       uint32
	loadSeq   uint32
	lastNamed [audiences]string        // last host that was passed on to each audience
	sentAt    [seqWindow]time.Duration // by Seq modulo seqWindow
}

// NextSeq returns the number of a heartbeat or digest that is sent now.
func (t *Table) NextSeq(now time.Duration) uint32 {
	t.seq++
	t.sentAt[t.seq%seqWindow] = now
	return t.seq
}

// NextLoadSeq returns the number of a load report that is sent now.
func (t *Table) NextLoadSeq() uint32 {
	t.loadSeq++
	return t.loadSeq
}

// Echo returns the newest Seq received from each of the members.
func (t *Table) Echo(members []*Member) map[string]uint32 {
	out := make(map[string]uint32, len(members))
	for _, m := range members {
		if m.lastSeq > 0 {
			out[m.Host] = m.lastSeq
		}
	}
	return out
}

// ReceiveHeartbeat applies a heartbeat. The proof is valid if the peer echoes a heartbeat of this host whose
// sending time is still known: the peer's report was written after that time, so its ages can only be counted
// from there.
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
	m.zones = b.Zones
	m.setInfo(now, b.Info)
	t.noteReturn(now, m)
	m.Incarnation, m.lastSeq = b.Incarnation, b.Seq
	m.LastHeard, m.lastDirect = now, now
	for _, k := range b.Known {
		t.mergeKnownHost(now, k)
	}
	return t.proof(b.Host, &b.Info, b.Echo, &b.Words)
}

// ReceiveDigest applies a relay's digest of all hosts. The hosts listed as lost are silent from now on, unless
// they sent something to this host within sourceTimeout.
func (t *Table) ReceiveDigest(now time.Duration, d *Digest) (Proof, bool) {
	if d.Host == t.Host || d.Host == "" {
		return Proof{}, false
	}
	m := t.member(d.Host)
	if d.Incarnation == m.Incarnation && d.Seq <= m.lastSeq {
		return Proof{}, false
	}
	m.setInfo(now, d.Info)
	m.Incarnation, m.lastSeq = d.Incarnation, d.Seq
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

// MarkAlive records that a known member sent something other than a heartbeat, in the given incarnation, or
// in the known one if incarnation is 0. A relay that lost some heartbeats may report the member as silent; a
// host that hears from it knows better.
func (t *Table) MarkAlive(now time.Duration, host string, incarnation uint64) {
	if m := t.members[host]; m != nil && (incarnation == 0 || incarnation == m.Incarnation) {
		t.noteReturn(now, m)
		m.LastHeard, m.lastDirect = now, now
	}
}

// proof returns what a peer's report proves: it was written after the peer had received the datagram of this
// host that it echoes.
func (t *Table) proof(host string, info *HostInfo, echoes map[string]uint32, report *Words) (Proof, bool) {
	echo, ok := echoes[t.Host]
	if !ok || echo > t.seq || t.seq-echo >= seqWindow {
		return Proof{}, false
	}
	sentAt := t.sentAt[echo%seqWindow]
	return Proof{Host: host, Control: info.Control, Settings: report.Settings.since(sentAt), Endpoints: report.Endpoints.since(sentAt)}, true
}

// Relays returns the hosts of a zone that may relay, in order of preference. self is this host, which counts
// like the others.
func (t *Table) Relays(now time.Duration, zone string, self *Member) []*Member {
	return relayCandidates(append(t.Live(now), self), zone)
}

// relayCapacityRatio is the fraction of the largest capacity in a zone that a host needs to relay.
const relayCapacityRatio = 0.75

// relayCandidates returns the hosts of a zone that may relay: those with about the largest capacity in the
// zone, in the order of the hashes of their names, so that all hosts choose the same.
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

// zonesOf returns the availability zones of the members.
func zonesOf(all []*Member) []string {
	var out []string
	for _, m := range all {
		if !slices.Contains(out, m.Info.Zone) {
			out = append(out, m.Info.Zone)
		}
	}
	return out
}

// setInfo stores what a member reports about itself.
func (m *Member) setInfo(now time.Duration, info HostInfo) {
	if m.Info != info {
		m.Info, m.infoChanged = info, now
	}
}

// noteReturn records that a silent member is heard from again; such members are passed on before others.
func (t *Table) noteReturn(now time.Duration, m *Member) {
	if now-m.LastHeard > t.silenceTimeout() {
		m.infoChanged = now
	}
}

// member returns a member, which is created if necessary.
func (t *Table) member(host string) *Member {
	if t.members == nil {
		t.members = make(map[string]*Member)
	}
	m := t.members[host]
	if m == nil {
		m = &Member{Host: host}
		t.members[host] = m
		t.sorted = nil
	}
	return m
}

// mergeKnownHost applies a peer's information about another host.
func (t *Table) mergeKnownHost(now time.Duration, k KnownHost) {
	lastHeard := now - time.Duration(k.Age)*time.Millisecond
	if k.Host == t.Host || k.Host == "" || now-lastHeard > t.silenceTimeout() {
		return
	}
	m := t.member(k.Host)
	if m.Info.Address == "" || (lastHeard > m.lastDirect && lastHeard > m.LastHeard) {
		if m.Incarnation != k.Incarnation {
			m.Incarnation, m.lastSeq, m.loadSeq = k.Incarnation, 0, 0
		}
		m.setInfo(now, k.Info)
		t.noteReturn(now, m)
		m.LastHeard = max(lastHeard, m.LastHeard)
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

// Live returns the members heard from within the silence timeout, sorted by name.
func (t *Table) Live(now time.Duration) []*Member {
	return t.heardWithin(now, t.silenceTimeout())
}

// Unexpired returns the members that may still run: those heard from within the forget timeout.
func (t *Table) Unexpired(now time.Duration) []*Member {
	return t.heardWithin(now, t.forgetTimeout())
}

// ServingCount returns the number of members that may be serving: those that may still run and did not report
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

// heardWithin returns the members heard from within limit, and drops those beyond the forget timeout.
func (t *Table) heardWithin(now, limit time.Duration) []*Member {
	out := make([]*Member, 0, len(t.members))
	expired := false
	for _, m := range t.byName() {
		switch age := now - m.LastHeard; {
		case age > t.forgetTimeout():
			delete(t.members, m.Host)
			expired = true
		case age <= limit:
			out = append(out, m)
		}
	}
	if expired {
		t.sorted = nil
	}
	return out
}

// byName returns all members sorted by name. In large fleets sorting them for each question would take a large
// part of the time of an idle host.
func (t *Table) byName() []*Member {
	if t.sorted == nil {
		t.sorted = slices.SortedFunc(maps.Values(t.members), func(a, b *Member) int { return strings.Compare(a.Host, b.Host) })
	}
	return t.sorted
}

// Targets returns at most n random members to send a heartbeat to.
func (t *Table) Targets(now time.Duration, n int, r *rand.Rand) []*Member {
	all := t.Unexpired(now)
	r.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(n, len(all))]
}

// audience is who is told of other hosts. Each audience is told of all hosts in turn, whatever the others are
// told meanwhile: with one turn for all, some hosts could always fall to the messages of the same audience.
type audience uint8

const (
	toHosts   audience = iota // hosts that are sent heartbeats directly
	toMembers                 // members of this host as a relay
	toRelays                  // relays of other zones
	audiences
)

// KnownHosts returns members to pass on, of one zone if zone is not empty: first the relays, which a host that
// knows few others needs most, then members whose Info changed recently, and then the others in turn.
func (t *Table) KnownHosts(now time.Duration, zone string, to audience) []KnownHost {
	all := slices.DeleteFunc(t.Live(now), func(m *Member) bool { return zone != "" && m.Info.Zone != zone })
	maxHosts := min(max(minKnownHosts, len(all)/knownHostsRounds), maxKnownHosts)
	out := make([]KnownHost, 0, maxHosts)
	added := make(map[string]bool, maxHosts)
	add := func(m *Member) {
		if !added[m.Host] && len(out) < maxHosts {
			added[m.Host] = true
			out = append(out, m.knownHost(now))
		}
	}
	for _, relayZone := range zonesOf(all) {
		if relays := relayCandidates(all, relayZone); len(relays) > 0 {
			add(relays[0])
		}
	}
	for _, m := range all {
		if now-m.infoChanged < recentChange && len(out) < maxHosts/2 {
			add(m)
		}
	}
	// Members are sorted by name; continue after the one that was passed on last.
	start, _ := slices.BinarySearchFunc(all, t.lastNamed[to]+"\x00", func(m *Member, name string) int { return strings.Compare(m.Host, name) })
	for i := 0; i < len(all) && len(out) < maxHosts; i++ {
		m := all[(start+i)%len(all)]
		add(m)
		t.lastNamed[to] = m.Host
	}
	return out
}

// recentChange is the time for which a change of Info is passed on before others.
const recentChange = time.Second

// knownHost returns a member in the form in which it is passed on.
func (m *Member) knownHost(now time.Duration) KnownHost {
	return KnownHost{m.Host, m.Incarnation, m.Info, (now - m.LastHeard).Milliseconds()}
}

// lastSeqOf returns the newest Seq received from a host, 0 for none.
func (t *Table) lastSeqOf(host string) uint32 {
	if m := t.members[host]; m != nil {
		return m.lastSeq
	}
	return 0
}

// Size returns the number of members that may still run, as of the last call that dropped expired members.
func (t *Table) Size() int { return len(t.members) }
