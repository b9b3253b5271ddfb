// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package sched

import (
	"math"
	"time"

	"github.com/heathkeel/heathkeel/places"
)

// Endpoints may state in their responses how long work takes there, in relation to its usual time. A slow state of a shared machine lasts
// only a few hundred milliseconds, so a statement loses its weight with its age. What an endpoint states for a long time carries no
// information, since the times learned from its responses contain it: statements count in relation to their own median. That also ends the
// effect of an endpoint that always states the same false value.

// Parameters of stated loads.
const (
	// minSlowdown and maxSlowdown limit the factor by which a statement changes a predicted time.
	minSlowdown = 0.25
	maxSlowdown = 8
	// NotablySlow is the slowdown, in hundredths, from which an endpoint counts as slow; notablySlow is
	// the same as a factor.
	NotablySlow = 150
	notablySlow = NotablySlow / 100.0
	// defaultSlowHalfLife is the half-life of a statement until the lengths of slow states have been observed; minSlowStateHalfLife and
	// maxSlowStateHalfLife limit what is observed.
	defaultSlowHalfLife  = time.Second
	minSlowStateHalfLife = 100 * time.Millisecond
	maxSlowStateHalfLife = 5 * time.Second
	// slowStateGain is the weight of the length of one slow state.
	slowStateGain = 0.25
	// medianRate is the change of the logarithm of the tracked median per second, and maxMedianStep its bound for one statement. A state of
	// 2 s moves the median by a fifth at most; an endpoint that begins to state 800 for good is disregarded after 20 s.
	medianRate    = 0.1
	maxMedianStep = 0.25
	// unusualMedianStep is the bound for one statement while an endpoint has never stated a usual time, that is one within usualRange of
	// UsualTime: an endpoint that states a false value from the start is disregarded after about five statements.
	unusualMedianStep = 0.5
	usualRange        = 1.3
	// ownStatementTTL is the time for which a host prefers a statement that it read itself to an owner that mentions no slowdown.
	ownStatementTTL = 150 * time.Millisecond
	// changedSlowdown is the factor between two values from which a slowdown has changed.
	changedSlowdown = 1.3
)

// slowdown estimates from statements how much longer than usual work takes at an endpoint. The zero value has seen none.
type slowdown struct {
	factor    float64       // as of at, in relation to the median; 0 without statements
	at        time.Duration // time of the last statement, or of the owner's estimate
	stated    int           // number of statements observed
	usual     bool          // one of the statements was about the usual time
	statedAt  time.Duration // time of the last statement
	logMedian float64       // logarithm of the median of the statements, in relation to UsualTime
	halfLife  time.Duration // learned from slow states, or 0
	slow      bool          // the last statement said that the endpoint is notably slow
	slowSince time.Duration // start of that state
}

// observe adds a statement, in hundredths of the usual time, made at the given time. Statements that arrive out of order are ignored. It
// reports whether the slowdown changed.
func (d *slowdown) observe(at time.Duration, stated int) bool {
	if d.stated > 0 && at <= d.statedAt {
		return false
	}
	before := d.now(at)
	x := math.Log(max(minSlowdown, min(maxSlowdown, float64(stated)/places.UsualTime)))
	step := min(maxMedianStep, medianRate*(at-d.statedAt).Seconds())
	usual := math.Abs(x) < math.Log(usualRange)
	switch {
	case usual && !d.usual:
		d.usual, d.logMedian = true, 0
	case d.stated == 0:
		step = 0
	case !d.usual:
		step = unusualMedianStep
	}
	d.logMedian += max(-step, min(step, x-d.logMedian))
	factor := max(minSlowdown, min(maxSlowdown, math.Exp(x-d.logMedian)))
	d.learnHalfLife(at, factor)
	d.factor, d.at, d.stated, d.statedAt = factor, at, d.stated+1, at
	return factor > before*changedSlowdown || factor < before/changedSlowdown
}

