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

// Cluster is a small fleet. Set the exported fields, then call Start.
type Cluster struct {
	// Declaration is the tree; the addresses of its endpoints are replaced by
	// those of the stand-ins.
	Declaration settings.Declaration
	// Hosts is the number of hosts, spread over Zones.
	Hosts int
	// Zones are the availability zones; empty means those of the endpoints.
	Zones []string
	// StepTime is the time of an engine's step; 0 means 3 ms.
	StepTime time.Duration
	// RunPlacers runs a placer beside each host.
	RunPlacers bool
	// AddressOverrides gives the addresses of endpoints that are served elsewhere.
	AddressOverrides map[string]string
	// ConfigureRouter changes a router before it runs; nil changes nothing.
	ConfigureRouter func(*router.Router)
	// Log takes the hosts' changes of state.
	Log logr.Logger

	// Platform, Engines and Services are the stand-ins.
	Platform fake.Platform
	Engines  map[string]*fake.Engine
	Services map[string]*fake.Service
	// PlatformAddress is where the platform's stand-ins listen.
	PlatformAddress string
	// StartedHosts are the hosts, in order of their start.
	StartedHosts []*Host

	ctx     context.Context
	cancel  context.CancelFunc
	servers []*Server
	started int // hosts ever started, for their names
}

// Host is one running host.
type Host struct {
	// Router is the host and Address where it listens.
	Router  *router.Router
	Address string

	server *Server
	cancel context.CancelFunc
}

// Server is an HTTP server on loopback that can be killed.
type Server struct {
	// Address is its IP number and port.
	Address string

	http *http.Server
}

// Serve starts a server at an address of loopback, port 0 for any.
func Serve(address string, h http.Handler) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{Address: l.Addr().String(), http: &http.Server{Handler: h, ErrorLog: nil}}
	go func() { _ = s.http.Serve(l) }()
	return s, nil
}

// Kill closes the listener and all connections at once.
func (s *Server) Kill() { _ = s.http.Close() }

// anyPort asks for a free port of loopback.
const anyPort = "127.0.0.1:0"

// Start starts all parts; Stop ends them.
func (c *Cluster) Start() error {
	c.ctx, c.cancel = context.WithCancel(context.Background())
	if c.Platform.KV == nil {
		c.Platform = fake.Platform{KV: &fake.KV{Writes: 100, Reads: 2000}, Hosts: &fake.HostList{}, Weights: &fake.WeightStore{}}
	}
	s, err := c.serve(c.Platform.Handler())
	if err != nil {
		return err
	}
	c.PlatformAddress = s.Address
	if err := c.startEndpoints(); err != nil {
		return err
	}
	if err := c.declare(); err != nil {
		return err
	}
	for range c.Hosts {
		if _, err := c.AddHost(anyPort); err != nil {
			return err
		}
	}
	return nil
}

// serve starts a server that Stop kills.
func (c *Cluster) serve(h http.Handler) (*Server, error) {
	s, err := Serve(anyPort, h)
	if err == nil {
		c.servers = append(c.servers, s)
	}
	return s, err
}

// Stop ends all parts.
func (c *Cluster) Stop() {
	c.cancel()
	for _, n := range c.StartedHosts {
		n.Kill()
	}
	for _, s := range c.servers {
		s.Kill()
	}
}

