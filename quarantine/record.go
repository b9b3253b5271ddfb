// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Record is the stored state of a request that is on trial or held. It survives the loss of all
// hosts.
type Record struct {
	// Fingerprint identifies the request, and Request describes it for operators.
	Fingerprint Fingerprint `json:"fingerprint"`
	Request     string      `json:"request"`
	// Part reports that it is the record of a part of prompts.
	Part bool `json:"part,omitempty"`
	// WrittenMS is the time of the write as a Unix time in milliseconds.
	WrittenMS int64 `json:"written_ms"`
	// Trials is the number of sends granted since the last answer.
	Trials int `json:"trials"`
	// UntilMS is the end of the hold as a Unix time in milliseconds, 0 for none, and HoldCount the
	// number of holds so far.
	UntilMS   int64 `json:"until_ms"`
	HoldCount int   `json:"times"`
	// Crashes are the crashes under the request, with their ages at the time of the write.
	Crashes []Crash `json:"crashes"`
}

// Grant counts one more send at a Unix time in milliseconds. It returns false if the request is
// held. The send that uses up the trials also starts a hold, which an answer to it ends.
func (r *Record) Grant(unixMS int64) bool {
	if unixMS < r.UntilMS {
		return false
	}
	r.WrittenMS = unixMS
	r.Trials++
	if r.Trials >= maxTrials {
		r.HoldCount++
		r.UntilMS = unixMS + holdDuration(r.HoldCount).Milliseconds()
	}
	return true
}

// Record returns the state of a request as it is to be written at a Unix time in milliseconds.
func (reg *Registry) Record(now time.Duration, unixMS int64, f Fingerprint) Record {
	r := Record{Fingerprint: f, WrittenMS: unixMS, Part: reg.Parts}
	s := reg.suspects[f]
	if s == nil {
		return r
	}
	r.Request, r.Trials, r.HoldCount, r.Crashes = s.request, s.trials, s.holdCount, s.crashList(now, f)
	if left, held := reg.Held(now, f); held {
		r.UntilMS = unixMS + left.Milliseconds()
	}
	return r
}

// Covers reports whether the stored record r already says what o would say and is not due to be
// rewritten.
func (r *Record) Covers(o *Record) bool {
	return r.UntilMS+minHoldExtension.Milliseconds() >= o.UntilMS && r.Trials >= o.Trials && o.WrittenMS-r.WrittenMS < rewriteAge.Milliseconds()
}

// RecordTTL is the time to live of a record that no host writes again.
const RecordTTL = 10 * time.Minute

// rewriteAge is the age from which the record of a hold is written again. It leaves two minutes to
// outlast an outage of the store before the record expires.
const rewriteAge = RecordTTL - 2*time.Minute

// savedAge returns the time since the hold was written to the store, 0 if it was not.
func (s *suspect) savedAge(now time.Duration) time.Duration {
	if s.savedAt == 0 {
		return 0
	}
	return max(now-s.savedAt, time.Millisecond)
}

// Unsaved returns the records to write, as of a Unix time in milliseconds: requests on trial or
// held that were never written, and holds whose records are old.
func (reg *Registry) Unsaved(now time.Duration, unixMS int64) []Record {
	var out []Record
	for _, f := range reg.restricted {
		s := reg.suspects[f]
		_, held := reg.Held(now, f)
		if s.onTrial && s.savedAt == 0 || held && s.savedAge(now) > rewriteAge {
			out = append(out, reg.Record(now, unixMS, f))
		}
	}
	return out
}

// TakeRecordsToRemove returns the requests whose records this host has to remove because it
// answered them, with the age of the answer, and clears that list.
func (reg *Registry) TakeRecordsToRemove(now time.Duration) []Clear {
	var out []Clear
	for _, f := range reg.recordsToRemove {
		if s := reg.suspects[f]; s != nil {
			out = append(out, Clear{f, (now - s.clearedAt).Milliseconds()})
		}
	}
	reg.recordsToRemove = nil
	return out
}

// Restore merges a stored record at a Unix time in milliseconds. The wall clock may be stepped, so
// a restored hold is limited to maxHold.
func (reg *Registry) Restore(now time.Duration, unixMS int64, r *Record) {
	age := max(unixMS-r.WrittenMS, 0)
	h := Hold{
		Fingerprint: r.Fingerprint, Request: r.Request, SavedMS: age + 1, LeftMS: r.UntilMS - unixMS, HoldCount: r.HoldCount, AgeMS: age,
		OnTrial: true, Trials: r.Trials, LastTrialMS: age,
	}
	if len(r.Crashes) > 0 {
		h.AgeMS += slices.MinFunc(r.Crashes, func(x, y Crash) int { return cmp.Compare(x.AgeMS, y.AgeMS) }).AgeMS
	}
	reg.mergeHold(now, h)
}

// Entry describes a suspected request to operators.
type Entry struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	// Request describes the request, empty if only other hosts know it.
	Request string `json:"request"`
	// Part reports that it is a part of prompts; all requests that hold it are refused with it.
	Part bool `json:"part,omitempty"`
	// Held reports that the request is refused for another LeftMS milliseconds. HoldCount is the
	// number of holds so far, and Saved reports that the hold is in the store and survives the loss
	// of all hosts.
	Held      bool  `json:"held"`
	LeftMS    int64 `json:"left_ms"`
	HoldCount int   `json:"times"`
	Saved     bool  `json:"kept"`
	// OnTrial reports that each send must be granted. Trials is the number of sends that were
	// granted.
	OnTrial bool `json:"on_trial"`
	Trials  int  `json:"trials"`
	// Crashes are the crashes under the request, the oldest first.
	Crashes []Crash `json:"crashes"`
}

// List returns all suspected requests: those that are held first, then by number of crashes, most
// first.
func (reg *Registry) List(now time.Duration) []Entry {
	out := make([]Entry, 0, len(reg.suspects))
	for f, s := range reg.suspects {
		left, held := reg.Held(now, f)
		if !s.onTrial && len(s.crashes) == 0 {
			continue // cleared
		}
		out = append(out, Entry{
			Fingerprint: f, Request: s.request, Part: reg.Parts, Held: held, LeftMS: left.Milliseconds(), HoldCount: s.holdCount, Saved: s.savedAt != 0,
			OnTrial: s.onTrial, Trials: s.trials, Crashes: s.crashList(now, f),
		})
	}
	SortEntries(out)
	return out
}

// SortEntries sorts entries: those that are held first, then by number of crashes, most first.
func SortEntries(list []Entry) {
	slices.SortFunc(list, func(x, y Entry) int {
		if x.Held != y.Held {
			if x.Held {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(len(y.Crashes), len(x.Crashes)), cmp.Compare(x.Fingerprint.String(), y.Fingerprint.String()))
	})
}

// crashList returns the crashes under a request, the oldest first.
func (s *suspect) crashList(now time.Duration, f Fingerprint) []Crash {
	out := make([]Crash, 0, len(s.crashes))
	for incarnation, c := range s.crashes {
		out = append(out, Crash{f, incarnation, (now - c.at).Milliseconds(), c.requestAge.Milliseconds(), c.noResponse, c.host, c.inconclusive})
	}
	slices.SortFunc(out, func(x, y Crash) int {
		return cmp.Or(cmp.Compare(y.AgeMS, x.AgeMS), cmp.Compare(x.Incarnation, y.Incarnation))
	})
	return out
}
