// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package reach

import "time"

// Parameters of the judgement.
const (
	// minFailed is the number of different endpoints to which connections have to fail, one after the other
	// without a success, for a host to be cut off; fewer if there are fewer. Endpoints that crash together
	// are rarely all of those tried.
	minFailed = 4
	// minOpened is the number of different endpoints to which connections have to be opened for the host to
	// be no longer cut off; fewer if there are fewer.
	minOpened = 2
	// failureTTL is the time for which a failed connection counts without another.
	failureTTL = 3 * time.Second
)

// Tracker holds the connections that a host tried to open recently. The zero value knows of none and takes the
// host for connected.
type Tracker struct {
	failed   map[string]bool // addresses that failed since the last success
	failedAt time.Duration   // when the latest of them failed
	opened   map[string]bool // addresses that succeeded while cut off
	openedAt time.Duration   // when the latest success was
	cutOff   bool
}

// Failed records that a connection to an address, begun at a time, could not be opened, of a number of addresses that
// there are. It reports whether the host is cut off since then. A connection that was begun before the latest success
// says nothing: several that hang end together, later than the paths are back.
func (t *Tracker) Failed(now, begun time.Duration, address string, addresses int) bool {
	if begun < t.openedAt {
		return false
	}
	if t.failed == nil || now-t.failedAt > failureTTL {
		t.failed = make(map[string]bool)
	}
	t.failed[address], t.failedAt = true, now
	clear(t.opened)
	if t.cutOff || len(t.failed) < min(minFailed, max(1, addresses)) {
		return false
	}
	t.cutOff = true
	return true
}

// Opened records that a connection to an address was opened. It reports whether the host is connected again since
// then.
func (t *Tracker) Opened(now time.Duration, address string, addresses int) bool {
	t.openedAt = now
	if !t.cutOff {
		clear(t.failed)
		return false
	}
	if t.opened == nil {
		t.opened = make(map[string]bool)
	}
	t.opened[address] = true
	if len(t.opened) < min(minOpened, max(1, addresses)) {
		return false
	}
	t.cutOff = false
	clear(t.failed)
	clear(t.opened)
	return true
}

// CutOff reports whether the host reaches no endpoint.
func (t *Tracker) CutOff() bool { return t.cutOff }

// Suspects reports whether connections failed recently, so that others should be tried.
func (t *Tracker) Suspects(now time.Duration) bool {
	return !t.cutOff && len(t.failed) > 0 && now-t.failedAt <= failureTTL
}

// Tried reports whether a connection to an address failed since the last success.
func (t *Tracker) Tried(address string) bool { return t.failed[address] }

// Recovering reports whether a host that is cut off has opened a connection.
func (t *Tracker) Recovering() bool { return t.cutOff && len(t.opened) > 0 }
