// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package outlier

import (
	"math"
	"time"
)

// half is the time in which an outcome loses half of its weight. An endpoint that gets 7 requests a second
// and dies is known to fail 6 in 10 after 0.7 s with 1 s, after 1.1 s with 2 s; with 0.5 s, so few requests are
// left in the sums that one that fails 3 in 100 looks like one that fails 20.
const half = time.Second

// Evidence is the number of the latest requests that an endpoint answered well, and that it failed, faded by half.
type Evidence struct {
	Good, Bad float64
}

// fade lets time pass.
func (e Evidence) fade(d time.Duration) Evidence {
	f := math.Exp2(-float64(max(0, d)) / float64(half))
	return Evidence{e.Good * f, e.Bad * f}
}

// mostTold bounds what one host tells: a host that is cut off from an endpoint, or errs, must not eject it for all.
const mostTold = 3

// bounded is the evidence as one host may tell it: with the same part of failures and a bounded weight.
func (e Evidence) bounded() Evidence {
	if sum := e.Good + e.Bad; sum > mostTold {
		e.Good, e.Bad = e.Good*mostTold/sum, e.Bad*mostTold/sum
	}
	return e
}

// doubt is the number of good answers that an endpoint is taken to have given before any is known.
const doubt = 2

// failing is the part of requests that are expected to fail.
func (e Evidence) failing() float64 { return e.Bad / (e.Good + e.Bad + doubt) }
