// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package quarantine

import "time"

// Figures of trials.
const (
	// trialEnds is the number of endpoints that must have ended under a request, whatever its state there, for it to be on trial.
	trialEnds = 3
	// mostTrials is the number of sends that a request on trial gets from all hosts together until it is answered. One that crashes what runs it ends so many endpoints more;
	// one that met the ends of others is answered by one of them, but for a chance that falls with each.
	mostTrials = 3
	// trialTime is the time that a send on trial is given until its end is known; who comes meanwhile is told to come again soon.
	trialTime = 10 * time.Second
	// trialPause is the time after which such a caller is to come again.
	trialPause = time.Second
)

// OnTrial tells whether a request may be sent only if that is granted: endpoints ended under it, and it was not answered since. It bounds what a request
// takes that lets endpoints work for a while and ends them then, however likely each of these ends was by chance.
func (b *Registry) OnTrial(now time.Duration, f Fingerprint) bool {
	s := b.suspects[f]
	return s != nil && s.onTrial && now >= s.until
}

// RetryAfter is the time after which a request that is held may be sent again, as callers are told: soon while a send on trial may yet be answered, which
// would clear it.
func (b *Registry) RetryAfter(now time.Duration, f Fingerprint) time.Duration {
	left, held := b.Held(now, f)
	s := b.suspects[f]
	if held && s.tried > 0 && s.tried >= s.newest && now-s.tried < trialTime {
		return min(left, trialPause)
	}
	return left
}
