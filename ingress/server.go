// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/heathkeel/heathkeel/clock"
	"github.com/heathkeel/heathkeel/feed"
	"github.com/heathkeel/heathkeel/forecast"
	"github.com/heathkeel/heathkeel/metrics"
	"github.com/heathkeel/heathkeel/origin"
	"github.com/heathkeel/heathkeel/outcome"
	"github.com/heathkeel/heathkeel/peers"
	"github.com/heathkeel/heathkeel/quota"
	"github.com/heathkeel/heathkeel/route"
	"github.com/heathkeel/heathkeel/sched"
	"github.com/heathkeel/heathkeel/upstream"
)

// Server is the ingress of one host. The exported fields must be set before Init.
type Server struct {
	// Headers are the header names in use.
	Headers Headers
	// Dial opens connections to endpoints; nil dials over the machine's network.
	Dial upstream.Dial
	// Settings is the configuration in force and its age.
	Settings *feed.Settings
	// Now is the host's clock; it includes time in which the host is suspended.
	Now func() time.Duration
	// Watch detects times in which the process did not run, on the same clock.
	Watch *clock.GapDetector
	// Unconfirmed reports whether the process did not run for a while and the host has received no confirmation of its settings and
	// endpoints since; nil means that they are always confirmed.
	Unconfirmed func() bool
	// ListConfirmedAt returns when the endpoint list was last known to be the newest, and false if there is none; nil means that it always is.
	ListConfirmedAt func() (time.Duration, bool)
	// ListUsable reports whether the endpoint list is young enough to send requests by it; nil means that it always is.
	ListUsable func() bool
	// DrainTime is the time after it starts to leave during which an endpoint may still get requests.
	DrainTime time.Duration
	// ContactTime is the time after which endpoints that limit rejections may have less room.
	ContactTime time.Duration
	// Host is this host's name.
	Host string
	// Zone is the host's availability zone.
	Zone string
	// SharedSlots makes slot owners grant the slots of all endpoints while they are scarce, in fleets whose hosts do not report to each
	// other directly. Otherwise owners are asked only where requests take longer than reports need.
	SharedSlots bool
	// Policy configures the scheduler.
	Policy sched.Config
	// ObservedZones says that requests go to other zones by the demand that hosts report, instead of Policy.CrossZoneCost; ZonePrice is
	// the value of one GB between zones in units of the value of one top-tier request, 0 if unknown.
	ObservedZones bool
	ZonePrice     float64
	// Retries is the retry budget of each service over all hosts: the ratio of retries to first sends, and the maximum credit.
	Retries quota.RetryBudget
	// Tolerance is by how much all hosts together may miss a workspace's quota.
	Tolerance quota.Tolerance
	// ExposeShare is the share of a service's requests that a new version may get before it is known to serve as well as the others.
	ExposeShare float64
	// ColdTolerance is by how much all hosts together may exceed the rate of a cold endpoint.
	ColdTolerance ColdTolerance
	// FirstStart says that no host ran before this start.
	FirstStart bool
	// BodyMemory limits the bytes of request bodies held at once.
	BodyMemory int64
	// Memory limits the bytes held for requests and other hosts at once, bodies of requests included; 0 means no limit.
	Memory int64
	// RelayTargets returns the hosts to which requests may be relayed while this one reaches no endpoint; nil means that there are none.
	RelayTargets func() []RelayTarget
	// ReachesEndpoints reports whether another host was heard of recently and reaches endpoints, even if it takes no new requests; nil
	// means that it is not known of any.
	ReachesEndpoints func(host string) bool
	// Trace logs a line for every request, without a limit on their number.
	Trace bool
	// Log receives state changes and failures.
	Log logr.Logger

	pool          upstream.Pool
	relayPool     upstream.Pool // connections to other hosts
	paths         paths
	balance       *balancer
	crashes       crashes
	origins       origins
	deadlines     deadlines
	unreadHeaders headerLog
	active        atomic.Int64
	bodyBytes     atomic.Int64
	memory        *MemoryAccount
	ageLimits     atomic.Pointer[AgeLimits]
	stop          atomic.Pointer[plannedStop] // nil if none has begun
	ended         atomic.Bool                 // EndAll was called
	durationsMu   sync.Mutex
	durations     forecast.Durations // of the requests that were served, until the end of the response

	portWatch portWatch
	// recordsMu orders changes of the list of endpoints and of the records of versions, so that the balancer gets both in order.
	recordsMu sync.Mutex
	resumable resumableCache

	mu           sync.Mutex
	quotas       *quota.Book
	retryBudgets map[string]*quota.RetryBudget
	hostCount    int
	lineLimiters map[outcome.Kind]*outcome.LineLimiter
	knownTargets []RelayTarget
	targetsAt    time.Duration // when RelayTargets was last called, or 0

	// Count counts outcomes.
	Count Counters
	// Metrics holds the histograms per workspace and tier.
	Metrics metrics.Set
}

