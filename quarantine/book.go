// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package quarantine

import (
	"maps"
	"slices"
	"time"
)

// Limits on the stored evidence and on holds.
const (
	// evidenceTTL is the age at which a crash expires. It covers callers that retry once a minute;
	// a request that is answered in the meantime is cleared earlier.
	evidenceTTL = time.Hour
	// minHold and maxHold bound the time for which a request is refused. The time doubles with each
	// hold. A hold costs the caller an answer that it would not have got anyway; releasing a
	// request too early costs an endpoint and the about ten other requests that run on it.
	minHold = 10 * time.Minute
	maxHold = 24 * time.Hour
	// maxSuspects limits the number of suspected requests, about 200 bytes each.
	maxSuspects = 10000
)

// crash is the end of an endpoint while it had a request.
type crash struct {
	at, requestAge time.Duration // when the endpoint ended, and how long it had had the request
	noResponse     bool          // no part of an answer had arrived
	inconclusive   bool          // another known reason may have ended the endpoint
	host           string        // the host that observed it
}

// pastTermination is the end of an endpoint and the request known to have caused it, if any.
type pastTermination struct {
	at    time.Duration
	cause Fingerprint
}

// suspect is the state of a request under which endpoints crashed.
type suspect struct {
	request   string           // description for operators; empty if only other hosts know it
	crashes   map[string]crash // by incarnation
	savedAt   time.Duration    // when its hold was written to the store, 0 if it was not
	onTrial   bool             // each send must be granted
	trials    int              // sends granted by any host since the last answer
	lastTrial time.Duration    // when the last send was granted, 0 for never
	clearedAt time.Duration    // when any host last answered it
	heldUntil time.Duration    // end of the hold
	holdCount int              // number of holds so far
	lastCrash time.Duration    // time of the last crash
	broadcast bool             // two endpoints have crashed under it, so its evidence goes to all hosts
}

// event is a piece of evidence and the time at which this host learned it: the end of an
// incarnation under a request or, if incarnation is empty, an answer to the request.
type event struct {
	at          time.Duration
	fingerprint Fingerprint
	incarnation string
	local       bool // observed by this host, not received from a peer
}

// Registry holds the evidence that a host has of requests under which endpoints crashed. The zero
// value is empty. It is not safe for concurrent use.
type Registry struct {
	// Host is the name of this host.
	Host string
	// Endpoints is the number of endpoints in use.
	Endpoints int
	// Parts makes it a registry of parts of prompts in place of whole requests; see part.go.
	Parts bool

	answers         recentAnswers // to parts, by this host
	suspects        map[Fingerprint]*suspect
	terminations    map[string]pastTermination // by incarnation
	restricted      []Fingerprint              // requests that are on trial or held, or were held, in the order in which they are sent to peers
	nextRestricted  int
	events          []event       // recent evidence to send, in order of arrival
	recordsToRemove []Fingerprint // requests whose records this host has to remove
}

// Empty reports whether no request is suspected, so that no request has to be looked up.
func (reg *Registry) Empty() bool { return len(reg.suspects) == 0 }

// Suspects returns the number of requests under which an endpoint crashed, including those that are
// held.
func (reg *Registry) Suspects() int { return len(reg.suspects) }

// Suspected reports whether there is a state of a request or part.
func (reg *Registry) Suspected(f Fingerprint) bool { return reg.suspects[f] != nil }

// Incarnations returns the incarnations of endpoints that this host knows to have crashed under a
// request.
func (reg *Registry) Incarnations(f Fingerprint) []string {
	if s := reg.suspects[f]; s != nil {
		return slices.Sorted(maps.Keys(s.crashes))
	}
	return nil
}

// suspect returns the state of a request and creates it if there is none.
func (reg *Registry) suspect(f Fingerprint) *suspect {
	s := reg.suspects[f]
	if s == nil {
		if reg.suspects == nil {
			reg.suspects = make(map[Fingerprint]*suspect)
		}
		if len(reg.suspects) >= maxSuspects {
			reg.evict()
		}
		s = &suspect{crashes: make(map[string]crash), clearedAt: -evidenceTTL}
		reg.suspects[f] = s
	}
	return s
}

