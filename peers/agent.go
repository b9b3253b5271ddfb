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
	// minInterval is the least time between two heartbeats: when all hosts start at once, each seed is
	// asked by all of them within 0.3 s.
	minInterval = 20 * time.Millisecond
	// updateInterval is the time between two looks for loads that changed: about the time in
	// which a request more or less comes to an endpoint of a busy fleet, and more than the
	// datagrams of a zone take.
	updateInterval = 25 * time.Millisecond
	// heartbeatsPerSeed is how many heartbeats pass between two to the seeds.
	heartbeatsPerSeed = 5
	// heartbeatsPerKnown is how many heartbeats pass between two that name other hosts, where
	// hosts hear each other directly.
	heartbeatsPerKnown = 5
	// gossipFanout is the number of hosts that a host of a large fleet tells directly of
	// others it knows, with each such heartbeat, so that parts that lost sight of each
	// other meet again; as many are drawn from the hosts' entries in the store.
	gossipFanout = 2
	// maxNewcomers bounds the hosts that are answered with a heartbeat because they know few
	// others: some 200 KB.
	maxNewcomers = 64
	// maxDatagramSize bounds a datagram, in bytes.
	maxDatagramSize = 60 << 10
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
	Source string
	Life   uint64
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
	// Places is the program as an owner of places and one that asks for them, or nil.
	Places SlotHost
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

	mu             sync.Mutex
	loadsReceived  bool // loads of others were heard since the last look
	extraSeeds     []string
	newcomers      []newcomer // hosts that know few others
	trigger        chan struct{}
	heartbeats     int
	loggedLive     map[string]bool // as it was logged last
	logBudget      outcome.Budget
	info           HostInfo // what this host told last of itself
	relay          Relay    // what this host passes on
	uplink         uplink   // the relay that passes on what this host tells
	staleDatagrams bool     // what lies in the socket came while the process did not run
	sentWords      history  // what this host told
	askTrigger     chan struct{}
	askSeq         uint32
	owners         owners
}

// newcomer is a host that is to be told of the others.
type newcomer struct{ host, address string }

// Init makes the agent ready; call it before Run.
func (a *Agent) Init() {
	a.trigger = make(chan struct{}, 1)
	a.askTrigger = make(chan struct{}, 1)
	a.loggedLive = make(map[string]bool)
	a.logBudget = outcome.Budget{Rate: peerLogRate, Burst: peerLogBurst}
	a.relay = Relay{Host: a.Table.Host, Life: a.Table.Life}
	if a.Interval == 0 {
		a.Interval = DefaultInterval
	}
}

// TriggerHeartbeat sends a heartbeat at once.
func (a *Agent) TriggerHeartbeat() {
	select {
	case a.trigger <- struct{}{}:
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
	a.extraSeeds = s
}

// Live returns copies of the members heard of lately.
func (a *Agent) Live() []Member {
	a.mu.Lock()
	defer a.mu.Unlock()
	return copyMembers(a.Table.Live(a.Now()))
}

// Unexpired returns copies of the members that may still run.
func (a *Agent) Unexpired() []Member {
	a.mu.Lock()
	defer a.mu.Unlock()
	return copyMembers(a.Table.Unexpired(a.Now()))
}

// copyMembers copies members.
func copyMembers(ms []*Member) []Member {
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
	if a.usesRelays() {
		out[a.uplink.host] = true
		return out
	}
	for _, m := range a.Table.Unexpired(now) {
		out[m.Host] = true
	}
	return out
}

// usesRelays tells whether there are too many hosts to tell all of them directly; mu must be held.
func (a *Agent) usesRelays() bool { return a.Table.Size() > fanout }

// Run sends and hears until ctx ends.
func (a *Agent) Run(ctx context.Context) {
	go a.receive(ctx)
	go a.shareLoadChanges(ctx)
	if a.Places != nil {
		go a.askLoop(ctx)
	}
	t := time.NewTicker(a.Interval)
	defer t.Stop()
	for {
		a.sendHeartbeat()
		sent := a.Now()
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-a.trigger:
			// A series of causes makes one heartbeat, not one each.
			time.Sleep(minInterval - (a.Now() - sent))
		}
	}
}

