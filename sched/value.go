// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package sched

import (
	"math"
	"time"
)

// Objective holds the latency objectives of a request whose value falls if its first token, or the
// gap between two events, is late.
type Objective struct {
	// FirstToken is the wanted time from arrival to the first token; 0 means no objective.
	FirstToken time.Duration
	// EventGap is the longest wanted gap between two events; 0 means no limit.
	EventGap time.Duration
	// EventTokens is the number of tokens in an event; 0 means 1.
	EventTokens int
}

// Parameters of the expected value of a request at an endpoint. Values are shares of the value of
// an answer that is in time.
const (
	// lateValue is the value of an answer whose first token is late.
	lateValue = 0.3
	// firstTokenError is the scale of the error of a predicted first token, as a share of the
	// objective.
	firstTokenError = 0.15
	// lengthSigma is the standard deviation of the logarithm of the ratio of actual to expected
	// length.
	lengthSigma = 0.6
	// prefillChunkTokens is the number of prompt tokens that an engine computes between two tokens
	// of running streams.
	prefillChunkTokens = 2048
	// longGapFactor is the factor on the probability of a first token in time if gaps will be
	// long.
	longGapFactor = 0.5
	// stallCost is the value that each running stream loses to a long prompt at its endpoint.
	stallCost = 0.15
	// maxStallCost limits the loss of all streams together.
	maxStallCost = 0.5
	// gapMargin is the share of the wanted gap that a predicted gap may reach.
	gapMargin = 0.9
	// minValueShare is the share of the best possible value from which a request is dispatched.
	minValueShare = 0.15
	// valueTolerance is the difference up to which values count as equal.
	valueTolerance = 0.05
	// idleSlack is the multiple of the shortest possible time that a long prompt may take.
	idleSlack = 1.6
)