// evict removes the suspect with the fewest holds, then the fewest crashes, then the oldest last
// crash. A flood of requests under which one endpoint crashed therefore does not evict requests
// that are held.
func (reg *Registry) evict() {
	var victim Fingerprint
	var victimState *suspect
	for f, s := range reg.suspects {
		if victimState == nil || s.less(victimState) {
			victim, victimState = f, s
		}
	}
	reg.drop(victim)
}

// less orders suspects by how much evidence is lost if they are evicted.
func (s *suspect) less(o *suspect) bool {
	if s.holdCount != o.holdCount {
		return s.holdCount < o.holdCount
	}
	if len(s.crashes) != len(o.crashes) {
		return len(s.crashes) < len(o.crashes)
	}
	return s.lastCrash < o.lastCrash
}

// drop removes a suspect.
func (reg *Registry) drop(f Fingerprint) {
	delete(reg.suspects, f)
	reg.restricted = slices.DeleteFunc(reg.restricted, func(g Fingerprint) bool { return f == g })
}

// Termination is the end of an endpoint while it had a request of this host.
type Termination struct {
	// Incarnation is the run of the endpoint's process that ended, and At is the time of its end.
	Incarnation string
	At          time.Duration
	// RequestAge is how long the endpoint had had the request. NoResponse reports that no part of
	// an answer had arrived.
	RequestAge time.Duration
	NoResponse bool
	// Inconclusive reports that another known reason may have ended the endpoint: it was leaving,
	// or this host did not run meanwhile.
	Inconclusive bool
	// Request describes the request for operators.
	Request string
}

// NoteCrash records that an endpoint ended while it had a request of this host. It reports whether
// that is new.
func (reg *Registry) NoteCrash(now time.Duration, f Fingerprint, e Termination) bool {
	if !reg.addCrash(now, f, e.Incarnation, crash{e.At, e.RequestAge, e.NoResponse && !e.Inconclusive, e.Inconclusive, reg.Host}) {
		return false
	}
	reg.suspects[f].request = e.Request
	return true
}

// addCrash records that an endpoint ended while it had a request of this host or of another one. It
// reports whether that is new.
func (reg *Registry) addCrash(now time.Duration, f Fingerprint, incarnation string, c crash) bool {
	if s := reg.suspects[f]; s != nil {
		if _, known := s.crashes[incarnation]; known || c.at <= s.clearedAt+reg.clearedFor() {
			return false
		}
	}
	if reg.clearedHere(now, f, c.at, c.host == reg.Host) {
		return false
	}
	s := reg.suspect(f)
	s.crashes[incarnation], s.lastCrash = c, max(s.lastCrash, c.at)
	if !c.inconclusive {
		reg.addTermination(incarnation, c.at)
	}
	reg.events = append(reg.events, event{now, f, incarnation, c.host == reg.Host})
	if len(s.crashes) > 1 && !s.broadcast {
		s.broadcast = true
		reg.resend(now, f, s, incarnation)
	}
	if len(s.crashes) >= trialCrashes || s.onTrial {
		reg.restrict(f, s)
	}
	if now >= s.heldUntil && (s.holdCount > 0 || reg.causesCrashes(now, f)) {
		s.holdCount++
		reg.hold(f, s, now+holdDuration(s.holdCount))
	}
	return true
}

// addTermination records the end of an endpoint.
func (reg *Registry) addTermination(incarnation string, at time.Duration) {
	if reg.terminations == nil {
		reg.terminations = make(map[string]pastTermination)
	}
	if _, known := reg.terminations[incarnation]; !known {
		reg.terminations[incarnation] = pastTermination{at: at}
	}
}

// resend queues the earlier crashes under a request once more, since they were sent to some hosts
// only.
func (reg *Registry) resend(now time.Duration, f Fingerprint, s *suspect, except string) {
	for incarnation := range s.crashes {
		if incarnation != except {
			reg.events = append(reg.events, event{now, f, incarnation, false})
		}
	}
}

