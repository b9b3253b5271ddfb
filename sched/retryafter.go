// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package sched

import "time"

// In fleets in which the hosts do not all exchange state directly, the retry time of a refused
// request follows from what all hosts together have waiting, and the same information refuses a
// request early that would wait for too long. docs/design/retries.md compares the alternatives.

const (
	// directHosts is the largest fleet in which all hosts exchange state directly, as DirectHosts of
	// package peers; such fleets use the host's own estimate.
	directHosts = 9
	// noEndRefusedShare is the share of a tier refused by its ration from which no end of the
	// shortage is expected. Small shares also occur below the capacity.
	noEndRefusedShare = 0.1
	// retryLimitShare is the share of its remaining time up to which a caller honors a retry time.
	// Callers told to wait for longer would all return at this time.
	retryLimitShare = 1.0 / 3
	// retrySpread is the share of the latest retry time over which callers are spread. With 1/2 and
	// 2/3 of the caller's limit more callers return during a surge: 0.225 and 0.230 of them are
	// refused twice at 32 hosts and twice the capacity, against 0.210.
	retrySpread = 0.25
	// earlyWaitShare is the share of its waiting time that a request's expected wait may reach. With
	// 1, almost no request is refused early; with 0.5 as many are served, and refused callers are
	// held for 45 to 70 ms instead of 95 at twice the capacity or more without rations.
	earlyWaitShare = 0.5
)

// drawRetryAfter draws the time after which a refused caller should return, given the expected time
// until there is capacity, the limit that its caller honors and a random number u in [0, 1).
func drawRetryAfter(expected, limit time.Duration, u float64) time.Duration {
	const earliestShare = 1 - retrySpread
	latest := max(min(float64(expected)/earliestShare, float64(limit)), float64(minRetryAfter)/earliestShare)
	return time.Duration(latest * (earliestShare + retrySpread*u))
}

// Retry times of refused requests that go on with a stream.
const (
	// continueShare is the share of its remaining time after which a caller returns, at most maxContinueWait.
	continueShare   = 1.0 / 8
	maxContinueWait = 1200 * time.Millisecond
	// continueSpread is the share of that time by which callers come earlier or later: streams that break off together are taken up
	// together.
	continueSpread = 0.25
)

// ContinueRetryAfter returns the time after which the caller of a refused request that goes on with a stream should return, given the
// earliest time at which there may be room for it and the time that the caller has left; u is a random number in [0, 1). A caller returns a
// few times only, and many others wait for the same room: told to return as soon as there is some, it would give up within a second, long
// before its stream has to end.
func ContinueRetryAfter(earliest, left time.Duration, u float64) time.Duration {
	t := min(time.Duration(continueShare*float64(left)), maxContinueWait)
	return max(earliest, time.Duration(float64(t)*(1+continueSpread*(2*u-1))))
}

// usesFleetState reports whether decisions use the backlog of all hosts: in a large fleet of which
// at least half of the hosts are heard.
func (s *Scheduler) usesFleetState() bool {
	return s.SharingHosts > directHosts && s.peerState.Age > 0 && 2*s.silentPeers < s.SharingHosts
}

// RetryAfter returns the time after which the caller of a refused request should return, given this
// host's own estimate. The request must have been submitted.
func (s *Scheduler) RetryAfter(now time.Duration, r *Request, own time.Duration) time.Duration {
	if s.cfg.Disabled.FleetRetry || !s.usesFleetState() {
		return own
	}
	limit := min(maxRationRetryAfter, time.Duration(retryLimitShare*float64(r.Deadline-now)))
	return drawRetryAfter(max(own, s.backlogTime(now, r)), limit, s.Rand.Float64())
}

// backlogTime returns the expected time until the requests of r's tier and above that wait at all
// hosts are served, at most maxRationRetryAfter: the waiting requests, divided by the rate at which
// endpoints serve less the rate at which requests arrive.
func (s *Scheduler) backlogTime(now time.Duration, r *Request) time.Duration {
	p := r.pool
	arriving := 0.0
	for k := 0; k <= r.rank(); k++ {
		arriving += p.demands[k].rate()
	}
	spare := s.serviceRate(now, p) - arriving*float64(s.SharingHosts)
	if spare <= 0 || s.ration(r).refusedShare > noEndRefusedShare {
		return maxRationRetryAfter
	}
	seconds := (s.fleetWaiting(r, 1) + 1) / spare
	return time.Duration(min(seconds, maxRationRetryAfter.Seconds()) * float64(time.Second))
}

// fleetWaiting returns the number of requests that wait at all hosts in the tiers above r's, and the
// given share of those in its own.
func (s *Scheduler) fleetWaiting(r *Request, ownTier float64) float64 {
	n := 0.0
	peers := s.peerState.Waiting[r.pool.model]
	for k := 0; k <= r.rank(); k++ {
		inTier := float64(r.pool.tiers[k].waiting)
		if k < len(peers) {
			inTier += float64(peers[k])
		}
		if k == r.rank() {
			inTier *= ownTier
		}
		n += inTier
	}
	return n
}

// waitsTooLong reports whether a request is expected to get no slot before its queue deadline, with
// what waits at all hosts. Of its own tier, the share counts that this host would serve before it,
// since the queues are fair among workspaces. If none of its tier wait here, no wait is assumed:
// reports of other hosts are older than the requests that they count. Where slot owners divide slots, a
// request of a small workspace waits less than that, and none is refused here.
func (s *Scheduler) waitsTooLong(now time.Duration, r *Request) bool {
	if s.SlotOwners {
		return false
	}
	q := &r.pool.tiers[r.rank()]
	if s.cfg.Disabled.EarlyBacklog || r.rationExempt || r.DispatchBy == 0 || q.waiting == 0 || q.cost == 0 || !s.usesFleetState() {
		return false
	}
	before := q.costBefore(r.Settings.Workspace, r.Settings.Weight) / q.cost
	left := (r.queueDeadline() - now).Seconds()
	return s.fleetWaiting(r, before) > earlyWaitShare*left*s.serviceRate(now, r.pool)
}
