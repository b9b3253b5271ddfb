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
	"reflect"
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

// Parts of the platform's bounds that the host keeps.
const (
	// trustShare is the part of the revocation time up to which settings are trusted.
	trustShare = 0.6
	// sureShare is the part of the configuration time up to which an unknown key is surely unknown.
	sureShare = 0.9
	// watchShare is the part of the revocation time that a watch of the configuration is
	// idle: hosts that hear of the settings from others then know them to be younger than
	// trustShare even if some heartbeats are lost.
	watchShare = 0.2
	// listShare is the part of the drain time between two readings of the endpoints by the
	// host that reads for all; the others read at 0.64 to 0.72 of it, see feed.Turns.
	listShare = 0.4
	// usableShare is the part of the drain time up to which requests are sent by a list of endpoints; the rest is for the way
	// from the last look at its age to the endpoint.
	usableShare = 0.9
	// settledShare is the part of the configuration time up to which requests are decided by the settings; the rest is for a request's way.
	settledShare = 0.95
	// silentShare is the part of the drain time without any answer that tells of an outage of the store: the time between the age at which the host
	// whose turn is last asks and that up to which it may use the list.
	silentShare = 0.2
	// settingsPause and endpointsPause are the times between two tries while the store
	// fails: a few in the time after its return in which hosts are to be in touch again.
	settingsPause  = 300 * time.Millisecond
	endpointsPause = 400 * time.Millisecond
	// listWait is how long a reading of the endpoints' changes waits for some. Endpoints
	// write all the time, so that there mostly are.
	listWait = 100 * time.Millisecond
	// lapseBeats is the number of heartbeats of an endpoint that an outage must last for its
	// entry to lapse: it goes with the third that is missing, and the outage may begin just before the first.
	lapseBeats = 2
	// backTime is the time after the store's return in which endpoints' entries are back (the
	// platform's pages: within about two seconds).
	backTime = 2 * time.Second
	// lapseShare is the part of the contact time for which lapsed endpoints are kept at most.
	lapseShare = 0.9
	// retryShare is the part of the retry bound that hosts use.
	retryShare = 0.7
	// bodyShare is the part of the memory for bodies of requests.
	bodyShare = 0.2
	// heapShare is the part of the memory that the collector aims to stay under.
	heapShare = 0.6
)

// Host is one host: its parts and what joins them. The exported fields must be
// set before Run.
type Host struct {
	// Boot is the settings file and Path where it lies.
	Boot platform.Boot
	Path string
	// Trace logs a line for every request.
	Trace bool
	// Clock is the host's clock, or nil for one that Run makes.
	Clock *clock.Clock
	// Network is how the host reaches others, or nil for the machine's.
	Network Network
	// Log takes changes of state.
	Log logr.Logger

	life      uint64
	watch     clock.GapDetector
	waking    waking
	store     *platform.Store
	reach     *feed.StoreHealth
	settings  *feed.Settings
	endpoints *feed.Endpoints
	ingress   *ingress.Server
	agent     *peers.Agent
	entry     *feed.HostRegistry
	records   *records
	keeping   bool         // this host keeps an entry; of entry.Run only
	found     atomic.Int64 // hosts that there are by their entries in the store
	peerHTTP  *http.Client
	fetched   fetches
	// what peers proved, to be asked for
	wantedSettings, wantedEndpoints chan peers.Proof

	stopping chan struct{}
	hup      chan struct{}
	read     platform.Boot
}

// now is the time since the host's start, suspensions included.
func (h *Host) now() time.Duration { return h.Clock.Now() }

// Signals are what the process is told from outside.
var Signals = []os.Signal{syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP}

// Run keeps the host going until a signal to stop comes and the stop is done, or
// until ctx ends, which ends the host at once.
func (h *Host) Run(ctx context.Context, signals <-chan os.Signal) error {
	if h.Clock == nil {
		h.Clock = clock.New()
	}
	h.watch.Clock, h.watch.OnGap = h.Clock, h.woke
	h.life = rand.Uint64() >> 12
	h.stopping = make(chan struct{})
	h.hup = make(chan struct{}, 1)
	h.wantedSettings, h.wantedEndpoints = make(chan peers.Proof, 1), make(chan peers.Proof, 1)
	h.read = h.Boot
	if mb := h.Boot.MemoryMB; mb > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(mb<<20)))
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	h.build()
	if err := h.listenPeers(ctx); err != nil {
		return err
	}
	if err := h.serve(ctx); err != nil {
		return err
	}
	for _, run := range []func(context.Context){h.follow, h.agent.Run, h.tick, h.watchFile, h.fetchSettings, h.fetchEndpoints, h.keepRecords} {
		go run(ctx)
	}
	if !h.Clock.Whole() {
		h.Log.Info("no clock that counts suspensions of the host; what it knew before one looks younger than it is")
	}
	h.Log.Info("started", "front", h.Boot.Front, "zone", h.Boot.Zone, "life", h.life)
	h.await(ctx, signals)
	return nil
}

