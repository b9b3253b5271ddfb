// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package edge

import "github.com/heathkeel/heathkeel/sched"

// SharedSlots says when the owners of endpoints' slots grant them to all hosts, see docs/design/shares.md.
type SharedSlots string

// Values of SharedSlots; the empty value means SharedSlotsAuto.
const (
	// SharedSlotsAuto shares slots in fleets that use relays.
	SharedSlotsAuto SharedSlots = "auto"
	// SharedSlotsOff asks owners only where requests take longer than the reports between hosts need.
	SharedSlotsOff SharedSlots = "off"
)

// Valid reports whether s is a known value.
func (s SharedSlots) Valid() bool { return s == "" || s == SharedSlotsAuto || s == SharedSlotsOff }

// Parameters of the scheduling policy. docs/MEASUREMENTS.md and docs/ACCOUNT.md have the trials on
// three deployments with several seeds each behind these values, and the alternatives.
const (
	// overcommit is the fraction of an endpoint's slots by which the top tier may exceed them: a
	// short wait at the endpoint costs a request less than a longer wait at the host.
	overcommit = 0.4
	// crossZoneCost is the fraction by which an endpoint in another zone counts as more loaded than
	// it is, because traffic between zones is priced.
	crossZoneCost = 0.6
)

// policy returns the scheduling policy of hosts on the platform. Disabled are the rules that need
// reports of engines (Slow, PeerCorrection: here hosts report to each other what they have running,
// and the endpoints' step times are learned from streams) and the rules that earned nothing or cost
// worth in trials (Floor, LongCap, Share, Reserve). Reserve cost worth because the top tier may exceed
// the slots anyway, and one slot of seven left free was a seventh of all work.
func policy() sched.Config {
	return sched.Config{
		Overcommit: overcommit, CrossZoneCost: crossZoneCost,
		Disabled: sched.Rules{Floor: true, LongCap: true, Share: true, Slow: true, PeerCorrection: true, Reserve: true},
	}
}
