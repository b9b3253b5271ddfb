// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package outcome

import "time"

// Defaults of a Budget.
const (
	defaultRate  = 20
	defaultBurst = 200
)

// LineLimiter bounds lines a second; the zero value holds the defaults. It is not safe for
// concurrent use.
type LineLimiter struct {
	// Rate is in lines a second and Burst in lines; 0 means 20 and 200.
	Rate, Burst float64

	credit  float64
	at      time.Duration
	begun   bool
	dropped int64
}

// Allow tells whether a line may be written now, and how many were dropped since the
// last that was.
func (b *LineLimiter) Allow(now time.Duration) (dropped int64, ok bool) {
	rate, burst := b.Rate, b.Burst
	if rate <= 0 {
		rate = defaultRate
	}
	if burst <= 0 {
		burst = defaultBurst
	}
	if !b.begun {
		b.begun, b.credit = true, burst
	} else {
		b.credit = min(burst, b.credit+rate*(now-b.at).Seconds())
	}
	b.at = now
	if b.credit < 1 {
		b.dropped++
		return 0, false
	}
	b.credit--
	dropped, b.dropped = b.dropped, 0
	return dropped, true
}