// expectedValue returns the expected value of a request at an endpoint:
//
//	P(ends by its deadline) · (lateValue + (1-lateValue) · P(first token in time) · gaps) · P(does not fail)
//
// where gaps is longGapFactor if earlier prompts make gaps too long, or else 1, less the cost to
// the streams that run there if the prompt makes their gaps too long. The error of the first token
// is modelled as logistic, that of the length as log-normal.
func (s *Scheduler) expectedValue(now time.Duration, r *Request, e *endpointState, load float64, firstToken, target time.Duration) float64 {
	step := time.Duration(float64(e.step()) * s.timeFactor(now, e))
	errorScale := firstTokenError * r.Objective.FirstToken.Seconds()
	firstInTime := 1 / (1 + math.Exp(-(target-now-firstToken).Seconds()/errorScale))
	doneInTime := 1.0
	if r.expectedOutput > 1 {
		timeLeft := (r.Deadline - now - firstToken).Seconds()
		if timeLeft <= 0 {
			return 0
		}
		margin := math.Log(timeLeft / (float64(r.expectedOutput) * step.Seconds()))
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

// stalls reports whether computing n prompt tokens makes the gaps of the streams at an endpoint
// too long: an event takes as many steps as it has tokens, and each step computes at most one
// chunk of prompt tokens.
func (s *Scheduler) stalls(r *Request, e *endpointState, step time.Duration, n int) bool {
	if r.Objective.EventGap <= 0 {
		return false
	}
	tokens := max(1, r.Objective.EventTokens)
	pause := time.Duration(tokens)*step + e.prefillTime(min(n, tokens*prefillChunkTokens))
	return pause > time.Duration(gapMargin*float64(r.Objective.EventGap))
}

// firstTokenTarget returns the time by which the first token is wanted: that of the objective, or
// for a prompt that no endpoint could compute in that time, idleSlack times the time of the
// fastest endpoint if it were idle.
func (s *Scheduler) firstTokenTarget(now time.Duration, r *Request) time.Duration {
	target := r.Arrived + r.Objective.FirstToken
	minIdle := time.Duration(math.MaxInt64)
	for _, e := range r.pool.members {
		if r.pool.usable(now, e) {
			minIdle = min(minIdle, e.prefillTime(r.PromptTokens)+e.step())
		}
	}
	if minIdle == math.MaxInt64 {
		return target
	}
	return max(target, now+time.Duration(idleSlack*float64(minIdle)))
}

// chooseByValue picks the endpoint for a request with an objective. It returns nil if waiting is
// better: no endpoint that admits the request gives minValueShare of the best value that an idle
// endpoint would give. Among endpoints of near-equal value it picks a less loaded one.
func (s *Scheduler) chooseByValue(now time.Duration, r *Request) *candidate {
	s.matchPrefix(r)
	s.cands = s.cands[:0]
	target := s.firstTokenTarget(now, r)
	best, silentLoad := math.Inf(-1), s.silentLoad(r.pool)
	zones := s.zoneRuleFor(now, r.pool, r)
	for _, e := range r.pool.members {
		if !e.available(now) || !r.accepts(e) {
			continue
		}
		load := s.load(now, e) + silentLoad
		zoneCost, ok := zones.cost(e)
		if !ok || r.avoids(e) || !s.admits(now, r, e, load) {
			continue
		}
		c := candidate{e: e, cached: s.cachedTokens(e), load: load}
		c.firstToken = s.predictFirstToken(now, r, e, load, c.cached)
		c.value = s.expectedValue(now, r, e, load, c.firstToken, target)
		c.slowdown = s.statedSlowdown(now, e)
		c.relativeLoad = load/float64(e.slots()) + e.prefillTime(s.prefillAhead(now, r, e)).Seconds()/r.Objective.FirstToken.Seconds() + c.slowdown - 1
		c.relativeLoad += zoneCost
		best = max(best, c.value)
		s.cands = append(s.cands, c)
	}
	if best < minValueShare*s.idealValue(now, r, target) && !r.lastChance {
		s.cands = s.cands[:0]
		return nil
	}
	return s.leastLoaded(best - valueTolerance)
}

// idealValue returns the best value that any endpoint would give a request if it were idle.
func (s *Scheduler) idealValue(now time.Duration, r *Request, target time.Duration) float64 {
	ideal := 0.0
	for _, e := range r.pool.members {
		if e.available(now) && r.accepts(e) {
			idle := e.prefillTime(r.PromptTokens) + e.step()
			ideal = max(ideal, s.expectedValue(now, r, e, 0, idle, target))
		}
	}
	return ideal
}

// leastLoaded picks the least loaded of two random candidates in this host's zone and two in other
// zones, all worth at least minValue. The random draw keeps hosts that decide at the same moment
// from all picking the same endpoint, and the split by zone keeps the few candidates in this zone
// from being missed among many others.
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
	n = s.withoutSlow(n)
	sameZoneCount := s.partitionByZone(n)
	picked := s.lessLoadedOfTwo(s.cands[:sameZoneCount])
	if other := s.lessLoadedOfTwo(s.cands[sameZoneCount:n]); picked == nil || (other != nil && other.relativeLoad < picked.relativeLoad) {
		picked = other
	}
	return picked
}

// partitionByZone moves those of the first n candidates that are in this host's zone to the front
// and returns their number.
func (s *Scheduler) partitionByZone(n int) int {
	sameZone := 0
	for i := range s.cands[:n] {
		if !s.cands[i].e.CrossZone {
			s.cands[sameZone], s.cands[i] = s.cands[i], s.cands[sameZone]
			sameZone++
		}
	}
	return sameZone
}

// lessLoadedOfTwo picks the less loaded of two different random candidates, or nil if there are
// none.
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

// prefillAhead returns the number of prompt tokens that are computed before those of a request.
func (s *Scheduler) prefillAhead(now time.Duration, r *Request, e *endpointState) int {
	ahead := int(s.reportWeight(now, e) * float64(e.othersPrefill))
	for k := 0; k <= r.rank(); k++ {
		ahead += e.ownPrefill[k]
	}
	return ahead
}
