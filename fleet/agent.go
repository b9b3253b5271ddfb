// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package fleet

import (
	"cmp"
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/heathkeel/heathkeel/clock"
	"github.com/heathkeel/heathkeel/keyval"
	"github.com/heathkeel/heathkeel/once"
)

// Defaults of an Agent.
const (
	// DefaultInterval is the time between heartbeats.
	DefaultInterval = 500 * time.Millisecond
	// DefaultMissThreshold is the number of heartbeats without answer that make a suspicion.
	DefaultMissThreshold = 3
	// DefaultMaxBatch is the largest number of changed records in a heartbeat.
	DefaultMaxBatch = 24
	// digestRounds is the number of beats with unequal digests that ask for all records.
	digestRounds = 8
	// probeRounds is the number of beats between probes of a suspect.
	probeRounds = 5
	// listEvery is the time between reads of the platform's list.
	listEvery = time.Second
)

// Agent keeps a Table by heartbeats. Set the exported fields, then call Run.
type Agent struct {
	// Self is this host's record at the start.
	Self Host
	// Transport sends heartbeats.
	Transport Transport
	// List is the platform's list; nil means none.
	List keyval.HostList
	// Interval, Misses, Fanout and Batch default to the constants above.
	Interval      time.Duration
	MissThreshold int
	Fanout        int
	MaxBatch      int
	// Revision returns the settings' revision in force; Behind is told of a
	// higher one at an address. Both may be nil.
	Revision        func() uint64
	OnNewerRevision func(revision uint64, address string)
	// Floors returns the floors to tell; SetFloors takes a peer's. Both may be nil.
	Floors      func() []Floor
	ApplyFloors func([]Floor)
	// OnList is told of each reading of the platform's list; nil means nobody.
	OnList func([]keyval.ListEntry)
	// Clock is the host's clock; nil means one that counts suspensions.
	Clock *clock.Clock
	// Seed seeds the choice of suspects to probe.
	Seed uint64
	// Log takes changes of state.
	Log logr.Logger

	mu      sync.Mutex
	table   *Table
	outbox  map[once.Incarnation][]Host
	missed  map[once.Incarnation]int
	differ  map[once.Incarnation]int
	inbound map[once.Incarnation]time.Duration
	listed  []keyval.ListEntry
	rnd     *rand.Rand
	round   int
	kick    chan struct{}
	peers   []Host
	peersAt uint64
	sent    Traffic
}

// Traffic counts what heartbeats cost; bytes are counted by the caller.
type Traffic struct {
	// Sent and Received count heartbeats; Failed counts those without answer.
	Sent, Received, Failed int64
}

// init makes what Run and Receive share; mu must be held.
func (a *Agent) init() {
	if a.table != nil {
		return
	}
	if a.Clock == nil {
		a.Clock = clock.New()
	}
	a.table = NewTable(a.Self)
	a.outbox = make(map[once.Incarnation][]Host)
	a.missed = make(map[once.Incarnation]int)
	a.differ = make(map[once.Incarnation]int)
	a.inbound = make(map[once.Incarnation]time.Duration)
	a.rnd = rand.New(rand.NewPCG(a.Seed, uint64(a.Self.Incarnation)))
	a.kick = make(chan struct{}, 1)
}

// now is the time of the host's clock, never 0; mu must be held.
func (a *Agent) now() time.Duration { return a.Clock.Now() + 1 }

// View calls fn with the table; fn must not keep it or block.
func (a *Agent) View(fn func(*Table)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.init()
	fn(a.table)
}

// Update changes this host's own record and spreads it at once.
func (a *Agent) Update(change func(*Host)) {
	a.mu.Lock()
	a.init()
	a.table.Update(change)
	a.distribute()
	a.mu.Unlock()
	a.SendNow()
}

// SendNow makes the next heartbeat go out at once.
func (a *Agent) SendNow() {
	a.mu.Lock()
	a.init()
	kick := a.kick
	a.mu.Unlock()
	select {
	case kick <- struct{}{}:
	default:
	}
}

// Traffic returns the counts so far.
func (a *Agent) Traffic() Traffic {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.sent
}

// Run sends heartbeats until ctx ends.
func (a *Agent) Run(ctx context.Context) {
	a.mu.Lock()
	a.init()
	a.mu.Unlock()
	if a.List != nil {
		go a.readList(ctx)
	}
	tick := time.NewTicker(cmp.Or(a.Interval, DefaultInterval))
	defer tick.Stop()
	for {
		a.beat(ctx)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-a.kick:
		}
	}
}

// readList reads the platform's list again and again.
func (a *Agent) readList(ctx context.Context) {
	for ctx.Err() == nil {
		entries, err := a.List.List(ctx)
		if err == nil {
			a.takeList(entries)
		}
		select {
		case <-ctx.Done():
		case <-time.After(listEvery):
		}
	}
}

// takeList joins one reading of the list.
func (a *Agent) takeList(entries []keyval.ListEntry) {
	a.mu.Lock()
	a.listed = entries
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		if !e.Endpoint {
			names = append(names, e.Name)
		}
	}
	a.table.ApplyList(a.now(), names)
	a.mu.Unlock()
	if a.OnList != nil {
		a.OnList(entries)
	}
}

// beat sends one heartbeat to each neighbour and, now and then, to a suspect.
func (a *Agent) beat(ctx context.Context) {
	a.mu.Lock()
	a.round++
	targets := a.targets()
	a.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(a.Interval, DefaultInterval))
	var wg sync.WaitGroup
	for _, h := range targets {
		wg.Add(1)
		go func() {
			defer wg.Done()
			a.exchange(ctx, h)
		}()
	}
	go func() {
		wg.Wait()
		cancel()
	}()
}

// neighbors returns the peers of the current table; mu must be held.
func (a *Agent) neighbors() []Host {
	if a.peersAt != a.table.Version() || a.peers == nil {
		live := a.table.Hosts()
		keep := live[:0]
		for _, h := range live {
			if !h.Gone && !h.Suspect {
				keep = append(keep, h)
			}
		}
		a.peers = Neighbors(a.table.Self, keep, cmp.Or(a.Fanout, DefaultFanout))
		a.peersAt = a.table.Version()
	}
	return a.peers
}

// targets returns whom to send to now; mu must be held.
func (a *Agent) targets() []Host {
	out := append([]Host(nil), a.neighbors()...)
	if h, ok := a.stranger(); ok && a.round%probeRounds == 1 {
		out = append(out, h)
	}
	return out
}

// stranger picks a host to probe: one that is suspect or that only the list
// knows. It heals the table after a cut and lets a new host join.
func (a *Agent) stranger() (Host, bool) {
	var cands []Host
	known := make(map[string]bool)
	for _, h := range a.table.Hosts() {
		if !h.Gone {
			known[h.Address] = true
		}
		if h.Suspect && !h.Gone {
			cands = append(cands, h)
		}
	}
	for _, e := range a.listed {
		if !e.Endpoint && !known[e.Address] {
			cands = append(cands, Host{Name: e.Name, Address: e.Address, Zone: e.Zone})
		}
	}
	if len(cands) == 0 {
		return Host{}, false
	}
	return cands[a.rnd.IntN(len(cands))], true
}
