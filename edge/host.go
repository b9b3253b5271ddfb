// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package edge

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-logr/logr"

	"github.com/heathkeel/heathkeel/clock"
	"github.com/heathkeel/heathkeel/feed"
	"github.com/heathkeel/heathkeel/ingress"
	"github.com/heathkeel/heathkeel/peers"
	"github.com/heathkeel/heathkeel/platform"
	"github.com/heathkeel/heathkeel/quota"
	"github.com/heathkeel/heathkeel/route"
)

// Shares of the platform's limits, and times derived from them.
const (
	// maxKeyAgeShare is the share of the revocation time up to which settings decide on keys.
	maxKeyAgeShare = 0.6
	// maxUnknownAgeShare is the share of the configuration time up to which an unknown key is
	// certainly unknown.
	maxUnknownAgeShare = 0.9
	// settingsWatchShare is the share of the configuration time for which a watch of the configuration
	// may stay idle. What a watch proves is as old as the watch was long: the settings of the hosts
	// that learn their age from others are then younger than maxSettingsAgeShare, even if some
	// heartbeats are lost.
	settingsWatchShare = 0.2
	// listIntervalShare is the share of the drain time between two reads of the endpoints by the
	// host that reads for all. The other hosts read at 0.64 to 0.72 of the drain time, see
	// feed.ReadAge.
	listIntervalShare = 0.4
	// maxListAgeShare is the share of the drain time up to which a list of endpoints is used to
	// send requests. The rest covers the time from the last check of its age until the request
	// arrives at the endpoint.
	maxListAgeShare = 0.9
	// maxSettingsAgeShare is the share of the configuration time up to which the settings decide on
	// requests. The rest covers the transit of a request.
	maxSettingsAgeShare = 0.95
	// outageShare is the share of the drain time without any answer that indicates an outage of the
	// store: the time between the age at which the host with the last rank asks the store and the
	// age up to which it may use the list.
	outageShare = 0.2
	// settingsRetryInterval and endpointsRetryInterval are the times between two attempts while the
	// store fails. They allow a few attempts in the time after the store's return within which
	// hosts have to be in contact with it again.
	settingsRetryInterval  = 300 * time.Millisecond
	endpointsRetryInterval = 400 * time.Millisecond
	// listWatchTimeout is how long a read of the endpoints' changes waits for changes. Endpoints
	// write continuously, so there usually are some.
	listWatchTimeout = 100 * time.Millisecond
	// lapseHeartbeats is the number of an endpoint's heartbeats that an outage must last for its
	// entry to lapse. The entry is removed after the third missing heartbeat, and the outage may
	// begin just before the first.
	lapseHeartbeats = 2
	// renewTime is the time after the store's return in which the endpoints renew their entries:
	// about two seconds according to the platform's documentation.
	renewTime = 2 * time.Second
	// maxLapseShare is the share of the contact time for which lapsed endpoints are kept at most.
	maxLapseShare = 0.9
	// retryBudgetShare is the share of the platform's retry limit that hosts use.
	retryBudgetShare = 0.7
	// bodyMemoryShare is the share of the memory for bodies of requests.
	bodyMemoryShare = 0.2
	// memoryLimitShare is the share of the memory that is set as the garbage collector's soft
	// limit.
	memoryLimitShare = 0.6
)

