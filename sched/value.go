// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package sched

import (
	"math"
	"time"
)

// Objective is what a request is worth where: it is set for requests whose worth falls
// once the first token, or a pause between two events, is late.
type Objective struct {
	// FirstToken is the time from arrival in which the first token is wanted; 0 means no aim.
	FirstToken time.Duration
	// EventGap is the longest pause between two events that is wanted; 0 means any.
	EventGap time.Duration
	// EventTokens is the number of tokens in an event; 0 means 1.
	EventTokens int
}

// Figures of the worth of an endpoint for a request.
const (
	// lateWorth is the part of its worth that a late answer keeps.
	lateWorth = 0.3
	// firstBlur is the error of a predicted first token, as a part of the aim.
	firstBlur = 0.15
	// lengthBlur is the standard deviation of the logarithm of actual over guessed length.
	lengthBlur = 0.6
	// pieceTokens is the number of prompt tokens that an engine reads between two tokens of others.
	pieceTokens = 2048
	// gapWorth is the part of the in-time worth that remains where pauses will be long.
	gapWorth = 0.5
	// stallWorth is the part of a running stream's worth that a long prompt beside it costs.
	stallWorth = 0.15
	// mostStall bounds that.
	mostStall = 0.5
	// gapMargin is the part of the wanted pause that a predicted one may take.
	gapMargin = 0.9
	// enoughWorth is the part of the best possible worth for which a request is sent.
	enoughWorth = 0.15
	// nearWorth is the difference of worth that counts as none.
	nearWorth = 0.05
	// idleSlack is how many times the least possible time a long prompt may take.
	idleSlack = 1.6
)

// worth is the expected part of its worth that a request earns at an endpoint:
//
//	P(ends by its deadline) · (lateWorth + (1-lateWorth) · P(first token in time) · gaps) · P(does not fail)
//
// less what its prompt costs the streams that run there. The first token's error
// is taken as logistic, the length's as log-normal.
func (s *Scheduler) worth(now time.Duration, r *Request, e *endpointState, load float64, first, due time.Duration) float64 {
	step := time.Duration(float64(e.step()) * s.slowness(now, e))
	blur := firstBlur * r.Objective.FirstToken.Seconds()
	inTime := 1 / (1 + math.Exp(-(due-now-first).Seconds()/blur))
	done := 1.0
	if r.outGuess > 1 {
		left := (r.Deadline - now - first).Seconds()
		if left <= 0 {
			return 0
		}
		over := math.Log(left / (float64(r.outGuess) * step.Seconds()))
		done = 0.5 * math.Erfc(-over/(lengthBlur*math.Sqrt2))
	}
	ahead := s.prefillAhead(now, r, e)
	if s.stalls(r, e, step, ahead) {
		inTime *= gapWorth
	}
	w := done * (lateWorth + (1-lateWorth)*inTime) * (1 - s.risk(now, r, e))
	if s.stalls(r, e, step, ahead+r.PromptTokens) {
		w -= min(mostStall, stallWorth*load)
	}
	return w
}

// stalls tells whether the reading of n prompt tokens makes a pause of the streams that
// run there too long: an event waits for as many steps as it has tokens, and each step
// reads at most a piece.
func (s *Scheduler) stalls(r *Request, e *endpointState, step time.Duration, n int) bool {
	if r.Objective.EventGap <= 0 {
		return false
	}
	tokens := max(1, r.Objective.EventTokens)
	pause := time.Duration(tokens)*step + e.prefillTime(min(n, tokens*pieceTokens))
	return pause > time.Duration(gapMargin*float64(r.Objective.EventGap))
}

// due is the time by which the first token is wanted: in aim, or for a prompt that
// no endpoint could read in that time, not much later than the fastest idle one could.
func (s *Scheduler) due(now time.Duration, r *Request) time.Duration {
	due := r.Arrived + r.Objective.FirstToken
	least := time.Duration(math.MaxInt64)
	for _, e := range r.pool.members {
		if r.pool.usable(now, e) {
			least = min(least, e.prefillTime(r.PromptTokens)+e.step())
		}
	}
	if least == math.MaxInt64 {
		return due
	}
	return max(due, now+time.Duration(idleSlack*float64(least)))
}

// chooseByWorth picks the endpoint for a request with an aim, or none if waiting is
// better: nothing that admits it is worth enough of what the best endpoint would be
// worth if it were idle. Among endpoints of near-equal worth it takes the one with
// the most room.
func (s *Scheduler) chooseByWorth(now time.Duration, r *Request) *candidate {
	s.matchPrefix(r)
	s.cands = s.cands[:0]
	due := s.due(now, r)
	best, ideal, hidden := math.Inf(-1), 0.0, s.hidden(r.pool)
	for _, e := range r.pool.members {
		if !e.serves(now) {
			continue
		}
		idle := e.prefillTime(r.PromptTokens) + e.step()
		ideal = max(ideal, s.worth(now, r, e, 0, idle, due))
		load := s.load(now, e) + hidden
		if e == r.avoid || !s.admits(now, r, e, load) {
			continue
		}
		c := candidate{e: e, cached: s.cachedAt(e), load: load}
		c.first = s.predict(now, r, e, load, c.cached)
		c.worth = s.worth(now, r, e, load, c.first, due)
		c.room = load/float64(e.slots()) + e.prefillTime(s.prefillAhead(now, r, e)).Seconds()/r.Objective.FirstToken.Seconds()
		if e.CrossZone {
			c.room += s.cfg.CrossZoneCost
		}
		best = max(best, c.worth)
		s.cands = append(s.cands, c)
	}
	if best < enoughWorth*ideal && !r.last {
		s.cands = s.cands[:0]
		return nil
	}
	return s.roomiest(best - nearWorth)
}

// roomiest picks the one with most room of two random near and two random far
// candidates that are worth least or more: hosts that decide alike at the same moment
// must not all pick the same, and near ones must not be missed among many far ones.
func (s *Scheduler) roomiest(least float64) *candidate {
	n := 0
	for i := range s.cands {
		if s.cands[i].worth >= least {
			s.cands[n], s.cands[i] = s.cands[i], s.cands[n]
			n++
		}
	}
	if n == 0 {
		return nil
	}
	far := s.split(n)
	got := s.roomierOfTwo(s.cands[:far])
	if other := s.roomierOfTwo(s.cands[far:n]); got == nil || (other != nil && other.room < got.room) {
		got = other
	}
	return got
}

// split moves the near ones of the first n candidates to the front and returns their number.
func (s *Scheduler) split(n int) int {
	near := 0
	for i := range s.cands[:n] {
		if !s.cands[i].e.CrossZone {
			s.cands[near], s.cands[i] = s.cands[i], s.cands[near]
			near++
		}
	}
	return near
}

// roomierOfTwo picks the one with more room of two different random candidates, nil if there are none.
func (s *Scheduler) roomierOfTwo(cands []candidate) *candidate {
	n := len(cands)
	if n == 0 {
		return nil
	}
	i := s.Rand.IntN(n)
	got := &cands[i]
	if n == 1 {
		return got
	}
	if other := &cands[(i+1+s.Rand.IntN(n-1))%n]; other.room < got.room {
		got = other
	}
	return got
}

// prefillAhead is the prompt tokens that are read before those of a request.
func (s *Scheduler) prefillAhead(now time.Duration, r *Request, e *endpointState) int {
	ahead := int(s.fade(now, e) * float64(e.othersPrefill))
	for k := 0; k <= r.rank(); k++ {
		ahead += e.ownPrefill[k]
	}
	return ahead
}
