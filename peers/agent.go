// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peers

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/heathkeel/heathkeel/outcome"
	"github.com/heathkeel/heathkeel/quarantine"
)

// Figures of the agent.
const (
	// DefaultInterval is the time between heartbeats.
	DefaultInterval = 200 * time.Millisecond
	// fanout is the number of members that get a heartbeat directly. In larger fleets
	// heartbeats go to a relay.
	fanout = 8
	// leastEvery is the least time between two heartbeats: when all hosts start at once, each seed is
	// asked by all of them within 0.3 s.
	leastEvery = 20 * time.Millisecond
	// updateEvery is the time between two looks for loads that changed: about the time in
	// which a request more or less comes to an endpoint of a busy fleet, and more than the
	// datagrams of a zone take.
	updateEvery = 25 * time.Millisecond
	// seedEvery is how many heartbeats pass between two to the seeds.
	seedEvery = 5
	// knownEvery is how many heartbeats pass between two that name other hosts, where
	// hosts hear each other directly.
	knownEvery = 5
	// gossipFanout is the number of hosts that a host of a large fleet tells directly of
	// others it knows, with each such heartbeat, so that parts that lost sight of each
	// other meet again; as many are drawn from the hosts' entries in the store.
	gossipFanout = 2
	// mostGreeted bounds the hosts that are answered with a heartbeat because they know few
	// others: some 200 KB.
	mostGreeted = 64
	// largestBeat bounds a datagram, in bytes.
	largestBeat = 60 << 10
)

// ReportInterval is the longest usual time between two words of a host that reach another one
// where n hosts run: by way of two relays, three heartbeats.
func ReportInterval(n int) time.Duration {
	if n <= fanout+1 {
		return DefaultInterval
	}
	return 3 * DefaultInterval
}

// Host is what an agent tells and asks of the program it runs in.
type Host interface {
	// Fill adds the host's own words to a heartbeat, but for its stamps.
	Fill(b *Heartbeat)
	// Stamps tells what the host knows of the settings and of the endpoints now, and how old that is.
	Stamps() (settings, endpoints Stamp)
	// UsageReceived is called with what other hosts used of shared amounts.
	UsageReceived(u Usage)
	// LoadChanges gives the loads that changed since its last call and what waits, and false
	// if nothing did.
	LoadChanges() (map[string]Load, map[string][]int, bool)
	// LoadsReceived is called soon after other hosts told of changed loads.
	LoadsReceived()
	// ProofReceived is called when a peer proved what it knows.
	ProofReceived(p Proof)
	// Crashes tells of requests under which endpoints crashed.
	Crashes(to quarantine.Scope) quarantine.Evidence
	// CrashesReceived is called with what a peer knows of requests under which endpoints crashed. It returns true if some of it
	// is new.
	CrashesReceived(t *quarantine.Evidence) bool
}

// Usage is what one or several other hosts used of shared amounts.
type Usage struct {
	// Source names who told, Life one run of its process.
	Source      string
	Incarnation uint64
	// Hosts is the number of hosts whose use it is.
	Hosts int
	// Used is what they used since the life began, by workspace, and Left the level of
	// those workspaces whose amount is nearly used up.
	Used, Left map[string]float64
}

// Agent sends and hears heartbeats. The fields must be set before Run.
type Agent struct {
	// Table is what is known of the others; the agent guards it.
	Table *Table
	// Conn sends and receives.
	Conn net.PacketConn
	// Seeds are addresses of some hosts.
	Seeds []string
	// Host is the program.
	Host Host
	// Slots is the program as an owner of places and one that asks for them, or nil.
	Slots SlotHost
	// Now is the host's clock; it counts the time in which the host is suspended.
	Now func() time.Duration
	// CheckGap looks whether the process did not run for a while, which Woke is then told, or nil. It is called before what was
	// received is taken.
	CheckGap func()
	// Interval is the time between heartbeats; 0 means DefaultEvery.
	Interval time.Duration
	// Rand is the source of chance.
	Rand *rand.Rand
	// Log takes changes of state.
	Log logr.Logger

	mu     sync.Mutex
	heard  bool // loads of others were heard since the last look
	extra  []string
	greet  []greeted // hosts that know few others
	kick   chan struct{}
	ticks  int
	live   map[string]bool // as it was logged last
	lines  outcome.LineLimiter
	row    HostInfo // what this host told last of itself
	relay  Relay    // what this host passes on
	uplink uplink   // the relay that passes on what this host tells
	stale  bool     // what lies in the socket came while the process did not run
	told   history  // what this host told
	asking chan struct{}
	askSeq uint32
	owners owners
}