// Host is a heathkeel host on the users' platform. The exported fields must be set before Run.
type Host struct {
	// Boot is the content of the settings file, and Path is the file's path.
	Boot platform.Boot
	Path string
	// Trace enables a log line for every request.
	Trace bool
	// SharedSlots says when slot owners grant the slots of all endpoints.
	SharedSlots SharedSlots
	// StatedLoadOff makes the host ignore the loads that endpoints state.
	StatedLoadOff bool
	// ZoneSpill says by which rule requests go to other zones; empty means ZoneSpillFixed. ZonePrice is the value of one GB between zones
	// in units of the value of one top-tier request; 0 means unknown.
	ZoneSpill ZoneSpill
	ZonePrice float64
	// Clock is the host's clock. If nil, Run creates one.
	Clock *clock.Clock
	// Network connects the host to others. If nil, the operating system's network is used.
	Network Network
	// Log receives changes of state.
	Log logr.Logger

	incarnation  uint64
	gapDetector  clock.GapDetector
	gaps         gapState
	store        *platform.Store
	storeHealth  *feed.StoreHealth
	settings     *feed.Settings
	endpoints    *feed.Endpoints
	ingress      *ingress.Server
	agent        *peers.Agent
	hostRegistry *feed.HostRegistry
	records      *records
	rollouts     rolloutStatuses
	savedStreams *savedStreams
	registered   bool         // this host keeps an entry in the store; used by hostRegistry.Run only
	provenAt     atomic.Int64 // when a peer last proved versions that this host has to fetch, in nanoseconds of its clock, or 0
	hostsInStore atomic.Int64 // number of hosts according to the entries in the store
	mostHosts    recentMax    // number of hosts that were heard
	peerHTTP     *http.Client
	fetchStats   fetchStats
	storeEras    atomic.Int64 // times that the store came back from an older copy
	answers      answers
	// versions that peers proved and that this host has to fetch from them
	settingsToFetch, endpointsToFetch chan peers.Proof
	hostsToFetch                      chan string // control addresses of hosts that know more hosts than this one

	stopping chan struct{}
	reloads  chan struct{}
	lastBoot platform.Boot
}

// now returns the time since the host's start, including suspensions.
func (h *Host) now() time.Duration { return h.Clock.Now() }

// Signals are the signals that Run handles.
var Signals = []os.Signal{syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP}

// Run runs the host until a signal to stop arrives and the stop is complete, or until ctx ends,
// which stops the host at once.
func (h *Host) Run(ctx context.Context, signals <-chan os.Signal) error {
	if h.Clock == nil {
		h.Clock = clock.New()
	}
	h.gapDetector.Clock, h.gapDetector.OnGap = h.Clock, h.noteGap
	h.incarnation = rand.Uint64() >> 12
	h.stopping = make(chan struct{})
	h.reloads = make(chan struct{}, 1)
	h.settingsToFetch, h.endpointsToFetch = make(chan peers.Proof, 1), make(chan peers.Proof, 1)
	h.hostsToFetch = make(chan string, 1)
	h.lastBoot = h.Boot
	if mb := h.Boot.MemoryMB; mb > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(mb<<20)))
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	h.assemble()
	if err := h.listenPeers(ctx); err != nil {
		return err
	}
	if err := h.serve(ctx); err != nil {
		return err
	}
	for _, run := range []func(context.Context){h.followStore, h.agent.Run, h.runPeriodically, h.pollSettingsFile, h.fetchSettings, h.fetchEndpoints, h.fetchHosts, h.maintainRecords, h.maintainRollouts, h.maintainVersions, h.savedStreams.maintain} {
		go run(ctx)
	}
	if !h.Clock.CountsSuspension() {
		h.Log.Info("the clock does not count suspensions of the host; after a suspension its settings and endpoints look younger than they are")
	}
	h.Log.Info("started", "front", h.Boot.Front, "zone", h.Boot.Zone, "life", h.incarnation)
	h.waitForStop(ctx, signals)
	return nil
}

// noteStoreEra logs that the store has come back from an older copy, and up to where this host had read it.
func (h *Host) noteStoreEra(before, now uint64) {
	if before == 0 {
		h.Log.Info("era of the store", "era", now)
		return
	}
	h.storeEras.Add(1)
	view, _ := h.endpoints.View()
	h.Log.Info("store came back from an older copy", "era", now, "before", before, "settings_revision", ownRevision(h.settings.Age.Revision()), "endpoints_revision", ownRevision(view.Revision))
}

