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

// Host is a host of heathkeel and what ends it.
type Host struct {
	// Boot is its settings, and Path the file that they are read from again, or empty.
	Boot platform.Boot
	Path string
	// Signals are what it is told.
	Signals chan os.Signal
	// Done is closed when it has ended.
	Done chan struct{}
	// StoreProxy is what its connections to the store go over.
	StoreProxy *link.Proxy

	kill  context.CancelFunc
	ahead atomic.Int64 // for how long it has been suspended, in nanoseconds
}

// Suspend lets the host's clock go on by a time that its process does not see, as a suspension does. What happens in the world meanwhile
// is the caller's to do.
func (h *Host) Suspend(d time.Duration) { h.ahead.Add(int64(d)) }

// SuspendedTime is for how long the host has been suspended in its life.
func (h *Host) SuspendedTime() time.Duration { return time.Duration(h.ahead.Load()) }

// StallStore keeps the host from hearing the store, or lets it hear again.
func (h *Host) StallStore(on bool) {
	h.StoreProxy.Stall(link.Upstream, on)
	h.StoreProxy.Stall(link.Downstream, on)
}

// Kill ends the host at once.
func (h *Host) Kill() { h.kill() }

// Site is a store, endpoints and hosts.
type Site struct {
	// Log takes the hosts' logs, with a line for every request if Trace is set.
	Log   logr.Logger
	Trace bool
	// Lenient starts hosts that take keys whatever the age of their settings.
	Lenient bool
	// GracePeriod is the hosts' time from SIGTERM to their end; 0 is 8 s.
	GracePeriod time.Duration
	// ProxyEndpoints puts a link before each endpoint of the scene.
	ProxyEndpoints bool
	// Store is the platform's store.
	Store *Store
	// StoreAddress is where it listens.
	StoreAddress string
	// Hosts are those started.
	Hosts []*Host

	server *http.Server
	ports  int
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

// Stop ends all.
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

// freePort returns a port that is free on an address.
func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// AddHost starts a host on an address of its own. As on the platform, all hosts use
// the same ports.
func (s *Site) AddHost() (*Host, error) {
	n := len(s.Hosts) + 1
	ip := fmt.Sprintf("127.0.0.%d", 10+n)
	if s.ports == 0 {
		p, err := freePort(ip)
		if err != nil {
			return nil, err
		}
		s.ports = min(p, 65000)
	}
	at := func(i int) string { return fmt.Sprintf("%s:%d", ip, s.ports+i) }
	b := platform.Boot{
		Host: fmt.Sprintf("host-%d", n), Zone: fmt.Sprintf("zone-%d", n%2), Region: "local", IP: ip,
		Front: at(0), Ready: at(1), Control: at(2), Directory: at(3), PeerPort: s.ports + 4, Store: s.StoreAddress, Bootstrap: true,
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

// AddExampleEndpoints starts two plain services and two engines with short streams.
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

// awaitFree waits until nothing listens at a host's addresses: what a life in this process that was killed had open is closed a moment later, where the end of a
// process closes all at once.
func awaitFree(b *platform.Boot) {
	peer := fmt.Sprintf("%s:%d", b.IP, b.PeerPort)
	for range 200 {
		taken := false
		for _, address := range []string{b.Front, b.Ready, b.Control, b.Directory} {
			l, err := net.Listen("tcp", address)
			if err != nil {
				taken = true
				continue
			}
			_ = l.Close()
		}
		if c, err := net.ListenPacket("udp", peer); err != nil {
			taken = true
		} else {
			_ = c.Close()
		}
		if !taken {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// Restart starts a host, or one that ended, with its settings.
func (s *Site) Restart(h *Host) (*Host, error) {
	awaitFree(&h.Boot)
	ctx, cancel := context.WithCancel(context.Background())
	again := &Host{Boot: h.Boot, Path: h.Path, Signals: make(chan os.Signal, 4), Done: make(chan struct{}), StoreProxy: h.StoreProxy, kill: cancel}
	s.Hosts = append(s.Hosts, again)
	suspensions := clock.New().Skewed(again.SuspendedTime)
	e := &edge.Host{Boot: again.Boot, Path: again.Path, Trace: s.Trace, Log: s.Log, Clock: suspensions}
	failed := make(chan error, 1)
	go func() {
		defer close(again.Done)
		failed <- e.Run(ctx, again.Signals)
	}()
	for range 200 {
		select {
		case err := <-failed:
			return nil, eris.Wrap(err, "host ended")
		case <-time.After(25 * time.Millisecond):
		}
		resp, err := http.Get("http://" + again.Boot.Ready + platform.PathReady)
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return again, nil
		}
	}
	return nil, eris.New("host is not ready; look at its log")
}

// AddEndpoint starts an endpoint and writes its entry.
func (s *Site) AddEndpoint(service string, e *Endpoint) error {
	if err := e.Start(); err != nil {
		return err
	}
	s.PutEntry(service, e, "ready")
	return nil
}

// PutEntry writes the entry of an endpoint in a state.
func (s *Site) PutEntry(service string, e *Endpoint, state string) {
	s.Store.Put(platform.PrefixEndpoints+e.Instance, EndpointEntry{
		Service: service, Address: e.Address, Zone: "zone-1", Version: "v1", Slots: 8, State: state, StartedMS: e.StartedMS,
	})
}

// EndpointEntry is an endpoint's entry in the store.
type EndpointEntry struct {
	Service, Address, Zone, State, Version string
	Slots, Seq                             int
	ColdLeftMs                             float64
	// StartedMS is the Unix time of its start in milliseconds, 0 to leave it out.
	StartedMS int64 `json:"born,omitempty"`
}

// Resolve asks a host where callers may connect.
func (s *Site) Resolve(h *Host) ([]string, error) {
	resp, err := http.Get("http://" + h.Boot.Directory + platform.PathResolve + "?Name=x&Zone=zone-1")
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var a platform.ResolveAnswer
	return a.Addresses, json.NewDecoder(resp.Body).Decode(&a)
}
