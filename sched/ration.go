// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package sched

import (
	"slices"
	"time"
)

// While places at engines are short, how long a request would hold one decides how many others
// are refused for it: expected lengths of one service's answers differ twentyfold, and their
// worth to callers hardly does. So of each tier that cannot be served whole, only a share
// is taken, those with the shortest expected answers of their service. The share follows what
// becomes of those taken: it falls with each that waited in vain and rises with each that got a
// place. Nothing is taken from a tier for a lower one, and no service or workspace for another.
//
// In ten seconds of twice what engines can do 0.634 of the requests are served, without rations
// 0.498; of two and a half times 0.567 and 0.368 (TestSurge).

// Figures of rations.
const (
	// rationGain is the part by which the share falls with a request that waited in vain: about a
	// second to halve it at 15 such requests a second. 0.025 and 0.1 made no difference in trials.
	rationGain = 0.05
	// vainShare is the part of the requests taken that may wait in vain. With fewer, hosts have none
	// waiting when a place gets free, and several see it free: engines hold more than their places for
	// 0.14 of the time with 0.1, for 0.06 with 0.3 (TestStaleHostsDoNotOverfill).
	vainShare = 0.3
	// leastRation bounds the share from below: less than what is left to a tier in surges of 2.5 times.
	leastRation = 0.15
	// rationChance is the chance of a request beyond the share to be taken all the same, so that
	// long ones are not starved in a long shortage. It costs nothing that trials show.
	rationChance = 0.05
	// spareFill is the part of the places that a tier may fill up to which a request beyond the share
	// is taken: there is no shortage then, or none any more. Without it requests were refused
	// for seconds after a surge; 0.65 and 0.95 did as well.
	spareFill = 0.8
	// guessesKept is the number of the latest expected lengths of a service that a new one is
	// ranked among: enough for a rank within a tenth.
	guessesKept = 64
	// longestRation bounds the time after which a request that is refused by a ration is told to
	// come back. Of requests that came back after 1.5 s and more 42 in 100 were served, of those after
	// less than half a second 28 (one traced surge of 2 times).
	longestRation = 4 * time.Second
)

// ration is the share of a tier's requests that are taken. The zero value takes all.
type ration struct {
	cut   float64       // the part that is not taken, 0 to 1-leastRation
	since time.Duration // when the shortage began
}

// vain notes a request that was taken and got no place.
func (x *ration) vain(now time.Duration) {
	if x.cut == 0 {
		x.since = now
	}
	x.cut = 1 - max(leastRation, (1-x.cut)*(1-rationGain))
}

// placed notes a request that was taken and got one.
func (x *ration) placed() {
	x.cut = max(0, 1-(1-x.cut)*(1+rationGain*vainShare/(1-vainShare)))
}

// rationed reports whether a tier of a pool is not taken whole.
func (p *pool) rationed() bool {
	return slices.ContainsFunc(p.rations[:], func(x ration) bool { return x.cut > 0 })
}

// guesses are the latest expected lengths of a service's answers.
type guesses struct {
	last [guessesKept]int
	n    int
}

// rank gives the part of the kept lengths that are shorter than one, with equal ones drawn by
// u in [0, 1), and keeps it.
func (g *guesses) rank(tokens int, u float64) float64 {
	shorter, equal := 0, 1
	n := min(g.n, guessesKept)
	for _, t := range g.last[:n] {
		switch {
		case t < tokens:
			shorter++
		case t == tokens:
			equal++
		}
	}
	g.last[g.n%guessesKept] = tokens
	g.n++
	return (float64(shorter) + u*float64(equal)) / float64(n+1)
}

// maxGuesses bounds the services remembered.
const maxGuesses = 1 << 12

// rankLength sets how a request's expected answer compares with others of its service.
func (s *Scheduler) rankLength(r *Request) {
	if s.cfg.Disabled.Rationing || r.MaxTokens <= 1 {
		return
	}
	g := s.guesses[r.Settings.Service]
	if g == nil {
		if len(s.guesses) >= maxGuesses {
			clear(s.guesses)
		}
		g = &guesses{}
		s.guesses[r.Settings.Service] = g
	}
	r.length = g.rank(r.outGuess, s.Rand.Float64())
	r.taken = s.Rand.Float64() < rationChance
}

// rationed reports whether a request is beyond the share of its tier that is taken now.
func (s *Scheduler) rationed(r *Request) bool {
	return !r.taken && r.length > 1-r.pool.rations[r.rank()].cut
}

// rationAfter is when a request that is refused by a ration is to come back: a shortage that has
// lasted for some time is taken to last as long again.
func (s *Scheduler) rationAfter(now time.Duration, r *Request) time.Duration {
	return min(longestRation, max(s.wait(now, r), now-r.pool.rations[r.rank()].since))
}

// noteVain and notePlaced tell the ration of a request's tier what became of it.
func (s *Scheduler) noteVain(now time.Duration, r *Request) {
	if r.length > 0 && !r.taken {
		r.pool.rations[r.rank()].vain(now)
	}
}

func (s *Scheduler) notePlaced(r *Request) {
	if r.length > 0 && !r.taken {
		r.pool.rations[r.rank()].placed()
	}
}
