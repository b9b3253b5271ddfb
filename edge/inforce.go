// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package edge

import (
	"cmp"
	"strconv"

	"github.com/heathkeel/heathkeel/sched"
)

// policy returns the scheduling policy with the host's switches applied.
func (h *Host) policy() sched.Config {
	p := policy()
	p.Disabled.StatedLoad = h.StatedLoadOff
	return p
}

// inForce returns the switches of the command line as they are in force.
func (h *Host) inForce() map[string]string {
	statedLoad := "on"
	if h.StatedLoadOff {
		statedLoad = "off"
	}
	return map[string]string{
		"shared_slots": string(cmp.Or(h.SharedSlots, SharedSlotsAuto)),
		"stated_load":  statedLoad,
		"zone_spill":   string(cmp.Or(h.ZoneSpill, ZoneSpillFixed)),
		"zone_price":   strconv.FormatFloat(h.ZonePrice, 'g', -1, 64),
	}
}
