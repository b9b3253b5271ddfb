// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package fleet

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/heathkeel/heathkeel/once"
	"github.com/heathkeel/heathkeel/platform"
)

// Floor is the lowest tier that a host still takes in one pool of endpoints.
type Floor struct {
	// Pool is the pool's key.
	Pool uint64 `json:"pool"`
	// Rank is the lowest tier taken there, 0 the highest tier.
	Rank int `json:"rank"`
	// AgeMS is how long ago the host that shed set it, in milliseconds.
	AgeMS int64 `json:"age_ms"`
}

// Heartbeat is what two hosts tell each other; the answer has the same form.
type Heartbeat struct {
	// From is the sender's own record.
	From Host `json:"from"`
	// Hosts are records that changed, or all with Full.
	Hosts []Host `json:"hosts,omitempty"`
	// Digest is the digest of the sender's table.
	Digest uint64 `json:"digest,string"`
	// Full asks for all records, and in an answer says that they are there.
	Full bool `json:"full,omitempty"`
	// Revision is the settings' revision in force at the sender.
	Revision uint64 `json:"rev"`
	// Floors are the shedding floors that the sender knows of.
	Floors []Floor `json:"floors,omitempty"`
}

// Caller sends a heartbeat to an address and returns the answer.
type Caller interface {
	// Heartbeat fails if no answer comes before ctx ends.
	Heartbeat(ctx context.Context, address string, hb *Heartbeat) (*Heartbeat, error)
}

// Defaults of an Agent.
const (
	// DefaultInterval is the time between heartbeats.
	DefaultInterval = 500 * time.Millisecond
	// DefaultMisses is the number of heartbeats without answer that make a suspicion.
	DefaultMisses = 3
	// DefaultBatch is the largest number of changed records in a heartbeat.
	DefaultBatch = 24
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
	// Peers sends heartbeats.
	Peers Caller
	// List is the platform's list; nil means none.
	List platform.HostList
	// Interval, Misses, Fanout and Batch default to the constants above.
	Interval time.Duration
	Misses   int
	Fanout   int
	Batch    int
	// Revision returns the settings' revision in force; Behind is told of a
	// higher one at an address. Both may be nil.
	Revision func() uint64
	Behind   func(revision uint64, address string)
	// Floors returns the floors to tell; SetFloors takes a peer's. Both may be nil.
	Floors    func() []Floor
	SetFloors func([]Floor)
	// Listed is told of each reading of the platform's list; nil means nobody.
	Listed func([]platform.ListEntry)
	// Seed seeds the choice of suspects to probe.
	Seed uint64
	// Log takes changes of state.
	Log logr.Logger

	mu      sync.Mutex
	start   time.Time
	table   *Table
	outbox  map[once.Incarnation][]Host
	missed  map[once.Incarnation]int
	differ  map[once.Incarnation]int
	inbound map[once.Incarnation]time.Duration
	listed  []platform.ListEntry
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
	a.start = time.Now()
	a.table = NewTable(a.Self)
	a.outbox = make(map[once.Incarnation][]Host)
	a.missed = make(map[once.Incarnation]int)
	a.differ = make(map[once.Incarnation]int)
	a.inbound = make(map[once.Incarnation]time.Duration)
	a.rnd = rand.New(rand.NewPCG(a.Seed, uint64(a.Self.Incarnation)))
	a.kick = make(chan struct{}, 1)
}

// now is the time since the agent began; mu must be held.
func (a *Agent) now() time.Duration { return time.Since(a.start) + 1 }

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
	a.Kick()
}

// Kick makes the next heartbeat go out at once.
func (a *Agent) Kick() {
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
func (a *Agent) takeList(entries []platform.ListEntry) {
	a.mu.Lock()
	a.listed = entries
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		if !e.Endpoint {
			names = append(names, e.Name)
		}
	}
	a.table.Listed(a.now(), names)
	a.mu.Unlock()
	if a.Listed != nil {
		a.Listed(entries)
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

// exchange sends one heartbeat and takes the answer.
func (a *Agent) exchange(ctx context.Context, to Host) {
	own := a.local()
	a.mu.Lock()
	hb := a.message(to.Incarnation, own)
	hb.Full = to.Incarnation == 0 || a.differ[to.Incarnation] >= digestRounds
	a.sent.Sent++
	a.mu.Unlock()
	ans, err := a.Peers.Heartbeat(ctx, to.Address, hb)
	if err != nil {
		a.failed(to, hb.Hosts)
		return
	}
	a.take(ans)
	if to.Incarnation != 0 && ans.From.Incarnation != to.Incarnation {
		a.replaced(to)
	}
}

// replaced notes that another incarnation answers at a host's address.
func (a *Agent) replaced(to Host) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.missed, to.Incarnation)
}

// local is what a heartbeat tells beside the table.
type local struct {
	revision uint64
	floors   []Floor
}

