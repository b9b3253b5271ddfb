// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package quarantine

import "time"

// detector decides which requests crash endpoints.
type detector interface {
	crashed(now time.Duration, f Fingerprint, e Termination, running int)
	answered(now time.Duration, f Fingerprint)
	held(now time.Duration, f Fingerprint) bool
}

// registryDetector is the method in use.
type registryDetector struct{ Registry }

func (d *registryDetector) crashed(now time.Duration, f Fingerprint, termination Termination, _ int) {
	d.NoteCrash(now, f, termination)
}
func (d *registryDetector) answered(now time.Duration, f Fingerprint) {
	if !d.Empty() {
		d.NoteAnswer(now, f)
	}
}

func (d *registryDetector) held(now time.Duration, f Fingerprint) bool {
	if _, held := d.Held(now, f); held {
		return true
	}
	if d.OnTrial(now, f) {
		r := d.Record(now, now.Milliseconds(), f)
		if !r.Grant(now.Milliseconds()) {
			return true
		}
		d.Restore(now, now.Milliseconds(), &r)
	}
	return false
}

// countDetector holds a request after a number of crashes, whether or not they came before an
// answer.
type countDetector struct {
	limit        int
	incarnations map[Fingerprint]map[string]bool
}

func (d *countDetector) crashed(_ time.Duration, f Fingerprint, e Termination, _ int) {
	if d.incarnations[f] == nil {
		d.incarnations[f] = make(map[string]bool)
	}
	d.incarnations[f][e.Incarnation] = true
}
func (d *countDetector) answered(_ time.Duration, f Fingerprint) { delete(d.incarnations, f) }
func (d *countDetector) held(_ time.Duration, f Fingerprint) bool {
	return len(d.incarnations[f]) >= d.limit
}

// trialDetector grants a limited number of sends after three crashes and holds the request if none
// of these is answered. If holdNoResponse is set, it holds the request at once after three crashes
// before the first sign of an answer.
type trialDetector struct {
	limit          int
	holdNoResponse bool
	crashes        map[Fingerprint]map[string]bool // by incarnation: whether it crashed before the first sign of an answer
	sends          map[Fingerprint]int
}

func (d *trialDetector) crashed(_ time.Duration, f Fingerprint, e Termination, _ int) {
	if d.crashes[f] == nil {
		d.crashes[f] = make(map[string]bool)
	}
	d.crashes[f][e.Incarnation] = e.NoResponse
}

func (d *trialDetector) answered(_ time.Duration, f Fingerprint) {
	delete(d.crashes, f)
	delete(d.sends, f)
}

func (d *trialDetector) held(_ time.Duration, f Fingerprint) bool {
	noResponse := 0
	for _, beforeResponse := range d.crashes[f] {
		if beforeResponse {
			noResponse++
		}
	}
	if len(d.crashes[f]) < 3 {
		return false
	}
	if d.holdNoResponse && noResponse >= 3 {
		return true
	}
	d.sends[f]++
	return d.sends[f] > d.limit
}

// blameDetector divides the blame for a crash equally among the requests at the endpoint and holds
// a request whose blame reaches the limit.
type blameDetector struct {
	limit float64
	blame map[Fingerprint]float64
}

func (d *blameDetector) crashed(_ time.Duration, f Fingerprint, _ Termination, running int) {
	d.blame[f] += 1 / float64(running)
}
func (d *blameDetector) answered(_ time.Duration, f Fingerprint) { delete(d.blame, f) }
func (d *blameDetector) held(_ time.Duration, f Fingerprint) bool {
	return d.blame[f] >= d.limit
}
