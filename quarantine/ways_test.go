// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package quarantine

import "time"

// verdict is a way to tell which requests crash endpoints.
type verdict interface {
	crashed(now time.Duration, f Fingerprint, e Termination, beside int)
	answered(now time.Duration, f Fingerprint)
	held(now time.Duration, f Fingerprint) bool
}

// byBook is the way that is kept.
type byBook struct{ Registry }

func (b *byBook) crashed(now time.Duration, f Fingerprint, e Termination, _ int) {
	b.NoteCrash(now, f, e)
}
func (b *byBook) answered(now time.Duration, f Fingerprint) {
	if !b.Empty() {
		b.NoteAnswer(now, f)
	}
}

func (b *byBook) held(now time.Duration, f Fingerprint) bool {
	if _, held := b.Held(now, f); held {
		return true
	}
	if b.OnTrial(now, f) {
		r := b.Record(now, now.Milliseconds(), f)
		if !r.Grant(now.Milliseconds()) {
			return true
		}
		b.Restore(now, now.Milliseconds(), &r)
	}
	return false
}

// byCount holds a request after a number of endpoints, whatever their state.
type byCount struct {
	most  int
	lives map[Fingerprint]map[string]bool
}

func (c *byCount) crashed(_ time.Duration, f Fingerprint, e Termination, _ int) {
	if c.lives[f] == nil {
		c.lives[f] = make(map[string]bool)
	}
	c.lives[f][e.Incarnation] = true
}
func (c *byCount) answered(_ time.Duration, f Fingerprint) { delete(c.lives, f) }
func (c *byCount) held(_ time.Duration, f Fingerprint) bool {
	return len(c.lives[f]) >= c.most
}

// byTrials lets a request run a few times more after three endpoints, and holds it if none of these is answered; after three ends that came before a sign of
// an answer it is held at once, if mute is set.
type byTrials struct {
	most int
	mute bool
	ends map[Fingerprint]map[string]bool // by life: whether it was before a sign of an answer
	runs map[Fingerprint]int
}

func (b *byTrials) crashed(_ time.Duration, f Fingerprint, e Termination, _ int) {
	if b.ends[f] == nil {
		b.ends[f] = make(map[string]bool)
	}
	b.ends[f][e.Incarnation] = e.NoResponse
}

func (b *byTrials) answered(_ time.Duration, f Fingerprint) {
	delete(b.ends, f)
	delete(b.runs, f)
}

func (b *byTrials) held(_ time.Duration, f Fingerprint) bool {
	mute := 0
	for _, m := range b.ends[f] {
		if m {
			mute++
		}
	}
	if len(b.ends[f]) < 3 {
		return false
	}
	if b.mute && mute >= 3 {
		return true
	}
	b.runs[f]++
	return b.runs[f] > b.most
}

// byShare holds a request by the blame that those at an endpoint share alike.
type byShare struct {
	most  float64
	blame map[Fingerprint]float64
}

func (s *byShare) crashed(_ time.Duration, f Fingerprint, _ Termination, beside int) {
	s.blame[f] += 1 / float64(beside)
}
func (s *byShare) answered(_ time.Duration, f Fingerprint) { delete(s.blame, f) }
func (s *byShare) held(_ time.Duration, f Fingerprint) bool {
	return s.blame[f] >= s.most
}
