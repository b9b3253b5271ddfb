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
}

// listing says when endpoints of a version were listed.
type listing struct {
	listed bool          // now
	until  time.Duration // when they were listed last, unless they are now
}

// SetListed applies a list of endpoints: the versions of each service. It returns the services that have
// become mixed by it.
func (h *History) SetListed(now time.Duration, versions map[string]map[string]bool) (mixed []string) {
	if h.services == nil {
		h.services = make(map[string]map[string]*listing)
	}
	before := make(map[string]bool)
	for service, listings := range h.services {
		before[service] = h.Mixed(now, service)
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
		if !before[service] && h.Mixed(now, service) {
			mixed = append(mixed, service)
		}
	}
	return mixed
}

// NoteMixed applies a record which says that streams of a service may have begun at several versions until a time.
func (h *History) NoteMixed(service string, until time.Duration) {
	if h.mixedUntil == nil {
		h.mixedUntil = make(map[string]time.Duration)
	}
	h.mixedUntil[service] = max(h.mixedUntil[service], until)
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
