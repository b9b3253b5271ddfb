// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package quarantine

import (
	"math"
	"time"
)

// Thresholds of the verdict.
const (
	// noResponseCrashes is the number of endpoints that must have crashed under a request before
	// the first sign of an answer. A request that crashes endpoints when it starts to run crashes
	// all of them in that state; any other request spends only a small part of its time in it.
	noResponseCrashes = 3
	// minSurprisal is the surprisal in nats from which a request is held that crashes endpoints
	// after they have answered for a while. It corresponds to a probability of one in 5e8 for an
	// innocent request.
	minSurprisal = 20
	// rateWindow is the time over which terminations of endpoints are counted.
	rateWindow = 30 * time.Second
	// minRequestAge is the minimum of the request age in the calculation. A time shorter than the
	// transit of a datagram carries no information.
	minRequestAge = 10 * time.Millisecond
)

// Surprisal returns the surprisal, in nats, of the event that an endpoint ends by chance within the
// time for which it had a request, given the rate of terminations of an endpoint per second:
// -ln(1-exp(-rate·requestAge)).
func Surprisal(rate float64, requestAge time.Duration) float64 {
	return -math.Log(-math.Expm1(-rate * max(requestAge, minRequestAge).Seconds()))
}

// terminationRate returns the rate of terminations of an endpoint per second, without those that a
// request is known to have caused. One is added to the count, so that the first termination after a
// quiet period is not taken as highly improbable.
func (reg *Registry) terminationRate(now time.Duration) float64 {
	count := 1
	for _, d := range reg.terminations {
		if now-d.at < rateWindow && d.cause == (Fingerprint{}) {
			count++
		}
	}
	return float64(count) / (float64(max(1, reg.Endpoints)) * rateWindow.Seconds())
}

// Verdict is the evaluation of the crashes under a request.
type Verdict struct {
	// Crashes is the number of endpoints that crashed under the request, and NoResponse the number
	// of those that crashed before the first sign of an answer. Inconclusive crashes and those
	// caused by another held request are not counted.
	Crashes, NoResponse int
	// Surprisal is the sum of the surprisals of the crashes, in nats.
	Surprisal float64
}

// Verdict evaluates the crashes under a request.
func (reg *Registry) Verdict(now time.Duration, f Fingerprint) Verdict {
	var v Verdict
	s := reg.suspects[f]
	if s == nil {
		return v
	}
	rate := reg.terminationRate(now)
	for incarnation, c := range s.crashes {
		if c.inconclusive {
			continue
		}
		if d := reg.terminations[incarnation]; d.cause != (Fingerprint{}) && d.cause != f {
			continue
		}
		v.Crashes++
		if c.noResponse {
			v.NoResponse++
		}
		v.Surprisal += Surprisal(rate, c.requestAge)
	}
	return v
}

// causesCrashes reports whether a request is taken to crash endpoints. Crashes caused by a held
// request are no evidence against the other requests that the endpoint had.
func (reg *Registry) causesCrashes(now time.Duration, f Fingerprint) bool {
	if reg.Parts {
		return false // the count alone decides
	}
	v := reg.Verdict(now, f)
	return v.NoResponse >= noResponseCrashes || v.Surprisal >= minSurprisal
}
