// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package sched

import "time"

// load estimates the requests at an endpoint: the own ones, the others' of the
// last report fading with its age, and what others may have sent since.
func (s *Scheduler) load(now time.Duration, e *endpointState) float64 {
	fade := s.fade(now, e)
	n := float64(e.own) + fade*float64(e.others)
	if !s.cfg.Disabled.PeerCorrection && s.SharingHosts > 1 {
		since := float64(max(0, e.own-e.atReport.outstanding))
		n += fade * s.cfg.OthersShare * float64(s.SharingHosts-1) * since
	}
	return n
}

// fade is the weight of the last report: 1 when fresh, 0 at ReportLife.
func (s *Scheduler) fade(now time.Duration, e *endpointState) float64 {
	if !e.hasReport {
		return 0
	}
	age := float64(now-e.report.At) / float64(s.cfg.ReportTTL)
	return max(0, 1-age)
}

// predict estimates the time to the first token of r at e, given the prompt
// tokens that e need not compute. Prompt work of lower tiers is left out, since
// engines honour priorities.
func (s *Scheduler) predict(now time.Duration, r *Request, e *endpointState, load float64, cached int) time.Duration {
	ahead := s.prefillAhead(now, r, e)
	fresh := max(1, r.PromptTokens-cached)
	t := e.prefillTime(ahead+fresh) + e.step()
	if over := load + 1 - float64(e.slots()); over > 0 {
		t += time.Duration(over / float64(e.slots()) * float64(s.serviceTime(e)))
	}
	return time.Duration(float64(t) * s.slowness(now, e))
}

// serviceTime is the mean time that a request spends at e.
func (s *Scheduler) serviceTime(e *endpointState) time.Duration {
	if e.service > 0 {
		return e.service
	}
	return time.Duration(defaultOutput) * e.step()
}

// completion estimates the time to the end of the answer.
func (s *Scheduler) completion(now time.Duration, r *Request, e *endpointState, first time.Duration) time.Duration {
	return first + time.Duration(float64(r.outGuess)*float64(e.step())*s.slowness(now, e))
}
