// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package simsite

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-logr/logr"

	"github.com/heathkeel/heathkeel/clock"
	"github.com/heathkeel/heathkeel/edge"
	"github.com/heathkeel/heathkeel/internal/simnet"
	"github.com/heathkeel/heathkeel/internal/site"
	"github.com/heathkeel/heathkeel/platform"
)

// Site is a deployment on simulated time. The fields that configure it must be set before Start.
type Site struct {
	// Boot holds the settings that all hosts share; names and addresses are filled in.
	Boot platform.Boot
	// Zones is the number of availability zones. StrongPerZone is the number of hosts in each zone
	// with four times the processor share of the others.
	Zones, StrongPerZone int
	// Latency is the one-way latency of the network.
	Latency time.Duration
	// ZoneSpill is the rule by which hosts send requests to other zones.
	ZoneSpill edge.ZoneSpill
	// Log receives the hosts' logs.
	Log logr.Logger

	// Net, Store, Hosts and Endpoints are the parts of the deployment that Start creates.
	Net       *simnet.Net
	Store     *Store
	Hosts     []*Host
	Endpoints []*Endpoint

	mu            sync.Mutex
	servers       []*http.Server
	endpointCount int
	crashTimes    []time.Time
	stopped       bool
	sent          atomic.Int64
}

// Host is a host that can be suspended, killed and restarted.
type Host struct {
	// Boot holds the host's settings.
	Boot platform.Boot
	// Edge is the current run of the host.
	Edge *edge.Host

	net       *simnet.Host
	signals   chan os.Signal
	kill      context.CancelFunc
	done      chan struct{} // closed when the run has ended
	suspended atomic.Int64  // total time of suspension, in nanoseconds
}

// Suspend advances the host's clock by a time in which its process does not run, as a suspension
// does.
func (h *Host) Suspend(d time.Duration) { h.suspended.Add(int64(d)) }

// suspendedTime returns the total time for which the host has been suspended.
func (h *Host) suspendedTime() time.Duration { return time.Duration(h.suspended.Load()) }

// IP addresses of the store and of callers. Hosts have 10.z.n.n and endpoints 20.z.n.n, where z is
// the zone.
const (
	storeIP  = "30.0.0.1"
	callerIP = "40.0.0.1"
	// hostNet and endpointNet are the first numbers of hosts' and endpoints' addresses.
	hostNet     = 10
	endpointNet = 20
)

// Start starts the store with a configuration, the endpoints and the hosts.
func (s *Site) Start(c site.Config, endpoints, hosts int) error {
	s.Net = &simnet.Net{Latency: s.Latency}
	s.Store = &Store{Store: site.NewStore(), nextBehaviors: make(map[behaviorKey][]Behavior), behaviors: make(map[string]Behavior), calls: make(map[string]int)}
	s.Store.Put(platform.KeyConfig, c)
	l, err := s.Net.Host(storeIP).Listen(context.Background(), "tcp", storeIP+":8225")
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: s.Store, ReadHeaderTimeout: time.Minute}
	s.servers = append(s.servers, srv)
	go func() { _ = srv.Serve(l) }()
	for range endpoints {
		if err := s.AddEndpoint(); err != nil {
			return err
		}
	}
	for i := range hosts {
		s.Hosts = append(s.Hosts, &Host{Boot: s.hostBoot(i, hosts)})
	}
	for _, h := range s.Hosts {
		s.StartHost(h)
	}
	return nil
}

// ip returns the IP address of machine n of a kind in a zone.
func ip(kind, zone, n int) string { return fmt.Sprintf("%d.%d.%d.%d", kind, zone, n/200, 1+n%200) }

// hostBoot returns the settings of host i.
func (s *Site) hostBoot(i, hosts int) platform.Boot {
	b := s.Boot
	zone := i % s.Zones
	b.Host, b.Zone, b.Region, b.IP = fmt.Sprintf("host-%d", i), fmt.Sprintf("zone-%d", zone), "local", ip(hostNet, zone, i)
	b.Front, b.Ready, b.Control, b.Directory = b.IP+":8221", b.IP+":8224", b.IP+":8229", b.IP+":8220"
	b.PeerPort, b.Store, b.Bootstrap = 7600, storeIP+":8225", true
	b.Cores = 0.2
	if i/s.Zones < s.StrongPerZone {
		b.Cores = 0.8
	}
	for j := range min(3, hosts) {
		b.Seeds = append(b.Seeds, ip(hostNet, j%s.Zones, j)+":8229")
	}
	return b
}

// StartHost starts a host for the first time or after its end.
func (s *Site) StartHost(h *Host) {
	ctx, cancel := context.WithCancel(context.Background())
	h.kill, h.done, h.net = cancel, make(chan struct{}), s.Net.Host(h.Boot.IP)
	h.signals = make(chan os.Signal, 1)
	h.net.Start()
	h.Edge = &edge.Host{Boot: h.Boot, ZoneSpill: s.ZoneSpill, Clock: clock.NewSteady().WithOffset(h.suspendedTime), Network: h.net, Log: s.Log.WithValues("host", h.Boot.Host)}
	h.Boot.Bootstrap = false
	go func(e *edge.Host, signals chan os.Signal, done chan struct{}) {
		defer close(done)
		if err := e.Run(ctx, signals); err != nil {
			panic(err)
		}
		h.net.Kill() // as the end of a process does
	}(h.Edge, h.signals, h.done)
}

// Terminate begins a planned stop of the host and returns a channel that is closed once its process has ended.
func (h *Host) Terminate() <-chan struct{} {
	h.signals <- syscall.SIGTERM
	return h.done
}

