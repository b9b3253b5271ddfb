// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peers

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/heathkeel/heathkeel/outcome"
	"github.com/heathkeel/heathkeel/places"
	"github.com/heathkeel/heathkeel/quarantine"
)

// Parameters of the agent.
const (
	// DefaultInterval is the time between heartbeats.
	DefaultInterval = 200 * time.Millisecond
	// fanout is the number of members that are sent heartbeats directly. In larger fleets heartbeats go to a
	// relay.
	fanout = 8
	// DirectHosts is the largest number of hosts that report to each other directly.
	DirectHosts = fanout + 1
	// minInterval is the minimum time between two heartbeats: when all hosts start at once, each of them
	// queries every seed within 0.3 s.
	minInterval = 20 * time.Millisecond
	// updateInterval is the time between two checks for changed loads: about the time between changes of the
	// number of requests at an endpoint of a busy fleet, and longer than datagrams take within a zone.
	updateInterval = 25 * time.Millisecond
	// heartbeatsPerSeed is the number of heartbeats between two that are sent to the seeds.
	heartbeatsPerSeed = 5
	// heartbeatsPerKnown is the number of heartbeats between two that name other hosts, where hosts send
	// heartbeats to each other directly.
	heartbeatsPerKnown = 5
	// gossipFanout is the number of members to which a host of a large fleet sends such a heartbeat directly,
	// so that partitions that lost contact find each other again. The same number of hosts is drawn from the
	// hosts' entries in the store.
	gossipFanout = 2
	// maxNewcomers limits the hosts that one heartbeat answers because they know few others, to about 200 KB.
	maxNewcomers = 64
	// maxDatagramSize limits the size of a datagram, in bytes.
	maxDatagramSize = 60 << 10
)

// ReportInterval returns the longest usual time between two reports of a host that reach another one in a fleet
// of n hosts: through two relays it takes three heartbeats.
func ReportInterval(n int) time.Duration {
	if n <= DirectHosts {
		return DefaultInterval
	}
	return 3 * DefaultInterval
}

// Host is the program that an agent runs in.
type Host interface {
	// Fill adds the host's report to a heartbeat, without its stamps.
	Fill(b *Heartbeat)
	// Stamps returns the versions of the settings and of the endpoints that the host knows now, with their
	// ages.
	Stamps() (settings, endpoints Stamp)
	// UsageReceived is called with what other hosts used of shared amounts.
	UsageReceived(u Usage)
	// LoadChanges returns the loads that changed since its last call and the waiting requests, or false if
	// nothing changed.
	LoadChanges() (map[string]Load, map[string][]int, bool)
	// LoadsReceived is called soon after other hosts reported changed loads.
	LoadsReceived()
	// ProofReceived is called when a peer proved what it knows.
	ProofReceived(p Proof)
	// Limits returns all that is known of what endpoints stated about their limits.
	Limits() map[string]places.LimitReports
	// LimitsReceived is called with what endpoints stated to other hosts.
	LimitsReceived(limits map[string]places.LimitReports)
	// Crashes returns evidence about requests under which endpoints crashed.
	Crashes(to quarantine.Scope) quarantine.Evidence
	// CrashesReceived is called with a peer's evidence about requests under which endpoints crashed. It returns
	// true if some of it is new.
	CrashesReceived(t *quarantine.Evidence) bool
}

// Usage is what one or several other hosts used of shared amounts.
type Usage struct {
	// Source is the name of the host that reported it; Incarnation identifies one run of that host's
	// process.
	Source      string
	Incarnation uint64
	// Hosts is the number of hosts whose use is included.
	Hosts int
	// Used is what they used since that incarnation began, by workspace, and Left the level of each workspace
	// whose amount is nearly used up.
	Used, Left map[string]float64
}

// Agent sends and receives heartbeats. The exported fields must be set before Run.
type Agent struct {
	// Table is what is known about the others; the agent guards it.
	Table *Table
	// Conn sends and receives datagrams.
	Conn net.PacketConn
	// Seeds are addresses of some hosts.
	Seeds []string
	// Host is the program that the agent runs in.
	Host Host
	// Slots is the program as an owner of slots and as a host that asks for them, or nil.
	Slots SlotHost
	// Origins is the program as a host that knows where streams began, or nil.
	Origins OriginHost
	// Now is the host's clock; it includes the time in which the host is suspended.
	Now func() time.Duration
	// CheckGap checks whether the process did not run for a while and, if so, calls NoteGap; it may be nil. It
	// is called before a received datagram is handled.
	CheckGap func()
	// OnFewKnown is called when a peer knows more than twice as many hosts as this one, with the control address
	// of a host whose table to fetch; it may be nil. It must not block.
	OnFewKnown func(control string)
	// Interval is the time between heartbeats; 0 means DefaultInterval.
	Interval time.Duration
	// Rand is the source of random numbers.
	Rand *rand.Rand
	// Log receives changes of state.
	Log logr.Logger

	mu                 sync.Mutex
	loadsReceived      bool // loads of others were received since the last check
	extraSeeds         []string
	newcomers          []newcomer // hosts that know few others
	trigger            chan struct{}
	heartbeats         int
	loggedLive         map[string]bool // live hosts as last logged
	logBudget          outcome.LineLimiter
	info               HostInfo // what this host last reported about itself
	relay              Relay    // this host as a relay
	uplink             uplink   // the relay that this host uses
	staleDatagrams     bool     // waiting datagrams arrived while the process did not run
	sentReports        history  // what this host reported
	slotRequestTrigger chan struct{}
	slotRequestSeq     uint32
	owners             owners
}

