// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package fleet

import (
	"math/rand/v2"
	"time"

	"github.com/heathkeel/heathkeel/once"
)

// Address is one host in an address answer.
type Address struct {
	// Host and Zone name the host.
	Host string `json:"host"`
	Zone string `json:"zone"`
	// Address is its IP number and port.
	Address string `json:"address"`
	// Prefix begins the ID of requests sent there; the caller appends its own part.
	Prefix string `json:"prefix"`
	// OncePrefix begins the ID of calls that may not be repeated: it names a
	// witness, which records every such ID before its dispatch. It is empty if
	// there is no other host.
	OncePrefix string `json:"once_prefix,omitempty"`
	// Witness is the address to ask about a request when the host is lost; it may be empty.
	Witness string `json:"witness,omitempty"`
}

// Answer tells a caller which hosts to use.
type Answer struct {
	// Workspace is the workspace asked for.
	Workspace string `json:"workspace"`
	// Addresses are the hosts, the preferred one first.
	Addresses []Address `json:"addresses"`
	// MaxAgeMS is how long the answer may be used, in milliseconds.
	MaxAgeMS int64 `json:"max_age_ms"`
	// Revision is the revision of the settings that the answer was made from.
	Revision uint64 `json:"revision"`
}

// PickWitness returns a live witness for an owner: the given host itself if it
// lies in another zone, otherwise a random host of another zone in the owner's
// region, of any other region, or at last of the owner's zone.
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

// witnessRank is lower for a better witness.
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

// Prefix returns the prefix for requests to owner with an optional witness.
func Prefix(owner Host, witness Host) once.Prefix {
	p := once.Prefix{Owner: owner.Incarnation, OwnerGeneration: owner.Generation}
	if witness.Incarnation != 0 {
		p.Witness, p.WitnessGeneration = witness.Incarnation, witness.Generation
	}
	return p
}

// DefaultMaxAge is how long callers keep an address answer.
const DefaultMaxAge = 5 * time.Second
