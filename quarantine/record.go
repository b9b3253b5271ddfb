// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Record is what outlasts all hosts of a request that is on trial or held.
type Record struct {
	// Fingerprint is the request, and Request says what it is.
	Fingerprint Fingerprint `json:"fingerprint"`
	Request     string      `json:"request"`
	// WrittenMS is when it was written, as a Unix time in milliseconds.
	WrittenMS int64 `json:"written_ms"`
	// Trials is the number of sends that were granted since it was answered last.
	Trials int `json:"trials"`
	// UntilMS is the end of the hold as a Unix time in milliseconds, 0 for none, and Times the number of holds.
	UntilMS   int64 `json:"until_ms"`
	HoldCount int   `json:"times"`
	// Crashes are the ends of endpoints that led to it, with their ages when it was written.
	Crashes []Crash `json:"crashes"`
}

// Grant counts one more send, at a Unix time in milliseconds. It returns false if none is left: the request is held then. With the last one it is held for a time,
// which its answer ends.
func (r *Record) Grant(unixMS int64) bool {
	if unixMS < r.UntilMS {
		return false
	}
	r.WrittenMS = unixMS
	r.Trials++
	if r.Trials >= mostTrials {
		r.HoldCount++
		r.UntilMS = unixMS + holdTime(r.HoldCount).Milliseconds()
	}
	return true
}

// Record gives what is known of a request, as it is to be written at a Unix time in milliseconds.
func (b *Registry) Record(now time.Duration, unixMS int64, f Fingerprint) Record {
	r := Record{Fingerprint: f, WrittenMS: unixMS}
	s := b.suspects[f]
	if s == nil {
		return r
	}
	r.Request, r.Trials, r.HoldCount, r.Crashes = s.request, s.trials, s.times, s.ends(now, f)
	if left, held := b.Held(now, f); held {
		r.UntilMS = unixMS + left.Milliseconds()
	}
	return r
}

// Covers tells whether a record that stands says what another one is to say, and will for a while.
func (r *Record) Covers(o *Record) bool {
	return r.UntilMS+holdStep.Milliseconds() >= o.UntilMS && r.Trials >= o.Trials && o.WrittenMS-r.WrittenMS < renewAfter.Milliseconds()
}

// RecordTTL is the time for which a record stays that nobody writes again.
const RecordTTL = 10 * time.Minute

// renewAfter is the age from which the record of a hold is written again: two minutes of outage before its end are borne.
const renewAfter = RecordTTL - 2*time.Minute

// keptFor is the time since a hold was written, 0 if it was not.
func (s *suspect) keptFor(now time.Duration) time.Duration {
	if s.keptAt == 0 {
		return 0
	}
	return max(now-s.keptAt, time.Millisecond)
}

// Unsaved gives the requests on trial and held that are to be written, as of a Unix time in milliseconds. Only holds are written again.
func (b *Registry) Unsaved(now time.Duration, unixMS int64) []Record {
	var out []Record
	for _, f := range b.watched {
		s := b.suspects[f]
		_, held := b.Held(now, f)
		if s.onTrial && s.keptAt == 0 || held && s.keptFor(now) > renewAfter {
			out = append(out, b.Record(now, unixMS, f))
		}
	}
	return out
}

// TakeRecordsToRemove gives the requests whose records this host is to remove, since it answered them, and how long ago that was, and forgets that.
func (b *Registry) TakeRecordsToRemove(now time.Duration) []Clear {
	var out []Clear
	for _, f := range b.freed {
		if s := b.suspects[f]; s != nil {
			out = append(out, Clear{f, (now - s.cleared).Milliseconds()})
		}
	}
	b.freed = nil
	return out
}

// Restore takes a record, at a Unix time in milliseconds. Times of day step: a hold lasts no longer than the longest one may.
func (b *Registry) Restore(now time.Duration, unixMS int64, r *Record) {
	since := max(unixMS-r.WrittenMS, 0)
	h := Hold{
		Fingerprint: r.Fingerprint, Request: r.Request, SavedMS: since + 1, LeftMS: r.UntilMS - unixMS, HoldCount: r.HoldCount, AgeMS: since,
		OnTrial: true, Trials: r.Trials, LastTrialMS: since,
	}
	if len(r.Crashes) > 0 {
		h.AgeMS += slices.MinFunc(r.Crashes, func(x, y Crash) int { return cmp.Compare(x.AgeMS, y.AgeMS) }).AgeMS
	}
	b.hearHold(now, h)
}

// Entry is what a host knows of a request, for operators.
type Entry struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	// Request says what it is; empty where only other hosts know.
	Request string `json:"request"`
	// Held says that it is refused, for LeftMS milliseconds yet; Times is the number of holds, and Kept says that this one outlasts all
	// hosts.
	Held      bool  `json:"held"`
	LeftMS    int64 `json:"left_ms"`
	HoldCount int   `json:"times"`
	Saved     bool  `json:"kept"`
	// OnTrial says that each send of it must be granted; Trials is the number of those that were.
	OnTrial bool `json:"on_trial"`
	Trials  int  `json:"trials"`
	// Crashes are the ends of endpoints under it, the first one first.
	Crashes []Crash `json:"crashes"`
}

// List gives what is known, those that are held first, then those with the most crashes.
func (b *Registry) List(now time.Duration) []Entry {
	out := make([]Entry, 0, len(b.suspects))
	for f, s := range b.suspects {
		left, held := b.Held(now, f)
		if !s.onTrial && len(s.crashes) == 0 {
			continue // cleared
		}
		out = append(out, Entry{
			Fingerprint: f, Request: s.request, Held: held, LeftMS: left.Milliseconds(), HoldCount: s.times, Saved: s.keptAt != 0,
			OnTrial: s.onTrial, Trials: s.trials, Crashes: s.ends(now, f),
		})
	}
	slices.SortFunc(out, func(x, y Entry) int {
		if x.Held != y.Held {
			if x.Held {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(len(y.Crashes), len(x.Crashes)), cmp.Compare(x.Fingerprint.String(), y.Fingerprint.String()))
	})
	return out
}

// ends gives the crashes under a request, the first one first.
func (s *suspect) ends(now time.Duration, f Fingerprint) []Crash {
	out := make([]Crash, 0, len(s.crashes))
	for life, c := range s.crashes {
		out = append(out, Crash{f, life, (now - c.at).Milliseconds(), c.ran.Milliseconds(), c.mute, c.host, c.unsure})
	}
	slices.SortFunc(out, func(x, y Crash) int {
		return cmp.Or(cmp.Compare(y.AgeMS, x.AgeMS), cmp.Compare(x.Incarnation, y.Incarnation))
	})
	return out
}