// Init initializes the agent; call it before Run.
func (a *Agent) Init() {
	a.trigger = make(chan struct{}, 1)
	a.slotRequestTrigger = make(chan struct{}, 1)
	a.loggedLive = make(map[string]bool)
	a.logBudget = outcome.LineLimiter{Rate: peerLogRate, Burst: peerLogBurst}
	a.relay = Relay{Host: a.Table.Host, Incarnation: a.Table.Incarnation}
	if a.Interval == 0 {
		a.Interval = DefaultInterval
	}
}

// TriggerHeartbeat makes the agent send a heartbeat at once.
func (a *Agent) TriggerHeartbeat() {
	select {
	case a.trigger <- struct{}{}:
	default:
	}
}

// SetSeeds replaces the seeds.
func (a *Agent) SetSeeds(s []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.Seeds = s
}

// SetExtraSeeds replaces the addresses of hosts that were found elsewhere, such as in the store.
func (a *Agent) SetExtraSeeds(s []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.extraSeeds = s
}

// Live returns copies of the members heard from recently.
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

// copyMembers returns copies of members.
func copyMembers(ms []*Member) []Member {
	out := make([]Member, len(ms))
	for i, m := range ms {
		out[i] = *m
	}
	return out
}

// UsageSources returns the names of the hosts that report to this host what the others used.
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

// usesRelays reports whether there are too many hosts for direct reports to all of them. mu must be held.
func (a *Agent) usesRelays() bool { return a.Table.Size() > fanout }

// Run sends and receives datagrams until ctx ends.
func (a *Agent) Run(ctx context.Context) {
	go a.receive(ctx)
	go a.shareLoadChanges(ctx)
	if a.Slots != nil {
		go a.slotRequestLoop(ctx)
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
			// Triggers in quick succession make one heartbeat, not one each.
			time.Sleep(minInterval - (a.Now() - sent))
		}
	}
}

// sendHeartbeat sends one heartbeat: to all others, or to the relay; and at intervals to the seeds and to some
// hosts, with the hosts that it knows.
func (a *Agent) sendHeartbeat() {
	b := Heartbeat{Host: a.Table.Host, Incarnation: a.Table.Incarnation}
	a.Host.Fill(&b)
	a.mu.Lock()
	a.info = b.Info
	now := a.Now()
	relayed := a.usesRelays()
	// Without a relay that reports the others, hosts find each other as in small fleets.
	viaRelay := relayed && a.uplink.isFresh(now, b.Host)
	to := a.Table.Targets(now, fanout, a.Rand)
	if viaRelay {
		to = to[:min(gossipFanout, len(to))]
	}
	b.Seq, b.LoadSeq = a.Table.NextSeq(now), a.Table.NextLoadSeq()
	b.Echo, b.Size = a.Table.Echo(to), a.Table.Size()
	periodic := a.heartbeats%heartbeatsPerKnown == 0
	if periodic || (relayed && !viaRelay) {
		b.Known = a.Table.KnownHosts(now, "", toHosts)
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
				b.Echo[nc.host] = seq // without it, the report proves nothing to the host
			}
		}
		a.newcomers = a.newcomers[n:]
		b.Known = a.Table.KnownHosts(now, "", toHosts)
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

// addStamps adds what this host knows about settings and endpoints to a report. It must be called after the
// echoes are fixed: an echo tells the receiver that the report was written after the echoed datagram, and a
// process may stall between any two steps. Ages read earlier and sent with an echo of a datagram received
// seconds later would make old settings look recent.
func (a *Agent) addStamps(w *Words) { w.Settings, w.Endpoints = a.Host.Stamps() }

// randomExtraSeeds returns random addresses from the hosts' entries in the store. mu must be held.
func (a *Agent) randomExtraSeeds() []string {
	n := min(gossipFanout, len(a.extraSeeds))
	out := make([]string, 0, n)
	for _, i := range a.Rand.Perm(len(a.extraSeeds))[:n] {
		out = append(out, a.extraSeeds[i])
	}
	return out
}

// addressesOf returns the addresses at which members receive heartbeats.
func addressesOf(ms []*Member) []string {
	out := make([]string, 0, len(ms))
	for _, m := range ms {
		out = append(out, m.Info.Address)
	}
	return out
}

// sendTo sends a message to each distinct address.
func (a *Agent) sendTo(msg any, addresses []string) {
	if len(addresses) == 0 {
		return
	}
	data, err := encode(msg)
	if err != nil || len(data) > maxDatagramSize {
		a.Log.Info("datagram not sent: encoding failed or it is too large", "bytes", len(data))
		return
	}
	sent := make(map[string]bool, len(addresses))
	for _, address := range addresses {
		if sent[address] {
			continue
		}
		sent[address] = true
		if to, err := net.ResolveUDPAddr("udp", address); err == nil {
			// A lost datagram is followed by the next one.
			_, _ = a.Conn.WriteTo(data, to)
		}
	}
}

// shareLoadChanges sends changed loads and the origins of new streams to the others, and notifies the program of their loads, until
// ctx ends.
func (a *Agent) shareLoadChanges(ctx context.Context) {
	t := time.NewTicker(updateInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if a.Origins != nil {
			a.sendOrigins()
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

// sendLoadChanges sends an update if all others can be reached directly and something changed.
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
	u := Update{Host: a.Table.Host, Incarnation: a.Table.Incarnation, Load: load, Waiting: waiting}
	a.mu.Lock()
	u.LoadSeq = a.Table.NextLoadSeq()
	a.mu.Unlock()
	a.sendTo(&u, to)
}
