// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peers

import "time"

// NoteGap notes that this process did not run for a time that ends now. The hosts that were known to live before are taken to live for as long
// again as they would have been: most do, and without them this host would know no relay and nobody to tell of itself. What lies in the
// socket is as old as that time and is passed over.
func (a *Agent) NoteGap(gap time.Duration) {
	a.mu.Lock()
	now := a.Now()
	a.Table.NoteGap(gap)
	a.uplink.restart(now)
	a.staleDatagrams = true
	a.mu.Unlock()
	a.TriggerHeartbeat()
}

// NoteGap lets a time pass in which nothing was heard because this host did not run.
func (t *Table) NoteGap(gap time.Duration) {
	for _, m := range t.members {
		m.LastHeard += gap
		m.lastDirect += gap
		m.infoChanged += gap
	}
}

// restart begins to wait for the relay in use anew.
func (u *uplink) restart(now time.Duration) {
	u.usedSince = now
	clear(u.suspects)
}

// hasStaleDatagrams reports whether what lies in the socket is to be passed over.
func (a *Agent) hasStaleDatagrams() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.staleDatagrams
}

// discardTime is the time in which what lies in the socket is read and passed over: 8 s of a relay's words in a fleet of hundreds are some
// thousand datagrams, of which one takes some microseconds.
const discardTime = 5 * time.Millisecond

// discardPending reads what lies in the socket and passes it over.
func (a *Agent) discardPending(buf []byte) {
	err := a.Conn.SetReadDeadline(time.Now().Add(discardTime))
	for err == nil {
		_, _, err = a.Conn.ReadFrom(buf)
	}
	if err = a.Conn.SetReadDeadline(time.Time{}); err != nil {
		a.Log.Error(err, "socket cannot be waited on; heartbeats may not be heard")
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.staleDatagrams = false
}
