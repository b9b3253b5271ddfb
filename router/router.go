// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package router

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/heathkeel/heathkeel/clock"
	"github.com/heathkeel/heathkeel/endpoint"
	"github.com/heathkeel/heathkeel/fleet"
	"github.com/heathkeel/heathkeel/keyval"
	"github.com/heathkeel/heathkeel/metrics"
	"github.com/heathkeel/heathkeel/once"
	"github.com/heathkeel/heathkeel/revision"
	"github.com/heathkeel/heathkeel/sched"
	"github.com/heathkeel/heathkeel/settings"
)

// Defaults of a Router.
const (
	// DefaultMinReportInterval is the minimum time between two reads of an
	// endpoint's report.
	DefaultMinReportInterval = 500 * time.Millisecond
	// DefaultMaxReportRate is the maximum number of reports per second that are read
	// from all endpoints together. A report has about 0.75 KB, so the reports take
	// at most 8 KB/s.
	DefaultMaxReportRate = 10
	// DefaultGenerationInterval is the time between two generations of IDs.
	DefaultGenerationInterval = 10 * time.Minute
	// DefaultWitnessTimeout is the timeout for a witness's acknowledgement.
	DefaultWitnessTimeout = 500 * time.Millisecond
	// DefaultCancelGrace is how long a stream continues after its caller lost the
	// connection, if the caller has an ID to resume with.
	DefaultCancelGrace = time.Second
	// DefaultMaxBodyMemory is the maximum memory of all request bodies held at the
	// same time, in bytes.
	DefaultMaxBodyMemory = 64 << 20
	// DefaultMaxWatched is the number of engines above which a host watches only a
	// part of them.
	DefaultMaxWatched = 24
	// tickInterval is the time between two calls of the scheduler's Tick.
	tickInterval = 50 * time.Millisecond
)

// Router implements one host. Set the exported fields, then call Run.
type Router struct {
	// Self is this host's record. Its Incarnation must be a new one at each start.
	Self fleet.Host
	// KV and List are the platform's key-value store and list of hosts; List may be
	// nil.
	KV   keyval.KV
	List keyval.HostList
	// Sched is the configuration of the scheduler.
	Sched sched.Config
	// MaxAge is how long callers keep an address answer; 0 means fleet.DefaultMaxAge.
	MaxAge time.Duration
	// HeartbeatInterval is the time between heartbeats; 0 means fleet.DefaultInterval.
	HeartbeatInterval time.Duration
	// MinReportInterval, MaxReportRate, GenerationInterval, WitnessTimeout,
	// CancelGrace, MaxBodyMemory and MaxWatched default to the constants above.
	MinReportInterval  time.Duration
	MaxReportRate      float64
	GenerationInterval time.Duration
	WitnessTimeout     time.Duration
	CancelGrace        time.Duration
	MaxBodyMemory      int64
	MaxWatched         int
	// OnDrain is called when an operator requests a drain of the host. If it is nil,
	// such requests are refused.
	OnDrain func()
	// Trace is called at each stage of each request, on the goroutine of the
	// request, which it may block; it may be nil.
	Trace func(s Stage, id string)
	// Log logs changes of state.
	Log logr.Logger
	// Clock is the host's clock; nil means one that counts suspensions of the host.
	Clock *clock.Clock

	once               sync.Once
	agent              *fleet.Agent
	follower           *revision.Follower
	metrics            metrics.Set
	peers              *peerClient
	engineClient       *http.Client
	serviceTransport   *http.Transport
	bodyMemory         atomic.Int64
	openRequests       atomic.Int64 // accepted and not ended
	cachedHosts        atomic.Pointer[[]fleet.Host]
	cachedHostsVersion atomic.Uint64

	mu               sync.Mutex
	sched            sched.Scheduler
	rnd              *rand.Rand
	targets          map[string]*target
	leavingEndpoints map[string]bool

	onceMu        sync.Mutex
	owner         *once.Owner
	witness       *once.Witness
	witnessCopies map[once.Incarnation]*once.Witness
	recorders     map[once.Incarnation]*recorder
	active        map[string]*engineRequest
	draining      atomic.Bool
	closed        atomic.Bool // no further request is taken, since the host drains
}