// greeted is a host that is to be told of the others.
type greeted struct{ host, address string }

// Init makes the agent ready; call it before Run.
func (a *Agent) Init() {
	a.kick = make(chan struct{}, 1)
	a.asking = make(chan struct{}, 1)
	a.live = make(map[string]bool)
	a.lines = outcome.LineLimiter{Rate: liveLines, Burst: mostLiveLines}
	a.relay = Relay{Host: a.Table.Host, Incarnation: a.Table.Incarnation}
	if a.Interval == 0 {
		a.Interval = DefaultInterval
	}
}

// TriggerHeartbeat sends a heartbeat at once.
func (a *Agent) TriggerHeartbeat() {
	select {
	case a.kick <- struct{}{}:
	default:
	}
}

// SetSeeds replaces the given addresses of some hosts.
func (a *Agent) SetSeeds(s []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.Seeds = s
}

// SetExtraSeeds adds addresses of hosts that were learned elsewhere.
func (a *Agent) SetExtraSeeds(s []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.extra = s
}

// Live returns copies of the members heard of lately.
func (a *Agent) Live() []Member {
	a.mu.Lock()
	defer a.mu.Unlock()
	return values(a.Table.Live(a.Now()))
}

// Unexpired returns copies of the members that may still run.
func (a *Agent) Unexpired() []Member {
	a.mu.Lock()
	defer a.mu.Unlock()
	return values(a.Table.Unexpired(a.Now()))
}

// values copies members.
func values(ms []*Member) []Member {
	out := make([]Member, len(ms))
	for i, m := range ms {
		out[i] = *m
	}
	return out
}

// UsageSources names who tells this host what the others used.
func (a *Agent) UsageSources() map[string]bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Now()
	out := make(map[string]bool)
	if a.relayed() {
		out[a.uplink.host] = true
		return out
	}
	for _, m := range a.Table.Unexpired(now) {
		out[m.Host] = true
	}
	return out
}

// relayed tells whether there are too many hosts to tell all of them directly; mu must be held.
func (a *Agent) relayed() bool { return a.Table.Size() > fanout }

// Run sends and hears until ctx ends.
func (a *Agent) Run(ctx context.Context) {
	go a.receive(ctx)
	go a.tellChanges(ctx)
	if a.Slots != nil {
		go a.ask(ctx)
	}
	t := time.NewTicker(a.Interval)
	defer t.Stop()
	for {
		a.send()
		sent := a.Now()
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-a.kick:
			// A series of causes makes one heartbeat, not one each.
			time.Sleep(leastEvery - (a.Now() - sent))
		}
	}
}

// send sends one heartbeat: to all others, or to the relay, and now and then to the seeds
// and to some hosts that it names others to.
func (a *Agent) send() {
	b := Heartbeat{Host: a.Table.Host, Incarnation: a.Table.Incarnation}
	a.Host.Fill(&b)
	a.mu.Lock()
	a.row = b.Info
	now := a.Now()
	relayed := a.relayed()
	// Without a relay that tells of the others, hosts find each other as in small fleets.
	told := relayed && a.uplink.fresh(now, b.Host)
	to := a.Table.Targets(now, fanout, a.Rand)
	if told {
		to = to[:min(gossipFanout, len(to))]
	}
	b.Seq, b.LoadSeq = a.Table.NextSeq(now), a.Table.NextLoadSeq()
	b.Echo, b.Size = a.Table.Echo(to), a.Table.Size()
	turn := a.ticks%knownEvery == 0
	if turn || (relayed && !told) {
		b.Known = a.Table.KnownHosts(now, "")
	}
	var addresses []string
	if turn || !told {
		addresses = rowAddresses(to)
	}
	if a.ticks%seedEvery == 0 || len(to) == 0 {
		addresses = append(addresses, a.Seeds...)
		addresses = append(addresses, a.someExtra()...)
	}
	if n := min(mostGreeted, len(a.greet)); n > 0 {
		for _, g := range a.greet[:n] {
			addresses = append(addresses, g.address)
			if seq := a.Table.heardSeq(g.host); seq > 0 {
				b.Echo[g.host] = seq // without it, the words prove nothing to the host
			}
		}
		a.greet = a.greet[n:]
		b.Known = a.Table.KnownHosts(now, "")
	}
	a.ticks++
	a.noteLive(now)
	a.mu.Unlock()
	a.stamp(&b.Words)
	a.write(&b, addresses)
	if relayed {
		a.sendRelayed(b)
	}
}

