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
	// DefaultMinReportInterval is the least time between reads of an endpoint's report.
	DefaultMinReportInterval = 500 * time.Millisecond
	// DefaultMaxReportRate bounds the reports read from all endpoints together, a
	// second: about 0.75 KB each, so that they keep to 8 KB/s.
	DefaultMaxReportRate = 10
	// DefaultGenerationInterval is the time after which a new generation of IDs begins.
	DefaultGenerationInterval = 10 * time.Minute
	// DefaultWitnessTimeout bounds the wait for a witness's acknowledgement.
	DefaultWitnessTimeout = 500 * time.Millisecond
	// DefaultCancelGrace is how long a stream goes on for a caller that lost its
	// connection and has an ID to resume with.
	DefaultCancelGrace = time.Second
	// DefaultMaxBodyMemory bounds the bodies that are held at once, in bytes.
	DefaultMaxBodyMemory = 64 << 20
	// DefaultMaxWatched is the number of endpoints of a model and region above
	// which a host watches only a part of them.
	DefaultMaxWatched = 24
	// tickEvery is the time between looks at what time alone changes.
	tickEvery = 50 * time.Millisecond
)

// Router is one host. Set the exported fields, then call Run.
type Router struct {
	// Self is this host's record; Incarnation must be drawn anew at each start.
	Self fleet.Host
	// KV and List are the platform's; List may be nil.
	KV   keyval.KV
	List keyval.HostList
	// Sched holds the policy's figures.
	Sched sched.Config
	// MaxAge is how long callers keep an address answer; 0 means fleet.DefaultMaxAge.
	MaxAge time.Duration
	// HeartbeatInterval is the time between heartbeats; 0 means fleet.DefaultInterval.
	HeartbeatInterval time.Duration
	// MinReportInterval, ReportRate, Generation, WitnessTimeout, CancelGrace, Memory and Watched
	// default to the constants above.
	MinReportInterval  time.Duration
	MaxReportRate      float64
	GenerationInterval time.Duration
	WitnessTimeout     time.Duration
	CancelGrace        time.Duration
	MaxBodyMemory      int64
	MaxWatched         int
	// OnDrain is called when an operator asks the host to leave; nil refuses that.
	OnDrain func()
	// Trace is told of each stage of each request, on the request's own
	// goroutine, which it may hold up; nil means nobody.
	Trace func(s Stage, id string)
	// Log takes changes of state.
	Log logr.Logger
	// Clock is the host's clock; nil means one that counts suspensions.
	Clock *clock.Clock

	once     sync.Once
	agent    *fleet.Agent
	follower *revision.Follower
	metrics  metrics.Set
	peers    *peerClient
	engines  *http.Client
	plain    *http.Transport
	memory   atomic.Int64
	running  atomic.Int64 // requests accepted and not yet ended
	live     atomic.Pointer[[]fleet.Host]
	liveAt   atomic.Uint64

	mu        sync.Mutex
	sched     sched.Scheduler
	rnd       *rand.Rand
	endpoints map[string]*target
	leaving   map[string]bool

	onceMu    sync.Mutex
	owner     *once.Owner
	witness   *once.Witness
	adopted   map[once.Incarnation]*once.Witness
	recorders map[once.Incarnation]*recorder
	active    map[string]*activity
	draining  atomic.Bool
}

// target is an endpoint and the means to reach it.
type target struct {
	settings.Endpoint
	engine  endpoint.Engine
	service *endpoint.Service
	stop    context.CancelFunc
}

// init makes what the handlers and loops share.
func (r *Router) init() {
	r.once.Do(func() {
		def(&r.MaxAge, fleet.DefaultMaxAge)
		def(&r.HeartbeatInterval, fleet.DefaultInterval)
		def(&r.MinReportInterval, DefaultMinReportInterval)
		def(&r.MaxReportRate, DefaultMaxReportRate)
		def(&r.GenerationInterval, DefaultGenerationInterval)
		def(&r.WitnessTimeout, DefaultWitnessTimeout)
		def(&r.CancelGrace, DefaultCancelGrace)
		def(&r.MaxBodyMemory, DefaultMaxBodyMemory)
		def(&r.MaxWatched, DefaultMaxWatched)
		if r.Clock == nil {
			r.Clock = clock.New()
		}
		seed := uint64(r.Self.Incarnation)
		r.rnd = rand.New(rand.NewPCG(seed, seed>>1))
		r.owner = once.NewOwner(r.Self.Incarnation, 0, 0)
		r.witness = once.NewWitness(r.Self.Incarnation, 0, 0)
		r.adopted = make(map[once.Incarnation]*once.Witness)
		r.recorders = make(map[once.Incarnation]*recorder)
		r.active = make(map[string]*activity)
		r.endpoints = make(map[string]*target)
		r.leaving = make(map[string]bool)
		r.Self.Generation = r.owner.Generation()
		r.peers = newPeerClient()
		r.engines = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}}
		r.plain = endpoint.NewServiceTransport()
		r.follower = &revision.Follower{
			KV: r.KV, Peers: r.peers, Relay: r.isRelay, HostCount: r.fleetSize, OnSnapshot: r.taken, Log: r.Log,
		}
		r.agent = &fleet.Agent{
			Self: r.Self, Transport: r.peers, List: r.List, Clock: r.Clock, Interval: r.HeartbeatInterval, Seed: seed, Log: r.Log,
			Revision: r.follower.Revision, OnNewerRevision: r.behind, Floors: r.floors, ApplyFloors: r.setFloors,
			OnList: r.listed,
		}
		r.sched = sched.Scheduler{Config: r.Sched, Rand: rand.New(rand.NewPCG(seed, seed>>2)), SharingHosts: 1, Hosts: r.sharing}
		r.sched.Init()
	})
}