// target is an endpoint with the clients that reach it.
type target struct {
	settings.Endpoint
	engine  endpoint.Engine
	service *endpoint.Service
	stop    context.CancelFunc
}

// maxIdleEngineConns is the number of idle connections kept to each engine, and to each host to which requests are forwarded.
const maxIdleEngineConns = 256

// init sets the defaults and creates the state that the handlers and loops share.
func (r *Router) init() {
	r.once.Do(func() {
		setDefault(&r.MaxAge, fleet.DefaultMaxAge)
		setDefault(&r.HeartbeatInterval, fleet.DefaultInterval)
		setDefault(&r.MinReportInterval, DefaultMinReportInterval)
		setDefault(&r.MaxReportRate, DefaultMaxReportRate)
		setDefault(&r.GenerationInterval, DefaultGenerationInterval)
		setDefault(&r.WitnessTimeout, DefaultWitnessTimeout)
		setDefault(&r.CancelGrace, DefaultCancelGrace)
		setDefault(&r.MaxBodyMemory, DefaultMaxBodyMemory)
		setDefault(&r.MaxWatched, DefaultMaxWatched)
		if r.Clock == nil {
			r.Clock = clock.New()
		}
		seed := uint64(r.Self.Incarnation)
		r.rnd = rand.New(rand.NewPCG(seed, seed>>1))
		r.owner = once.NewOwner(r.Self.Incarnation, 0, 0)
		r.witness = once.NewWitness(r.Self.Incarnation, 0, 0)
		r.witnessCopies = make(map[once.Incarnation]*once.Witness)
		r.recorders = make(map[once.Incarnation]*recorder)
		r.active = make(map[string]*engineRequest)
		r.targets = make(map[string]*target)
		r.leavingEndpoints = make(map[string]bool)
		r.Self.Generation = r.owner.Generation()
		r.peers = newPeerClient()
		r.engineClient = &http.Client{Transport: endpoint.NewEngineTransport(maxIdleEngineConns)}
		r.serviceTransport = endpoint.NewServiceTransport()
		r.follower = &revision.Follower{
			KV: r.KV, Peers: r.peers, Relay: r.isRelay, HostCount: r.liveHostCount, OnSnapshot: r.applySettings, Log: r.Log,
		}
		r.agent = &fleet.Agent{
			Self: r.Self, Transport: r.peers, List: r.List, Clock: r.Clock, Interval: r.HeartbeatInterval, Seed: seed, Log: r.Log,
			Revision: r.follower.Revision, OnNewerRevision: r.pullSettings, Floors: r.sheddingFloors, ApplyFloors: r.applyPeerFloors,
			OnList: r.applyHostList,
		}
		r.sched = sched.Scheduler{Config: r.Sched, Rand: rand.New(rand.NewPCG(seed, seed>>2)), SharingHosts: 1, Hosts: r.sharingHosts}
		r.sched.Init()
	})
}

// setDefault sets *p to v if it is zero.
func setDefault[T comparable](p *T, v T) {
	var zero T
	if *p == zero {
		*p = v
	}
}

// now returns the time of the host's clock. The scheduler uses the same clock.
func (r *Router) now() time.Duration { return r.Clock.Now() }

// Run runs the host's loops until ctx ends. The caller must serve Handler
// meanwhile.
func (r *Router) Run(ctx context.Context) {
	r.init()
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){r.agent.Run, r.follower.Run, r.tick, r.advanceGenerations} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			loop(ctx)
		}()
	}
	wg.Wait()
	r.engineClient.CloseIdleConnections()
	r.peers.http.CloseIdleConnections()
}

// tick lets the scheduler apply what changes with time only, such as timeouts,
// and updates its number of hosts.
func (r *Router) tick(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		peers := len(r.liveHosts())
		r.mu.Lock()
		r.sched.SharingHosts = max(1, peers)
		r.sched.Tick(r.now())
		r.deliverDecisions()
		r.mu.Unlock()
	}
}

// advanceGenerations starts a new generation of IDs every GenerationInterval and
// drops witness copies that have become empty.
func (r *Router) advanceGenerations(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(r.GenerationInterval):
		}
		r.onceMu.Lock()
		r.owner.Advance()
		r.witness.Advance()
		for id, w := range r.witnessCopies {
			w.Advance()
			if w.Size() == 0 {
				delete(r.witnessCopies, id)
			}
		}
		g := r.owner.Generation()
		answers := r.copiedWitnesses()
		r.onceMu.Unlock()
		r.agent.Update(func(h *fleet.Host) { h.Generation, h.AnswersFor = g, answers })
	}
}