// Init prepares the server for use.
func (s *Server) Init() {
	s.pool.Now = s.Now
	s.memory = newMemoryAccount(s.Memory, s.Now)
	s.unreadHeaders.init(&s.Headers)
	s.pool.DialTimeout, s.pool.Dial = dialTimeout, s.Dial
	s.relayPool.Now, s.relayPool.DialTimeout, s.relayPool.Dial = s.Now, dialTimeout, s.Dial
	s.paths.now, s.paths.dial, s.paths.addresses, s.paths.onChange = s.Now, s.pool.Warm, func() []string { return s.balance.addresses() }, s.noteCutOff
	s.paths.probing = make(map[string]bool)
	s.crashes = crashes{now: s.Now, dial: s.dialCrashed, log: s.Log, notifyPeers: func() {}, probes: make(map[string]*crashProbe)}
	s.portWatch = portWatch{now: s.Now, addresses: func() []string { return s.balance.closingAddresses() }, probe: s.pool.Probe, probing: make(map[string]bool)}
	s.crashes.registry.Host, s.crashes.parts.Host, s.crashes.parts.Parts = s.Host, s.Host, true
	s.origins = origins{now: s.Now, ask: func(origin.Keys) int { return 0 }, readSaved: func(context.Context) {}, queries: make(map[origin.Key]map[*originQuery]bool)}
	s.origins.history.Complete, s.origins.history.Since = s.FirstStart, s.Now()
	s.deadlines = deadlines{now: s.Now, calls: make(map[*call]*time.Timer)}
	s.quotas = quota.NewBook(s.Now())
	s.quotas.Tolerance, s.quotas.StartFull = s.Tolerance, s.FirstStart
	s.retryBudgets = make(map[string]*quota.RetryBudget)
	s.lineLimiters = make(map[outcome.Kind]*outcome.LineLimiter)
	s.hostCount = 1
	s.SetAgeLimits(AgeLimits{Strict: true})
	s.balance = newBalancer(s.Zone, s.Policy, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), s.Now)
	s.balance.zones.observed, s.balance.zones.price, s.balance.zones.log = s.ObservedZones, s.ZonePrice, s.Log.WithName("zones")
	s.balance.coldTolerance = s.ColdTolerance
	s.balance.rejectLimitDelay = time.Duration(rejectLimitDelayShare * float64(s.ContactTime))
	s.balance.rollouts.Limits.Share = s.ExposeShare
}

// AgeLimits limit how the host uses settings that may be stale.
type AgeLimits struct {
	// MaxKeyAge is the age up to which the settings are trusted to show which keys were withdrawn.
	MaxKeyAge time.Duration
	// Strict refuses requests with keys beyond MaxKeyAge; otherwise they are accepted by the keys known, and callers are merely
	// directed to other hosts.
	Strict bool
	// MaxUnknownAge is the age up to which an unknown route or key is answered as unknown.
	MaxUnknownAge time.Duration
}

// SetAgeLimits puts limits in force.
func (s *Server) SetAgeLimits(a AgeLimits) { s.ageLimits.Store(&a) }

// dialTimeout limits the time to open a connection to an endpoint.
const dialTimeout = 700 * time.Millisecond

// SetTable must be called with each new configuration.
func (s *Server) SetTable(t *route.Table) {
	s.balance.setTable(t)
	s.limitIdle(t)
	s.openQuotas(t)
}

// openQuotas opens the quotas of all workspaces.
func (s *Server) openQuotas(t *route.Table) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range t.Document.Workspaces {
		w := &t.Document.Workspaces[i]
		s.quotas.Open(s.Now(), w.Name, quota.Limit{Rate: w.Rate, Burst: w.Burst})
	}
}

// idleShare is the share of an endpoint's connection limit that all hosts together may keep idle.
const idleShare = 0.5

// limitIdle sets this host's part of the idle connections that endpoints accept.
func (s *Server) limitIdle(t *route.Table) {
	s.mu.Lock()
	hosts := s.hostCount
	s.mu.Unlock()
	minConnections := 0
	for i := range t.Document.Services {
		if n := t.Document.Services[i].MaxConnections; n > 0 && (minConnections == 0 || n < minConnections) {
			minConnections = n
		}
	}
	if minConnections > 0 {
		s.pool.SetMaxIdle(int(idleShare * float64(minConnections) / float64(hosts)))
	}
}

// SetRequestSlots sets the callback that makes the host ask slot owners for slots soon; call it before the first request.
func (s *Server) SetRequestSlots(requestSlots func()) { s.balance.requestSlots = requestSlots }

