// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package placer

import (
	"context"
	"time"

	"github.com/go-logr/logr"

	"github.com/heathkeel/heathkeel/endpoint"
	"github.com/heathkeel/heathkeel/keyval"
	"github.com/heathkeel/heathkeel/settings"
)

// Manager runs a Placer for each zone that has engines; which of the hosts holds
// a zone is decided by its lease. Set the exported fields, then call Run.
type Manager struct {
	// Name identifies the process; it must be unique to this run of it.
	Name string
	// KV and Weights are the platform's.
	KV      keyval.KV
	Weights keyval.WeightStore
	// Settings gives the settings in force, or nil.
	Settings func() *settings.Snapshot
	// Candidate says whether this host should try to hold a zone.
	Candidate func(zone string) bool
	// Engine gives the means to reach an engine.
	Engine func(settings.Endpoint) endpoint.Engine
	// Limits, TTL and Sweep are those of each Placer.
	Limits        Limits
	TTL           time.Duration
	SweepInterval time.Duration
	// Log takes changes of state.
	Log logr.Logger

	placers map[string]*Placer
}

// zoneCheck is the time between looks for new zones.
const zoneCheck = time.Second

// Run runs placers until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	m.placers = make(map[string]*Placer)
	for ctx.Err() == nil {
		if s := m.Settings(); s != nil {
			for _, e := range s.Fleet.Endpoints {
				if e.Engine && m.placers[e.Zone] == nil {
					m.start(ctx, e.Zone)
				}
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(zoneCheck):
		}
	}
}

// start starts the placer of a zone.
func (m *Manager) start(ctx context.Context, zone string) {
	p := &Placer{
		Name: m.Name, Zone: zone, KV: m.KV, Weights: m.Weights, Settings: m.Settings,
		Candidate: func() bool { return m.Candidate(zone) }, Engine: m.Engine,
		Limits: m.Limits, TTL: m.TTL, SweepInterval: m.SweepInterval, Log: m.Log,
	}
	m.placers[zone] = p
	go p.Run(ctx)
}