// build makes the parts.
func (h *Host) build() {
	b := &h.Boot
	h.store = &platform.Store{
		Base: "http://" + b.Store,
		HTTP: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: 4, IdleConnTimeout: 10 * time.Second,
			DialContext: h.dial(storeDialTimeout),
		}},
	}
	h.peerHTTP = &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 2, IdleConnTimeout: 10 * time.Second,
		DialContext: h.dial(fetchTimeout),
	}}
	h.ingress = &ingress.Server{
		Headers: platform.Headers, Dial: h.endpointDial(), Now: h.now, Watch: &h.watch, Unconfirmed: h.unproven, ListConfirmedAt: h.provenAt, ListUsable: h.listUsable, DrainTime: b.DrainTime, Host: b.Host, Zone: b.Zone, Policy: policy(),
		Retries:    quota.RetryBudget{Ratio: retryShare * b.RetryRatio, MaxCredit: retryShare * b.RetrySlack},
		Tolerance:  quota.Tolerance{Window: b.QuotaWindow, Overshoot: b.QuotaOvershoot, Slack: b.QuotaSlack},
		FirstStart: b.Bootstrap, BodyMemory: h.bodyMemory(), Trace: h.Trace, Log: h.Log.WithName("ingress"),
	}
	h.reach = &feed.StoreHealth{
		Now: h.now, RunTime: h.watch.RunTime, OutageAfter: time.Duration(silentShare * float64(b.DrainTime)), RetryInterval: endpointsPause,
		LapseTimes: feed.LapseTimes{
			MinOutage: lapseBeats * b.HeartbeatInterval, RenewTime: backTime, MaxKeep: time.Duration(lapseShare * float64(b.ContactTime)),
		},
	}
	h.settings = &feed.Settings{
		Store: h.store, Prefix: platform.PrefixConfig, Key: platform.KeyConfig, Parse: platform.ParseConfig, Now: h.now,
		WatchTimeout: time.Duration(watchShare * float64(b.RevokeTime)), RetryInterval: settingsPause, Rank: h.turn, ViaRelay: h.far,
		StoreHealth: h.reach, MaxAge: time.Duration(settledShare * float64(b.ConfigTime)),
		OnChange: h.newTable, Log: h.Log.WithName("settings"),
	}
	h.ingress.Settings = h.settings
	h.ingress.Init()
	h.records = &records{store: h.store, now: h.now, log: h.Log.WithName("records")}
	h.ingress.SetRecords(h.records)
	h.ingress.SetAgeLimits(ages(b))
	h.endpoints = &feed.Endpoints{
		Store: h.store, Prefix: platform.PrefixEndpoints, Parse: platform.ParseEndpoint, Now: h.now,
		Interval: time.Duration(listShare * float64(b.DrainTime)), WatchTimeout: listWait, RetryInterval: endpointsPause, Rank: h.turn, ViaRelay: h.far,
		StoreHealth: h.reach, MaxAge: time.Duration(usableShare * float64(b.DrainTime)),
		OnChange: h.newEndpoints, Log: h.Log.WithName("endpoints"),
	}
	h.endpoints.Init()
	h.entry = &feed.HostRegistry{
		Store: h.store, Key: platform.PrefixHosts + b.Host, Prefix: platform.PrefixOwn, Value: h.entryValue,
		ShouldRegister: h.keepsEntry, HostCount: h.knownHosts, TTL: 10 * time.Second, OnEntries: h.foundOwn, Log: h.Log.WithName("entry"),
	}
}

// provenAt tells when the list of endpoints was surely the newest.
func (h *Host) provenAt() (time.Duration, bool) { return h.endpoints.ProvenAt() }

// storeDialTimeout bounds the opening of a connection to the store. It is longer than any call: a connection that is opened late because this
// process waits for the processor must not fail before the call, whose silence is judged by the time in which the process ran.
const storeDialTimeout = 10 * time.Second

// listUsable reports whether the list of endpoints is young enough to send requests by it.
func (h *Host) listUsable() bool { return h.endpoints.Usable() }

// newTable puts a configuration in force and tells the other hosts of it at once.
func (h *Host) newTable(t *route.Table) {
	h.ingress.SetTable(t)
	h.agent.TriggerHeartbeat()
}

// newEndpoints puts a list of endpoints in force and tells the other hosts of it at once.
func (h *Host) newEndpoints(list []feed.Endpoint) {
	h.ingress.SetEndpoints(list)
	h.agent.TriggerHeartbeat()
}

// bodyMemory bounds the bytes of requests held.
func (h *Host) bodyMemory() int64 {
	if h.Boot.MemoryMB == 0 {
		return 64 << 20
	}
	return int64(bodyShare * float64(h.Boot.MemoryMB<<20))
}

// peerAddress is where this host hears heartbeats.
func (h *Host) peerAddress() string { return fmt.Sprintf("%s:%d", h.Boot.IP, h.Boot.PeerPort) }

