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
)

// Figures of the agent.
const (
	// DefaultEvery is the time between heartbeats.
	DefaultEvery = 200 * time.Millisecond
	// fanout is the number of members that get a heartbeat.
	fanout = 8
	// updateEvery is the time between two looks for loads that changed: about the time in
	// which a request more or less comes to an endpoint of a busy fleet, and more than the
	// datagrams of a zone take.
	updateEvery = 25 * time.Millisecond
	// seedEvery is how many heartbeats pass between two to the seeds.
	seedEvery = 5
	// knownEvery is how many heartbeats pass between two that name other hosts, where
	// hosts hear each other directly.
	knownEvery = 5
	// largestBeat bounds a datagram, in bytes.
	largestBeat = 60 << 10
)

// Interval is the mean time between two heartbeats from one host to another where n
// hosts run: each sends to fanout others at a time.
func Interval(n int) time.Duration {
	rounds := max(1, (n-1+fanout-1)/fanout)
	return time.Duration(rounds) * DefaultEvery
}

// Host is what an agent tells and asks of the program it runs in.
type Host interface {
	// Fill adds the host's own words to a heartbeat.
	Fill(b *Beat)
	// Heard is called with each heartbeat of another host.
	Heard(b *Beat)
	// Changes gives the loads that changed since its last call and what waits, and false
	// if nothing did.
	Changes() (map[string]Load, map[string][]int, bool)
	// LoadsHeard is called soon after other hosts told of changed loads.
	LoadsHeard()
	// Proved is called when a peer proved a revision of the settings.
	Proved(p Proof)
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
	// Now is the steady clock.
	Now func() time.Duration
	// Every is the time between heartbeats; 0 means DefaultEvery.
	Every time.Duration
	// Rand is the source of chance.
	Rand *rand.Rand
	// Log takes changes of state.
	Log logr.Logger

	mu    sync.Mutex
	heard bool // updates came since the last look
	extra []string
	kick  chan struct{}
	ticks int
	live  map[string]bool
}

// Init makes the agent ready; call it before Run.
func (a *Agent) Init() {
	a.kick = make(chan struct{}, 1)
	a.live = make(map[string]bool)
	if a.Every == 0 {
		a.Every = DefaultEvery
	}
}

// Kick sends a heartbeat at once.
func (a *Agent) Kick() {
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

// AddSeeds adds addresses of hosts that were learned elsewhere.
func (a *Agent) AddSeeds(s []string) {
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

// Counted returns copies of the members that may still run.
func (a *Agent) Counted() []Member {
	a.mu.Lock()
	defer a.mu.Unlock()
	return values(a.Table.Counted(a.Now()))
}

// values copies members.
func values(ms []*Member) []Member {
	out := make([]Member, len(ms))
	for i, m := range ms {
		out[i] = *m
	}
	return out
}

// Run sends and hears until ctx ends.
func (a *Agent) Run(ctx context.Context) {
	go a.receive(ctx)
	go a.tellChanges(ctx)
	t := time.NewTicker(a.Every)
	defer t.Stop()
	for {
		a.send()
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-a.kick:
		}
	}
}

// send sends one heartbeat to some members, and now and then to the seeds.
func (a *Agent) send() {
	b := Beat{Host: a.Table.Host, Life: a.Table.Life}
	a.Host.Fill(&b)
	a.mu.Lock()
	now := a.Now()
	to := a.Table.Targets(now, fanout, a.Rand)
	b.Seq, b.LoadSeq = a.Table.Next(now), a.Table.NextLoad()
	b.Echo = a.Table.Echo(to)
	if a.ticks%knownEvery == 0 || len(to) >= fanout {
		b.Known = a.Table.KnownRows(now, a.Rand)
	}
	addresses := make([]string, 0, len(to))
	for _, m := range to {
		addresses = append(addresses, m.Row.Address)
	}
	if a.ticks%seedEvery == 0 || len(to) == 0 {
		addresses = append(addresses, a.Seeds...)
		addresses = append(addresses, a.extra...)
	}
	a.ticks++
	a.noteLive(now)
	a.mu.Unlock()
	data, err := encode(&b)
	if err != nil || len(data) > largestBeat {
		a.Log.Info("heartbeat not sent", "bytes", len(data))
		return
	}
	a.write(data, addresses, b.Row.Address)
}

// write sends a datagram to each of some addresses once, but not to the host itself.
func (a *Agent) write(data []byte, addresses []string, self string) {
	done := make(map[string]bool, len(addresses))
	for _, address := range addresses {
		if done[address] || address == self {
			continue
		}
		done[address] = true
		if to, err := net.ResolveUDPAddr("udp", address); err == nil {
			// A lost datagram is followed by the next.
			_, _ = a.Conn.WriteTo(data, to)
		}
	}
}

// noteLive logs hosts that came and went; mu must be held.
func (a *Agent) noteLive(now time.Duration) {
	seen := make(map[string]bool, len(a.live))
	for _, m := range a.Table.Live(now) {
		seen[m.Host] = true
		if !a.live[m.Host] {
			a.Log.Info("peer seen", "peer", m.Host)
		}
	}
	for h := range a.live {
		if !seen[h] {
			a.Log.Info("peer lost", "peer", h)
		}
	}
	a.live = seen
}

// receive hears heartbeats until ctx ends.
func (a *Agent) receive(ctx context.Context) {
	go func() {
		<-ctx.Done()
		_ = a.Conn.Close()
	}()
	buf := make([]byte, largestBeat)
	for {
		n, _, err := a.Conn.ReadFrom(buf)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			time.Sleep(a.Every)
			continue
		}
		// One that cannot be read is passed over: it may be damaged or of another
		// version, and the next full heartbeat tells all.
		msg, err := decode(buf[:n])
		if err != nil {
			continue
		}
		switch msg := msg.(type) {
		case *Beat:
			a.hear(msg)
		case *Update:
			a.hearUpdate(msg)
		}
	}
}

// hearUpdate takes changed loads.
func (a *Agent) hearUpdate(u *Update) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.Table.HearUpdate(u) {
		a.heard = true
	}
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
			a.Host.LoadsHeard()
		}
	}
}

// sendChanges sends an update where all others can be told directly and something changed.
func (a *Agent) sendChanges() {
	a.mu.Lock()
	to := a.Table.Live(a.Now())
	addresses := make([]string, 0, len(to))
	for _, m := range to {
		addresses = append(addresses, m.Row.Address)
	}
	a.mu.Unlock()
	if len(addresses) == 0 || len(addresses) > fanout {
		return
	}
	load, waiting, ok := a.Host.Changes()
	if !ok {
		return
	}
	u := Update{Host: a.Table.Host, Life: a.Table.Life, Load: load, Waiting: waiting}
	a.mu.Lock()
	u.LoadSeq = a.Table.NextLoad()
	a.mu.Unlock()
	data, err := encodeUpdate(&u)
	if err != nil {
		a.Log.Error(err, "update not sent")
		return
	}
	a.write(data, addresses, "")
}

// hear takes one heartbeat.
func (a *Agent) hear(b *Beat) {
	if b.Host == a.Table.Host {
		return
	}
	a.mu.Lock()
	proof, ok := a.Table.Hear(a.Now(), b)
	a.mu.Unlock()
	a.Host.Heard(b)
	if ok {
		a.Host.Proved(proof)
	}
}
