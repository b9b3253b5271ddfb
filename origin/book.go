// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package origin

import "time"

// Limits of a Book.
const (
	// Memory is the time for which the origin of a stream is remembered, at least: longer than callers
	// wait for one.
	Memory = time.Minute
	// maxGeneration limits the streams remembered in each of two generations, to some megabytes in all.
	// Where more streams begin, they are remembered for less than Memory.
	maxGeneration = 1 << 15
)

// Book remembers the origins of recent streams. The zero value remembers none. It is not safe for
// concurrent use.
type Book struct {
	current, previous map[Key]entry // generations of Memory each
	rotatedAt         time.Duration
	untold            Report
	saves             bool
	unsaved           Report
}

// entry is what is remembered of a stream.
type entry struct {
	version string
	service string // of streams that this host began; else empty
}

// Report holds origins that one host tells another.
type Report struct {
	// Known holds the streams by the version that began them.
	Known map[string]Keys `json:"v,omitempty"`
	// Unknown holds the streams that the sender was asked about and does not remember.
	Unknown Keys `json:"u,omitempty"`
	// Seen holds the versions of each service that the sender has listed within Memory, each with the time in
	// milliseconds since it was listed last, 0 if it is now. A host whose list of endpoints is older learns of
	// versions that it has not listed.
	Seen map[string]map[string]int64 `json:"s,omitempty"`
}

// add adds a stream to the report.
func (r *Report) add(k Key, version string) {
	if r.Known == nil {
		r.Known = make(map[string]Keys)
	}
	r.Known[version] = append(r.Known[version], k)
}

// len returns the number of streams whose origins the report holds.
func (r *Report) len() int {
	n := 0
	for _, keys := range r.Known {
		n += len(keys)
	}
	return n
}

// Note remembers that a stream of a service began at a version at this host. With tell set, other hosts
// are to be told. A stream that is remembered already keeps its version.
func (b *Book) Note(now time.Duration, k Key, service, version string, tell bool) {
	if _, known := b.Version(k); known {
		return
	}
	b.put(now, k, entry{version, service})
	if tell {
		b.untold.add(k, version)
		b.save(k, version)
	}
}

// TellAll makes other hosts be told of all streams of a service that began at this host.
func (b *Book) TellAll(service string) {
	for _, generation := range []map[Key]entry{b.previous, b.current} {
		for k, e := range generation {
			if e.service == service {
				b.untold.add(k, e.version)
				b.save(k, e.version)
			}
		}
	}
}

// TakeUntold returns the streams that other hosts are to be told of, each once.
func (b *Book) TakeUntold() Report {
	r := b.untold
	b.untold = Report{}
	return r
}

// Merge remembers what another host told.
func (b *Book) Merge(now time.Duration, r *Report) { b.merge(now, r, b.save) }

// Restore remembers what was read from where the streams are saved.
func (b *Book) Restore(now time.Duration, r *Report) { b.merge(now, r, func(Key, string) {}) }

// merge remembers origins and calls added for each that is new.
func (b *Book) merge(now time.Duration, r *Report, added func(k Key, version string)) {
	for version, keys := range r.Known {
		for _, k := range keys {
			if _, known := b.Version(k); known {
				continue
			}
			b.put(now, k, entry{version: version})
			added(k, version)
		}
	}
}

// SetSaves sets whether this host saves the streams that are told to others, so that they outlast all hosts. One that begins to saves
// all that it remembers.
func (b *Book) SetSaves(on bool) {
	if b.saves == on {
		return
	}
	b.saves, b.unsaved = on, Report{}
	for _, generation := range []map[Key]entry{b.previous, b.current} {
		for k, e := range generation {
			b.save(k, e.version)
		}
	}
}

// TakeUnsaved returns the streams that are to be saved, each once.
func (b *Book) TakeUnsaved() Report {
	r := b.unsaved
	b.unsaved = Report{}
	return r
}

// ReturnUnsaved takes streams back that could not be saved.
func (b *Book) ReturnUnsaved(r *Report) {
	for version, keys := range r.Known {
		for _, k := range keys {
			b.save(k, version)
		}
	}
}

// maxUnsaved limits the streams that wait to be saved; further ones are not.
const maxUnsaved = 1 << 14

// save makes a stream be saved if this host does that.
func (b *Book) save(k Key, version string) {
	if b.saves && b.unsaved.len() < maxUnsaved {
		b.unsaved.add(k, version)
	}
}

// Version returns the version at which a stream began, and false if it is not remembered.
func (b *Book) Version(k Key) (string, bool) {
	e, ok := b.current[k]
	if !ok {
		e, ok = b.previous[k]
	}
	return e.version, ok
}

// LookUp returns what is remembered of some streams.
func (b *Book) LookUp(keys Keys) Report {
	var r Report
	for _, k := range keys {
		if version, ok := b.Version(k); ok {
			r.add(k, version)
		} else {
			r.Unknown = append(r.Unknown, k)
		}
	}
	return r
}

// Len returns the number of streams that are remembered.
func (b *Book) Len() int { return len(b.current) + len(b.previous) }

// put adds an entry and begins a new generation when the current one is old or full.
func (b *Book) put(now time.Duration, k Key, e entry) {
	if b.current == nil || now-b.rotatedAt >= Memory || len(b.current) >= maxGeneration {
		b.current, b.previous = make(map[Key]entry), b.current
		b.rotatedAt = now
	}
	b.current[k] = e
}
