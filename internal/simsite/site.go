// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package simsite

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/heathkeel/heathkeel/clock"
	"github.com/heathkeel/heathkeel/edge"
	"github.com/heathkeel/heathkeel/internal/simnet"
	"github.com/heathkeel/heathkeel/internal/site"
	"github.com/heathkeel/heathkeel/platform"
)

// Site is a deployment on simulated time. The fields must be set before Start.
type Site struct {
	// Boot is the settings that all hosts have; names and addresses are filled in.
	Boot platform.Boot
	// Zones is the number of availability zones, and Strong that of hosts in each which are four times as strong as the others.
	Zones, StrongPerZone int
	// Latency is the time of a packet on its way.
	Latency time.Duration
	// Log takes the hosts' logs.
	Log logr.Logger

	// Net, Store, Hosts and Endpoints are what runs.
	Net       *simnet.Net
	Store     *Store
	Hosts     []*Host
	Endpoints []*Endpoint

	servers []*http.Server
	started int
	sent    int
}

// Host is a host and what ends it.
type Host struct {
	// Boot is its settings.
	Boot platform.Boot
	// Edge is the host.
	Edge *edge.Host

	net   *simnet.Host
	kill  context.CancelFunc
	done  chan struct{}
	ahead atomic.Int64 // for how long it has been suspended, in nanoseconds
}

// Suspend lets the host's clock go on by a time that its process does not see, as a suspension does.
func (h *Host) Suspend(d time.Duration) { h.ahead.Add(int64(d)) }

// suspended is for how long the host has been suspended.
func (h *Host) suspended() time.Duration { return time.Duration(h.ahead.Load()) }

// Addresses on the network: hosts and endpoints have 10.z.n.n and 20.z.n.n.
const (
	storeIP  = "30.0.0.1"
	callerIP = "40.0.0.1"
)

// Start starts the store with a configuration, endpoints and hosts.
func (s *Site) Start(c site.Config, endpoints, hosts int) error {
	s.Net = &simnet.Net{Latency: s.Latency}
	s.Store = &Store{Store: site.NewStore(), next: make(map[nextKey][]Behavior), moods: make(map[string]Behavior), calls: make(map[string]int)}
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
		s.Hosts = append(s.Hosts, &Host{Boot: s.boot(i, hosts)})
	}
	for _, h := range s.Hosts {
		s.StartHost(h)
	}
	return nil
}

// ip gives an address of a kind of machine.
func ip(kind, zone, n int) string { return fmt.Sprintf("%d.%d.%d.%d", kind, zone, n/200, 1+n%200) }

// boot is the settings of a host.
func (s *Site) boot(i, hosts int) platform.Boot {
	b := s.Boot
	zone := i % s.Zones
	b.Host, b.Zone, b.Region, b.IP = fmt.Sprintf("host-%d", i), fmt.Sprintf("zone-%d", zone), "local", ip(10, zone, i)
	b.Front, b.Ready, b.Control, b.Directory = b.IP+":8221", b.IP+":8224", b.IP+":8229", b.IP+":8220"
	b.PeerPort, b.Store, b.Bootstrap = 7600, storeIP+":8225", true
	b.Cores = 0.2
	if i/s.Zones < s.StrongPerZone {
		b.Cores = 0.8
	}
	for j := range min(3, hosts) {
		b.Seeds = append(b.Seeds, ip(10, j%s.Zones, j)+":8229")
	}
	return b
}

// StartHost starts a host, or starts one again that ended.
func (s *Site) StartHost(h *Host) {
	ctx, cancel := context.WithCancel(context.Background())
	h.kill, h.done, h.net = cancel, make(chan struct{}), s.Net.Host(h.Boot.IP)
	h.net.Start()
	h.Edge = &edge.Host{Boot: h.Boot, Clock: clock.NewSteady().Skewed(h.suspended), Network: h.net, Log: s.Log}
	h.Boot.Bootstrap = false
	go func(e *edge.Host, done chan struct{}) {
		defer close(done)
		if err := e.Run(ctx, make(chan os.Signal)); err != nil {
			panic(err)
		}
	}(h.Edge, h.done)
}

// Kill ends a host at once.
func (h *Host) Kill() {
	h.kill()
	h.net.Kill()
	<-h.done
}

// KillOthers ends all hosts but one at once.
func (s *Site) KillOthers(h *Host) {
	for _, other := range s.Hosts {
		if other != h {
			other.Kill()
		}
	}
}

// MaxArrivalAfterLeaving is the longest time after its leaving at which a request reached an endpoint.
func (s *Site) MaxArrivalAfterLeaving() time.Duration {
	latest := time.Duration(0)
	for _, e := range s.Endpoints {
		for _, a := range e.Arrivals() {
			latest = max(latest, a.AfterLeaving)
		}
	}
	return latest
}

// Stall lets a host's packets wait for a time.
func (h *Host) Stall(d time.Duration) { h.net.Stall(d) }

// Stop ends all.
func (s *Site) Stop() {
	for _, h := range s.Hosts {
		h.Kill()
	}
	for _, srv := range s.servers {
		_ = srv.Close()
	}
	time.Sleep(lastTimers)
}

// lastTimers is the time in which all that waits for a moment has found that it is over.
const lastTimers = time.Minute

// AddEndpoint starts an endpoint.
func (s *Site) AddEndpoint() error {
	e := &Endpoint{Instance: fmt.Sprintf("plain-%d", s.started), site: s, zone: fmt.Sprintf("zone-%d", s.started%s.Zones)}
	if err := e.start(ip(20, s.started%s.Zones, s.started)); err != nil {
		return err
	}
	s.Endpoints = append(s.Endpoints, e)
	s.started++
	return nil
}

// requestTimeout bounds a caller's request.
const requestTimeout = 10 * time.Second

// SendRequest sends one request to a host and returns its status, 0 for no answer.
func (s *Site) SendRequest(h *Host) int {
	t := &http.Transport{DialContext: s.Net.Host(callerIP).DialContext, DisableKeepAlives: true, DisableCompression: true}
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.Boot.Front+"/open/x", nil)
	if err != nil {
		return 0
	}
	s.sent++
	req.Host = site.HostName
	req.Header.Set("Heathkeel-Attempt-Id", fmt.Sprint("id-", s.sent))
	req.Header.Set("Heathkeel-Deadline-Ms", "4000")
	resp, err := t.RoundTrip(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}