// copiedWitnesses returns the incarnations of the witnesses of which this host
// holds a copy. The caller must hold onceMu.
func (r *Router) copiedWitnesses() []once.Incarnation {
	out := make([]once.Incarnation, 0, len(r.witnessCopies))
	for id := range r.witnessCopies {
		out = append(out, id)
	}
	return out
}

// liveHosts returns the hosts that may be named in answers. It caches them until
// the table changes.
func (r *Router) liveHosts() []fleet.Host {
	var out []fleet.Host
	r.agent.View(func(t *fleet.Table) {
		if p := r.cachedHosts.Load(); p != nil && r.cachedHostsVersion.Load() == t.Version() {
			out = *p
			return
		}
		out = t.Live()
		r.cachedHosts.Store(&out)
		r.cachedHostsVersion.Store(t.Version())
	})
	return out
}

// liveHostCount returns the number of live hosts, at least 1.
func (r *Router) liveHostCount() int { return max(1, len(r.liveHosts())) }

// hostsPerRole is the number of hosts per zone that watch the settings' head, and
// the number of those that try to acquire the lease of the zone's placement.
const hostsPerRole = 2

// hasRole reports whether this host has a role for a zone. The first hostsPerRole
// hosts by rendezvous hashing have it, among the hosts of the zone or, if it has
// none, among all hosts.
func (r *Router) hasRole(role, zone string) bool {
	all := r.liveHosts()
	var inZone []fleet.Host
	for _, h := range all {
		if h.Zone == zone {
			inZone = append(inZone, h)
		}
	}
	if len(inZone) == 0 {
		inZone = all
	}
	for _, h := range fleet.SelectHosts(role+zone, r.Self.Region, inZone, hostsPerRole) {
		if h.Incarnation == r.Self.Incarnation {
			return true
		}
	}
	return len(inZone) == 0
}

// isRelay reports whether this host watches the settings' head for its zone.
func (r *Router) isRelay() bool { return r.hasRole("relay", r.Self.Zone) }

// IsPlacerCandidate reports whether this host should try to acquire the lease of a
// zone's placement.
func (r *Router) IsPlacerCandidate(zone string) bool { return r.hasRole("placer/", zone) }

// Snapshot returns the settings in force, or nil if there are none yet.
func (r *Router) Snapshot() *settings.Snapshot {
	r.init()
	return r.follower.Snapshot()
}

// sharingHosts returns the number of hosts that serve a workspace.
func (r *Router) sharingHosts(workspace string) int {
	s := r.follower.Snapshot()
	if s == nil {
		return 1
	}
	return min(max(1, s.HostCount(workspace)), r.liveHostCount())
}

// pullSettings reads settings from a peer that has a higher revision. It does not
// block.
func (r *Router) pullSettings(rev uint64, address string) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
		defer cancel()
		if r.follower.Pull(ctx, rev, address) == nil {
			r.agent.SendNow()
		}
	}()
}

// pullTimeout is the timeout for reading settings from a peer.
const pullTimeout = 5 * time.Second

// applySettings applies the endpoints of new settings and announces the new
// revision to peers.
func (r *Router) applySettings(s *settings.Snapshot) {
	r.applyEndpoints(s.Fleet.Endpoints)
	r.agent.SendNow()
}

// sheddingFloors returns the scheduler's shedding floors for heartbeats.
func (r *Router) sheddingFloors() []fleet.Floor {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []fleet.Floor
	for _, f := range r.sched.Floors(r.now()) {
		out = append(out, fleet.Floor{Pool: f.Pool, Rank: f.Rank, AgeMS: f.Age.Milliseconds()})
	}
	return out
}

// applyPeerFloors applies the shedding floors of a peer to the scheduler.
func (r *Router) applyPeerFloors(fs []fleet.Floor) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range fs {
		age := time.Duration(f.AgeMS) * time.Millisecond
		r.sched.SetFloor(r.now(), sched.FloorState{Pool: f.Pool, Rank: f.Rank, Age: age})
	}
}
