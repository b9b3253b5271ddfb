// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package quota

import "time"

// debtShare is the part of the tolerance that requests may use; the rest covers what
// hosts use before they hear of each other, and restarts.
const debtShare = 0.2

// Tolerance is how far beyond its bound a workspace may get in a window:
// Overshoot·(Rate·Window + Burst) + Slack. The zero value tolerates nothing.
type Tolerance struct {
	// Window is the span over which use is counted.
	Window time.Duration
	// Overshoot is a part of what the bound allows in a window.
	Overshoot float64
	// Slack is in units.
	Slack float64
}

// debt is how far below zero a level may go and requests still pass.
func (t Tolerance) debt(b Limit) float64 {
	return debtShare * (t.Overshoot*(b.Rate*t.Window.Seconds()+b.Burst) + t.Slack)
}

// Limit is what a workspace may use.
type Limit struct {
	// Rate is in units a second and Burst in units, over all hosts.
	Rate, Burst float64
}
