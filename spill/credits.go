// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package spill

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
)

// Credits turns shares into single requests: each request of a zone adds the shares of the other
// zones, and a request may go to a zone for which a whole credit has accrued. Requests that stay at
// home leave credits unused; a limit bounds those that a later burst can use. The zero value
// has no credits.
type Credits struct {
	shares  map[string]float64
	credits map[string]float64
	// requests counts the requests since the last call of SetShares, and lastRequests those between
	// the two calls before.
	requests, lastRequests int
}

// minCreditLimit is the smallest limit of the credits of a zone. Hosts with few requests need more
// than one credit, because a request can use it only while the home zone has no room. Hosts with
// many keep those of the requests between two calls of SetShares: with a fixed limit of 3, a host
// with 100 requests a second sent 0.78 of its share.
const minCreditLimit = 3

// SetShares replaces the shares, by receiving zone. The first credit of a zone starts with a random
// part, so that the sum over many hosts follows the shares at once: if each host had to accrue a whole
// credit first, 300 hosts in 4 zones would send 0.81 of the excess of moving waves. Zones without a
// share keep that part only.
func (c *Credits) SetShares(shares map[string]float64, r *rand.Rand) {
	if c.credits == nil {
		c.credits = make(map[string]float64)
	}
	for zone, credit := range c.credits {
		if shares[zone] == 0 {
			c.credits[zone] = credit - math.Floor(credit)
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(shares)) { // a fixed order makes simulations repeatable
		if _, ok := c.credits[zone]; !ok {
			c.credits[zone] = r.Float64()
		}
	}
	c.shares = shares
	c.requests, c.lastRequests = 0, c.requests
}

// Accrue adds the credits of one request.
func (c *Credits) Accrue() {
	c.requests++
	for zone, share := range c.shares {
		limit := max(minCreditLimit, share*float64(c.lastRequests))
		c.credits[zone] = min(limit, c.credits[zone]+share)
	}
}

// Allows reports whether a request may go to a zone.
func (c *Credits) Allows(zone string) bool { return c.credits[zone] >= 1 }

// Use takes the credit of a request that goes to a zone.
func (c *Credits) Use(zone string) {
	if c.Allows(zone) {
		c.credits[zone]--
	}
}
