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
	// Near is the share by which predicted times may differ and count as equal; default 0.1.
	Near float64
	// FarCost is the share by which an endpoint in another zone counts as later
	// than it is; default 0.
	FarCost float64
	// SlowAt eases an endpoint out at that many times its own speed; default 3.
	SlowAt float64
	// BackAt lets it back in below that; default 1.5.
	BackAt float64
	// MaxEased is the largest share of a pool eased out; default 0.34.
	MaxEased float64
	// EarlyTrust is the part of the estimated wait that early refusal counts on;
	// default 0.5, since what waits is dropped anyway once it is too late.
	EarlyTrust float64
	// FloorHold is how long a shedding floor stands after the last refusal; default 1.2 s,
	// three heartbeats, so that other hosts hear of it while it stands.
	FloorHold time.Duration
	// DownHold is how long an endpoint that could not be reached is left alone; default 1 s.
	DownHold time.Duration
	// ReportLife is the age at which a report counts nothing; default 5 s.
	ReportLife time.Duration
	// OthersShare is the share of this host's own recent dispatches that each
	// other host is taken to have made since a report; default 0.5.
	OthersShare float64
	// TransferFixed and TransferBlock are the cost of moving KV cache: a fixed
	// time and one for each block; defaults 5 ms and 100 us.
	TransferFixed, TransferBlock time.Duration
	// Off switches rules off, for measuring what each is worth.
	Off Rules
}

// Rules names the rules that can be switched off.
type Rules struct {
	// Fair is weighted fair order among workspaces; without it, first come first served.
	Fair bool
	// Reserve is the room kept for higher tiers.
	Reserve bool
	// LongCap is the bound on long requests of an endpoint.
	LongCap bool
	// Affinity is the preference for endpoints that hold the prefix.
	Affinity bool
	// Others is the correction for what other hosts sent since a report.
	Others bool
	// Slow is the learning of slow endpoints.
	Slow bool
	// Early is the refusal of what cannot meet its deadline.
	Early bool
	// Floor is the shedding floor.
	Floor bool
	// Near is the random choice among near-equal endpoints.
	Near bool
	// Transfer is the moving of KV cache.
	Transfer bool
	// Share lets a host fill its own share of an endpoint whatever reports say.
	Share bool
	// Unheard is the guess of what hosts that are not heard have running.
	Unheard bool
	// Claims shares free places among hosts that have requests waiting.
	Claims bool
	// Ration is the taking of the shortest answers first while places are short.
	Ration bool
	// Late is late binding; without it, all is dispatched at once.
	Late bool
}

// withDefaults fills in the fields that are zero.
func (c Config) withDefaults() Config {
	def(&c.MaxWaiting, 10000)
	def(&c.Reserve, 0.1)
	def(&c.Overcommit, 0.5)
	def(&c.LongShare, 0.5)
	def(&c.LongFactor, 4)
	def(&c.Near, 0.1)
	def(&c.SlowAt, 3)
	def(&c.BackAt, 1.5)
	def(&c.MaxEased, 0.34)
	def(&c.EarlyTrust, 0.5)
	def(&c.FloorHold, 1200*time.Millisecond)
	def(&c.DownHold, time.Second)
	def(&c.ReportLife, 5*time.Second)
	def(&c.OthersShare, 0.5)
	def(&c.TransferFixed, 5*time.Millisecond)
	def(&c.TransferBlock, 100*time.Microsecond)
	return c
}

// def sets a zero value to its default.
func def[T comparable](p *T, v T) {
	var zero T
	if *p == zero {
		*p = v
	}
}
