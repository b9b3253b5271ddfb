// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package outlier

import (
	"math"
	"time"
)

// evidenceHalfLife is the time in which an outcome loses half of its weight. For an endpoint that gets 7
// requests per second and dies, the measured failure ratio reaches 0.6 after 0.7 s with a half-life of 1 s, and
// after 1.1 s with 2 s. With 0.5 s, so few requests are left in the sums that an endpoint that fails 3 % of its
// requests looks like one that fails 20 %.
const evidenceHalfLife = time.Second

// Evidence counts the latest requests that an endpoint answered well (Good) and that it failed (Bad). The
// counts decay with evidenceHalfLife.
type Evidence struct {
	Good, Bad float64
}

// decay returns the evidence after d has passed.
func (e Evidence) decay(d time.Duration) Evidence {
	factor := math.Exp2(-float64(max(0, d)) / float64(evidenceHalfLife))
	return Evidence{e.Good * factor, e.Bad * factor}
}

// maxSharedWeight limits the number of requests in what one host reports: a host that is cut off from an
// endpoint, or is faulty, must not eject it for all hosts.
const maxSharedWeight = 3

// capped returns the evidence as one host may report it: with the same ratio of failures and at most
// maxSharedWeight requests.
func (e Evidence) capped() Evidence {
	if sum := e.Good + e.Bad; sum > maxSharedWeight {
		e.Good, e.Bad = e.Good*maxSharedWeight/sum, e.Bad*maxSharedWeight/sum
	}
	return e
}

// priorSuccesses is the number of successes that an endpoint is assumed to have before any outcome is known.
const priorSuccesses = 2

// failureRatio returns the fraction of requests that are expected to fail.
func (e Evidence) failureRatio() float64 { return e.Bad / (e.Good + e.Bad + priorSuccesses) }
