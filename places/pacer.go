// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package places

import "time"

// pacer is a token bucket. The zero value is empty.
type pacer struct {
	tokens    float64
	updatedAt time.Duration
	started   bool
}

// pacerBurst is the time whose requests a pacer lets through at once, one at least: hosts ask each 40 ms, so
// that less would leave a part of high rates unused.
const pacerBurst = 100 * time.Millisecond

// take takes one token, which are added at a rate per second, and reports whether there was one.
func (p *pacer) take(now time.Duration, rate float64) bool {
	burst := max(1, rate*pacerBurst.Seconds())
	if p.started {
		p.tokens = min(burst, p.tokens+rate*(now-p.updatedAt).Seconds())
	}
	p.updatedAt, p.started = now, true
	if p.tokens < 1 {
		return false
	}
	p.tokens--
	return true
}

// put puts back tokens that were not used.
func (p *pacer) put(n int) { p.tokens += float64(n) }
