// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package quota

import "time"

// debtRatio is the fraction of the tolerance that requests may use; the rest covers restarts and what hosts use
// before they receive each other's reports.
const debtRatio = 0.2

// beginRatio is the fraction of the allowed debt that requests may use which begin something. The rest is for streams that go on.
const beginRatio = 0.25

// Tolerance is how far a workspace may exceed its limit in a window: Overshoot·(Rate·Window + Burst) + Slack.
// The zero value tolerates nothing.
type Tolerance struct {
	// Window is the span over which use is counted.
	Window time.Duration
	// Overshoot is a fraction of what the limit allows in a window.
	Overshoot float64
	// Slack is in units.
	Slack float64
}

// allowedDebt returns how far below zero a level may be for streams to go on, in units.
func (t Tolerance) allowedDebt(limit Limit) float64 {
	return debtRatio * (t.Overshoot*(limit.Rate*t.Window.Seconds()+limit.Burst) + t.Slack)
}

// Limit is the rate limit of a workspace.
type Limit struct {
	// Rate is in units per second and Burst in units, over all hosts.
	Rate, Burst float64
}
