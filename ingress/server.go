// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/heathkeel/heathkeel/clock"
	"github.com/heathkeel/heathkeel/feed"
	"github.com/heathkeel/heathkeel/metrics"
	"github.com/heathkeel/heathkeel/outcome"
	"github.com/heathkeel/heathkeel/quota"
	"github.com/heathkeel/heathkeel/route"
	"github.com/heathkeel/heathkeel/sched"
	"github.com/heathkeel/heathkeel/upstream"
)

// Server is the ingress of one host. The exported fields must be set before Init.
type Server struct {
	// Headers are the names that are spoken.
	Headers Headers
	// Dial opens connections to endpoints, or nil for those of the machine.
	Dial upstream.Dial
	// Settings is the configuration in force and its age.
	Settings *feed.Settings
	// Now is the host's clock; it counts the time in which the host is suspended.
	Now func() time.Duration
	// Watch tells of times in which the process did not run, on the same clock.
	Watch *clock.GapDetector
	// Unconfirmed reports whether the host has heard nothing of settings and endpoints since it did not run for a while; nil
	// means that it never is.
	Unconfirmed func() bool
	// ListConfirmedAt tells when the list of endpoints was surely the newest, and false if there is none; nil means that it always is.
	ListConfirmedAt func() (time.Duration, bool)
	// ListUsable reports whether the list of endpoints is young enough to send requests by it; nil means that it always is.
	ListUsable func() bool
	// DrainTime is the time after its leaving in which an endpoint may still get requests.
	DrainTime time.Duration
	// Host names this host.
	Host string
	// Zone is the host's availability zone.
	Zone string
	// Policy holds the figures of the decisions on endpoints.
	Policy sched.Config
	// Retries bound repeated sends: the ratio to first ones and the credit kept, of
	// all hosts together.
	Retries quota.RetryBudget
	// Tolerance is what all hosts together may get wrong about a workspace's amount.
	Tolerance quota.Tolerance
	// FirstStart says that no host ran before this start.
	FirstStart bool
	// BodyMemory bounds the bytes of requests held at once.
	BodyMemory int64
	// Trace logs a line for every request, without a bound on their number.
	Trace bool
	// Log takes changes of state and failures.
	Log logr.Logger

	pool      upstream.Pool
	balance   *balancer
	crashes   crashes
	deadlines deadlines
	active    atomic.Int64
	bodies    atomic.Int64
	ages      atomic.Pointer[AgeLimits]
	stopAt    atomic.Int64 // when the stop began, in nanoseconds of Now, or 0

	mu      sync.Mutex
	book    *quota.Book
	retries map[string]*quota.RetryBudget
	hosts   int
	lines   map[outcome.Kind]*outcome.LineLimiter

	// Count counts outcomes.
	Count Counters
	// Metrics holds the histograms per workspace and tier.
	Metrics metrics.Set
}

// Init makes the server ready.
func (s *Server) Init() {
	s.pool.Now = s.Now
	s.pool.DialTimeout, s.pool.Dial = dialTimeout, s.Dial
	s.crashes = crashes{now: s.Now, dial: s.pool.Warm, log: s.Log, tell: func() {}, inquiries: make(map[string]*inquiry)}
	s.crashes.book.Host = s.Host
	s.deadlines = deadlines{now: s.Now, calls: make(map[*call]*time.Timer)}
	s.book = quota.NewBook(s.Now())
	s.book.Tolerance, s.book.StartFull = s.Tolerance, s.FirstStart
	s.retries = make(map[string]*quota.RetryBudget)
	s.lines = make(map[outcome.Kind]*outcome.LineLimiter)
	s.hosts = 1
	s.SetAgeLimits(AgeLimits{Strict: true})
	s.balance = newBalancer(s.Zone, s.Policy, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), s.Now)
}

// AgeLimits bound what a host does with settings that may be old.
type AgeLimits struct {
	// MaxKeyAge is the age up to which they are taken to know which keys were withdrawn.
	MaxKeyAge time.Duration
	// Strict says that requests with keys are refused beyond Trust; else they are taken
	// with the keys that are known, and only callers are sent to other hosts.
	Strict bool
	// MaxUnknownAge is the age up to which an unknown route or key is said to be unknown.
	MaxUnknownAge time.Duration
}

// SetAgeLimits puts bounds in force.
func (s *Server) SetAgeLimits(a AgeLimits) { s.ages.Store(&a) }

// dialTimeout bounds the opening of a connection to an endpoint.
const dialTimeout = 700 * time.Millisecond

// SetTable is called with each new configuration.
func (s *Server) SetTable(t *route.Table) {
	s.balance.setTable(t)
	s.boundIdle(t)
	s.openAccounts(t)
}