// stamp adds to words what this host knows of settings and endpoints. It is to be called when it is settled which datagrams they echo: an
// echo tells the receiver that the words were written after it, and a process may stand still between any two steps. Ages that
// were read first and sent with an echo that was heard seconds later would make old settings young.
func (a *Agent) stamp(w *Words) { w.Settings, w.Endpoints = a.Host.Stamps() }

// someExtra draws some addresses of hosts' entries in the store; mu must be held.
func (a *Agent) someExtra() []string {
	n := min(gossipFanout, len(a.extra))
	out := make([]string, 0, n)
	for _, i := range a.Rand.Perm(len(a.extra))[:n] {
		out = append(out, a.extra[i])
	}
	return out
}

// rowAddresses are where members hear heartbeats.
func rowAddresses(ms []*Member) []string {
	out := make([]string, 0, len(ms))
	for _, m := range ms {
		out = append(out, m.Info.Address)
	}
	return out
}

// write sends a message to each of some addresses once.
func (a *Agent) write(msg any, addresses []string) {
	if len(addresses) == 0 {
		return
	}
	data, err := encode(msg)
	if err != nil || len(data) > largestBeat {
		a.Log.Info("datagram not sent: too large or not to be written", "bytes", len(data))
		return
	}
	done := make(map[string]bool, len(addresses))
	for _, address := range addresses {
		if done[address] {
			continue
		}
		done[address] = true
		if to, err := net.ResolveUDPAddr("udp", address); err == nil {
			// A lost datagram is followed by the next.
			_, _ = a.Conn.WriteTo(data, to)
		}
	}
}

// Bounds of the lines on hosts that come and go, in lines a second and lines: where processes are short of processor hosts seem to go and come
// all the time, and a line for each would keep the processor busy.
const (
	liveLines      = 0.5
	mostLiveLines  = 20
	mostNamedPeers = 10
)

// noteLive logs hosts that came and went, in one line; mu must be held. What there is no line for is told by a later one.
func (a *Agent) noteLive(now time.Duration) {
	live := make(map[string]bool, len(a.live))
	for _, m := range a.Table.Live(now) {
		live[m.Host] = true
	}
	seen, lost := missing(live, a.live), missing(a.live, live)
	if len(seen)+len(lost) == 0 {
		return
	}
	dropped, ok := a.lines.Allow(now)
	if !ok {
		return
	}
	a.live = live
	a.Log.Info("peers changed", "seen", seen[:min(mostNamedPeers, len(seen))], "lost", lost[:min(mostNamedPeers, len(lost))],
		"seen_count", len(seen), "lost_count", len(lost), "live", len(live), "later", dropped)
}

// missing names the hosts of one set that are not in another.
func missing(of, in map[string]bool) []string {
	var out []string
	for h := range of {
		if !in[h] {
			out = append(out, h)
		}
	}
	slices.Sort(out)
	return out
}

// tellChanges tells the others of changed loads, and the program of theirs, until ctx ends.
func (a *Agent) tellChanges(ctx context.Context) {
	t := time.NewTicker(updateEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		a.sendChanges()
		a.mu.Lock()
		heard := a.heard
		a.heard = false
		a.mu.Unlock()
		if heard {
			a.Host.LoadsReceived()
		}
	}
}

// sendChanges sends an update where all others can be told directly and something changed.
func (a *Agent) sendChanges() {
	a.mu.Lock()
	var to []string
	if !a.relayed() {
		to = rowAddresses(a.Table.Live(a.Now()))
	}
	a.mu.Unlock()
	if len(to) == 0 {
		return
	}
	load, waiting, ok := a.Host.LoadChanges()
	if !ok {
		return
	}
	u := Update{Host: a.Table.Host, Incarnation: a.Table.Incarnation, Load: load, Waiting: waiting}
	a.mu.Lock()
	u.LoadSeq = a.Table.NextLoadSeq()
	a.mu.Unlock()
	a.write(&u, to)
}