// Kill ends the host at once and waits until it has ended.
func (h *Host) Kill() {
	h.kill()
	h.net.Kill()
	<-h.done
	h.net.Kill() // a run that was just starting may have opened sockets meanwhile
}

// KillOthers kills all hosts but h.
func (s *Site) KillOthers(h *Host) {
	for _, other := range s.Hosts {
		if other != h {
			other.Kill()
		}
	}
}

// SetStoreBehavior sets the store's behavior for all calls of all hosts from now on.
func (s *Site) SetStoreBehavior(b Behavior) {
	for _, h := range s.Hosts {
		s.Store.SetBehavior(h.Boot.IP, b)
	}
}

// MaxArrivalAfterLeaving returns the longest time between the leaving of an endpoint and the
// receipt of a request there.
func (s *Site) MaxArrivalAfterLeaving() time.Duration {
	latest := time.Duration(0)
	for _, e := range s.Endpoints {
		for _, a := range e.Arrivals() {
			latest = max(latest, a.AfterLeaving)
		}
	}
	return latest
}

// Stall delays the host's packets until d has passed.
func (h *Host) Stall(d time.Duration) { h.net.Stall(d) }

// DropDatagrams drops datagrams to the host while on is true.
func (h *Host) DropDatagrams(on bool) { h.net.DropDatagrams(on) }

// CutOffEndpoints separates the host from all endpoints until Heal.
func (h *Host) CutOffEndpoints(mode simnet.CutMode) {
	h.net.Cut(mode, func(a netip.Addr) bool { return a.As4()[0] == endpointNet })
}

// Heal ends CutOffEndpoints.
func (h *Host) Heal() { h.net.Heal() }

// Stop ends all hosts and servers.
func (s *Site) Stop() {
	for _, h := range s.Hosts {
		h.Kill()
	}
	s.mu.Lock()
	s.stopped = true
	for _, srv := range s.servers {
		_ = srv.Close()
	}
	s.mu.Unlock()
	time.Sleep(timerDrainTime)
}

// isStopped reports whether the site has been stopped.
func (s *Site) isStopped() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopped
}

// timerDrainTime is long enough for all pending timers to fire and their goroutines to end.
const timerDrainTime = time.Minute

// AddEndpoint starts an endpoint of version v1.
func (s *Site) AddEndpoint() error { return s.AddVersion("v1", nil) }

// AddPlain starts a plain service of version v1 that takes a time for each request; with unframed set its answers end with their connections.
func (s *Site) AddPlain(work time.Duration, unframed bool) error {
	return s.addEndpoint(&Endpoint{Service: site.Plain, Version: "v1", Work: work, Unframed: unframed})
}

// AddVersion starts an endpoint of a version; fails decides which requests it answers with an error.
func (s *Site) AddVersion(version string, fails func() bool) error {
	return s.addEndpoint(&Endpoint{Service: site.Plain, Version: version, Fails: fails})
}

// addEndpoint names and starts an endpoint.
func (s *Site) addEndpoint(e *Endpoint) error { return s.addEndpointAt(e, "") }

// addEndpointAt names and starts an endpoint at an IP address; an empty one stands for one that no endpoint has had.
func (s *Site) addEndpointAt(e *Endpoint, address string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	e.Instance, e.zone = fmt.Sprintf("endpoint-%d", s.endpointCount), fmt.Sprintf("zone-%d", s.endpointCount%s.Zones)
	e.site, e.overload.slots = s, make(chan struct{}, slots)
	if err := e.start(cmp.Or(address, ip(endpointNet, s.endpointCount%s.Zones, s.endpointCount))); err != nil {
		return err
	}
	s.servers = append(s.servers, e.server)
	s.Endpoints = append(s.Endpoints, e)
	s.endpointCount++
	return nil
}

// requestTimeout limits a request of SendRequest.
const requestTimeout = 10 * time.Second

// SendRequest sends one request without a key to a host and returns the status of the answer, or 0 if
// there was none.
func (s *Site) SendRequest(h *Host) int { return s.Send(h, "/open/x", "").Status }

// SendRequestWithKey sends one request under a key to a host and returns the status of the answer, or 0
// if there was none.
func (s *Site) SendRequestWithKey(h *Host, key string) int {
	return s.Send(h, "/ask/x", key).Status
}

// Answer is what a caller gets.
type Answer struct {
	// ID is the request's ID.
	ID string
	// Status is the status of the answer, or 0 if there was none.
	Status int
	// Stamped says that the answer is an endpoint's own.
	Stamped bool
}

// CallerTransport returns a transport that sends requests as a caller does, each on a connection of its own.
func (s *Site) CallerTransport() *http.Transport {
	return &http.Transport{DialContext: s.Net.Host(callerIP).DialContext, DisableKeepAlives: true, DisableCompression: true}
}

// Send sends one request to a host; an empty key is left out.
func (s *Site) Send(h *Host, path, key string) Answer {
	a := Answer{ID: fmt.Sprint("id-", s.sent.Add(1))}
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.Boot.Front+path, nil)
	if err != nil {
		return a
	}
	req.Host = site.HostName
	req.Header.Set("Heathkeel-Attempt-Id", a.ID)
	req.Header.Set("Heathkeel-Deadline-Ms", "4000")
	if key != "" {
		req.Header.Set("Authorization", "Token "+key)
	}
	resp, err := s.CallerTransport().RoundTrip(req)
	if err != nil {
		return a
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return a
	}
	a.Status, a.Stamped = resp.StatusCode, resp.Header.Get("Heathkeel-Response-Stamp") != ""
	return a
}