// assemble creates the components of the host.
func (h *Host) assemble() {
	b := &h.Boot
	h.store = &platform.Store{
		Base: "http://" + b.Store,
		HTTP: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: 4, IdleConnTimeout: 10 * time.Second, MaxResponseHeaderBytes: maxAnswerHead,
			DialContext: h.dial(storeDialTimeout),
		}},
		OnEra: h.noteStoreEra,
	}
	h.peerHTTP = &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 2, IdleConnTimeout: 10 * time.Second, MaxResponseHeaderBytes: maxAnswerHead,
		DialContext: h.dial(fetchTimeout),
	}}
	h.answers.Now, h.answers.MaxBytes = h.now, maxAnswerBytes(b.LinkMbps)
	h.ingress = &ingress.Server{
		Headers: platform.Headers, Dial: h.endpointDial(), Now: h.now, Watch: &h.gapDetector, Unconfirmed: h.unconfirmed, ListConfirmedAt: h.listConfirmedAt, ListUsable: h.listUsable, DrainTime: b.DrainTime, ContactTime: b.ContactTime, Host: b.Host, Zone: b.Zone, Policy: h.policy(), SharedSlots: h.SharedSlots != SharedSlotsOff,
		ObservedZones: h.ZoneSpill == ZoneSpillObserved, ZonePrice: h.ZonePrice,
		Retries:       quota.RetryBudget{Ratio: retryBudgetShare * b.RetryRatio, MaxCredit: retryBudgetShare * b.RetrySlack},
		Tolerance:     quota.Tolerance{Window: b.QuotaWindow, Overshoot: b.QuotaOvershoot, Slack: b.QuotaSlack},
		ExposeShare:   b.ExposeShare,
		ColdTolerance: ingress.ColdTolerance{Overshoot: b.ColdOvershoot, Slack: b.ColdSlack},
		RelayTargets:  h.relayTargets, ReachesEndpoints: h.reachesEndpoints,
		FirstStart: b.Bootstrap, BodyMemory: h.bodyMemory(), Memory: h.memoryLimit(), Trace: h.Trace, Log: h.Log.WithName("ingress"),
	}
	h.storeHealth = &feed.StoreHealth{
		Now: h.now, RunTime: h.gapDetector.RunTime, OutageAfter: time.Duration(outageShare * float64(b.DrainTime)), RetryInterval: endpointsRetryInterval,
		LapseTimes: feed.LapseTimes{
			MinOutage: lapseHeartbeats * b.HeartbeatInterval, RenewTime: renewTime, MaxKeep: time.Duration(maxLapseShare * float64(b.ContactTime)),
		},
		Log: h.Log.WithName("store"),
	}
	h.settings = &feed.Settings{
		Store: h.store, Prefix: platform.PrefixConfig, Key: platform.KeyConfig, Parse: platform.ParseConfig, Now: h.now,
		WatchTimeout: time.Duration(settingsWatchShare * float64(settingsTime(b))), RetryInterval: settingsRetryInterval, Rank: h.readRank, ViaRelay: h.viaRelay,
		StoreHealth: h.storeHealth, MaxAge: time.Duration(maxSettingsAgeShare * float64(settingsTime(b))),
		OnChange: h.applyTable, OnOrders: h.applyOrders, Log: h.Log.WithName("settings"),
	}
	h.ingress.Settings = h.settings
	h.ingress.Init()
	h.answers.Memory = h.ingress.MemoryAccount().Open()
	h.records = newRecords(h.store, h.store.Era, h.now, h.Log.WithName("records"))
	h.ingress.SetRecords(h.records)
	h.savedStreams = newSavedStreams(h)
	h.ingress.SetSavedOriginReader(h.savedStreams.read)
	h.ingress.SetAgeLimits(ageLimits(b))
	h.endpoints = &feed.Endpoints{
		Store: h.store, Prefix: platform.PrefixEndpoints, Parse: platform.ParseEndpoint, Now: h.now,
		Interval: time.Duration(listIntervalShare * float64(b.DrainTime)), WatchTimeout: listWatchTimeout, RetryInterval: endpointsRetryInterval, Rank: h.readRank, ViaRelay: h.viaRelay,
		StoreHealth: h.storeHealth, MaxAge: time.Duration(maxListAgeShare * float64(b.DrainTime)),
		OnChange: h.applyEndpoints, Log: h.Log.WithName("endpoints"),
	}
	h.endpoints.Init()
	h.hostRegistry = &feed.HostRegistry{
		Store: h.store, Key: platform.PrefixHosts + b.Host, Prefix: platform.PrefixOwn, Value: h.hostEntry,
		ShouldRegister: h.shouldRegister, HostCount: h.hostCount, TTL: 10 * time.Second, Era: h.store.Era, OnEntries: h.applyOwnEntries, Log: h.Log.WithName("entry"),
	}
}

// listConfirmedAt returns the time at which the list of endpoints was last known to be the newest.
func (h *Host) listConfirmedAt() (time.Duration, bool) { return h.endpoints.ProvenAt() }

// storeDialTimeout limits the time for opening a connection to the store. It is longer than any
// call. If this process waits for the processor and opens a connection late, the dial must not fail
// before the call does: the silence of a call is judged by the time in which the process ran.
const storeDialTimeout = 10 * time.Second

