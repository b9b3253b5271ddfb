// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package fleet

import (
	"math/rand/v2"
	"time"

	"github.com/heathkeel/heathkeel/once"
)

// Address describes one host in an address answer.
type Address struct {
	// Host and Zone are the names of the host and of its availability zone.
	Host string `json:"host"`
	Zone string `json:"zone"`
	// Address is the host's IP number and port.
	Address string `json:"address"`
	// Prefix is the prefix of the IDs of requests sent to the host; the caller appends its
	// own part.
	Prefix string `json:"prefix"`
	// OncePrefix is the prefix of the IDs of calls that may not be repeated. It names a
	// witness, which records each such ID before the request is dispatched. It is empty if
	// there is no other host.
	OncePrefix string `json:"once_prefix,omitempty"`
	// Witness is the address to ask about a request when the host is lost; it may be empty.
	Witness string `json:"witness,omitempty"`
}

// Answer is an address answer: it tells a caller which hosts to use.
type Answer struct {
	// Workspace is the workspace that the caller asked for.
	Workspace string `json:"workspace"`
	// Addresses are the hosts, the preferred one first.
	Addresses []Address `json:"addresses"`
	// MaxAgeMS is the time for which the answer may be used, in milliseconds.
	MaxAgeMS int64 `json:"max_age_ms"`
	// Revision is the revision of the settings from which the answer was made.
	Revision uint64 `json:"revision"`
}

// PickWitness returns a live witness for owner: self if it is live and lies in another zone
// of the owner's region, otherwise a random host of another zone of the owner's region,
// then of another region, and finally of the owner's own zone.
func PickWitness(self, owner Host, live []Host, rnd *rand.Rand) (Host, bool) {
	if self.Live() && self.Zone != owner.Zone && self.Region == owner.Region {
		return self, true
	}
	best, bestRank, n := Host{}, 4, 0
	for _, h := range live {
		if h.Incarnation == owner.Incarnation {
			continue
		}
		rank := witnessRank(owner, h)
		if rank < bestRank {
			bestRank, n = rank, 0
		}
		if rank > bestRank {
			continue
		}
		n++
		if rnd.IntN(n) == 0 {
			best = h
		}
	}
	return best, n > 0
}

// witnessRank ranks h as a witness for owner; a lower rank is better.
func witnessRank(owner, h Host) int {
	switch {
	case h.Region == owner.Region && h.Zone != owner.Zone:
		return 0
	case h.Region != owner.Region:
		return 1
	case h.Name != owner.Name:
		return 2
	}
	return 3
}

// Prefix returns the prefix for IDs of requests to owner. A zero witness means none.
func Prefix(owner Host, witness Host) once.Prefix {
	p := once.Prefix{Owner: owner.Incarnation, OwnerGeneration: owner.Generation}
	if witness.Incarnation != 0 {
		p.Witness, p.WitnessGeneration = witness.Incarnation, witness.Generation
	}
	return p
}

// DefaultMaxAge is the time for which callers keep an address answer.
const DefaultMaxAge = 5 * time.Second
