// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peers

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/heathkeel/heathkeel/places"
)

// The digest of a large fleet would be tens of kilobytes for each member with each heartbeat, more than links
// of members and relays carry, and from about 1,500 hosts on more than a datagram holds. So it is sent in
// parts, one with each heartbeat: what a member receives does not grow with the fleet, and its knowledge of
// loads and amounts only gets older. What is needed soon (versions, waiting requests) is in each part.

// Part says which part of the sums a digest has. The zero value is all of them.
type Part struct {
	// Index is the number of the part, from 0 to Count-1, and Count the number of parts.
	Index int `json:"i,omitempty"`
	Count int `json:"n,omitempty"`
}

// maxPartSize is the wanted size of a part in bytes, encoded: 50 KB a second for each member.
const maxPartSize = 10 << 10

// partCount returns the number of parts of a digest, given that of the digests before and the size of the
// largest of their parts. It is a power of two that changes rarely, since members have to receive all parts
// anew when it does: it is halved only if that leaves a third of maxPartSize free.
func partCount(before, largest int) int {
	size, count := before*largest, before
	for count*maxPartSize < size {
		count *= 2
	}
	for count > 1 && 3*size < 2*(count/2)*maxPartSize {
		count /= 2
	}
	return count
}

// part returns one part of a digest.
func (d *Digest) part(p Part) Digest {
	out := *d
	if p.Count <= 1 {
		return out
	}
	other := func(name string) bool { return partOf(name, p.Count) != p.Index }
	out.Part = p
	out.Load, out.Used, out.Left, out.Limits = maps.Clone(d.Load), maps.Clone(d.Used), maps.Clone(d.Left), maps.Clone(d.Limits)
	maps.DeleteFunc(out.Load, func(name string, _ Load) bool { return other(name) })
	maps.DeleteFunc(out.Used, func(name string, _ float64) bool { return other(name) })
	maps.DeleteFunc(out.Left, func(name string, _ float64) bool { return other(name) })
	maps.DeleteFunc(out.Limits, func(name string, _ places.LimitReports) bool { return other(name) })
	out.Lost = slices.DeleteFunc(slices.Clone(d.Lost), other)
	return out
}

// partOf returns the index of the part that has the entry of a name.
func partOf(name string, count int) int { return int(xxhash.Sum64String(name) % uint64(count)) }

// assembly holds the newest of each part of the digests of one run of a relay.
type assembly struct {
	host        string
	incarnation uint64
	parts       []*Digest // by index; nil if not received yet
	receivedAt  []time.Duration
	hosts       int                // as of the newest part
	counted     []bool             // the parts whose amounts are in used
	used        map[string]float64 // what other hosts used, by workspace
}

// newAssembly returns an assembly for the digests to which d belongs.
func newAssembly(d *Digest) *assembly {
	n := max(1, d.Part.Count)
	return &assembly{host: d.Host, incarnation: d.Incarnation, parts: make([]*Digest, n), receivedAt: make([]time.Duration, n), counted: make([]bool, n), used: make(map[string]float64)}
}

// fits reports whether a digest is a part of an assembly.
func (s *assembly) fits(d *Digest) bool {
	return s != nil && s.host == d.Host && s.incarnation == d.Incarnation && len(s.parts) == max(1, d.Part.Count)
}

// add stores a part. own is what this host had reported to the relay when it made the part.
func (s *assembly) add(now time.Duration, d *Digest, own *Words) {
	i := d.Part.Index
	if i < 0 || i >= len(s.parts) {
		return // no relay sends that
	}
	s.parts[i], s.receivedAt[i], s.hosts = d, now, d.Hosts
	if own == nil {
		return
	}
	s.counted[i] = true
	for name, n := range d.Used {
		s.used[name] = n - own.Used[name]
	}
}

// complete reports whether all parts have been received.
func (s *assembly) complete() bool { return !slices.Contains(s.parts, nil) }

// countsAll reports whether the amounts of all parts are known. Until then they must not be used: what is
// missing would look as if it had been used at once when it arrives.
func (s *assembly) countsAll() bool { return !slices.Contains(s.counted, false) }

// newestAt returns when the newest part was received.
func (s *assembly) newestAt() time.Duration { return slices.Max(s.receivedAt) }

// maxAge returns the age up to which the loads of a part are used.
func (s *assembly) maxAge() time.Duration {
	return maxDigestAge + time.Duration(len(s.parts)-1)*DefaultInterval
}