// local asks for it. It must be called without mu: what it calls may take locks
// whose holders ask the agent.
func (a *Agent) local() local {
	var l local
	if a.Revision != nil {
		l.revision = a.Revision()
	}
	if a.Floors != nil {
		l.floors = a.Floors()
	}
	return l
}

// message makes a heartbeat for a peer and clears its outbox; mu must be held.
func (a *Agent) message(to once.Incarnation, own local) *Heartbeat {
	batch := cmp.Or(a.Batch, DefaultBatch)
	box := a.outbox[to]
	n := min(batch, len(box))
	hb := &Heartbeat{
		From: a.table.Self, Hosts: box[:n:n], Digest: a.table.Digest(), Revision: own.revision, Floors: own.floors,
	}
	a.outbox[to] = box[n:]
	if n == len(box) {
		delete(a.outbox, to)
	}
	return hb
}

// failed counts a heartbeat without answer and suspects the peer after some.
func (a *Agent) failed(to Host, unsent []Host) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sent.Failed++
	if to.Incarnation == 0 {
		return
	}
	a.outbox[to.Incarnation] = append(unsent, a.outbox[to.Incarnation]...)
	a.missed[to.Incarnation]++
	if a.missed[to.Incarnation] < cmp.Or(a.Misses, DefaultMisses) {
		return
	}
	delete(a.missed, to.Incarnation)
	delete(a.outbox, to.Incarnation)
	if a.table.Suspect(a.now(), to.Incarnation) {
		a.Log.Info("host suspected", "host", to.Name, "incarnation", to.Incarnation.String())
		a.distribute()
	}
}

// take merges what a peer told, as a heartbeat or as the answer to one.
func (a *Agent) take(hb *Heartbeat) {
	a.mu.Lock()
	now := a.now()
	delete(a.missed, hb.From.Incarnation)
	before := a.describe(hb.From.Incarnation)
	news := a.table.Heard(now, hb.From)
	news = a.table.Merge(now, hb.Hosts) || news
	for _, h := range a.table.Accused() {
		a.outbox[h.Incarnation] = append(a.outbox[h.Incarnation], h)
	}
	if after := a.describe(hb.From.Incarnation); before != after {
		a.Log.Info("host "+after, "host", hb.From.Name, "incarnation", hb.From.Incarnation.String())
	}
	if a.table.Digest() == hb.Digest {
		delete(a.differ, hb.From.Incarnation)
	} else {
		a.differ[hb.From.Incarnation]++
	}
	if hb.Full && len(hb.Hosts) > 0 {
		delete(a.differ, hb.From.Incarnation)
	}
	if news {
		a.distribute()
	}
	a.mu.Unlock()
	if news {
		a.Kick()
	}
	if a.Behind != nil && a.Revision != nil && hb.Revision > a.Revision() {
		a.Behind(hb.Revision, hb.From.Address)
	}
	if a.SetFloors != nil && len(hb.Floors) > 0 {
		a.SetFloors(hb.Floors)
	}
}

// describe names the state of a member for the log; mu must be held.
func (a *Agent) describe(id once.Incarnation) string {
	h, ok := a.table.Find(id)
	switch {
	case !ok:
		return "unknown"
	case h.Gone:
		return "gone"
	case h.Suspect:
		return "suspected"
	case h.Leaving:
		return "leaving"
	}
	return "live"
}

// distribute puts changed records into the outbox of every neighbour; mu must be held.
func (a *Agent) distribute() {
	changed := a.table.Changed()
	if len(changed) == 0 {
		return
	}
	for _, h := range a.neighbors() {
		a.outbox[h.Incarnation] = append(a.outbox[h.Incarnation], changed...)
	}
	// Those that send to this host get the news with its answers.
	old := a.now() - inboundIntervals*cmp.Or(a.Interval, DefaultInterval)
	for id, at := range a.inbound {
		if at < old {
			delete(a.inbound, id)
			continue
		}
		if !slices.ContainsFunc(a.peers, func(h Host) bool { return h.Incarnation == id }) {
			a.outbox[id] = append(a.outbox[id], changed...)
		}
	}
}

// inboundIntervals is the number of intervals after which a sender no longer counts as one.
const inboundIntervals = 4

// Receive takes a peer's heartbeat and returns the answer.
func (a *Agent) Receive(hb *Heartbeat) *Heartbeat {
	a.mu.Lock()
	a.init()
	a.sent.Received++
	_, known := a.table.Find(hb.From.Incarnation)
	a.inbound[hb.From.Incarnation] = a.now()
	a.mu.Unlock()
	a.take(hb)
	own := a.local()
	a.mu.Lock()
	defer a.mu.Unlock()
	ans := a.message(hb.From.Incarnation, own)
	if hb.Full || !known {
		ans.Full = true
		ans.Hosts = a.table.Hosts()
	}
	return ans
}
