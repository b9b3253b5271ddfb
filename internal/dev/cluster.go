// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package dev

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/go-logr/logr"

	"github.com/heathkeel/heathkeel/endpoint"
	"github.com/heathkeel/heathkeel/fleet"
	"github.com/heathkeel/heathkeel/internal/fake"
	"github.com/heathkeel/heathkeel/keyval"
	"github.com/heathkeel/heathkeel/once"
	"github.com/heathkeel/heathkeel/placer"
	"github.com/heathkeel/heathkeel/revision"
	"github.com/heathkeel/heathkeel/router"
	"github.com/heathkeel/heathkeel/settings"
)

// Cluster is a small fleet in one process. Set the exported fields, then call Start.
type Cluster struct {
	// Declaration is the settings tree; Start replaces the addresses of its endpoints
	// by those of the fakes.
	Declaration settings.Declaration
	// Hosts is the number of hosts that Start starts, assigned to Zones in turn.
	Hosts int
	// Zones are the availability zones of the hosts; Start adds those of the endpoints
	// with fakes, up to 16 zones in all.
	Zones []string
	// StepTime is the duration of an engine's step; 0 means 3 ms.
	StepTime time.Duration
	// RunPlacers makes each host run a placer.
	RunPlacers bool
	// AddressOverrides maps endpoints to addresses outside the cluster; they get no fake.
	AddressOverrides map[string]string
	// ConfigureRouter, if not nil, changes each router before it runs.
	ConfigureRouter func(*router.Router)
	// Log is the logger of the hosts and placers.
	Log logr.Logger

	// Platform, Engines and Services are the fakes; Engines and Services are keyed by
	// the endpoint's name.
	Platform fake.Platform
	Engines  map[string]*fake.Engine
	Services map[string]*fake.Service
	// PlatformAddress is the IP address and port of the fake platform.
	PlatformAddress string
	// StartedHosts are the hosts in order of their start, including killed ones.
	StartedHosts []*Host

	ctx          context.Context
	cancel       context.CancelFunc
	servers      []*Server
	hostsStarted int // total number of hosts started; numbers their names
}

// Host is a host that the cluster started.
type Host struct {
	// Router is the host's router, and Address the IP address and port where it listens.
	Router  *router.Router
	Address string

	server *Server
	cancel context.CancelFunc
}

// Server is an HTTP server that Kill ends at once.
type Server struct {
	// Address is the IP address and port where the server listens.
	Address string

	http *http.Server
}

// Serve starts a server at an address; port 0 selects a free port.
func Serve(address string, h http.Handler) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{Address: l.Addr().String(), http: &http.Server{Handler: h, ErrorLog: nil}}
	go func() { _ = s.http.Serve(l) }()
	return s, nil
}

// Kill closes the listener and all connections immediately.
func (s *Server) Kill() { _ = s.http.Close() }

// anyPort selects a free port on loopback.
const anyPort = "127.0.0.1:0"

// Start starts the fakes, applies the declaration and starts the hosts. Stop ends them.
func (c *Cluster) Start() error {
	c.ctx, c.cancel = context.WithCancel(context.Background())
	if c.Platform.KV == nil {
		c.Platform = fake.Platform{KV: &fake.KV{MaxWriteRate: 100, MaxReadRate: 2000}, Hosts: &fake.HostList{}, Weights: &fake.WeightStore{}}
	}
	s, err := c.serve(c.Platform.Handler())
	if err != nil {
		return err
	}
	c.PlatformAddress = s.Address
	if err := c.startEndpoints(); err != nil {
		return err
	}
	if err := c.applyDeclaration(); err != nil {
		return err
	}
	for range c.Hosts {
		if _, err := c.AddHost(anyPort); err != nil {
			return err
		}
	}
	return nil
}

// serve starts a server on a free port; Stop kills it.
func (c *Cluster) serve(h http.Handler) (*Server, error) {
	s, err := Serve(anyPort, h)
	if err == nil {
		c.servers = append(c.servers, s)
	}
	return s, err
}

// Stop ends the hosts and the fakes.
func (c *Cluster) Stop() {
	c.cancel()
	for _, h := range c.StartedHosts {
		h.Kill()
	}
	for _, s := range c.servers {
		s.Kill()
	}
}

// startEndpoints starts a fake for each declared endpoint without an override, and
// writes its address into the declaration.
func (c *Cluster) startEndpoints() error {
	c.Engines = make(map[string]*fake.Engine)
	c.Services = make(map[string]*fake.Service)
	fl := settings.NewSnapshot(1, c.Declaration).Fleet
	held := initialHoldings(fl)
	zones := make(map[string]bool)
	for i, e := range fl.Endpoints {
		if a := c.AddressOverrides[e.Name]; a != "" {
			c.setAddress(e.Name, a)
			continue
		}
		var h http.Handler
		if e.Engine {
			eng := c.newEngine(i, e)
			if m, ok := held[e.Name]; ok {
				eng.SetLoaded(m)
			}
			c.Engines[e.Name] = eng
			h = eng.Handler()
			go eng.Run(c.ctx)
		} else {
			svc := &fake.Service{}
			c.Services[e.Name] = svc
			h = svc
		}
		s, err := c.serve(h)
		if err != nil {
			return err
		}
		c.setAddress(e.Name, s.Address)
		if !zones[e.Zone] && len(c.Zones) < 16 {
			zones[e.Zone] = true
			c.Zones = append(c.Zones, e.Zone)
		}
		c.Platform.Hosts.Put(keyval.ListEntry{Name: e.Name, Address: s.Address, Zone: e.Zone, Endpoint: true})
	}
	return nil
}

