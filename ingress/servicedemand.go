// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import (
	"math"
	"time"

	"github.com/heathkeel/heathkeel/spill"
)

// serviceDemand is what this host knows of the demand for a service.
type serviceDemand struct {
	rate      float64 // arrivals per second, as of rateAt
	rateAt    time.Duration
	work      float64 // time of a request at an engine with a free slot, in steps
	bytes     float64 // of a request and its response
	objective time.Duration
	planner   spill.Planner
	sends     bool // this host's zone sends to others by the plan
}

// decayedRate returns the arrivals per second at a time.
func (d *serviceDemand) decayedRate(now time.Duration) float64 {
	return d.rate * math.Exp2(-float64(now-d.rateAt)/float64(zoneRateHalfLife))
}
