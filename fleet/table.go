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

// DefaultForgetTimeout is how long a member that is gone or suspect stays in the table.
const DefaultForgetTimeout = 10 * time.Minute

// member is a record and what this host alone knows of it.
type member struct {
	Host
	// heard is when the member itself was last heard from.
	heard time.Duration
	// downSince is when it stopped being live, valid unless it is live.
	downSince time.Duration
	// listed says that the platform's list shows it, or none was read yet.
	listed bool
}

// Table is what one host knows of all hosts. It is pure and not safe for
// concurrent use; times are durations since any fixed start.
type Table struct {
	// Self is this host's own record.
	Self Host
	// ForgetTimeout is how long a member that is down is remembered; 0 means DefaultForget.
	ForgetTimeout time.Duration
	// DirectContactTTL is how long after its own word a member is not suspected on
	// hearsay; 0 means DefaultFresh.
	DirectContactTTL time.Duration

	members map[once.Incarnation]*member
	changed []once.Incarnation
	accused []Host
	digest  uint64
	version uint64
}

// DefaultDirectContactTTL is the time for which a member's own word outweighs hearsay.
const DefaultDirectContactTTL = time.Second

// NewTable returns a table that knows only self.
func NewTable(self Host) *Table {
	t := &Table{Self: self, members: make(map[once.Incarnation]*member)}
	if t.Self.Seq == 0 {
		t.Self.Seq = 1
	}
	t.digest = digestOf(&t.Self)
	return t
}

// Version rises whenever a record changes; it serves to rebuild what is derived.
func (t *Table) Version() uint64 { return t.version }

// Digest is equal in two tables that hold the same records, with a probability
// of error of 2^-64.
func (t *Table) Digest() uint64 { return t.digest }

// digestOf hashes what matters of a record; tables add these up by XOR. One that
// is gone counts nothing, since tables forget it at different times.
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

// Update changes the host's own record under a new sequence number.
func (t *Table) Update(change func(*Host)) {
	t.digest ^= digestOf(&t.Self)
	change(&t.Self)
	t.Self.Seq++
	t.digest ^= digestOf(&t.Self)
	t.version++
	t.spread(t.Self.Incarnation)
}

// spread notes that a record must be passed on.
func (t *Table) spread(id once.Incarnation) {
	if !slices.Contains(t.changed, id) {
		t.changed = append(t.changed, id)
	}
}

// TakeChanged returns the records to pass on and clears the note of them.
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

// TakeRejectedSuspicions returns suspicions that this host did not believe, to be told to the
// suspects themselves, and clears the note of them.
func (t *Table) TakeRejectedSuspicions() []Host {
	out := t.accused
	t.accused = nil
	return out
}

// Merge takes records that another host passed on and reports whether any was news.
func (t *Table) Merge(now time.Duration, hosts []Host) bool {
	news := false
	for i := range hosts {
		if t.mergeOne(now, hosts[i]) {
			news = true
		}
	}
	return news
}

// mergeOne takes one record.
func (t *Table) mergeOne(now time.Duration, h Host) bool {
	if h.Incarnation == t.Self.Incarnation {
		return t.refute(h)
	}
	m := t.members[h.Incarnation]
	if m == nil {
		if h.Gone {
			return false
		}
		m = &member{Host: h, downSince: now, listed: true}
		m.Seq = 0
		t.members[h.Incarnation] = m
		t.digest ^= digestOf(&m.Host)
	}
	if !newer(&h, &m.Host) && m.Seq != 0 {
		return false
	}
	if h.Suspect && h.Seq == m.Seq && m.heard > 0 && now-m.heard < t.fresh() {
		// The member itself must hear of it, or nobody would ever refute it.
		t.accused = append(t.accused, h)
		return false
	}
	t.set(now, m, h)
	return true
}

// fresh returns Fresh or its default.
func (t *Table) fresh() time.Duration { return cmp.Or(t.DirectContactTTL, DefaultDirectContactTTL) }

// set replaces a member's record and notes that it must be passed on.
func (t *Table) set(now time.Duration, m *member, h Host) {
	wasLive := m.Live()
	t.digest ^= digestOf(&m.Host)
	m.Host = h
	t.digest ^= digestOf(&m.Host)
	if wasLive && !m.Live() {
		m.downSince = now
	}
	t.version++
	t.spread(m.Incarnation)
}

// refute answers a suspicion or a wrong end of this host by a higher sequence number.
func (t *Table) refute(h Host) bool {
	if h.Seq < t.Self.Seq || t.Self.Gone || !(h.Suspect || h.Gone) {
		return false
	}
	t.Update(func(s *Host) { s.Seq = h.Seq })
	return true
}

// MergeDirect notes that a member itself was heard from with the given record.
func (t *Table) MergeDirect(now time.Duration, h Host) bool {
	if h.Incarnation == t.Self.Incarnation {
		return false
	}
	news := t.mergeOne(now, h)
	if m := t.members[h.Incarnation]; m != nil {
		m.heard = max(now, 1)
	}
	if news {
		t.replaceOthers(now, h)
	}
	return news
}

// replaceOthers marks earlier incarnations at the same address as gone: a port
// has one process at a time.
func (t *Table) replaceOthers(now time.Duration, h Host) {
	for _, m := range t.members {
		if m.Address != h.Address || m.Incarnation == h.Incarnation || m.Gone {
			continue
		}
		// Of two at one address the one heard from last is there now.
		old := m.Host
		old.Gone = true
		old.Seq++
		t.set(now, m, old)
	}
}

// MarkSuspect notes that a member gave no answer and reports whether that is news.
func (t *Table) MarkSuspect(now time.Duration, id once.Incarnation) bool {
	m := t.members[id]
	if m == nil || m.Suspect || m.Gone {
		return false
	}
	h := m.Host
	h.Suspect = true
	t.set(now, m, h)
	return true
}

// ApplyList joins the platform's list: a member that the list does not show and
// that is not heard from is forgotten after Forget, one that is not live either.
func (t *Table) ApplyList(now time.Duration, names []string) {
	for id, m := range t.members {
		m.listed = slices.Contains(names, m.Name)
		down := m.Gone || m.Suspect
		if down && now-m.downSince > cmp.Or(t.ForgetTimeout, DefaultForgetTimeout) && (m.Gone || !m.listed) {
			t.digest ^= digestOf(&m.Host)
			delete(t.members, id)
			t.version++
		}
	}
}

// Find returns the record of an incarnation, this host's own included.
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

// Witnesses returns the hosts that may answer for a witness incarnation: itself
// and those that took its records over, live ones first.
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

// Hosts returns all records, this host's own included, sorted by incarnation.
func (t *Table) Hosts() []Host {
	out := make([]Host, 0, len(t.members)+1)
	out = append(out, t.Self)
	for _, m := range t.members {
		out = append(out, m.Host)
	}
	slices.SortFunc(out, func(a, b Host) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	return out
}

// Live returns the records of hosts that may be named, sorted by incarnation.
func (t *Table) Live() []Host {
	return slices.DeleteFunc(t.Hosts(), func(h Host) bool { return !h.Live() })
}
