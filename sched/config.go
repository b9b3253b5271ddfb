// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package sched

import "time"

// Config holds the parameters of the scheduler; a zero field means the default.
type Config struct {
	// MaxWaiting limits the requests that wait at this host; default 10,000.
	MaxWaiting int
	// Reserve is the share of an endpoint's slots that each tier leaves free for the tiers above
	// it; default 0.1.
	Reserve float64
	// Overcommit is the share of slots by which the top tier may exceed them; default 0.5.
	Overcommit float64
	// LongShare is the share of an endpoint's slots that long requests of all hosts together may
	// fill; each host takes an equal part of it; default 0.5.
	LongShare float64
	// LongFactor is the multiple of the mean cost above which a request is long; default 4.
	LongFactor float64
	// TieTolerance is the relative difference up to which predicted times count as equal; default
	// 0.1.
	TieTolerance float64
	// CrossZoneCost is the penalty of an endpoint in another zone: the share by which its
	// predicted time, or the amount by which its relative load, counts as larger; default 0.
	CrossZoneCost float64
	// SlowThreshold is the slowness above which an endpoint is throttled, as a multiple of the
	// time that it reports; default 3.
	SlowThreshold float64
	// RecoveryThreshold is the slowness below which throttling ends; default 1.5.
	RecoveryThreshold float64
	// MaxThrottledShare is the largest share of a pool that is throttled at a time; default 0.34.
	MaxThrottledShare float64
	// EarlyWaitWeight is the weight of the estimated wait in early refusal; default 0.5, since a
	// waiting request that becomes too late is dropped anyway.
	EarlyWaitWeight float64
	// FloorDuration is how long a shedding floor stays in force after the last refusal; default
	// 1.2 s, three heartbeats, so that other hosts learn of it while it is in force.
	FloorDuration time.Duration
	// NoEndpointWait is the estimated wait while no endpoint of a pool is usable; default 1 s.
	NoEndpointWait time.Duration
	// ReportTTL is the age at which the weight of a report reaches zero; default 5 s.
	ReportTTL time.Duration
	// OthersShare is the share of this host's own dispatches since a report that each other host
	// is assumed to have made since then; default 0.5.
	OthersShare float64
	// TransferFixed and TransferBlock are the cost of transferring KV cache: a fixed time and a
	// time per block; defaults 5 ms and 100 us.
	TransferFixed, TransferBlock time.Duration
	// Disabled switches rules off, to measure the effect of each.
	Disabled Rules
}

// Rules lists the rules that can be switched off.
type Rules struct {
	// FairQueueing is weighted fair queueing among workspaces; without it, requests are served
	// first come, first served.
	FairQueueing bool
	// Reserve keeps slots free for higher tiers.
	Reserve bool
	// LongCap limits the long requests at an endpoint.
	LongCap bool
	// Affinity prefers endpoints that hold the prompt's prefix.
	Affinity bool
	// PeerCorrection estimates what other hosts have dispatched since a report.
	PeerCorrection bool
	// Slow detects and throttles slow endpoints.
	Slow bool
	// EarlyRefusal refuses requests that cannot meet their deadline.
	EarlyRefusal bool
	// Floor is the shedding floor.
	Floor bool
	// RandomTies chooses at random among near-equal endpoints.
	RandomTies bool
	// Transfer transfers KV cache between endpoints.
	Transfer bool
	// Share lets a host fill its own share of an endpoint regardless of reports.
	Share bool
	// SilentPeers estimates the load of hosts that send no heartbeats.
	SilentPeers bool
	// Claims divides scarce free slots among the hosts that have waiting requests.
	Claims bool
	// Rationing admits the shortest expected answers first while slots are scarce.
	Rationing bool
	// WorkspaceRations divides rations among workspaces.
	WorkspaceRations bool
	// EarlyBacklog refuses requests that would wait for too long behind those of all hosts.
	EarlyBacklog bool
	// FleetRetry derives retry times from the backlog of all hosts.
	FleetRetry bool
	// StatedLoad uses the slowdown that endpoints state in their responses.
	StatedLoad bool
	// LateBinding keeps requests waiting until an endpoint has room; without it, all are
	// dispatched at once.
	LateBinding bool
}

// withDefaults returns c with defaults in place of zero fields.
func (c Config) withDefaults() Config {
	setDefault(&c.MaxWaiting, 10000)
	setDefault(&c.Reserve, 0.1)
	setDefault(&c.Overcommit, 0.5)
	setDefault(&c.LongShare, 0.5)
	setDefault(&c.LongFactor, 4)
	setDefault(&c.TieTolerance, 0.1)
	setDefault(&c.SlowThreshold, 3)
	setDefault(&c.RecoveryThreshold, 1.5)
	setDefault(&c.MaxThrottledShare, 0.34)
	setDefault(&c.EarlyWaitWeight, 0.5)
	setDefault(&c.FloorDuration, 1200*time.Millisecond)
	setDefault(&c.NoEndpointWait, time.Second)
	setDefault(&c.ReportTTL, 5*time.Second)
	setDefault(&c.OthersShare, 0.5)
	setDefault(&c.TransferFixed, 5*time.Millisecond)
	setDefault(&c.TransferBlock, 100*time.Microsecond)
	return c
}

// setDefault replaces a zero value by its default.
func setDefault[T comparable](p *T, v T) {
	var zero T
	if *p == zero {
		*p = v
	}
}
