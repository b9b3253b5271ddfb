// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peers

import "time"

// NoteGap records that this process did not run for a time that ends now. The hosts that were live before are
// considered live for as long as they would have been without the gap: most are, and without them this host
// would know no relay and nobody to report to. Datagrams waiting in the socket may be as old as the gap and are
// discarded.
func (a *Agent) NoteGap(gap time.Duration) {
	a.mu.Lock()
	now := a.Now()
	a.Table.NoteGap(gap)
	a.uplink.restart(now)
	a.staleDatagrams = true
	a.mu.Unlock()
	a.TriggerHeartbeat()
}

// NoteGap shifts the times of the members by a gap in which this host did not run and received nothing.
func (t *Table) NoteGap(gap time.Duration) {
	for _, m := range t.members {
		m.LastHeard += gap
		m.lastDirect += gap
		m.infoChanged += gap
	}
}

// restart restarts the wait for the current relay.
func (u *uplink) restart(now time.Duration) {
	u.usedSince = now
	clear(u.suspects)
}

// hasStaleDatagrams reports whether the datagrams waiting in the socket are to be discarded.
func (a *Agent) hasStaleDatagrams() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.staleDatagrams
}

// discardTime limits how long waiting datagrams are read and discarded: 8 s of a relay's digests in a fleet of
// hundreds of hosts are some thousand datagrams, each of which takes a few microseconds.
const discardTime = 5 * time.Millisecond

// discardPending reads and discards the datagrams waiting in the socket.
func (a *Agent) discardPending(buf []byte) {
	err := a.Conn.SetReadDeadline(time.Now().Add(discardTime))
	for err == nil {
		_, _, err = a.Conn.ReadFrom(buf)
	}
	if err = a.Conn.SetReadDeadline(time.Time{}); err != nil {
		a.Log.Error(err, "cannot clear the read deadline of the socket; heartbeats may not be received")
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.staleDatagrams = false
}