// def sets a zero value to its default.
func def[T comparable](p *T, v T) {
	var zero T
	if *p == zero {
		*p = v
	}
}

// now is the time of the host's clock, which is the scheduler's.
func (r *Router) now() time.Duration { return r.Clock.Now() }

// Run keeps the host going until ctx ends; serve Handler meanwhile.
func (r *Router) Run(ctx context.Context) {
	r.init()
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){r.agent.Run, r.follower.Run, r.tick, r.advance} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			loop(ctx)
		}()
	}
	wg.Wait()
	r.engines.CloseIdleConnections()
	r.peers.http.CloseIdleConnections()
}

// tick looks at what time alone changes.
func (r *Router) tick(ctx context.Context) {
	t := time.NewTicker(tickEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		peers := len(r.hosts())
		r.mu.Lock()
		r.sched.SharingHosts = max(1, peers)
		r.sched.Tick(r.now())
		r.pump()
		r.mu.Unlock()
	}
}

// advance begins a new generation of IDs now and then.
func (r *Router) advance(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(r.GenerationInterval):
		}
		r.onceMu.Lock()
		r.owner.Advance()
		r.witness.Advance()
		for id, w := range r.adopted {
			w.Advance()
			if w.Size() == 0 {
				delete(r.adopted, id)
			}
		}
		g := r.owner.Generation()
		answers := r.answers()
		r.onceMu.Unlock()
		r.agent.Update(func(h *fleet.Host) { h.Generation, h.AnswersFor = g, answers })
	}
}

// answers lists the witnesses taken over; onceMu must be held.
func (r *Router) answers() []once.Incarnation {
	out := make([]once.Incarnation, 0, len(r.adopted))
	for id := range r.adopted {
		out = append(out, id)
	}
	return out
}

// hosts returns the hosts that may be named, from a copy that is made anew when
// the table changed.
func (r *Router) hosts() []fleet.Host {
	var out []fleet.Host
	r.agent.View(func(t *fleet.Table) {
		if p := r.live.Load(); p != nil && r.liveAt.Load() == t.Version() {
			out = *p
			return
		}
		out = t.Live()
		r.live.Store(&out)
		r.liveAt.Store(t.Version())
	})
	return out
}

// fleetSize is the number of live hosts.
func (r *Router) fleetSize() int { return max(1, len(r.hosts())) }

// rolesPerZone is the number of hosts of a zone that watch the settings' head,
// and of those that try to hold its placement.
const rolesPerZone = 2

// hasRole reports whether this host is one of those that do a zone's work of a
// kind: the first by rendezvous hashing among the zone's hosts, or among all if
// it has none.
func (r *Router) hasRole(role, zone string) bool {
	all := r.hosts()
	var in []fleet.Host
	for _, h := range all {
		if h.Zone == zone {
			in = append(in, h)
		}
	}
	if len(in) == 0 {
		in = all
	}
	for _, h := range fleet.SelectHosts(role+zone, r.Self.Region, in, rolesPerZone) {
		if h.Incarnation == r.Self.Incarnation {
			return true
		}
	}
	return len(in) == 0
}

// isRelay reports whether this host watches the settings' head for its zone.
func (r *Router) isRelay() bool { return r.hasRole("relay", r.Self.Zone) }

// IsPlacerCandidate reports whether this host should try to hold a zone's placement.
func (r *Router) IsPlacerCandidate(zone string) bool { return r.hasRole("placer/", zone) }

// Snapshot returns the settings in force, or nil.
func (r *Router) Snapshot() *settings.Snapshot {
	r.init()
	return r.follower.Snapshot()
}

// sharing is the number of hosts that serve a workspace.
func (r *Router) sharing(workspace string) int {
	s := r.follower.Snapshot()
	if s == nil {
		return 1
	}
	return min(max(1, s.HostCount(workspace)), r.fleetSize())
}

// behind pulls settings from a peer that has a higher revision.
func (r *Router) behind(rev uint64, address string) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
		defer cancel()
		if r.follower.Pull(ctx, rev, address) == nil {
			r.agent.SendNow()
		}
	}()
}

// pullTimeout bounds the reading of settings from a peer.
const pullTimeout = 5 * time.Second

// taken puts new settings to use.
func (r *Router) taken(s *settings.Snapshot) {
	r.setEndpoints(s.Fleet.Endpoints)
	r.agent.SendNow()
}

// floors gives the shedding floors for heartbeats.
func (r *Router) floors() []fleet.Floor {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []fleet.Floor
	for _, f := range r.sched.Floors(r.now()) {
		out = append(out, fleet.Floor{Pool: f.Pool, Rank: f.Rank, AgeMS: f.Age.Milliseconds()})
	}
	return out
}

// setFloors takes the floors of a peer.
func (r *Router) setFloors(fs []fleet.Floor) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range fs {
		age := time.Duration(f.AgeMS) * time.Millisecond
		r.sched.SetFloor(r.now(), sched.FloorState{Pool: f.Pool, Rank: f.Rank, Age: age})
	}
}
