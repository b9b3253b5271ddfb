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

// Default values of an Agent's fields, and its other constants.
const (
	// DefaultInterval is the time between heartbeats.
	DefaultInterval = 500 * time.Millisecond
	// DefaultMissThreshold is the number of unanswered heartbeats in a row after which a
	// peer is suspected.
	DefaultMissThreshold = 3
	// DefaultMaxBatch is the largest number of changed records in a heartbeat.
	DefaultMaxBatch = 24
	// fullSyncThreshold is the number of heartbeats in a row with unequal digests after
	// which all records are requested.
	fullSyncThreshold = 8
	// roundsPerProbe is the number of rounds of heartbeats between two probes.
	roundsPerProbe = 5
	// listInterval is the time between two reads of the platform's list.
	listInterval = time.Second
)

// Agent maintains a Table by exchanging heartbeats with peers. Set the exported fields,
// then call Run.
type Agent struct {
	// Self is the initial record of this host.
	Self Host
	// Transport sends heartbeats.
	Transport Transport
	// List reads the platform's list of hosts; nil means that there is none.
	List keyval.HostList
	// Interval, MissThreshold, Fanout and MaxBatch default to the constants of this
	// package.
	Interval      time.Duration
	MissThreshold int
	Fanout        int
	MaxBatch      int
	// Revision returns the revision of the settings in force. OnNewerRevision is called
	// when a peer has a newer revision, with that revision and the peer's address. Both may
	// be nil.
	Revision        func() uint64
	OnNewerRevision func(revision uint64, address string)
	// Floors returns the shedding floors to send; ApplyFloors applies those of a peer. Both
	// may be nil.
	Floors      func() []Floor
	ApplyFloors func([]Floor)
	// OnList is called with each reading of the platform's list; it may be nil.
	OnList func([]keyval.ListEntry)
	// Clock is the host's clock; nil means one that counts the time in which the host was
	// suspended.
	Clock *clock.Clock
	// Seed seeds the choice of the host to probe.
	Seed uint64
	// Log receives changes of state.
	Log logr.Logger

	mu               sync.Mutex
	table            *Table
	outboxes         map[once.Incarnation][]Host
	missed           map[once.Incarnation]int
	digestMismatches map[once.Incarnation]int
	lastReceived     map[once.Incarnation]time.Duration
	listed           []keyval.ListEntry
	rng              *rand.Rand
	round            int
	sendNow          chan struct{}
	neighborCache    []Host
	neighborVersion  uint64
	traffic          Traffic
}

// Traffic counts heartbeats; the Transport counts bytes.
type Traffic struct {
	// Sent and Received count heartbeats; Failed counts those sent that got no answer.
	Sent, Received, Failed int64
}

// initialize creates the state that Run and Receive share; mu must be held.
func (a *Agent) initialize() {
	if a.table != nil {
		return
	}
	if a.Clock == nil {
		a.Clock = clock.New()
	}
	a.table = NewTable(a.Self)
	a.outboxes = make(map[once.Incarnation][]Host)
	a.missed = make(map[once.Incarnation]int)
	a.digestMismatches = make(map[once.Incarnation]int)
	a.lastReceived = make(map[once.Incarnation]time.Duration)
	a.rng = rand.New(rand.NewPCG(a.Seed, uint64(a.Self.Incarnation)))
	a.sendNow = make(chan struct{}, 1)
}

// now returns the time of the host's clock plus 1 ns, so that it is never 0; mu must be
// held.
func (a *Agent) now() time.Duration { return a.Clock.Now() + 1 }

// View calls fn with the table. fn must not retain the table or block.
func (a *Agent) View(fn func(*Table)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.initialize()
	fn(a.table)
}

// Update changes this host's own record and sends it to the neighbours at once.
func (a *Agent) Update(change func(*Host)) {
	a.mu.Lock()
	a.initialize()
	a.table.Update(change)
	a.distribute()
	a.mu.Unlock()
	a.SendNow()
}

// SendNow triggers the next round of heartbeats at once.
func (a *Agent) SendNow() {
	a.mu.Lock()
	a.initialize()
	trigger := a.sendNow
	a.mu.Unlock()
	select {
	case trigger <- struct{}{}:
	default:
	}
}

// Traffic returns the counts so far.
func (a *Agent) Traffic() Traffic {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.traffic
}

// Run sends heartbeats until ctx ends.
func (a *Agent) Run(ctx context.Context) {
	a.mu.Lock()
	a.initialize()
	a.mu.Unlock()
	if a.List != nil {
		go a.readList(ctx)
	}
	tick := time.NewTicker(cmp.Or(a.Interval, DefaultInterval))
	defer tick.Stop()
	for {
		a.sendHeartbeats(ctx)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-a.sendNow:
		}
	}
}

// readList reads the platform's list every listInterval until ctx ends.
func (a *Agent) readList(ctx context.Context) {
	for ctx.Err() == nil {
		entries, err := a.List.List(ctx)
		if err == nil {
			a.applyList(entries)
		}
		select {
		case <-ctx.Done():
		case <-time.After(listInterval):
		}
	}
}

// applyList applies one reading of the platform's list.
func (a *Agent) applyList(entries []keyval.ListEntry) {
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

// sendHeartbeats sends one heartbeat to each neighbour and, in some rounds, to a host to
// probe.
func (a *Agent) sendHeartbeats(ctx context.Context) {
	a.mu.Lock()
	a.round++
	targets := a.heartbeatTargets()
	a.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(a.Interval, DefaultInterval))
	var wg sync.WaitGroup
	for _, target := range targets {
		wg.Add(1)
		go func() {
			defer wg.Done()
			a.exchange(ctx, target)
		}()
	}
	go func() {
		wg.Wait()
		cancel()
	}()
}

// neighbors returns the neighbours of this host, recomputed when the table has changed;
// mu must be held.
func (a *Agent) neighbors() []Host {
	if a.neighborVersion != a.table.Version() || a.neighborCache == nil {
		live := a.table.Hosts()
		usable := live[:0]
		for _, h := range live {
			if !h.Gone && !h.Suspect {
				usable = append(usable, h)
			}
		}
		a.neighborCache = Neighbors(a.table.Self, usable, cmp.Or(a.Fanout, DefaultFanout))
		a.neighborVersion = a.table.Version()
	}
	return a.neighborCache
}

// heartbeatTargets returns the receivers of this round's heartbeats; mu must be held.
func (a *Agent) heartbeatTargets() []Host {
	out := append([]Host(nil), a.neighbors()...)
	if h, ok := a.probeCandidate(); ok && a.round%roundsPerProbe == 1 {
		out = append(out, h)
	}
	return out
}

// probeCandidate picks a random host that is suspect or that only the platform's list
// shows. Probing it repairs the table after a network partition and lets a new host join.
func (a *Agent) probeCandidate() (Host, bool) {
	var candidates []Host
	known := make(map[string]bool)
	for _, h := range a.table.Hosts() {
		if !h.Gone {
			known[h.Address] = true
		}
		if h.Suspect && !h.Gone {
			candidates = append(candidates, h)
		}
	}
	for _, e := range a.listed {
		if !e.Endpoint && !known[e.Address] {
			candidates = append(candidates, Host{Name: e.Name, Address: e.Address, Zone: e.Zone})
		}
	}
	if len(candidates) == 0 {
		return Host{}, false
	}
	return candidates[a.rng.IntN(len(candidates))], true
}
