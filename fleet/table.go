// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package fleet

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/heathkeel/heathkeel/once"
)

// DefaultForgetTimeout is the time for which a member that is gone or suspect stays in the
// table.
const DefaultForgetTimeout = 10 * time.Minute

// member is the record of a host and what only this host knows of it.
type member struct {
	Host
	// lastContact is the time when the member itself was last heard from; 0 means never.
	lastContact time.Duration
	// downSince is the time when the member stopped being live; it has no meaning for a
	// live one.
	downSince time.Duration
	// inList means that the platform's list shows the member, or that no list was read yet.
	inList bool
}

// Table holds what one host knows of all hosts. It does no input or output and is not safe
// for concurrent use. Times are durations since any fixed start.
type Table struct {
	// Self is this host's own record.
	Self Host
	// ForgetTimeout is the time for which a member that is down is remembered; 0 means
	// DefaultForgetTimeout.
	ForgetTimeout time.Duration
	// DirectContactTTL is the time after a message of a member itself in which another
	// host's suspicion of it is not accepted; 0 means DefaultDirectContactTTL.
	DirectContactTTL time.Duration

	members            map[once.Incarnation]*member
	changed            []once.Incarnation
	rejectedSuspicions []Host
	digest             uint64
	version            uint64
}

// DefaultDirectContactTTL is the default of Table.DirectContactTTL.
const DefaultDirectContactTTL = time.Second

// NewTable returns a table that has only the record of self.
func NewTable(self Host) *Table {
	t := &Table{Self: self, members: make(map[once.Incarnation]*member)}
	if t.Self.Seq == 0 {
		t.Self.Seq = 1
	}
	t.digest = digestOf(&t.Self)
	return t
}

// Version increases whenever a record changes, so that users can recompute what they derive
// from the table.
func (t *Table) Version() uint64 { return t.version }

// Digest returns a value that is equal for two tables with the same records; tables with
// different records have equal digests with probability 2^-64.
func (t *Table) Digest() uint64 { return t.digest }

// digestOf hashes the identity and the state of a record; a table's digest is the XOR over
// its records. A host that is gone has hash 0, because tables forget it at different times.
func digestOf(h *Host) uint64 {
	if h.Gone {
		return 0
	}
	var b [17]byte
	binary.LittleEndian.PutUint64(b[:], uint64(h.Incarnation))
	binary.LittleEndian.PutUint64(b[8:], h.Seq)
	if h.Suspect {
		b[16] = 1
	}
	return xxhash.Sum64(b[:])
}

// Update changes this host's own record and increases its sequence number.
func (t *Table) Update(change func(*Host)) {
	t.digest ^= digestOf(&t.Self)
	change(&t.Self)
	t.Self.Seq++
	t.digest ^= digestOf(&t.Self)
	t.version++
	t.markChanged(t.Self.Incarnation)
}

// markChanged notes that a record must be sent to peers.
func (t *Table) markChanged(id once.Incarnation) {
	if !slices.Contains(t.changed, id) {
		t.changed = append(t.changed, id)
	}
}

// TakeChanged returns the records to send to peers and clears the list of them.
func (t *Table) TakeChanged() []Host {
	out := make([]Host, 0, len(t.changed))
	for _, id := range t.changed {
		if id == t.Self.Incarnation {
			out = append(out, t.Self)
		} else if m := t.members[id]; m != nil {
			out = append(out, m.Host)
		}
	}
	t.changed = t.changed[:0]
	return out
}

// TakeRejectedSuspicions returns the suspicions that this host did not accept, which must
// be sent to the suspected members, and clears the list of them.
func (t *Table) TakeRejectedSuspicions() []Host {
	out := t.rejectedSuspicions
	t.rejectedSuspicions = nil
	return out
}

// Merge merges records that another host passed on and reports whether any of them changed
// the table.
func (t *Table) Merge(now time.Duration, hosts []Host) bool {
	changed := false
	for i := range hosts {
		if t.mergeOne(now, hosts[i]) {
			changed = true
		}
	}
	return changed
}

// mergeOne merges one record and reports whether it changed the table.
func (t *Table) mergeOne(now time.Duration, h Host) bool {
	if h.Incarnation == t.Self.Incarnation {
		return t.refute(h)
	}
	m := t.members[h.Incarnation]
	if m == nil {
		if h.Gone {
			return false
		}
		m = &member{Host: h, downSince: now, inList: true}
		m.Seq = 0
		t.members[h.Incarnation] = m
		t.digest ^= digestOf(&m.Host)
	}
	if !newer(&h, &m.Host) && m.Seq != 0 {
		return false
	}
	if h.Suspect && h.Seq == m.Seq && m.lastContact > 0 && now-m.lastContact < t.directContactTTL() {
		// The member itself must learn of the suspicion; otherwise nobody would ever refute
		// it.
		t.rejectedSuspicions = append(t.rejectedSuspicions, h)
		return false
	}
	t.replace(now, m, h)
	return true
}

