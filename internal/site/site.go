// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package site

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"

	"github.com/heathkeel/heathkeel/clock"
	"github.com/heathkeel/heathkeel/edge"
	"github.com/heathkeel/heathkeel/internal/link"
	"github.com/heathkeel/heathkeel/platform"
)

// Host is one run of a heathkeel host within this process.
type Host struct {
	// Boot holds the host's settings. Path is the file that they are reloaded from; empty means
	// none.
	Boot platform.Boot
	Path string
	// Signals delivers signals to the host.
	Signals chan os.Signal
	// Done is closed when the host has ended.
	Done chan struct{}
	// StoreProxy is the proxy that carries the host's connections to the store.
	StoreProxy *link.Proxy

	cancel    context.CancelFunc
	network   *cuttableNetwork
	suspended atomic.Int64 // total time of suspension, in nanoseconds
}

// CutOffEndpoints cuts the host's paths to all endpoints while on is true: open connections are closed, new
// ones refused. The site must be Cuttable.
func (h *Host) CutOffEndpoints(on bool) { h.network.setCutOff(on) }

// Suspend advances the host's clock by a time in which its process does not run, as a suspension
// does. The caller makes the changes that happen elsewhere in that time.
func (h *Host) Suspend(d time.Duration) { h.suspended.Add(int64(d)) }

// SuspendedTime returns the total time for which the host has been suspended.
func (h *Host) SuspendedTime() time.Duration { return time.Duration(h.suspended.Load()) }

// StallStore stalls the traffic between the host and the store in both directions while on is true.
func (h *Host) StallStore(on bool) {
	h.StoreProxy.Stall(link.Upstream, on)
	h.StoreProxy.Stall(link.Downstream, on)
}

// Kill ends the host at once.
func (h *Host) Kill() { h.cancel() }

// Site holds a store, endpoints and hosts.
type Site struct {
	// Log receives the hosts' logs. With Trace set, hosts log a line for every request.
	Log   logr.Logger
	Trace bool
	// Lenient starts hosts without strict revocation: they accept keys however old their settings
	// are.
	Lenient bool
	// GracePeriod is the time that hosts have from SIGTERM until they end; 0 means 8 s.
	GracePeriod time.Duration
	// Cuttable makes the hosts' paths to the endpoints ones that can be cut.
	Cuttable bool
	// ProxyEndpoints makes AddExampleEndpoints put a proxy in front of each endpoint.
	ProxyEndpoints bool
	// Store is the platform's store.
	Store *Store
	// StoreAddress is the address at which the store listens.
	StoreAddress string
	// Hosts lists all host runs in the order of their start, ended ones included.
	Hosts []*Host

	server   *http.Server
	basePort int
}

// Start starts the store.
func (s *Site) Start() error {
	s.Store = NewStore()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.StoreAddress = l.Addr().String()
	s.server = &http.Server{Handler: s.Store.Handler(), ReadHeaderTimeout: time.Minute}
	go func() { _ = s.server.Serve(l) }()
	return nil
}

// Stop ends all hosts and the store.
func (s *Site) Stop() {
	for _, h := range s.Hosts {
		h.Kill()
		<-h.Done
		if h.StoreProxy != nil {
			h.StoreProxy.Stop()
		}
	}
	_ = s.server.Close()
}

// AddHost starts a host at an IP address of its own. As on the platform, all hosts use the same
// ports.
func (s *Site) AddHost() (*Host, error) {
	n := len(s.Hosts) + 1
	ip := loopbackIP(n)
	if s.basePort == 0 {
		var err error
		if s.basePort, err = findPorts(ip); err != nil {
			return nil, err
		}
	}
	address := func(i int) string { return fmt.Sprintf("%s:%d", ip, s.basePort+i) }
	b := platform.Boot{
		Host: fmt.Sprintf("host-%d", n), Zone: fmt.Sprintf("zone-%d", n%2), Region: "local", IP: ip,
		Front: address(0), Ready: address(1), Control: address(2), Directory: address(3), PeerPort: s.basePort + 4, Store: s.StoreAddress, Bootstrap: true,
		MemoryMB: 256, ConfigTime: 2 * time.Second, RevokeTime: 5 * time.Second, StrictRevoke: !s.Lenient, ContactTime: 3 * time.Second,
		DrainTime: 2 * time.Second, GracePeriod: cmp.Or(s.GracePeriod, 8*time.Second), HeartbeatInterval: time.Second, AnswerTTL: 5 * time.Second,
		RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 50,
	}
	for _, h := range s.Hosts {
		b.Seeds = append(b.Seeds, h.Boot.Control)
	}
	storeLink := &link.Proxy{Listen: ip + ":0", Target: s.StoreAddress}
	if err := storeLink.Start(); err != nil {
		return nil, err
	}
	b.Store = storeLink.Listen
	return s.Restart(&Host{Boot: b, StoreProxy: storeLink})
}

