// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package outcome

import "time"

// Defaults of a LineLimiter, in lines per second and in lines.
const (
	defaultRate  = 20
	defaultBurst = 200
)

// LineLimiter limits the rate of log lines with a token bucket. The zero value uses the
// defaults. It is not safe for concurrent use.
type LineLimiter struct {
	// Rate is in lines per second and Burst in lines; 0 means 20 and 200.
	Rate, Burst float64

	tokens     float64
	lastRefill time.Duration
	started    bool
	dropped    int64
}

// Allow reports whether a line may be written now. If so, it also returns the number of
// lines dropped since the last line that was allowed.
func (l *LineLimiter) Allow(now time.Duration) (dropped int64, ok bool) {
	rate, burst := l.Rate, l.Burst
	if rate <= 0 {
		rate = defaultRate
	}
	if burst <= 0 {
		burst = defaultBurst
	}
	if !l.started {
		l.started, l.tokens = true, burst
	} else {
		l.tokens = min(burst, l.tokens+rate*(now-l.lastRefill).Seconds())
	}
	l.lastRefill = now
	if l.tokens < 1 {
		l.dropped++
		return 0, false
	}
	l.tokens--
	dropped, l.dropped = l.dropped, 0
	return dropped, true
}