// startEndpoints starts a stand-in for each declared endpoint and puts its
// address into the declaration.
func (c *Cluster) startEndpoints() error {
	c.Engines = make(map[string]*fake.Engine)
	c.Services = make(map[string]*fake.Service)
	fl := settings.NewSnapshot(1, c.Declaration).Fleet
	held := initial(fl)
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
				eng.Hold(m)
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

// newEngine makes a stand-in engine; engines are of three unlike speeds.
func (c *Cluster) newEngine(i int, e settings.Endpoint) *fake.Engine {
	step := c.StepTime
	if step == 0 {
		step = 3 * time.Millisecond
	}
	return &fake.Engine{
		Core:     fake.EngineCore{Slots: e.Slots, PrefillPerStep: 512, CacheBlocks: 4096},
		StepTime: step * time.Duration(2+i%3) / 2,
		Lag:      200 * time.Millisecond,
		Store:    c.Platform.Weights,
		Unfenced: !e.Fenced,
	}
}

// initial spreads the declared placements over the engines of each zone, as if
// a placer had run before.
func initial(fl *settings.Fleet) map[string]endpoint.Holding {
	held := make(map[string]endpoint.Holding)
	for _, p := range fl.Placements {
		left := make(map[string]int)
		for _, e := range fl.Endpoints {
			if _, used := held[e.Name]; used || !e.Engine || (p.Zone != "" && p.Zone != e.Zone) || left[e.Zone] >= p.Replicas {
				continue
			}
			left[e.Zone]++
			held[e.Name] = endpoint.Holding{Model: p.Model, Version: p.Version, Adapters: p.Adapters}
		}
	}
	return held
}

// setAddress replaces the address of an endpoint in the declaration.
func (c *Cluster) setAddress(name, address string) {
	for i, e := range c.Declaration {
		if e.Node == "endpoints/"+name && e.Key == settings.KeyAddress {
			c.Declaration[i].Value = address
		}
	}
}

// declare puts the declaration in force.
func (c *Cluster) declare() error {
	st := revision.Store{KV: c.Platform.KV}
	edits := settings.Diff(nil, c.Declaration)
	_, err := st.Apply(c.ctx, revision.Change{ID: "first", Author: "hkdev", AtMS: time.Now().UnixMilli()}, edits)
	return err
}

// AddHost starts another host at an address.
func (c *Cluster) AddHost(address string) (*Host, error) {
	i := c.started
	c.started++
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	zone := c.Zones[i%len(c.Zones)]
	pc := &keyval.Client{Base: "http://" + c.PlatformAddress}
	r := &router.Router{
		Self: fleet.Host{
			Name: fmt.Sprintf("host-%d", i+1), Incarnation: once.NewIncarnation(),
			Address: l.Addr().String(), Zone: zone,
		},
		KV: pc, List: pc, Log: c.Log.WithValues("host", i+1),
	}
	if c.ConfigureRouter != nil {
		c.ConfigureRouter(r)
	}
	ctx, cancel := context.WithCancel(c.ctx)
	n := &Host{Router: r, Address: l.Addr().String(), cancel: cancel}
	n.server = &Server{Address: n.Address, http: &http.Server{Handler: r.Handler()}}
	c.Platform.Hosts.Put(keyval.ListEntry{Name: r.Self.Name, Address: n.Address, Zone: zone})
	go func() { _ = n.server.http.Serve(l) }()
	go r.Run(ctx)
	if c.RunPlacers {
		go c.placer(r, pc).Run(ctx)
	}
	c.StartedHosts = append(c.StartedHosts, n)
	return n, nil
}

// placer makes the placer beside a host.
func (c *Cluster) placer(r *router.Router, pc *keyval.Client) *placer.Manager {
	return &placer.Manager{
		Name: r.Self.Name + "/" + r.Self.Incarnation.String(), KV: pc, Weights: pc,
		Settings: r.Snapshot, Candidate: r.PlacerCandidate, Log: r.Log,
		Engine: func(e settings.Endpoint) endpoint.Engine {
			return &endpoint.Client{Base: "http://" + e.Address}
		},
	}
}

// Kill ends a host at once, with all its connections.
func (n *Host) Kill() {
	n.cancel()
	n.server.Kill()
}

// WaitReady waits until every host is ready and knows all others.
func (c *Cluster) WaitReady(ctx context.Context) error {
	for _, n := range c.StartedHosts {
		for {
			st := n.Router.Status()
			live := 0
			for _, h := range st.Hosts {
				if h.Live() {
					live++
				}
			}
			if st.Ready && live >= len(c.StartedHosts) && n.Router.SeesEndpoints() {
				break
			}
			select {
			case <-ctx.Done():
				return fmt.Errorf("host %s not ready: %s, %d of %d hosts live", n.Address, st.WhyNot, live, len(c.StartedHosts))
			case <-time.After(10 * time.Millisecond):
			}
		}
	}
	return nil
}

// Addresses returns the addresses of all hosts.
func (c *Cluster) Addresses() []string {
	var out []string
	for _, n := range c.StartedHosts {
		out = append(out, n.Address)
	}
	return out
}