// learnHalfLife learns how long slow states last: at their end, which lies between two statements, and before it if one lasts longer than
// the half-life.
func (d *slowdown) learnHalfLife(at time.Duration, factor float64) {
	wasSlow := d.slow
	d.slow = factor >= notablySlow
	var lasted time.Duration
	switch {
	case !wasSlow:
		d.slowSince = at
		return
	case !d.slow:
		lasted = (d.statedAt+at)/2 - d.slowSince
	default:
		lasted = max(at-d.slowSince, d.currentHalfLife())
	}
	lasted = max(minSlowStateHalfLife, min(maxSlowStateHalfLife, lasted))
	d.halfLife = d.currentHalfLife() + time.Duration(slowStateGain*float64(lasted-d.currentHalfLife()))
}

// currentHalfLife returns the time in which a statement loses half its weight.
func (d *slowdown) currentHalfLife() time.Duration {
	if d.halfLife == 0 {
		return defaultSlowHalfLife
	}
	return d.halfLife
}

// applyOwner replaces the estimate by that of the owner of the endpoint's slots, in hundredths; 0 means that the owner mentions none.
func (d *slowdown) applyOwner(now time.Duration, hundredths int) {
	switch {
	case hundredths > 0:
		d.factor, d.at = max(minSlowdown, min(maxSlowdown, float64(hundredths)/places.UsualTime)), now
	case hundredths == 0 && d.factor != 0 && now-d.at > ownStatementTTL:
		d.factor, d.at = 1, now
	}
}

// now returns the factor by which predicted times change: 1 at the usual speed.
func (d *slowdown) now(now time.Duration) float64 {
	if d.factor == 0 || d.factor == 1 {
		return 1
	}
	weight := math.Exp2(-float64(max(0, now-d.at)) / float64(d.currentHalfLife()))
	return 1 + (d.factor-1)*weight
}

// ObserveStatedLoad adds a load that an endpoint stated in the response to a request of this host. It reports whether the statement is
// believed, and whether the slowdown changed. A load below what this host itself has running there, without what it sent after the
// request, is not believed.
func (s *Scheduler) ObserveStatedLoad(now time.Duration, name string, r *Request, l places.StatedLoad) (believed, changed bool) {
	e := s.byName[name]
	if e == nil || s.cfg.Disabled.StatedLoad {
		return true, false
	}
	own := 0
	for _, q := range e.inflight {
		if q != r && q.dispatchedAt < r.dispatchedAt {
			own++
		}
	}
	if l.Running+l.Waiting < own {
		return false, false
	}
	return true, s.observeSlowdown(now, e, l)
}

// ObserveReportedLoad adds a load that an endpoint stated to another host at the given time.
func (s *Scheduler) ObserveReportedLoad(at time.Duration, name string, l places.StatedLoad) {
	if e := s.byName[name]; e != nil && !s.cfg.Disabled.StatedLoad {
		s.observeSlowdown(at, e, l)
	}
}

// observeSlowdown adds the slowdown of a stated load, if it states one, and reports whether the
// estimate changed.
func (s *Scheduler) observeSlowdown(at time.Duration, e *endpointState, l places.StatedLoad) bool {
	if l.Slowdown == 0 || !e.stated.observe(at, l.Slowdown) {
		return false
	}
	s.wake(e)
	return true
}

// statedSlowdown returns the factor by which work takes longer at an endpoint than usual, as it states.
func (s *Scheduler) statedSlowdown(now time.Duration, e *endpointState) float64 {
	if s.cfg.Disabled.StatedLoad {
		return 1
	}
	return e.stated.now(now)
}

// timeFactor returns the factor of predicted times at an endpoint: its slowness as observed by this host, and its stated slowdown.
func (s *Scheduler) timeFactor(now time.Duration, e *endpointState) float64 {
	return s.slowness(now, e) * s.statedSlowdown(now, e)
}

// Slowdown returns the stated slowdown of an endpoint in hundredths, for a grant; 0 stands for the usual speed.
func (s *Scheduler) Slowdown(now time.Duration, name string) int {
	e := s.byName[name]
	if e == nil {
		return 0
	}
	if n := int(math.Round(places.UsualTime * s.statedSlowdown(now, e))); n != places.UsualTime {
		return n
	}
	return 0
}

// StatedSlow returns the number of endpoints that are notably slow, as they state.
func (s *Scheduler) StatedSlow(now time.Duration) int {
	n := 0
	for _, e := range s.endpoints {
		if e.present && s.statedSlowdown(now, e) >= notablySlow {
			n++
		}
	}
	return n
}