// directContactTTL returns DirectContactTTL or its default.
func (t *Table) directContactTTL() time.Duration {
	return cmp.Or(t.DirectContactTTL, DefaultDirectContactTTL)
}

// replace replaces a member's record and notes that it must be sent to peers.
func (t *Table) replace(now time.Duration, m *member, h Host) {
	wasLive := m.Live()
	t.digest ^= digestOf(&m.Host)
	m.Host = h
	t.digest ^= digestOf(&m.Host)
	if wasLive && !m.Live() {
		m.downSince = now
	}
	t.version++
	t.markChanged(m.Incarnation)
}

// refute answers a claim that this host is suspect or gone by a higher sequence number.
func (t *Table) refute(h Host) bool {
	if h.Seq < t.Self.Seq || t.Self.Gone || !(h.Suspect || h.Gone) {
		return false
	}
	t.Update(func(s *Host) { s.Seq = h.Seq })
	return true
}

// MergeDirect merges a record that came from the member itself, notes the contact and
// reports whether the table changed.
func (t *Table) MergeDirect(now time.Duration, h Host) bool {
	if h.Incarnation == t.Self.Incarnation {
		return false
	}
	changed := t.mergeOne(now, h)
	if m := t.members[h.Incarnation]; m != nil {
		m.lastContact = max(now, 1)
	}
	if changed {
		t.markOthersGone(now, h)
	}
	return changed
}

// markOthersGone marks other incarnations at the same address as gone: a port belongs to
// one process at a time.
func (t *Table) markOthersGone(now time.Duration, h Host) {
	for _, m := range t.members {
		if m.Address != h.Address || m.Incarnation == h.Incarnation || m.Gone {
			continue
		}
		// The incarnation heard from last is the one that runs at the address now.
		old := m.Host
		old.Gone = true
		old.Seq++
		t.replace(now, m, old)
	}
}

// MarkSuspect marks a member that gave no answer as suspect and reports whether that is a
// change.
func (t *Table) MarkSuspect(now time.Duration, id once.Incarnation) bool {
	m := t.members[id]
	if m == nil || m.Suspect || m.Gone {
		return false
	}
	h := m.Host
	h.Suspect = true
	t.replace(now, m, h)
	return true
}

// ApplyList applies a reading of the platform's list. It removes members that have been
// down for longer than ForgetTimeout: those that are gone, and suspect ones that the list
// does not show.
func (t *Table) ApplyList(now time.Duration, names []string) {
	for id, m := range t.members {
		m.inList = slices.Contains(names, m.Name)
		down := m.Gone || m.Suspect
		if down && now-m.downSince > cmp.Or(t.ForgetTimeout, DefaultForgetTimeout) && (m.Gone || !m.inList) {
			t.digest ^= digestOf(&m.Host)
			delete(t.members, id)
			t.version++
		}
	}
}

// Find returns the record of an incarnation, which may be this host's own.
func (t *Table) Find(id once.Incarnation) (Host, bool) {
	if id == t.Self.Incarnation {
		return t.Self, true
	}
	m, ok := t.members[id]
	if !ok {
		return Host{}, false
	}
	return m.Host, true
}

// Witnesses returns the hosts that can answer for a witness incarnation: the witness itself
// and those that took over its records, without those that are gone, suspect ones last.
func (t *Table) Witnesses(id once.Incarnation) []Host {
	var out []Host
	for _, h := range t.Hosts() {
		if !h.Gone && (h.Incarnation == id || slices.Contains(h.AnswersFor, id)) {
			out = append(out, h)
		}
	}
	slices.SortStableFunc(out, func(a, b Host) int { return btoi(a.Suspect) - btoi(b.Suspect) })
	return out
}

// Hosts returns all records, with this host's own, sorted by incarnation.
func (t *Table) Hosts() []Host {
	out := make([]Host, 0, len(t.members)+1)
	out = append(out, t.Self)
	for _, m := range t.members {
		out = append(out, m.Host)
	}
	slices.SortFunc(out, func(a, b Host) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	return out
}

// Live returns the records of the hosts that may be named in answers, sorted by
// incarnation.
func (t *Table) Live() []Host {
	return slices.DeleteFunc(t.Hosts(), func(h Host) bool { return !h.Live() })
}