// openAccounts begins the accounts of all workspaces.
func (s *Server) openAccounts(t *route.Table) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range t.Document.Workspaces {
		w := &t.Document.Workspaces[i]
		s.book.Open(s.Now(), w.Name, quota.Limit{Rate: w.Rate, Burst: w.Burst})
	}
}

// idlePart is the part of the connections that an endpoint takes which hosts keep
// open without use.
const idlePart = 0.5

// boundIdle keeps the idle connections of all hosts within what endpoints take.
func (s *Server) boundIdle(t *route.Table) {
	s.mu.Lock()
	hosts := s.hosts
	s.mu.Unlock()
	least := 0
	for i := range t.Document.Services {
		if n := t.Document.Services[i].MaxConnections; n > 0 && (least == 0 || n < least) {
			least = n
		}
	}
	if least > 0 {
		s.pool.SetMaxIdle(int(idlePart * float64(least) / float64(hosts)))
	}
}

// SetRequestSlots gives what makes the host ask for places soon; call it before the first request.
func (s *Server) SetRequestSlots(kick func()) { s.balance.kick = kick }

// SetEndpoints is called with each new list of endpoints.
func (s *Server) SetEndpoints(list []feed.Endpoint) {
	for _, life := range s.balance.setEndpoints(s.Now(), list) {
		s.crashes.reborn(life)
	}
}

// SetHosts tells how many hosts share the amounts and the endpoints, and the time
// between two words of one of them.
func (s *Server) SetHosts(n int, every time.Duration) {
	s.mu.Lock()
	changed := s.hosts != max(1, n)
	s.hosts = max(1, n)
	s.book.SetHosts(n, every)
	s.mu.Unlock()
	s.balance.setHosts(n)
	if src := s.Settings.Current(); changed && src != nil {
		s.boundIdle(src.Table)
	}
}

// MergeUsage takes what another host used.
func (s *Server) MergeUsage(host string, life uint64, told quota.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.book.ApplyReport(s.Now(), host, life, told)
}

// Usage tells what this host used and which amounts are nearly used up.
func (s *Server) Usage() quota.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.Report(s.Now())
}

// RetainHosts drops what other hosts used but those named: the rest are surely gone.
func (s *Server) RetainHosts(names map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.book.RetainPeers(names)
}

// Active tells how many requests are held.
func (s *Server) Active() int64 { return s.active.Load() }

// listAge is the age of the list of endpoints, 0 if it is always the newest or there is none.
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

// SettingsFresh tells whether the settings are young enough to know which keys were withdrawn.
func (s *Server) SettingsFresh() bool {
	age, ok := s.Settings.Age.At(s.Now())
	return ok && age < s.ages.Load().MaxKeyAge
}

// takesKeys tells whether requests with keys are taken.
func (s *Server) takesKeys() bool { return !s.ages.Load().Strict || s.SettingsFresh() }

// Stop begins a planned stop: answers close their connections, and after a while
// new requests are refused.
func (s *Server) Stop() { s.stopAt.CompareAndSwap(0, int64(s.Now())) }

// stopping tells for how long the stop has gone on.
func (s *Server) stopping() (time.Duration, bool) {
	at := s.stopAt.Load()
	if at == 0 {
		return 0, false
	}
	return s.Now() - time.Duration(at), true
}

// retryBook returns the credit of a service; mu must be held.
func (s *Server) retryBook(service string) *quota.RetryBudget {
	r := s.retries[service]
	if r == nil {
		c := s.Retries
		r = &c
		s.retries[service] = r
	}
	r.MaxCredit = max(1, s.Retries.MaxCredit/float64(s.hosts))
	return r
}

// firstSend notes that a request of a service arrived.
func (s *Server) firstSend(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryBook(service).NoteFirstAttempt()
}

// mayRepeat takes the credit for one repeated send.
func (s *Server) mayRepeat(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retryBook(service).Take()
}

// OpenedConnections counts the connections opened to endpoints.
func (s *Server) OpenedConnections() int64 { return s.pool.TotalOpened() }

// ClaimSlots lets the host take its part of the free places; call it every 25 ms or so.
func (s *Server) ClaimSlots() { s.balance.draw(s.Now()) }

// Tick does what is due now and then; call it about ten times a second.
func (s *Server) Tick() { s.balance.tick(s.Now()) }

// Sweep closes connections that rested too long and forgets what is over; call it about once a second.
func (s *Server) Sweep() {
	s.pool.Sweep()
	s.crashes.sweep(s.balance.count())
}

var _ http.Handler = (*Server)(nil)
