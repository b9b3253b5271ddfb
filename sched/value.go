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
	// lateValue is the part of its worth that a late answer keeps.
	lateValue = 0.3
	// firstTokenError is the error of a predicted first token, as a part of the aim.
	firstTokenError = 0.15
	// lengthSigma is the standard deviation of the logarithm of actual over guessed length.
	lengthSigma = 0.6
	// prefillChunkTokens is the number of prompt tokens that an engine reads between two tokens of others.
	prefillChunkTokens = 2048
	// longGapFactor is the part of the in-time worth that remains where pauses will be long.
	longGapFactor = 0.5
	// stallCost is the part of a running stream's worth that a long prompt beside it costs.
	stallCost = 0.15
	// maxStallCost bounds that.
	maxStallCost = 0.5
	// gapMargin is the part of the wanted pause that a predicted one may take.
	gapMargin = 0.9
	// minValueShare is the part of the best possible worth for which a request is sent.
	minValueShare = 0.15
	// valueTolerance is the difference of worth that counts as none.
	valueTolerance = 0.05
	// idleSlack is how many times the least possible time a long prompt may take.
	idleSlack = 1.6
)

// expectedValue is the expected part of its worth that a request earns at an endpoint:
//
//	P(ends by its deadline) · (lateWorth + (1-lateWorth) · P(first token in time) · gaps) · P(does not fail)
//
// less what its prompt costs the streams that run there. The first token's error
// is taken as logistic, the length's as log-normal.
func (s *Scheduler) expectedValue(now time.Duration, r *Request, e *endpointState, load float64, firstToken, target time.Duration) float64 {
	step := time.Duration(float64(e.step()) * s.slowness(now, e))
	errorScale := firstTokenError * r.Objective.FirstToken.Seconds()
	firstInTime := 1 / (1 + math.Exp(-(target-now-firstToken).Seconds()/errorScale))
	doneInTime := 1.0
	if r.expectedOutput > 1 {
		left := (r.Deadline - now - firstToken).Seconds()
		if left <= 0 {
			return 0
		}
		margin := math.Log(left / (float64(r.expectedOutput) * step.Seconds()))
		doneInTime = 0.5 * math.Erfc(-margin/(lengthSigma*math.Sqrt2))
	}
	ahead := s.prefillAhead(now, r, e)
	if s.stalls(r, e, step, ahead) {
		firstInTime *= longGapFactor
	}
	value := doneInTime * (lateValue + (1-lateValue)*firstInTime) * (1 - s.risk(now, r, e))
	if s.stalls(r, e, step, ahead+r.PromptTokens) {
		value -= min(maxStallCost, stallCost*load)
	}
	return value
}

// stalls tells whether the reading of n prompt tokens makes a pause of the streams that
// run there too long: an event waits for as many steps as it has tokens, and each step
// reads at most a piece.
func (s *Scheduler) stalls(r *Request, e *endpointState, step time.Duration, n int) bool {
	if r.Objective.EventGap <= 0 {
		return false
	}
	tokens := max(1, r.Objective.EventTokens)
	pause := time.Duration(tokens)*step + e.prefillTime(min(n, tokens*prefillChunkTokens))
	return pause > time.Duration(gapMargin*float64(r.Objective.EventGap))
}

// firstTokenTarget is the time by which the first token is wanted: in aim, or for a prompt that
// no endpoint could read in that time, not much later than the fastest idle one could.
func (s *Scheduler) firstTokenTarget(now time.Duration, r *Request) time.Duration {
	target := r.Arrived + r.Objective.FirstToken
	least := time.Duration(math.MaxInt64)
	for _, e := range r.pool.members {
		if r.pool.usable(now, e) {
			least = min(least, e.prefillTime(r.PromptTokens)+e.step())
		}
	}
	if least == math.MaxInt64 {
		return target
	}
	return max(target, now+time.Duration(idleSlack*float64(least)))
}

// chooseByValue picks the endpoint for a request with an aim, or none if waiting is
// better: nothing that admits it is worth enough of what the best endpoint would be
// worth if it were idle. Among endpoints of near-equal worth it takes the one with
// the most room.
func (s *Scheduler) chooseByValue(now time.Duration, r *Request) *candidate {
	s.matchPrefix(r)
	s.cands = s.cands[:0]
	target := s.firstTokenTarget(now, r)
	best, ideal, silentLoad := math.Inf(-1), 0.0, s.silentLoad(r.pool)
	for _, e := range r.pool.members {
		if !e.available(now) {
			continue
		}
		idle := e.prefillTime(r.PromptTokens) + e.step()
		ideal = max(ideal, s.expectedValue(now, r, e, 0, idle, target))
		load := s.load(now, e) + silentLoad
		if e == r.avoid || !s.admits(now, r, e, load) {
			continue
		}
		c := candidate{e: e, cached: s.cachedTokens(e), load: load}
		c.firstToken = s.predictFirstToken(now, r, e, load, c.cached)
		c.value = s.expectedValue(now, r, e, load, c.firstToken, target)
		c.relativeLoad = load/float64(e.slots()) + e.prefillTime(s.prefillAhead(now, r, e)).Seconds()/r.Objective.FirstToken.Seconds()
		if e.CrossZone {
			c.relativeLoad += s.cfg.CrossZoneCost
		}
		best = max(best, c.value)
		s.cands = append(s.cands, c)
	}
	if best < minValueShare*ideal && !r.lastChance {
		s.cands = s.cands[:0]
		return nil
	}
	return s.leastLoaded(best - valueTolerance)
}

// leastLoaded picks the one with most room of two random near and two random far
// candidates that are worth least or more: hosts that decide alike at the same moment
// must not all pick the same, and near ones must not be missed among many far ones.
func (s *Scheduler) leastLoaded(minValue float64) *candidate {
	n := 0
	for i := range s.cands {
		if s.cands[i].value >= minValue {
			s.cands[n], s.cands[i] = s.cands[i], s.cands[n]
			n++
		}
	}
	if n == 0 {
		return nil
	}
	nearCount := s.partitionByZone(n)
	picked := s.lessLoadedOfTwo(s.cands[:nearCount])
	if other := s.lessLoadedOfTwo(s.cands[nearCount:n]); picked == nil || (other != nil && other.relativeLoad < picked.relativeLoad) {
		picked = other
	}
	return picked
}

// partitionByZone moves the near ones of the first n candidates to the front and returns their number.
func (s *Scheduler) partitionByZone(n int) int {
	near := 0
	for i := range s.cands[:n] {
		if !s.cands[i].e.CrossZone {
			s.cands[near], s.cands[i] = s.cands[i], s.cands[near]
			near++
		}
	}
	return near
}

// lessLoadedOfTwo picks the one with more room of two different random candidates, nil if there are none.
func (s *Scheduler) lessLoadedOfTwo(cands []candidate) *candidate {
	n := len(cands)
	if n == 0 {
		return nil
	}
	i := s.Rand.IntN(n)
	picked := &cands[i]
	if n == 1 {
		return picked
	}
	if other := &cands[(i+1+s.Rand.IntN(n-1))%n]; other.relativeLoad < picked.relativeLoad {
		picked = other
	}
	return picked
}

// prefillAhead is the prompt tokens that are read before those of a request.
func (s *Scheduler) prefillAhead(now time.Duration, r *Request, e *endpointState) int {
	ahead := int(s.reportWeight(now, e) * float64(e.othersPrefill))
	for k := 0; k <= r.rank(); k++ {
		ahead += e.ownPrefill[k]
	}
	return ahead
}
