// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package quarantine

import (
	"slices"
	"time"
)

// Limits on the evidence sent to peers.
const (
	// eventTTL is the time for which new evidence is sent: ten heartbeats, so that a tenth of them
	// may be lost.
	eventTTL = 2 * time.Second
	// maxEventsPerMessage and maxHoldsPerMessage limit the entries of a message, about 40 and 90
	// bytes each. Holds are sent in turn.
	maxEventsPerMessage = 32
	maxHoldsPerMessage  = 2
)

// Outgoing returns the evidence to send: recent evidence, the newest first, and the next few of the
// requests that are on trial or held, so that hosts that start learn all of these in time.
func (reg *Registry) Outgoing(now time.Duration, scope Scope) Evidence {
	firstLive := slices.IndexFunc(reg.events, func(e event) bool { return now-e.at < eventTTL })
	if firstLive < 0 {
		firstLive = len(reg.events)
	}
	reg.events = slices.Delete(reg.events, 0, firstLive)
	var out Evidence
	for i := len(reg.events) - 1; i >= 0 && len(out.Crashes)+len(out.Clears) < maxEventsPerMessage; i-- {
		e := &reg.events[i]
		if s := reg.suspects[e.fingerprint]; s != nil && (scope == All || (scope == Local && e.local) || (scope == Repeated && s.broadcast)) {
			s.appendEvent(now, e, &out)
		}
	}
	for range min(maxHoldsPerMessage, len(reg.restricted)) {
		reg.nextRestricted %= len(reg.restricted)
		f := reg.restricted[reg.nextRestricted]
		reg.nextRestricted++
		out.Holds = append(out.Holds, reg.suspects[f].holdEvidence(now, f))
	}
	return out
}

// holdEvidence returns the evidence that a request is on trial or held.
func (s *suspect) holdEvidence(now time.Duration, f Fingerprint) Hold {
	h := Hold{Fingerprint: f, OnTrial: true, Trials: s.trials, HoldCount: s.holdCount, AgeMS: (now - s.lastCrash).Milliseconds()}
	if s.trials > 0 {
		h.LastTrialMS = (now - s.lastTrial).Milliseconds()
	}
	if now < s.heldUntil {
		h.LeftMS, h.Request, h.SavedMS = (s.heldUntil - now).Milliseconds(), s.request, s.savedAge(now).Milliseconds()
	}
	return h
}

// appendEvent adds an event to a message unless it is outdated.
func (s *suspect) appendEvent(now time.Duration, e *event, out *Evidence) {
	if e.incarnation == "" {
		out.Clears = append(out.Clears, Clear{e.fingerprint, (now - s.clearedAt).Milliseconds()})
	} else if c, ok := s.crashes[e.incarnation]; ok {
		out.Crashes = append(out.Crashes, Crash{e.fingerprint, e.incarnation, (now - c.at).Milliseconds(), c.requestAge.Milliseconds(), c.noResponse, c.host, c.inconclusive})
	}
}

// Merge adds the evidence of another host. It reports whether some of it is new and concerns all
// hosts.
func (reg *Registry) Merge(now time.Duration, evidence *Evidence) bool {
	changed := false
	for _, c := range evidence.Clears {
		if reg.clearCrashes(now, c.Fingerprint, momentAt(now, c.AgeMS), false) {
			changed = changed || reg.suspects[c.Fingerprint].broadcast
		}
	}
	for _, c := range evidence.Crashes {
		if len(c.Incarnation) > maxNameBytes || len(c.Host) > maxNameBytes {
			continue
		}
		if reg.addCrash(now, c.Fingerprint, c.Incarnation, crash{momentAt(now, c.AgeMS), clampSpan(c.RequestAgeMS), c.NoResponse, c.Inconclusive, c.Host}) {
			changed = changed || reg.suspects[c.Fingerprint].broadcast
		}
	}
	for _, h := range evidence.Holds {
		reg.mergeHold(now, h)
	}
	return changed
}

// maxNameBytes limits the length of the names of incarnations and hosts, and of the descriptions of
// requests, that other hosts send.
const maxNameBytes = 200

// mergeHold adds another host's evidence that a request is on trial or held, unless the request was
// answered since.
func (reg *Registry) mergeHold(now time.Duration, h Hold) {
	left := time.Duration(min(h.LeftMS, maxHold.Milliseconds())) * time.Millisecond
	isHold := left > 0 && h.HoldCount > 0
	if !isHold && !h.OnTrial {
		return
	}
	lastCrash := momentAt(now, h.AgeMS)
	if reg.clearedHere(now, h.Fingerprint, lastCrash, false) {
		return
	}
	s := reg.suspect(h.Fingerprint)
	clearedUntil := s.clearedAt + reg.clearedFor()
	if lastCrash <= clearedUntil && (h.Trials == 0 || momentAt(now, h.LastTrialMS) <= clearedUntil) {
		return // only a send granted after the answer counts, even if its host did not know of the answer
	}
	if s.request == "" && len(h.Request) <= maxNameBytes {
		s.request = h.Request
	}
	if h.SavedMS > 0 {
		s.savedAt = max(s.savedAt, momentAt(now, h.SavedMS), 1)
	}
	s.lastCrash = max(s.lastCrash, lastCrash)
	reg.mergeTrials(now, &h, s)
	if !isHold || now+left < s.heldUntil+minHoldExtension {
		return
	}
	s.broadcast, s.holdCount = true, max(s.holdCount, min(h.HoldCount, maxHoldCount))
	reg.hold(h.Fingerprint, s, now+left)
}

// mergeTrials adds the granted sends that another host knows of.
func (reg *Registry) mergeTrials(now time.Duration, h *Hold, s *suspect) {
	if h.Trials > s.trials {
		s.trials, s.lastTrial = min(h.Trials, maxTrials+maxHoldCount), max(s.lastTrial, momentAt(now, h.LastTrialMS), 1)
	}
	if !s.onTrial {
		reg.restrict(h.Fingerprint, s)
	}
}

// minHoldExtension is how much later than the local hold another host's hold must end to be
// adopted. Without it, the delays of datagrams would add up and lengthen holds.
const minHoldExtension = time.Second

// maxHoldCount limits the number of holds that is adopted from another host.
const maxHoldCount = 16
