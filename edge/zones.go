// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package edge

import (
	"math"
	"strconv"

	"github.com/rotisserie/eris"

	"github.com/heathkeel/heathkeel/peers"
)

// ZoneSpill is a rule by which requests go to endpoints in other zones.
type ZoneSpill string

// Rules by which requests go to endpoints in other zones.
const (
	// ZoneSpillFixed counts these endpoints as more loaded by a constant, crossZoneCost.
	ZoneSpillFixed ZoneSpill = "fixed"
	// ZoneSpillObserved sends the shares that package spill plans by the demand of all zones.
	ZoneSpillObserved ZoneSpill = "observed"
)

// UnmarshalText implements encoding.TextUnmarshaler.
func (z *ZoneSpill) UnmarshalText(text []byte) error {
	switch v := ZoneSpill(text); v {
	case ZoneSpillFixed, ZoneSpillObserved:
		*z = v
		return nil
	}
	return eris.Errorf("%q is neither %q nor %q", text, ZoneSpillFixed, ZoneSpillObserved)
}

// ZonePrice is the value of one GB between zones, in units of the value of one top-tier request.
type ZonePrice float64

// maxZonePrice limits prices, so that mistyped ones are noticed. At that price a request of 1 KB costs
// its whole value.
const maxZonePrice = 1e6

// UnmarshalText implements encoding.TextUnmarshaler.
func (p *ZonePrice) UnmarshalText(text []byte) error {
	v, err := strconv.ParseFloat(string(text), 64)
	if err != nil || math.IsNaN(v) || v < 0 || v > maxZonePrice {
		return eris.Errorf("%q is not a number from 0 to %g", text, float64(maxZonePrice))
	}
	*p = ZonePrice(v)
	return nil
}

// hostsByZone returns the number of members by availability zone.
func hostsByZone(members []peers.Member) map[string]int {
	out := make(map[string]int)
	for _, m := range members {
		out[m.Info.Zone]++
	}
	return out
}
