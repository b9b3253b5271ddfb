// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package edge

import "github.com/heathkeel/heathkeel/sched"

// Figures of the decisions. They come from trials on three deployments with several seeds
// each: docs/MEASUREMENTS.md and docs/ACCOUNT.md have what was tried beside them.
const (
	// overcommit is the part of an endpoint's places by which the top tier may exceed them:
	// a short wait at the endpoint costs it less than a longer one here.
	overcommit = 0.4
	// crossZoneCost is the part by which an endpoint of another zone counts as fuller than it is:
	// bytes between zones are priced.
	crossZoneCost = 0.6
)

// policy is how hosts on the platform decide. Rules are off that need reports of engines
// (Slow, Others: here hosts tell each other what they have running, and paces are learned
// from streams) or that earned nothing or cost worth in trials (Floor, LongCap, Share; Reserve, since the top tier
// may exceed the places anyway, and one of 7 left free was a seventh of all work).
func policy() sched.Config {
	return sched.Config{
		Overcommit: overcommit, CrossZoneCost: crossZoneCost,
		Disabled: sched.Rules{Floor: true, LongCap: true, Share: true, Slow: true, PeerCorrection: true, Reserve: true},
	}
}
