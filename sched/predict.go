// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package sched

import "time"

// load estimates the number of requests at an endpoint: this host's own, the other hosts' from the
// last report, weighted by its age, and those that other hosts may have sent since.
func (s *Scheduler) load(now time.Duration, e *endpointState) float64 {
	weight := s.reportWeight(now, e)
	n := float64(e.own) + weight*float64(e.others)
	if !s.cfg.Disabled.PeerCorrection && s.SharingHosts > 1 {
		sinceReport := float64(max(0, e.own-e.atReport.outstanding))
		n += weight * s.cfg.OthersShare * float64(s.SharingHosts-1) * sinceReport
	}
	return n
}

// reportWeight returns the weight of the last report: 1 when new, 0 at ReportTTL.
func (s *Scheduler) reportWeight(now time.Duration, e *endpointState) float64 {
	if !e.hasReport {
		return 0
	}
	age := float64(now-e.report.At) / float64(s.cfg.ReportTTL)
	return max(0, 1-age)
}

// predictFirstToken estimates the time to the first token of r at e, which already holds the
// cached prompt tokens. Prompts of lower tiers are left out, since engines honour priorities.
func (s *Scheduler) predictFirstToken(now time.Duration, r *Request, e *endpointState, load float64, cached int) time.Duration {
	ahead := s.prefillAhead(now, r, e)
	uncached := max(1, r.PromptTokens-cached)
	t := e.prefillTime(ahead+uncached) + e.step()
	if excess := load + 1 - float64(e.slots()); excess > 0 {
		t += time.Duration(excess / float64(e.slots()) * float64(s.serviceTime(e)))
	}
	return time.Duration(float64(t) * s.timeFactor(now, e))
}

// serviceTime returns the mean time that a request spends at e.
func (s *Scheduler) serviceTime(e *endpointState) time.Duration {
	if e.meanService > 0 {
		return e.meanService
	}
	return time.Duration(defaultOutput) * e.step()
}

// predictCompletion estimates the time to the end of the answer.
func (s *Scheduler) predictCompletion(now time.Duration, r *Request, e *endpointState, firstToken time.Duration) time.Duration {
	return firstToken + time.Duration(float64(r.expectedOutput)*float64(e.step())*s.timeFactor(now, e))
}