// SetLimitNotifier sets the callback that tells the other hosts soon that an endpoint states other limits; call it before the first
// request.
func (s *Server) SetLimitNotifier(notify func()) { s.balance.notifyPeers = notify }

// SetEndpoints must be called with each new endpoint list.
func (s *Server) SetEndpoints(list []feed.Endpoint) {
	s.recordsMu.Lock()
	defer s.recordsMu.Unlock()
	onRecord := s.origins.setEndpoints(list)
	for _, incarnation := range s.balance.setEndpoints(s.Now(), list, onRecord) {
		s.crashes.noteRestarted(incarnation)
	}
}

// SetEvacuated must be called with the names of all evacuated availability zones when they change.
func (s *Server) SetEvacuated(zones []string) { s.balance.setEvacuated(s.Now(), zones) }

// SetHosts sets how many hosts share the quotas and the endpoints, and the time between two reports of one of them.
func (s *Server) SetHosts(n int, interval time.Duration) {
	s.mu.Lock()
	changed := s.hostCount != max(1, n)
	s.hostCount = max(1, n)
	s.quotas.SetHosts(n, interval)
	s.mu.Unlock()
	s.balance.setHostCount(n, s.SharedSlots && n > peers.DirectHosts)
	if src := s.Settings.Current(); changed && src != nil {
		s.limitIdle(src.Table)
	}
}

// MergeUsage merges the quota usage that another host reports.
func (s *Server) MergeUsage(host string, incarnation uint64, usage quota.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quotas.ApplyReport(s.Now(), host, incarnation, usage)
}

// Usage returns this host's quota usage and the quotas that are nearly used up.
func (s *Server) Usage() quota.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quotas.Report(s.Now())
}

// RetainHosts drops the usage of all other hosts except the named ones: the rest are known to be gone.
func (s *Server) RetainHosts(names map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quotas.RetainPeers(names)
}

// MemoryAccount returns the account of the bytes that the host holds.
func (s *Server) MemoryAccount() *MemoryAccount { return s.memory }

// Active returns the number of requests in progress.
func (s *Server) Active() int64 { return s.active.Load() }

// listAge returns the age of the endpoint list, or 0 if it is always the newest or there is none.
func (s *Server) listAge(now time.Duration) time.Duration {
	if s.ListConfirmedAt == nil {
		return 0
	}
	at, ok := s.ListConfirmedAt()
	if !ok {
		return 0
	}
	return max(0, now-at)
}

// SettingsFresh reports whether the settings are young enough to show which keys were withdrawn.
func (s *Server) SettingsFresh() bool {
	age, ok := s.Settings.Age.At(s.Now())
	return ok && age < s.ageLimits.Load().MaxKeyAge
}

// acceptsKeys reports whether requests with keys are accepted by settings of an age.
func (s *Server) acceptsKeys(age time.Duration) bool {
	limits := s.ageLimits.Load()
	return !limits.Strict || (age >= 0 && age < limits.MaxKeyAge)
}

// retryBudget returns the retry budget of a service; mu must be held.
func (s *Server) retryBudget(service string) *quota.RetryBudget {
	r := s.retryBudgets[service]
	if r == nil {
		c := s.Retries
		r = &c
		s.retryBudgets[service] = r
	}
	r.MaxCredit = max(1, s.Retries.MaxCredit/float64(s.hostCount))
	return r
}

// noteFirstAttempt credits the retry budget of a service with a new request.
func (s *Server) noteFirstAttempt(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryBudget(service).NoteFirstAttempt()
}

// takeRetry takes one retry from the budget of a service; it returns false if none is left.
func (s *Server) takeRetry(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retryBudget(service).Take()
}

// returnRetry gives a retry that was not sent back to the budget of a service.
func (s *Server) returnRetry(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryBudget(service).Return()
}

// OpenedConnections returns the number of connections opened to endpoints since the start.
func (s *Server) OpenedConnections() int64 { return s.pool.TotalOpened() }

// ClaimSlots lets the host claim its part of the free slots; call it about every 25 ms.
func (s *Server) ClaimSlots() { s.balance.claimSlots(s.Now()) }

// Tick runs periodic work; call it about ten times a second.
func (s *Server) Tick() {
	s.paths.check()
	s.balance.tick(s.Now())
	s.portWatch.check()
}

// Sweep closes connections that were idle too long and drops expired state; call it about once a second.
func (s *Server) Sweep() {
	s.pool.Sweep()
	s.relayPool.Sweep()
	s.sweepShares(s.Now())
	s.crashes.sweep(s.balance.endpointCount())
}

var _ http.Handler = (*Server)(nil)
