// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package quarantine

import "time"

// Limits of trials.
const (
	// trialCrashes is the number of endpoints that must have crashed under a request for it to be
	// on trial, whether or not it had begun to answer there.
	trialCrashes = 3
	// maxTrials is the number of sends that a request on trial gets from all hosts together until
	// it is answered. A request that crashes endpoints crashes at most that many more. A request
	// that was only present at crashes is answered in one of these sends, except with a probability
	// that falls with each of them.
	maxTrials = 3
	// trialTimeout is the time allowed until the result of a send on trial is known. Meanwhile,
	// callers of the same request are told to retry after trialRetryAfter.
	trialTimeout = 10 * time.Second
	// trialRetryAfter is the retry time that these callers get.
	trialRetryAfter = time.Second
)

// OnTrial reports whether each send of a request must be granted: endpoints crashed under it and it
// was not answered since. This limits a request that crashes endpoints only after they have worked
// on it for a while, however likely each of these crashes was by chance.
func (reg *Registry) OnTrial(now time.Duration, f Fingerprint) bool {
	s := reg.suspects[f]
	return s != nil && s.onTrial && now >= s.heldUntil
}

// RetryAfter returns the time after which callers are told to retry a held request. It is short
// while a send on trial may still be answered, which would end the hold.
func (reg *Registry) RetryAfter(now time.Duration, f Fingerprint) time.Duration {
	left, held := reg.Held(now, f)
	s := reg.suspects[f]
	if held && s.lastTrial > 0 && s.lastTrial >= s.lastCrash && now-s.lastTrial < trialTimeout {
		return min(left, trialRetryAfter)
	}
	return left
}
