// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package forecast

import (
	"math/bits"
	"time"

	"github.com/heathkeel/heathkeel/sched"
)

const (
	// share is the share of requests that take no longer than estimated.
	share = 0.95
	// maxClasses limits the classes that are remembered. Beyond it all are forgotten: many are of routes that were dropped.
	maxClasses = 4096
)

// class is a class of requests that take similar times: those on a route whose numbers of tokens have the same number of bits.
type class struct {
	route string
	bits  int
}

// Durations estimates the longest times of requests on each route, by their numbers of tokens. The zero value has seen none.
type Durations struct {
	classes map[class]*sched.Quantile
}

// Observe records that a request on a route took a time. tokens is the expected length of its response, 0 if it is not measured in tokens.
func (d *Durations) Observe(route string, tokens int, took time.Duration) {
	if took <= 0 {
		return
	}
	k := class{route, bits.Len(uint(max(0, tokens)))}
	q := d.classes[k]
	if q == nil {
		if d.classes == nil || len(d.classes) >= maxClasses {
			d.classes = make(map[class]*sched.Quantile)
		}
		q = new(sched.Quantile)
		d.classes[k] = q
	}
	q.Observe(float64(took), share)
}

// Estimate returns a time within which most requests on a route with a number of tokens are over, and false if none was observed there. If
// none had about as many tokens, it returns the time of the next longer ones, or that of the next shorter ones in proportion.
func (d *Durations) Estimate(route string, tokens int) (time.Duration, bool) {
	own := bits.Len(uint(max(0, tokens)))
	for n := own; n <= bits.UintSize; n++ {
		if q := d.classes[class{route, n}]; q != nil {
			return time.Duration(q.Value), true
		}
	}
	for n := own - 1; n >= 0; n-- {
		if q := d.classes[class{route, n}]; q != nil {
			return scale(q.Value, own-n), true
		}
	}
	return 0, false
}

// maxEstimate limits what Estimate returns.
const maxEstimate = 24 * time.Hour

// scale returns a time doubled n times.
func scale(value float64, n int) time.Duration {
	for ; n > 0 && value < float64(maxEstimate); n-- {
		value *= 2
	}
	return time.Duration(min(value, float64(maxEstimate)))
}
