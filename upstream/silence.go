// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package upstream

import "time"

// sendState is what the kernel knows of the sending side of a connection.
type sendState struct {
	unsent     bool          // bytes wait for room in the other end's window
	unacked    bool          // bytes were sent that the other end has not acknowledged
	probing    bool          // a probe of the other end's closed window was not answered; some are not, since such answers are limited in rate
	sinceSent  time.Duration // since bytes were sent last, for the first time or again
	sinceHeard time.Duration // since the other end acknowledged or sent anything
}

// done reports whether the other end has all bytes.
func (s *sendState) done() bool { return !s.unsent && !s.unacked }

// answered reports whether the other end has answered what was sent last. One that reads nothing answers still: its window is closed, or it
// drops bytes and says so.
func (s *sendState) answered() bool {
	return !s.probing && (!s.unacked || s.sinceHeard <= s.sinceSent)
}

// silence finds out for how long the other end of a connection has answered nothing.
type silence struct {
	begun bool
	since time.Duration
}

// note takes the state that was seen at a time and returns how long the silence has lasted.
func (l *silence) note(now time.Duration, s *sendState) time.Duration {
	if s.answered() {
		l.begun = false
		return 0
	}
	if !l.begun {
		l.begun, l.since = true, now
	}
	return min(now-l.since, s.sinceHeard)
}
