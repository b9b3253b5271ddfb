// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package sched

import "time"

// Config holds the policy's figures; a zero field means the default named.
type Config struct {
	// MaxWaiting bounds the requests waiting on the host; default 10,000.
	MaxWaiting int
	// Reserve is the share of an endpoint's slots that each tier leaves free for
	// the tiers above it; default 0.1.
	Reserve float64
	// Overcommit is the share of slots by which the top tier may exceed them; default 0.5.
	Overcommit float64
	// LongShare is the share of an endpoint's slots that long requests of one
	// host may fill; default 0.5.
	LongShare float64
	// LongFactor makes a request long whose cost is that many times the mean; default 4.
	LongFactor float64
	// TieTolerance is the share by which predicted times may differ and count as equal; default 0.1.
	TieTolerance float64
	// CrossZoneCost is the share by which an endpoint in another zone counts as later
	// than it is; default 0.
	CrossZoneCost float64
	// SlowThreshold eases an endpoint out at that many times its own speed; default 3.
	SlowThreshold float64
	// RecoveryThreshold lets it back in below that; default 1.5.
	RecoveryThreshold float64
	// MaxThrottledShare is the largest share of a pool eased out; default 0.34.
	MaxThrottledShare float64
	// EarlyWaitWeight is the part of the estimated wait that early refusal counts on;
	// default 0.5, since what waits is dropped anyway once it is too late.
	EarlyWaitWeight float64
	// FloorDuration is how long a shedding floor stands after the last refusal; default 1.2 s,
	// three heartbeats, so that other hosts hear of it while it stands.
	FloorDuration time.Duration
	// NoEndpointWait is how long an endpoint that could not be reached is left alone; default 1 s.
	NoEndpointWait time.Duration
	// ReportTTL is the age at which a report counts nothing; default 5 s.
	ReportTTL time.Duration
	// OthersShare is the share of this host's own recent dispatches that each
	// other host is taken to have made since a report; default 0.5.
	OthersShare float64
	// TransferFixed and TransferBlock are the cost of moving KV cache: a fixed
	// time and one for each block; defaults 5 ms and 100 us.
	TransferFixed, TransferBlock time.Duration
	// Disabled switches rules off, for measuring what each is worth.
	Disabled Rules
}

// Rules names the rules that can be switched off.
type Rules struct {
	// FairQueueing is weighted fair order among workspaces; without it, first come first served.
	FairQueueing bool
	// Reserve is the room kept for higher tiers.
	Reserve bool
	// LongCap is the bound on long requests of an endpoint.
	LongCap bool
	// Affinity is the preference for endpoints that hold the prefix.
	Affinity bool
	// PeerCorrection is the correction for what other hosts sent since a report.
	PeerCorrection bool
	// Slow is the learning of slow endpoints.
	Slow bool
	// EarlyRefusal is the refusal of what cannot meet its deadline.
	EarlyRefusal bool
	// Floor is the shedding floor.
	Floor bool
	// RandomTies is the random choice among near-equal endpoints.
	RandomTies bool
	// Transfer is the moving of KV cache.
	Transfer bool
	// Share lets a host fill its own share of an endpoint whatever reports say.
	Share bool
	// SilentPeers is the guess of what hosts that are not heard have running.
	SilentPeers bool
	// Claims shares free places among hosts that have requests waiting.
	Claims bool
	// Rationing is the taking of the shortest answers first while places are short.
	Rationing bool
	// LateBinding is late binding; without it, all is dispatched at once.
	LateBinding bool
}

// withDefaults fills in the fields that are zero.
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

// setDefault sets a zero value to its default.
func setDefault[T comparable](p *T, v T) {
	var zero T
	if *p == zero {
		*p = v
	}
}
