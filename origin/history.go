// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package origin

import "time"

// History remembers which versions of the endpoints' software each service had lately. The zero value
// knows of none. It is not safe for concurrent use.
type History struct {
	// Complete says that the history is known from the beginning: no stream began before this host
	// followed the list of endpoints. Otherwise it is known from Since on.
	Complete bool
	Since    time.Duration

	services   map[string]map[string]*listing
	mixedUntil map[string]time.Duration // services of which a record says that they have had several versions
	wasMixed   map[string]bool          // services that were mixed at the last call of TakeNewlyMixed
}

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
			if !l.listed && now-l.until >= Memory {
				delete(listings, version)
			}
		}
	}
	for service, listed := range versions {
		if h.services[service] == nil {
			h.services[service] = make(map[string]*listing)
		}
		for version := range listed {
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

// NoteMixed applies a record which says that streams of a service may have begun at several versions until a time.
func (h *History) NoteMixed(service string, until time.Duration) {
	if h.mixedUntil == nil {
		h.mixedUntil = make(map[string]time.Duration)
	}
	h.mixedUntil[service] = max(h.mixedUntil[service], until)
}

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

// MixedServices returns the services of which more than one version was listed within Memory, as this host saw.
func (h *History) MixedServices(now time.Duration) []string {
	var out []string
	for service := range h.services {
		if _, n := h.recent(now, service); n > 1 {
			out = append(out, service)
		}
	}
	return out
}

// Mixed reports whether streams of a service may have begun at more than one version: several were listed within Memory, or a record
// says so.
func (h *History) Mixed(now time.Duration, service string) bool {
	_, n := h.recent(now, service)
	return n > 1 || now < h.mixedUntil[service]
}

// Sole returns the version of a service that alone was listed for Memory, and false if there were
// several or that is not known.
func (h *History) Sole(now time.Duration, service string) (string, bool) {
	version, n := h.recent(now, service)
	return version, n == 1 && now >= h.mixedUntil[service] && (h.Complete || now-h.Since >= Memory)
}

// recent returns the number of versions of a service that were listed within Memory, and one of them.
func (h *History) recent(now time.Duration, service string) (version string, n int) {
	for v, l := range h.services[service] {
		if l.listed || now-l.until < Memory {
			version = v
			n++
		}
	}
	return version, n
}
