// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import (
	"math"
	"time"
)

// Figures of the learning of failures.
const (
	// failingGain is the weight of a new request.
	failingGain = 0.2
	// failingHalf is the time in which what was seen loses half its weight, so that an
	// endpoint that gets no work is tried again.
	failingHalf = 3 * time.Second
)

// failing follows the part of an endpoint's latest requests that failed. The zero value
// has seen none.
type failing struct {
	value float64
	seen  time.Duration
}

// at is the part as it counts at a time.
func (f *failing) at(now time.Duration) float64 {
	return f.value * math.Exp2(-float64(now-f.seen)/float64(failingHalf))
}

// observe takes the outcome of a request.
func (f *failing) observe(now time.Duration, failed bool) {
	f.value = (1 - failingGain) * f.at(now)
	if failed {
		f.value += failingGain
	}
	f.seen = now
}
