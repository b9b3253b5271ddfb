// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package soak

import (
	"sync"
	"time"
)

// span is a time in which something lasted; until is zero while it lasts.
type span struct{ from, until time.Time }

// overlaps reports whether the span has a part of the time between from and until.
func (s span) overlaps(from, until time.Time) bool {
	return s.from.Before(until) && (s.until.IsZero() || s.until.After(from))
}

// disturbances records the faults of a host or an endpoint.
type disturbances struct {
	faultMu          sync.Mutex
	current          int
	undisturbedSince time.Time // when the last fault ended
	// pathCuts are the faults that by themselves end what passes through the host or the connections of the endpoint.
	pathCuts []*span
}

// beginDisturbance records the begin of a fault and returns the function that records its end.
func (d *disturbances) beginDisturbance() func() {
	d.faultMu.Lock()
	defer d.faultMu.Unlock()
	d.current++
	return func() {
		d.faultMu.Lock()
		defer d.faultMu.Unlock()
		d.current--
		d.undisturbedSince = time.Now()
	}
}

// beginPathCut is beginDisturbance for a fault that by itself ends what passes through.
func (d *disturbances) beginPathCut() func() {
	end := d.beginDisturbance()
	d.faultMu.Lock()
	defer d.faultMu.Unlock()
	cut := &span{from: time.Now()}
	d.pathCuts = append(d.pathCuts, cut)
	return func() {
		d.faultMu.Lock()
		cut.until = time.Now()
		d.faultMu.Unlock()
		end()
	}
}

// pathCutBetween reports whether a path was cut between two times, with a tolerance for data that comes late.
func (d *disturbances) pathCutBetween(from, until time.Time) bool {
	d.faultMu.Lock()
	defer d.faultMu.Unlock()
	for _, cut := range d.pathCuts {
		if cut.overlaps(from.Add(-timingTolerance), until) {
			return true
		}
	}
	return false
}

// noteStart records that what is disturbed has just started.
func (d *disturbances) noteStart() {
	d.faultMu.Lock()
	defer d.faultMu.Unlock()
	d.undisturbedSince = time.Now()
}

// undisturbedFor reports whether no fault lasts and the last one ended more than duration before at.
func (d *disturbances) undisturbedFor(at time.Time, duration time.Duration) bool {
	d.faultMu.Lock()
	defer d.faultMu.Unlock()
	return d.current == 0 && at.Sub(d.undisturbedSince) > duration
}