// listenPeers opens the socket for heartbeats.
func (h *Host) listenPeers(ctx context.Context) error {
	conn, err := h.network().ListenPacket(ctx, "udp", h.peerAddress())
	if err != nil {
		return err
	}
	h.agent = &peers.Agent{
		Table: &peers.Table{Host: h.Boot.Host, Incarnation: h.life}, Conn: conn, Seeds: h.seeds(h.Boot.Seeds), Host: h, Now: h.now, CheckGap: h.watch.Check,
		Rand: rand.New(rand.NewPCG(h.life, 1)), Log: h.Log.WithName("peers"),
	}
	h.agent.Slots = h.ingress
	h.agent.Init()
	h.ingress.SetRequestSlots(h.agent.TriggerSlotRequests)
	h.ingress.SetCrashNotifier(h.agent.TriggerHeartbeat)
	return nil
}

// seeds gives where the named hosts hear heartbeats, but for this host: ports are
// alike on all hosts.
func (h *Host) seeds(control []string) []string {
	var out []string
	for _, s := range control {
		if ap, err := netip.ParseAddrPort(s); err == nil && ap.Addr().String() != h.Boot.IP {
			out = append(out, fmt.Sprintf("%s:%d", ap.Addr(), h.Boot.PeerPort))
		}
	}
	return out
}

// ready tells whether the host takes requests: it knows settings and endpoints and does not stop.
func (h *Host) ready() bool {
	select {
	case <-h.stopping:
		return false
	default:
	}
	_, listed := h.endpoints.View()
	return listed && h.settings.Current() != nil && !h.unproven()
}

// drawEvery is the time between two draws of places, as long as changed loads take to be
// told; what is done less often is done at each so many of them: every 0.1, 0.2 and 1 s.
const (
	drawEvery  = 25 * time.Millisecond
	ticksEach  = 4
	sharesEach = 8
	sweepsEach = 40
)

// tick does what is due now and then.
func (h *Host) tick(ctx context.Context) {
	t := time.NewTicker(drawEvery)
	defer t.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		h.watch.Check()
		h.ingress.ClaimSlots()
		if n%ticksEach == 0 {
			h.ingress.Tick()
		}
		if n%sharesEach == 0 {
			h.shareLoads()
			h.shareHosts()
		}
		if n%sweepsEach == 0 {
			h.ingress.Sweep()
		}
	}
}

// await waits for the signal to stop and stops.
func (h *Host) await(ctx context.Context, signals <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.hup:
			h.reload()
		case s := <-signals:
			if s != syscall.SIGHUP {
				h.stop()
				return
			}
			h.reload()
		}
	}
}

// reload reads the settings file again and puts in force what may change while
// the host runs: the addresses of other hosts and the bounds of trust. A broken
// file changes nothing.
func (h *Host) reload() {
	b, err := platform.ReadBoot(h.Path)
	if err != nil {
		h.Log.Error(err, "settings file refused; the last one stays")
		return
	}
	if reflect.DeepEqual(b, h.read) {
		return
	}
	h.read = b
	h.agent.SetSeeds(h.seeds(b.Seeds))
	a := ages(&b)
	h.ingress.SetAgeLimits(a)
	h.Log.Info("settings file in force", "seeds", len(b.Seeds), "trust", a.MaxKeyAge.String(), "strict", a.Strict)
}

// ages gives the bounds on the age of the settings.
func ages(b *platform.Boot) ingress.AgeLimits {
	return ingress.AgeLimits{
		MaxKeyAge:     time.Duration(trustShare * float64(b.RevokeTime)),
		Strict:        b.StrictRevoke,
		MaxUnknownAge: time.Duration(sureShare * float64(b.ConfigTime)),
	}
}

// watchFile looks for changes of the settings file that nobody tells.
func (h *Host) watchFile(ctx context.Context) {
	if h.Path == "" {
		return
	}
	t := time.NewTicker(fileEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			h.hup <- struct{}{}
		}
	}
}

// fileEvery is the time between two looks at the settings file.
const fileEvery = 5 * time.Second

// Times of a planned stop.
const (
	// lingerLeast is how long callers with old answers are still served.
	lingerLeast = 3500 * time.Millisecond
	// graceRest is the part of the grace that is not used.
	graceRest = 700 * time.Millisecond
)

// stop tells callers and peers, and ends once nothing runs or the grace is over.
func (h *Host) stop() {
	began := h.now()
	close(h.stopping)
	h.ingress.Stop()
	h.agent.TriggerHeartbeat()
	h.Log.Info("stopping", "active", h.ingress.Active())
	for h.now()-began < h.Boot.GracePeriod-graceRest {
		if h.now()-began > min(lingerLeast, h.Boot.GracePeriod/2) && h.ingress.Active() == 0 {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	h.Log.Info("stopped", "active", h.ingress.Active())
}
