// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package trial

import (
	"math"
	"time"
)

// Case is a course of events in a trial.
type Case struct {
	// Name identifies it.
	Name string
	// Load replaces the spec's load if it is not 0.
	Load float64
	// FaultStart and To are when the fault begins and ends; both 0 if there is none.
	FaultStart, FaultEnd time.Duration
	// Schedule puts the events on the trial's clock.
	Schedule func(t *Trial)
}

// The time of faults in all cases.
const (
	faultFrom = 30 * time.Second
	faultTo   = 60 * time.Second
)

// during makes a case whose fault is begun and ended.
func during(name string, load float64, begin, end func(t *Trial)) Case {
	return Case{Name: name, Load: load, FaultStart: faultFrom, FaultEnd: faultTo, Schedule: func(t *Trial) {
		t.after(faultFrom, func() { begin(t) })
		t.after(faultTo, func() { end(t) })
	}}
}

// none does nothing.
func none(*Trial) {}

// boostWhere multiplies the arrivals of some sources.
func boostWhere(factor float64, fits func(s *source) bool) func(*Trial) {
	return func(t *Trial) {
		t.boost = func(s *source) float64 {
			if fits(s) {
				return factor
			}
			return 1
		}
	}
}

// noBoost ends a boost.
func noBoost(t *Trial) { t.boost = nil }

// slow makes one fast engine ten times slower.
func slow(t *Trial) { t.engines[0].slowBy = 10 }

// fast ends slow.
func fast(t *Trial) { t.engines[0].slowBy = 1 }

// kill ends three engines of unlike speed at once.
func kill(t *Trial) {
	for _, i := range []int{0, 4, 8} {
		t.engines[i].kill()
	}
}

// revive lets them start again, with empty caches.
func revive(t *Trial) {
	for _, i := range []int{0, 4, 8} {
		t.engines[i].dead = false
	}
}

// lowest reports whether a source is of the lowest tier.
func lowest(s *source) bool { return s.kind.Rank == 2 }

// Cases are all cases, in the order of the page of measurements.
var Cases = []Case{
	{Name: "calm", Load: 0.5},
	{Name: "load 0.8", Load: 0.8},
	{Name: "load 1.0", Load: 1},
	{Name: "load 1.2", Load: 1.2},
	{Name: "load 1.5", Load: 1.5},
	{Name: "load 2.0", Load: 2},
	during("Monday's batch", 0.7, boostWhere(10, func(s *source) bool { return lowest(s) && s.kind.PromptTokens < 1000 }), noBoost),
	during("one engine ten times slower", 0.7, slow, fast),
	during("three engines dead", 0.7, kill, revive),
	during("reports stopped", 0.7, func(t *Trial) { t.stopReports = true }, func(t *Trial) { t.stopReports = false }),
	during("cache events lost", 0.7, func(t *Trial) { t.loseEvents = true }, func(t *Trial) { t.loseEvents = false }),
	during("flood of long reviews", 0.7, boostWhere(8, func(s *source) bool { return s.kind.PromptTokens > 5000 }), noBoost),
	during("one workspace floods", 0.7, boostWhere(10, func(s *source) bool { return lowest(s) && s.ws.Name == "ws-c" }), noBoost),
	during("a host dead", 0.7, func(t *Trial) { t.killHost(1) }, none),
	{Name: "load moves over a day", Load: 0.7, Schedule: func(t *Trial) {
		t.boost = func(s *source) float64 {
			phase := 2 * math.Pi * (t.now.Seconds()/90 + float64(s.ws.Name[3]-'a')/5)
			return 1 + 0.9*math.Sin(phase)
		}
	}},
	during("batch and three engines dead", 0.7, func(t *Trial) {
		boostWhere(10, func(s *source) bool { return lowest(s) && s.kind.PromptTokens < 1000 })(t)
		kill(t)
	}, func(t *Trial) { noBoost(t); revive(t) }),
}