// newEngine returns a fake engine for the i-th endpoint. Engines cycle through three
// speeds: their steps take 1, 1.5 or 2 times StepTime.
func (c *Cluster) newEngine(i int, e settings.Endpoint) *fake.Engine {
	step := c.StepTime
	if step == 0 {
		step = 3 * time.Millisecond
	}
	return &fake.Engine{
		Core:      fake.EngineCore{Slots: e.Slots, PrefillPerStep: 512, CacheBlocks: 4096},
		StepTime:  step * time.Duration(2+i%3) / 2,
		ReportLag: 200 * time.Millisecond,
		Store:     c.Platform.Weights,
		Unfenced:  !e.Fenced,
	}
}

// initialHoldings assigns the declared placements to the engines of each zone, as a
// placer would. The result is keyed by the engine's name.
func initialHoldings(fl *settings.Fleet) map[string]endpoint.ModelSpec {
	held := make(map[string]endpoint.ModelSpec)
	for _, p := range fl.Placements {
		assigned := make(map[string]int)
		for _, e := range fl.Endpoints {
			if _, used := held[e.Name]; used || !e.Engine || (p.Zone != "" && p.Zone != e.Zone) || assigned[e.Zone] >= p.Replicas {
				continue
			}
			assigned[e.Zone]++
			held[e.Name] = endpoint.ModelSpec{Model: p.Model, Version: p.Version, Adapters: p.Adapters}
		}
	}
	return held
}

// setAddress sets the address of an endpoint in the declaration.
func (c *Cluster) setAddress(name, address string) {
	for i, e := range c.Declaration {
		if e.Node == "endpoints/"+name && e.Key == settings.KeyAddress {
			c.Declaration[i].Value = address
		}
	}
}

// applyDeclaration stores the declaration as the first revision of the settings.
func (c *Cluster) applyDeclaration() error {
	store := revision.Store{KV: c.Platform.KV}
	edits := settings.Diff(nil, c.Declaration)
	_, err := store.Apply(c.ctx, revision.Change{ID: "first", Author: "hkdev", AtMS: time.Now().UnixMilli()}, edits)
	return err
}

// AddHost starts another host that listens at an address; port 0 selects a free port.
func (c *Cluster) AddHost(address string) (*Host, error) {
	i := c.hostsStarted
	c.hostsStarted++
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	zone := c.Zones[i%len(c.Zones)]
	kv := &keyval.Client{BaseURL: "http://" + c.PlatformAddress}
	r := &router.Router{
		Self: fleet.Host{
			Name: fmt.Sprintf("host-%d", i+1), Incarnation: once.NewIncarnation(),
			Address: l.Addr().String(), Zone: zone,
		},
		KV: kv, List: kv, Log: c.Log.WithValues("host", i+1),
	}
	if c.ConfigureRouter != nil {
		c.ConfigureRouter(r)
	}
	ctx, cancel := context.WithCancel(c.ctx)
	h := &Host{Router: r, Address: l.Addr().String(), cancel: cancel}
	h.server = &Server{Address: h.Address, http: &http.Server{Handler: r.Handler()}}
	c.Platform.Hosts.Put(keyval.ListEntry{Name: r.Self.Name, Address: h.Address, Zone: zone})
	go func() { _ = h.server.http.Serve(l) }()
	go r.Run(ctx)
	if c.RunPlacers {
		go c.newPlacer(r, kv).Run(ctx)
	}
	c.StartedHosts = append(c.StartedHosts, h)
	return h, nil
}

// newPlacer returns the placer of a host.
func (c *Cluster) newPlacer(r *router.Router, kv *keyval.Client) *placer.Manager {
	return &placer.Manager{
		Name: r.Self.Name + "/" + r.Self.Incarnation.String(), KV: kv, Weights: kv,
		Settings: r.Snapshot, Candidate: r.IsPlacerCandidate, Log: r.Log,
		Engine: func(e settings.Endpoint) endpoint.Engine {
			return &endpoint.Client{Base: "http://" + e.Address}
		},
	}
}

// Kill ends a host immediately and closes all its connections. The host stays in the
// platform's list.
func (h *Host) Kill() {
	h.cancel()
	h.server.Kill()
}

// WaitReady waits until every host is ready, sees all hosts live and has reports of its
// endpoints.
func (c *Cluster) WaitReady(ctx context.Context) error {
	for _, h := range c.StartedHosts {
		for {
			status := h.Router.Status()
			live := 0
			for _, peer := range status.Hosts {
				if peer.Live() {
					live++
				}
			}
			if status.Ready && live >= len(c.StartedHosts) && h.Router.AllEndpointsReported() {
				break
			}
			select {
			case <-ctx.Done():
				return fmt.Errorf("host %s is not ready: %s; it sees %d of %d hosts live", h.Address, status.NotReadyReason, live, len(c.StartedHosts))
			case <-time.After(10 * time.Millisecond):
			}
		}
	}
	return nil
}

// Addresses returns the addresses of StartedHosts.
func (c *Cluster) Addresses() []string {
	var out []string
	for _, h := range c.StartedHosts {
		out = append(out, h.Address)
	}
	return out
}