// listUsable reports whether the list of endpoints is recent enough to send requests by it.
func (h *Host) listUsable() bool { return h.endpoints.Usable() }

// applyTable puts a configuration in force and sends a heartbeat at once, so that the other hosts
// learn of it.
func (h *Host) applyTable(t *route.Table) {
	h.ingress.SetTable(t)
	h.agent.TriggerHeartbeat()
}

// applyEndpoints puts a list of endpoints in force and sends a heartbeat at once, so that the other
// hosts learn of it.
func (h *Host) applyEndpoints(list []feed.Endpoint) {
	h.ingress.SetEndpoints(list)
	h.agent.TriggerHeartbeat()
}

// settingsTime returns the time within which a change of the settings must be in force, be it one of the
// configuration or of the evacuated zones.
func settingsTime(b *platform.Boot) time.Duration {
	if b.EvacuationTime == 0 {
		return b.ConfigTime
	}
	return min(b.ConfigTime, b.EvacuationTime)
}

// bodyMemory returns the limit in bytes for the bodies of requests.
func (h *Host) bodyMemory() int64 {
	if h.Boot.MemoryMB == 0 {
		return 64 << 20
	}
	return int64(bodyMemoryShare * float64(h.Boot.MemoryMB<<20))
}

// peerAddress returns the address at which this host receives heartbeats.
func (h *Host) peerAddress() string { return fmt.Sprintf("%s:%d", h.Boot.IP, h.Boot.PeerPort) }

// listenPeers opens the socket for heartbeats and creates the agent.
func (h *Host) listenPeers(ctx context.Context) error {
	conn, err := h.network().ListenPacket(ctx, "udp", h.peerAddress())
	if err != nil {
		return err
	}
	h.agent = &peers.Agent{
		Table: &peers.Table{Host: h.Boot.Host, Incarnation: h.incarnation}, Conn: conn, Seeds: h.seedAddresses(h.Boot.Seeds), Host: h, Now: h.now, CheckGap: h.gapDetector.Check,
		Rand: rand.New(rand.NewPCG(h.incarnation, 1)), Log: h.Log.WithName("peers"),
	}
	h.agent.Slots, h.agent.Origins, h.agent.OnFewKnown = h.ingress, h.ingress, h.requestHosts
	h.agent.Init()
	h.ingress.SetOriginAsker(h.askOrigins)
	h.ingress.SetRequestSlots(h.agent.TriggerSlotRequests)
	h.ingress.SetLimitNotifier(h.agent.TriggerHeartbeat)
	h.ingress.SetCrashNotifier(h.agent.TriggerHeartbeat)
	return nil
}

// seedAddresses returns the heartbeat addresses of the hosts with the given control addresses,
// without this host. All hosts use the same port for heartbeats.
func (h *Host) seedAddresses(controlAddresses []string) []string {
	var out []string
	for _, s := range controlAddresses {
		if ap, err := netip.ParseAddrPort(s); err == nil && ap.Addr().String() != h.Boot.IP {
			out = append(out, fmt.Sprintf("%s:%d", ap.Addr(), h.Boot.PeerPort))
		}
	}
	return out
}

// ready reports whether the host accepts requests: it knows settings and endpoints and is not
// stopping.
func (h *Host) ready() bool {
	select {
	case <-h.stopping:
		return false
	default:
	}
	_, listed := h.endpoints.View()
	return listed && h.settings.Current() != nil && !h.unconfirmed()
}

// claimInterval is the time between two claims of slots. It equals the time between two checks for
// changed loads to report. The other periodic tasks run at every 4th, 8th and 40th claim: every
// 0.1, 0.2 and 1 s.
const (
	claimInterval  = 25 * time.Millisecond
	claimsPerTick  = 4
	claimsPerShare = 8
	claimsPerSweep = 40
)

// runPeriodically runs the periodic tasks until ctx ends.
func (h *Host) runPeriodically(ctx context.Context) {
	t := time.NewTicker(claimInterval)
	defer t.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		h.gapDetector.Check()
		h.ingress.ClaimSlots()
		if n%claimsPerTick == 0 {
			h.ingress.Tick()
		}
		if n%claimsPerShare == 0 {
			h.applyPeerLoads()
			h.applyHostCount()
		}
		if n%claimsPerSweep == 0 {
			h.ingress.Sweep()
		}
	}
}