// AddExampleEndpoints starts two plain services, and two engines whose streams have the given
// number of events, pace apart.
func (s *Site) AddExampleEndpoints(events int, pace time.Duration) (plain, engines [2]*Endpoint, err error) {
	for i := range 2 {
		plain[i] = &Endpoint{Instance: fmt.Sprintf("p-%d", i)}
		engines[i] = &Endpoint{Instance: fmt.Sprintf("e-%d", i), Events: events, Pace: pace}
		if s.ProxyEndpoints {
			plain[i].Proxy, engines[i].Proxy = &link.Proxy{}, &link.Proxy{}
		}
		if err := s.AddEndpoint(Plain, plain[i]); err != nil {
			return plain, engines, err
		}
		if err := s.AddEndpoint(Engines, engines[i]); err != nil {
			return plain, engines, err
		}
	}
	return plain, engines, nil
}

// waitAddressesFree waits until nothing listens at a host's addresses. The end of a process closes
// its sockets at once, but a host that is killed within this process closes them a moment later.
func waitAddressesFree(b *platform.Boot) {
	peerAddress := fmt.Sprintf("%s:%d", b.IP, b.PeerPort)
	for range 200 {
		inUse := false
		for _, address := range []string{b.Front, b.Ready, b.Control, b.Directory} {
			l, err := net.Listen("tcp", address)
			if err != nil {
				inUse = true
				continue
			}
			_ = l.Close()
		}
		if c, err := net.ListenPacket("udp", peerAddress); err != nil {
			inUse = true
		} else {
			_ = c.Close()
		}
		if !inUse {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// Restart starts a host with the settings of h, which has not run yet or has ended, and waits until
// it is ready.
func (s *Site) Restart(h *Host) (*Host, error) {
	waitAddressesFree(&h.Boot)
	ctx, cancel := context.WithCancel(context.Background())
	restarted := &Host{Boot: h.Boot, Path: h.Path, Signals: make(chan os.Signal, 4), Done: make(chan struct{}), StoreProxy: h.StoreProxy, cancel: cancel}
	s.Hosts = append(s.Hosts, restarted)
	skewed := clock.New().WithOffset(restarted.SuspendedTime)
	e := &edge.Host{Boot: restarted.Boot, Path: restarted.Path, Trace: s.Trace, Log: s.Log, Clock: skewed}
	if s.Cuttable {
		restarted.network = &cuttableNetwork{}
		e.Network = restarted.network
	}
	runErr := make(chan error, 1)
	go func() {
		defer close(restarted.Done)
		runErr <- e.Run(ctx, restarted.Signals)
	}()
	for range 200 {
		select {
		case err := <-runErr:
			return nil, eris.Wrap(err, "host ended before it was ready")
		case <-time.After(25 * time.Millisecond):
		}
		resp, err := http.Get("http://" + restarted.Boot.Ready + platform.PathReady)
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return restarted, nil
		}
	}
	return nil, eris.New("host did not become ready within 200 checks; see its log")
}

// AddEndpoint starts an endpoint and writes its entry to the store.
func (s *Site) AddEndpoint(service string, e *Endpoint) error {
	if err := e.Start(); err != nil {
		return err
	}
	s.PutEntry(service, e, "ready")
	return nil
}

// PutEntry writes an endpoint's entry with the given state to the store.
func (s *Site) PutEntry(service string, e *Endpoint, state string) {
	s.Store.Put(platform.PrefixEndpoints+e.Instance, EndpointEntry{
		Service: service, Address: e.Address, Zone: "zone-1", Version: "v1", Slots: 8, State: state, StartedMS: e.StartedMS,
	})
}

// EndpointEntry is the entry of an endpoint in the store.
type EndpointEntry struct {
	Service, Address, Zone, State, Version string
	Slots, Seq                             int
	ColdLeftMs                             float64
	// StartedMS is the Unix time of the endpoint's start in milliseconds; 0 omits it.
	StartedMS int64 `json:"born,omitempty"`
}

// Resolve asks a host for the addresses to which callers may connect.
func (s *Site) Resolve(h *Host) ([]string, error) {
	resp, err := http.Get("http://" + h.Boot.Directory + platform.PathResolve + "?Name=x&Zone=zone-1")
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var a platform.ResolveAnswer
	return a.Addresses, json.NewDecoder(resp.Body).Decode(&a)
}
