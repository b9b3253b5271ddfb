// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package rollout

import (
	"math"
	"time"
)

// Parameters of the plan of a roll-out, as shares of its duration or of Limits.Share.
const (
	// trialShare is the share of the requests that the new version gets at first, and maxTrialShare the same
	// where that is less than trialAnswers until moveAfter: a version of which two answers of five are slow is
	// told apart after 16 answers, and slow answers arrive late.
	trialShare    = 0.2
	maxTrialShare = 1.0
	trialAnswers  = 45
	// moveAfter is the share of the duration after which that share grows: late, since a version may turn
	// out bad at any time until then, and early enough for the requests at the old version to end.
	moveAfter = 0.62
	// doubling is the share of the duration in which the share doubles from then on. A version that is bad
	// only under load is noticed within some doublings, before it has had Limits.Share of all requests.
	doubling = 0.015
	// observeFor is the share of the duration for which the new version must have got all requests before a
	// roll-out has succeeded: a version that is bad under load is noticed by then.
	observeFor = 0.14
	// endFor is the same after which requests that still run at the old version are not waited for.
	endFor = 0.18
	// followShare is the share of the others from which a host that learned of the order late sends all
	// requests to the new version: what it hears of the others is some time old.
	followShare = 0.5
	// minSlots is the share of the old version's slots below which the new version has too few to take all
	// requests.
	minSlots = 0.5
	// hearTime is the time for which a host that has learned of an order sends nothing to the new version:
	// it may have learned of it late, and hears by then if others have rolled it back.
	hearTime = 2 * time.Second
)

// Slots are the slots of a service's endpoints that get requests, by version.
type Slots struct {
	// New are those of the new version, and Old those of all others.
	New, Old int
	// OldRunning is the number of requests that run at the others, those of all hosts included.
	OldRunning int
}

// rollout is one order as a host carries it out.
type rollout struct {
	Order
	begun     time.Duration // when the host learned of the order
	fullSince time.Duration // since when this host sends all requests to the new version, or 0
	// late says that the order may be older than that. The host then follows the share of the others.
	late   bool
	others recentShare
	state  State
	// held says that nothing is sent to the new version until it is known whether it was rolled back before.
	held bool
	// excluded says that the scheduler was told that the new version gets no requests.
	excluded bool
	// canceled says that the order is gone.
	canceled bool
	slots    Slots
	counts   map[tallyKey]Tally // of all hosts, since the host learned of the order
}

// share returns the share of the service's requests that the new version gets.
func (r *rollout) share(now time.Duration, l Limits) float64 {
	switch {
	case r.state == RolledBack || r.slots.New == 0:
		return 0
	case r.state == Succeeded || r.slots.Old == 0:
		return 1
	case r.held || now-r.begun < hearTime:
		return 0
	}
	share := r.trialShare(now, l)
	if past := r.past(now) - moveAfter; past > 0 && float64(r.slots.New) >= minSlots*float64(r.slots.Old) {
		share *= math.Exp2(past / doubling)
	}
	if r.late {
		share = max(share, r.others.share(now))
		if share > followShare {
			share = 1
		}
	}
	return min(1, share)
}

// trialShare returns the share of the requests that the new version gets at first.
func (r *rollout) trialShare(now time.Duration, l Limits) float64 {
	sum := 0.0
	for _, t := range r.counts {
		sum += t.Answers
	}
	trialTime := time.Duration(moveAfter*float64(r.Duration)) - hearTime
	if sum == 0 || trialTime <= 0 {
		return trialShare * l.Share
	}
	expected := sum / (now - r.begun).Seconds() * trialTime.Seconds()
	return min(max(trialShare*l.Share, trialAnswers/expected), maxTrialShare*l.Share)
}

// recentShare is the share of the recent answers of other hosts that came from the new version.
type recentShare struct {
	newCount, oldCount float64
	at                 time.Duration
}

// recentHalfLife is the time in which an answer of recentShare loses half of its weight: some reports long.
const recentHalfLife = time.Second

// add adds answers.
func (s *recentShare) add(now time.Duration, isNew bool, n float64) {
	weight := math.Exp2(-(now - s.at).Seconds() / recentHalfLife.Seconds())
	s.newCount, s.oldCount, s.at = s.newCount*weight, s.oldCount*weight, now
	if isNew {
		s.newCount += n
	} else {
		s.oldCount += n
	}
}

// share returns the share, which is 0 if there were no answers for long.
func (s *recentShare) share(now time.Duration) float64 {
	sum := s.newCount + s.oldCount
	if sum == 0 || now-s.at > 3*recentHalfLife {
		return 0
	}
	return s.newCount / sum
}

// noteShare records since when the new version gets all requests.
func (r *rollout) noteShare(now time.Duration, l Limits) {
	switch {
	case r.share(now, l) < 1:
		r.fullSince = 0
	case r.fullSince == 0:
		r.fullSince = now
	}
}

// past returns the share of the duration that is over.
func (r *rollout) past(now time.Duration) float64 {
	return (now - r.begun).Seconds() / r.Duration.Seconds()
}

// judge decides whether the new version serves worse than the others, on all routes together or on one.
func (r *rollout) judge() {
	var allNew, allOld Tally
	for k, t := range r.counts {
		if !k.isNew {
			continue
		}
		old := r.counts[tallyKey{k.route, false}]
		if t.worse(old) {
			r.rollBack()
			return
		}
		allNew, allOld = allNew.add(t), allOld.add(old)
	}
	if allNew.worse(allOld) {
		r.rollBack()
	}
}

// rollBack takes the traffic from the new version, unless it is the only one left.
func (r *rollout) rollBack() {
	if r.state == Running && r.slots.Old > 0 {
		r.state = RolledBack
	}
}

// moved reports whether all requests go to the new version and those at the others have ended, or are not
// waited for any longer.
func (r *rollout) moved(now time.Duration, l Limits) bool {
	if r.state != Running || r.fullSince == 0 || r.share(now, l) < 1 {
		return false
	}
	full := (now - r.fullSince).Seconds() / r.Duration.Seconds()
	return full >= endFor || (full >= observeFor && r.slots.OldRunning == 0)
}
