// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package origin

import (
	"maps"
	"slices"
	"time"
)

// History remembers which versions of the endpoints' software each service had lately, and which are on record: those of which streams may
// have begun, as something says that outlasts all hosts. The zero value knows of none. It is not safe for concurrent use.
type History struct {
	// Complete says that no stream began before this host followed the list of endpoints, so that it may write records that are whole.
	// Otherwise it knows the history from Since on, and by the records.
	Complete bool
	Since    time.Duration

	services map[string]map[string]*listing
	records  map[string]Record
	wasMixed map[string]bool // services that were mixed at the last call of TakeNewlyMixed
}

// Record says at which versions streams of a service may have begun. No stream begins at a version before that is on record, so that hosts
// which start without memory know what they have to reckon with.
type Record struct {
	// Versions are the versions, sorted.
	Versions []string
	// Whole says that streams began at no others. A host that does not know the service's history for long enough writes a record
	// that is not whole.
	Whole bool
}

// recordMemory is the time for which a version that is no longer listed stays on record: longer than any host takes it to be there, so that
// none begins streams at a version that another host is taking off.
const recordMemory = 2 * Memory

// listing says when endpoints of a version were listed.
type listing struct {
	listed bool          // now
	until  time.Duration // when they were listed last, unless they are now
}

// SetListed applies a list of endpoints: the versions of each service.
func (h *History) SetListed(now time.Duration, versions map[string]map[string]bool) {
	if h.services == nil {
		h.services = make(map[string]map[string]*listing)
	}
	for service, listings := range h.services {
		for version, l := range listings {
			if l.listed && !versions[service][version] {
				l.listed, l.until = false, now
			}
			if !l.listed && now-l.until >= recordMemory {
				delete(listings, version)
			}
		}
	}
	for service, listed := range versions {
		if h.services[service] == nil {
			h.services[service] = make(map[string]*listing)
		}
		for version := range listed {
			if l := h.services[service][version]; l != nil && !l.isRecent(now) {
				h.dropVersion(service, version) // another host may have taken it off the record
			}
			h.services[service][version] = &listing{listed: true}
		}
	}
}

// TakeNewlyMixed returns the services that are mixed and were not when it was called last.
func (h *History) TakeNewlyMixed(now time.Duration) []string {
	var out []string
	mixed := make(map[string]bool)
	for service := range h.services {
		if h.Mixed(now, service) {
			mixed[service] = true
			if !h.wasMixed[service] {
				out = append(out, service)
			}
		}
	}
	h.wasMixed = mixed
	return out
}

// SetRecord applies the record of a service. Versions that are not listed may have been until just now: the record does not say since
// when they are not.
func (h *History) SetRecord(now time.Duration, service string, r Record) {
	if h.records == nil {
		h.records = make(map[string]Record)
	}
	h.records[service] = r
	if h.services == nil {
		h.services = make(map[string]map[string]*listing)
	}
	if h.services[service] == nil {
		h.services[service] = make(map[string]*listing)
	}
	for _, version := range r.Versions {
		if h.services[service][version] == nil {
			h.noteListed(now, service, version, now)
		}
	}
}

// DropRecords forgets all records, since the store has come back from an older copy.
func (h *History) DropRecords() { h.records = nil }

// dropVersion forgets that a version is on record.
func (h *History) dropVersion(service, version string) {
	if r, ok := h.records[service]; ok {
		r.Versions = slices.DeleteFunc(slices.Clone(r.Versions), func(v string) bool { return v == version })
		h.records[service] = r
	}
}

// Records returns the records that are known, by service.
func (h *History) Records() map[string]Record { return maps.Clone(h.records) }

// OnRecord reports whether a version of a service is on record.
func (h *History) OnRecord(service, version string) bool {
	return slices.Contains(h.records[service].Versions, version)
}

// WantedRecord returns what the record of a service has to say, and whether the one that is known does.
func (h *History) WantedRecord(now time.Duration, service string) (r Record, current bool) {
	for version, l := range h.services[service] {
		if l.listed || now-l.until < recordMemory {
			r.Versions = append(r.Versions, version)
		}
	}
	slices.Sort(r.Versions)
	known, ok := h.records[service]
	r.Whole = known.Whole || h.isKnownForLong(now)
	return r, ok && r.Whole == known.Whole && slices.Equal(r.Versions, known.Versions)
}

// Unrecorded returns the services with versions that are listed and not on record.
func (h *History) Unrecorded() []string {
	var out []string
	for service, listings := range h.services {
		for version, l := range listings {
			if l.listed && !h.OnRecord(service, version) {
				out = append(out, service)
				break
			}
		}
	}
	slices.Sort(out)
	return out
}

// isKnownForLong reports whether this host has followed the list of endpoints for longer than streams last.
func (h *History) isKnownForLong(now time.Duration) bool { return h.Complete || now-h.Since >= Memory }

// Seen returns the versions of each service that were listed within Memory, each with the time in milliseconds since it was listed
// last.
func (h *History) Seen(now time.Duration) map[string]map[string]int64 {
	out := make(map[string]map[string]int64)
	for service, listings := range h.services {
		for version, l := range listings {
			age := now - l.until
			if l.listed {
				age = 0
			}
			if age >= Memory {
				continue
			}
			if out[service] == nil {
				out[service] = make(map[string]int64)
			}
			out[service][version] = age.Milliseconds()
		}
	}
	return out
}

// NoteSeen applies the versions that another host has listed.
func (h *History) NoteSeen(now time.Duration, seen map[string]map[string]int64) {
	for service, versions := range seen {
		for version, ageMS := range versions {
			h.noteListed(now, service, version, now-time.Duration(max(0, ageMS))*time.Millisecond)
		}
	}
}

// maxVersions limits the versions of a service that are learned from other hosts.
const maxVersions = 100

// noteListed records that a version was listed at a time.
func (h *History) noteListed(now time.Duration, service, version string, at time.Duration) {
	listings := h.services[service]
	if listings == nil || now-at >= Memory {
		return // a service without endpoints at this host, or long ago
	}
	l := listings[version]
	if l == nil {
		if len(listings) >= maxVersions {
			return
		}
		l = &listing{until: at}
		listings[version] = l
	}
	l.until = max(l.until, at)
}

// Mixed reports whether streams of a service may have begun at more than one version: several were listed within Memory, or are on record.
func (h *History) Mixed(now time.Duration, service string) bool {
	_, n := h.recent(now, service)
	return n > 1
}

// MayHaveLost reports whether streams of a service may still be read that began at one of several versions before this host followed the
// list.
func (h *History) MayHaveLost(now time.Duration, service string) bool {
	return now-h.Since < Memory && h.Mixed(now, service)
}

// Sole returns the version of a service that alone was listed for Memory, and false if there were
// several or that is not known: another host may have begun streams at a version that this one has not seen, and have been killed, but not
// before the version was on record.
func (h *History) Sole(now time.Duration, service string) (string, bool) {
	version, n := h.recent(now, service)
	return version, n == 1 && (h.records[service].Whole || now-h.Since >= Memory)
}

// recent returns the number of versions of a service that were listed within Memory, and one of them.
func (h *History) recent(now time.Duration, service string) (version string, n int) {
	for v, l := range h.services[service] {
		if l.isRecent(now) {
			version = v
			n++
		}
	}
	return version, n
}

// isRecent reports whether the version was listed within Memory.
func (l *listing) isRecent(now time.Duration) bool { return l.listed || now-l.until < Memory }