// holdDuration returns the duration of a request's hold number count, counted from 1.
func holdDuration(count int) time.Duration {
	return min(minHold<<min(max(count, 1)-1, maxDoublings), maxHold)
}

// maxDoublings is the number of doublings after which a hold has its maximum duration.
const maxDoublings = 8

// restrict puts a request on trial and sends it to peers before the other restricted requests.
func (reg *Registry) restrict(f Fingerprint, s *suspect) {
	s.onTrial = true
	i := slices.Index(reg.restricted, f)
	if i < 0 {
		i = len(reg.restricted)
		reg.restricted = append(reg.restricted, f)
	}
	reg.nextRestricted = i
}

// hold refuses a request until the given time. After that the request is on trial with one send
// left before the next hold.
func (reg *Registry) hold(f Fingerprint, s *suspect, until time.Duration) {
	s.heldUntil, s.trials = until, max(s.trials, maxTrials)
	reg.restrict(f, s)
	for incarnation := range s.crashes {
		if d := reg.terminations[incarnation]; d.cause == (Fingerprint{}) {
			reg.terminations[incarnation] = pastTermination{d.at, f}
		}
	}
}

// release ends the hold and the trial of a request.
func (reg *Registry) release(f Fingerprint, s *suspect) {
	s.heldUntil, s.holdCount, s.savedAt, s.onTrial, s.trials, s.lastTrial = 0, 0, 0, false, 0, 0
	reg.restricted = slices.DeleteFunc(reg.restricted, func(g Fingerprint) bool { return f == g })
	for incarnation, d := range reg.terminations {
		if d.cause == f {
			reg.terminations[incarnation] = pastTermination{at: d.at}
		}
	}
}

// NoteAnswer records that a request was answered completely. It reports whether the request was
// suspected.
func (reg *Registry) NoteAnswer(now time.Duration, f Fingerprint) bool {
	if reg.Parts {
		reg.answers.note(now, f)
	}
	return reg.clearCrashes(now, f, now, true)
}

// clearCrashes removes the crashes under a request up to the time at which it was answered. It
// reports whether the answer is newer than the last known one.
func (reg *Registry) clearCrashes(now time.Duration, f Fingerprint, at time.Duration, local bool) bool {
	s := reg.suspects[f]
	if s == nil || at <= s.clearedAt {
		return false
	}
	s.clearedAt = at
	reg.events = append(reg.events, event{at: now, fingerprint: f, local: local})
	clearedUntil := at + reg.clearedFor()
	maps.DeleteFunc(s.crashes, func(_ string, c crash) bool { return c.at <= clearedUntil })
	if max(s.lastCrash, s.lastTrial) <= clearedUntil {
		if local && (s.savedAt > 0 || s.trials > 0) {
			reg.recordsToRemove = append(reg.recordsToRemove, f)
		}
		reg.release(f, s)
	}
	return true
}

// Held reports whether a request is refused now, and the time that is left of its hold.
func (reg *Registry) Held(now time.Duration, f Fingerprint) (left time.Duration, held bool) {
	s := reg.suspects[f]
	if s == nil || now >= s.heldUntil {
		return 0, false
	}
	return s.heldUntil - now, true
}

// CountHeld returns the number of requests that are refused now.
func (reg *Registry) CountHeld(now time.Duration) int {
	n := 0
	for _, f := range reg.restricted {
		if _, held := reg.Held(now, f); held {
			n++
		}
	}
	return n
}

// Sweep removes expired evidence. Call it periodically.
func (reg *Registry) Sweep(now time.Duration) {
	for f, s := range reg.suspects {
		if now >= s.heldUntil && now-max(s.lastCrash, s.clearedAt, s.heldUntil) >= evidenceTTL {
			reg.drop(f)
		}
	}
	maps.DeleteFunc(reg.terminations, func(_ string, d pastTermination) bool { return now-d.at >= evidenceTTL })
}
