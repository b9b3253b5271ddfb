// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package sched

import "math"

// defaultOutput is the assumed length of an answer, in tokens, before any was observed.
const defaultOutput = 64

// lengthGain is the weight of a new observation.
const lengthGain = 0.1

// lengthEstimate estimates the length of a service's answers by mean and mean deviation, as in the
// estimate of round-trip times [Jacobson, "Congestion avoidance and control", 1988].
type lengthEstimate struct{ mean, dev float64 }

// lengthKey identifies a service.
type lengthKey struct{ workspace, service string }

// lengths holds the estimates of all services.
type lengths map[lengthKey]*lengthEstimate

// maxLengths limits the services kept.
const maxLengths = 1 << 15

// expected returns the expected number of tokens of an answer, mean plus deviation, at most limit.
func (l lengths) expected(k lengthKey, limit int) int {
	x := l[k]
	if x == nil {
		return min(limit, defaultOutput)
	}
	return max(1, min(limit, int(x.mean+x.dev)))
}

// observe updates the estimate with the length of a whole answer.
func (l lengths) observe(k lengthKey, tokens int) {
	x := l[k]
	if x == nil {
		if len(l) >= maxLengths {
			clear(l)
		}
		l[k] = &lengthEstimate{mean: float64(tokens), dev: float64(tokens) / 4}
		return
	}
	diff := float64(tokens) - x.mean
	x.mean += lengthGain * diff
	x.dev += lengthGain * (math.Abs(diff) - x.dev)
}
