// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package sched

// Quantile follows a quantile of a stream of positive values without keeping them: it
// moves by a part of itself, up with weight Share and down with weight 1-Share, so that
// it rests where the part Share of the values lies below [Robbins and Monro, "A
// stochastic approximation method", 1951]. The zero value has seen nothing.
type Quantile struct {
	// Value is the estimate, 0 before the first value.
	Value float64

	count int
}

// Gains of a Quantile.
const (
	// firstGain is the relative step after the first value; it falls with their number.
	firstGain = 0.5
	// minGain bounds it from below, so that changes are followed.
	minGain = 0.04
)

// Observe takes a value; share is the quantile wanted, in (0,1).
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
