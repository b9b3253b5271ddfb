// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package sched

// Quantile estimates a quantile of a stream of positive values without storing them. Each value
// moves the estimate by a fraction of itself, up with weight q and down with weight 1-q, so that
// it settles where the share q of the values is lower [Robbins and Monro, "A stochastic
// approximation method", 1951]. The zero value has seen no values.
type Quantile struct {
	// Value is the estimate, 0 before the first value.
	Value float64

	count int
}

// Gains of a Quantile.
const (
	// firstGain divided by the number of values is the relative step, but at least minGain.
	firstGain = 0.5
	// minGain is the smallest relative step, so that the estimate follows changes.
	minGain = 0.04
)

// Observe adds a value; share is the wanted quantile, in (0,1).
func (q *Quantile) Observe(x, share float64) {
	if x <= 0 {
		return
	}
	q.count++
	if q.count == 1 {
		q.Value = x
		return
	}
	gain := max(minGain, firstGain/float64(q.count))
	if x > q.Value {
		q.Value = min(x, q.Value*(1+gain*share/max(share, 1-share)))
		return
	}
	q.Value = max(x, q.Value*(1-gain*(1-share)/max(share, 1-share)))
}
