// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package trial

import (
	"math"
	"time"
)

// Case is a scenario of a trial: its load and a fault.
type Case struct {
	// Name identifies the case in tables.
	Name string
	// Load is the offered load of the case; whoever makes a Spec copies it to Spec.Load.
	Load float64
	// FaultStart and FaultEnd are when the fault begins and ends; both are 0 if there is none.
	FaultStart, FaultEnd time.Duration
	// Schedule adds the events of the case to the trial's clock; nil adds none.
	Schedule func(t *Trial)
}

// The start and end of the fault in all cases that have one.
const (
	faultStart = 30 * time.Second
	faultEnd   = 60 * time.Second
)

// withFault returns a case that calls inject at faultStart and restore at faultEnd.
func withFault(name string, load float64, inject, restore func(t *Trial)) Case {
	return Case{Name: name, Load: load, FaultStart: faultStart, FaultEnd: faultEnd, Schedule: func(t *Trial) {
		t.after(faultStart, func() { inject(t) })
		t.after(faultEnd, func() { restore(t) })
	}}
}

// noRestore is the restore function of a fault that lasts.
func noRestore(*Trial) {}

// boostArrivals returns a function that multiplies the arrival rate of matching sources.
func boostArrivals(factor float64, matches func(s *source) bool) func(*Trial) {
	return func(t *Trial) {
		t.boostFactor = func(s *source) float64 {
			if matches(s) {
				return factor
			}
			return 1
		}
	}
}

// endBoost restores the arrival rates of all sources.
func endBoost(t *Trial) { t.boostFactor = nil }

// slowEngine makes one of the fastest engines ten times slower.
func slowEngine(t *Trial) { t.engines[0].slowdown = 10 }

// restoreEngine restores the speed of the engine that slowEngine slowed.
func restoreEngine(t *Trial) { t.engines[0].slowdown = 1 }

// killEngines kills three engines, of different speeds, at once.
func killEngines(t *Trial) {
	for _, i := range []int{0, 4, 8} {
		t.engines[i].kill()
	}
}

// reviveEngines restarts the engines that killEngines killed, with empty caches.
func reviveEngines(t *Trial) {
	for _, i := range []int{0, 4, 8} {
		t.engines[i].dead = false
	}
}

// lowestTier reports whether a source sends requests of the lowest tier.
func lowestTier(s *source) bool { return s.kind.Rank == 2 }

// Cases are all cases, in the order in which tables show them.
var Cases = []Case{
	{Name: "calm", Load: 0.5},
	{Name: "load 0.8", Load: 0.8},
	{Name: "load 1.0", Load: 1},
	{Name: "load 1.2", Load: 1.2},
	{Name: "load 1.5", Load: 1.5},
	{Name: "load 2.0", Load: 2},
	withFault("Monday's batch", 0.7, boostArrivals(10, func(s *source) bool { return lowestTier(s) && s.kind.PromptTokens < 1000 }), endBoost),
	withFault("one engine ten times slower", 0.7, slowEngine, restoreEngine),
	withFault("three engines dead", 0.7, killEngines, reviveEngines),
	withFault("reports stopped", 0.7, func(t *Trial) { t.stopReports = true }, func(t *Trial) { t.stopReports = false }),
	withFault("cache events lost", 0.7, func(t *Trial) { t.dropEvents = true }, func(t *Trial) { t.dropEvents = false }),
	withFault("flood of long reviews", 0.7, boostArrivals(8, func(s *source) bool { return s.kind.PromptTokens > 5000 }), endBoost),
	withFault("one workspace floods", 0.7, boostArrivals(10, func(s *source) bool { return lowestTier(s) && s.workspace.Name == "ws-c" }), endBoost),
	withFault("a host dead", 0.7, func(t *Trial) { t.killHost(1) }, noRestore),
	{Name: "load moves over a day", Load: 0.7, Schedule: func(t *Trial) {
		t.boostFactor = func(s *source) float64 {
			phase := 2 * math.Pi * (t.now.Seconds()/90 + float64(s.workspace.Name[3]-'a')/5)
			return 1 + 0.9*math.Sin(phase)
		}
	}},
	withFault("batch and three engines dead", 0.7, func(t *Trial) {
		boostArrivals(10, func(s *source) bool { return lowestTier(s) && s.kind.PromptTokens < 1000 })(t)
		killEngines(t)
	}, func(t *Trial) { endBoost(t); reviveEngines(t) }),
}
