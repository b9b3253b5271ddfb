// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package quarantine

import (
	"math"
	"time"
)

// Figures of the verdict by chance.
const (
	// muteCrashes is the number of endpoints that must have ended under a request before its first sign of an answer: a request that crashes
	// what begins to run it ends them all so, and another one is in that state for a small part of its time.
	muteCrashes = 3
	// leastSurprise is the surprise, in nats, from which a request is held that lets endpoints answer for a while and ends them then: a chance of
	// one in 5e8 for an innocent one.
	leastSurprise = 20
	// rateWindow is the time over which the ends of endpoints are counted.
	rateWindow = 30 * time.Second
	// leastRan bounds the time at an endpoint from below: less than a datagram's way tells nothing.
	leastRan = 10 * time.Millisecond
)

// Surprisal is how unlikely it is, in nats, that a request which had been at an endpoint for a time met its end by chance, where an
// endpoint ends at a rate, in ends a second: -ln(1-exp(-rate·ran)).
func Surprisal(rate float64, ran time.Duration) float64 {
	return -math.Log(-math.Expm1(-rate * max(ran, leastRan).Seconds()))
}

// rate is the rate at which an endpoint ends, in ends a second, as far as no request is known to have caused it. One end more than was seen keeps a quiet
// time from making the next one a wonder.
func (b *Registry) rate(now time.Duration) float64 {
	ends := 1
	for _, d := range b.deaths {
		if now-d.at < rateWindow && d.by == (Fingerprint{}) {
			ends++
		}
	}
	return float64(ends) / (float64(max(1, b.Endpoints)) * rateWindow.Seconds())
}

// Verdict is what is made of the ends of endpoints under a request.
type Verdict struct {
	// Crashes is the number of endpoints that ended under it, Mute that of those which ended before a sign of an answer, as far as no other request that is
	// held has caused them.
	Crashes, NoResponse int
	// Surprisal is how unlikely the ends are by chance, in nats.
	Surprisal float64
}

// Verdict gives what is made of a request now.
func (b *Registry) Verdict(now time.Duration, f Fingerprint) Verdict {
	var v Verdict
	s := b.suspects[f]
	if s == nil {
		return v
	}
	rate := b.rate(now)
	for life, c := range s.crashes {
		if c.unsure {
			continue
		}
		if d := b.deaths[life]; d.by != (Fingerprint{}) && d.by != f {
			continue
		}
		v.Crashes++
		if c.mute {
			v.NoResponse++
		}
		v.Surprisal += Surprisal(rate, c.ran)
	}
	return v
}

// crashes reports whether endpoints crash under a request. What a request that is held has caused is no evidence against others
// that were there.
func (b *Registry) crashes(now time.Duration, f Fingerprint) bool {
	v := b.Verdict(now, f)
	return v.NoResponse >= muteCrashes || v.Surprisal >= leastSurprise
}
