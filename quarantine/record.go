// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Record is a hold as it is kept where it outlasts all hosts.
type Record struct {
	// Fingerprint is the request, and Request says what it is.
	Fingerprint Fingerprint `json:"fingerprint"`
	Request     string      `json:"request"`
	// UntilMS is the end of the hold as a Unix time in milliseconds, and Times the number of holds.
	UntilMS int64 `json:"until_ms"`
	Times   int   `json:"times"`
	// Crashes are the ends of endpoints that led to it.
	Crashes []Crash `json:"crashes"`
}

// Unkept gives the holds that are not kept yet, as they are to be written at a Unix time in milliseconds.
func (b *Book) Unkept(now time.Duration, unixMS int64) []Record {
	var out []Record
	for _, f := range b.held {
		left, held := b.Held(now, f)
		if s := b.suspects[f]; held && !s.kept {
			out = append(out, Record{f, s.request, unixMS + left.Milliseconds(), s.times, s.ends(now, f)})
		}
	}
	return out
}

// Kept notes whether a hold is kept.
func (b *Book) Kept(f Fingerprint, kept bool) {
	if s := b.suspects[f]; s != nil {
		s.kept = kept
	}
}

// Restore takes a hold that was kept, at a Unix time in milliseconds. Times of day step: it lasts no longer than the longest one may.
func (b *Book) Restore(now time.Duration, unixMS int64, r *Record) {
	age := int64(0) // of its last crash
	if len(r.Crashes) > 0 {
		age = slices.MinFunc(r.Crashes, func(x, y Crash) int { return cmp.Compare(x.AgeMS, y.AgeMS) }).AgeMS
	}
	b.hearHold(now, Hold{Fingerprint: r.Fingerprint, Request: r.Request, Kept: true, LeftMS: r.UntilMS - unixMS, Times: r.Times, AgeMS: age})
}

// Entry is what a host knows of a request, for operators.
type Entry struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	// Request says what it is; empty where only other hosts know.
	Request string `json:"request"`
	// Held says that it is refused, for LeftMS milliseconds yet; Times is the number of holds, and Kept says that this one outlasts all
	// hosts.
	Held   bool  `json:"held"`
	LeftMS int64 `json:"left_ms"`
	Times  int   `json:"times"`
	Kept   bool  `json:"kept"`
	// Crashes are the ends of endpoints under it, the first one first.
	Crashes []Crash `json:"crashes"`
}

// List gives what is known, those that are held first, then those with the most crashes.
func (b *Book) List(now time.Duration) []Entry {
	out := make([]Entry, 0, len(b.suspects))
	for f, s := range b.suspects {
		left, held := b.Held(now, f)
		if !held && len(s.crashes) == 0 {
			continue // cleared
		}
		out = append(out, Entry{f, s.request, held, left.Milliseconds(), s.times, s.kept, s.ends(now, f)})
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
		out = append(out, Crash{f, life, (now - c.at).Milliseconds(), c.ran.Milliseconds(), c.mute, c.host})
	}
	slices.SortFunc(out, func(x, y Crash) int { return cmp.Or(cmp.Compare(y.AgeMS, x.AgeMS), cmp.Compare(x.Life, y.Life)) })
	return out
}