// sendHeartbeat sends one heartbeat: to all others, or to the relay, and now and then to the seeds
// and to some hosts that it names others to.
func (a *Agent) sendHeartbeat() {
	b := Heartbeat{Host: a.Table.Host, Life: a.Table.Life}
	a.Host.Fill(&b)
	a.mu.Lock()
	a.info = b.Info
	now := a.Now()
	relayed := a.usesRelays()
	// Without a relay that tells of the others, hosts find each other as in small fleets.
	viaRelay := relayed && a.uplink.isFresh(now, b.Host)
	to := a.Table.Targets(now, fanout, a.Rand)
	if viaRelay {
		to = to[:min(gossipFanout, len(to))]
	}
	b.Seq, b.LoadSeq = a.Table.NextSeq(now), a.Table.NextLoadSeq()
	b.Echo, b.Size = a.Table.Echo(to), a.Table.Size()
	periodic := a.heartbeats%heartbeatsPerKnown == 0
	if periodic || (relayed && !viaRelay) {
		b.Known = a.Table.KnownHosts(now, "")
	}
	var addresses []string
	if periodic || !viaRelay {
		addresses = addressesOf(to)
	}
	if a.heartbeats%heartbeatsPerSeed == 0 || len(to) == 0 {
		addresses = append(addresses, a.Seeds...)
		addresses = append(addresses, a.randomExtraSeeds()...)
	}
	if n := min(maxNewcomers, len(a.newcomers)); n > 0 {
		for _, nc := range a.newcomers[:n] {
			addresses = append(addresses, nc.address)
			if seq := a.Table.lastSeqOf(nc.host); seq > 0 {
				b.Echo[nc.host] = seq // without it, the words prove nothing to the host
			}
		}
		a.newcomers = a.newcomers[n:]
		b.Known = a.Table.KnownHosts(now, "")
	}
	a.heartbeats++
	a.logPeerChanges(now)
	a.mu.Unlock()
	a.addStamps(&b.Words)
	a.sendTo(&b, addresses)
	if relayed {
		a.sendRelayed(b)
	}
}

// addStamps adds to words what this host knows of settings and endpoints. It is to be called when it is settled which datagrams they echo: an
// echo tells the receiver that the words were written after it, and a process may stand still between any two steps. Ages that
// were read first and sent with an echo that was heard seconds later would make old settings young.
func (a *Agent) addStamps(w *Words) { w.Settings, w.Endpoints = a.Host.Stamps() }

// randomExtraSeeds draws some addresses of hosts' entries in the store; mu must be held.
func (a *Agent) randomExtraSeeds() []string {
	n := min(gossipFanout, len(a.extraSeeds))
	out := make([]string, 0, n)
	for _, i := range a.Rand.Perm(len(a.extraSeeds))[:n] {
		out = append(out, a.extraSeeds[i])
	}
	return out
}

// addressesOf are where members hear heartbeats.
func addressesOf(ms []*Member) []string {
	out := make([]string, 0, len(ms))
	for _, m := range ms {
		out = append(out, m.Info.Address)
	}
	return out
}

// sendTo sends a message to each of some addresses once.
func (a *Agent) sendTo(msg any, addresses []string) {
	if len(addresses) == 0 {
		return
	}
	data, err := encode(msg)
	if err != nil || len(data) > maxDatagramSize {
		a.Log.Info("datagram not sent: too large or not to be written", "bytes", len(data))
		return
	}
	sent := make(map[string]bool, len(addresses))
	for _, address := range addresses {
		if sent[address] {
			continue
		}
		sent[address] = true
		if to, err := net.ResolveUDPAddr("udp", address); err == nil {
			// A lost datagram is followed by the next.
			_, _ = a.Conn.WriteTo(data, to)
		}
	}
}

// Bounds of the lines on hosts that come and go, in lines a second and lines: where processes are short of processor hosts seem to go and come
// all the time, and a line for each would keep the processor busy.
const (
	peerLogRate    = 0.5
	peerLogBurst   = 20
	maxLoggedPeers = 10
)

// logPeerChanges logs hosts that came and went, in one line; mu must be held. What there is no line for is told by a later one.
func (a *Agent) logPeerChanges(now time.Duration) {
	live := make(map[string]bool, len(a.loggedLive))
	for _, m := range a.Table.Live(now) {
		live[m.Host] = true
	}
	seen, lost := difference(live, a.loggedLive), difference(a.loggedLive, live)
	if len(seen)+len(lost) == 0 {
		return
	}
	dropped, ok := a.logBudget.Take(now)
	if !ok {
		return
	}
	a.loggedLive = live
	a.Log.Info("peers changed", "seen", seen[:min(maxLoggedPeers, len(seen))], "lost", lost[:min(maxLoggedPeers, len(lost))],
		"seen_count", len(seen), "lost_count", len(lost), "live", len(live), "later", dropped)
}

// difference names the hosts of one set that are not in another.
func difference(a, b map[string]bool) []string {
	var out []string
	for h := range a {
		if !b[h] {
			out = append(out, h)
		}
	}
	slices.Sort(out)
	return out
}

// shareLoadChanges tells the others of changed loads, and the program of theirs, until ctx ends.
func (a *Agent) shareLoadChanges(ctx context.Context) {
	t := time.NewTicker(updateInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		a.sendLoadChanges()
		a.mu.Lock()
		received := a.loadsReceived
		a.loadsReceived = false
		a.mu.Unlock()
		if received {
			a.Host.LoadsReceived()
		}
	}
}

// sendLoadChanges sends an update where all others can be told directly and something changed.
func (a *Agent) sendLoadChanges() {
	a.mu.Lock()
	var to []string
	if !a.usesRelays() {
		to = addressesOf(a.Table.Live(a.Now()))
	}
	a.mu.Unlock()
	if len(to) == 0 {
		return
	}
	load, waiting, ok := a.Host.LoadChanges()
	if !ok {
		return
	}
	u := Update{Host: a.Table.Host, Life: a.Table.Life, Load: load, Waiting: waiting}
	a.mu.Lock()
	u.LoadSeq = a.Table.NextLoadSeq()
	a.mu.Unlock()
	a.sendTo(&u, to)
}
