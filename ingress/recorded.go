// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import (
	"slices"
	"sync"
	"time"

	"github.com/heathkeel/heathkeel/origin"
	"github.com/heathkeel/heathkeel/route"
)

const (
	// maxHold is the time for which no resumable streams begin at a version that is not on record, while another one serves that is, or
	// nothing is on record. A store that takes no writes for longer must not keep a service to the few endpoints that an old version may
	// have left.
	maxHold = 5 * time.Second
	// maxUnreadHold is the same while the records could not be read: a host that starts while the store is away serves.
	maxUnreadHold = time.Second
)

// serviceVersion is a version of a service's endpoints.
type serviceVersion struct{ service, version string }

// recordedVersions says at which versions no resumable stream may begin yet.
type recordedVersions struct {
	onRecord  map[serviceVersion]bool
	read      bool                             // the records were read
	listedAt  map[serviceVersion]time.Duration // when a version that is not on record was first listed
	held      map[serviceVersion]bool
	nextCheck time.Duration // when the first hold is over, 0 for none
}

// isHeld reports whether no resumable stream may begin at a version of a service.
func (r *recordedVersions) isHeld(service, version string) bool {
	return r.held[serviceVersion{service, version}]
}

// update works out the holds; inUse are the versions whose endpoints get requests.
func (r *recordedVersions) update(now time.Duration, inUse map[serviceVersion]bool) {
	served := make(map[string]bool) // services with a version that is on record and in use
	for v := range inUse {
		served[v.service] = served[v.service] || r.onRecord[v]
	}
	recorded := make(map[string]bool) // services with any version on record
	for v := range r.onRecord {
		recorded[v.service] = true
	}
	limit := maxHold
	if !r.read {
		limit = maxUnreadHold
	}
	listedAt := make(map[serviceVersion]time.Duration)
	r.held, r.nextCheck = nil, 0
	for v := range inUse {
		if r.onRecord[v] {
			continue
		}
		at, known := r.listedAt[v]
		if !known {
			at = now
		}
		listedAt[v] = at
		if (served[v.service] || !recorded[v.service]) && now-at < limit {
			r.hold(v, at+limit)
		}
	}
	r.listedAt = listedAt
}

// hold holds a version until a time.
func (r *recordedVersions) hold(v serviceVersion, until time.Duration) {
	if r.held == nil {
		r.held = make(map[serviceVersion]bool)
	}
	r.held[v] = true
	if r.nextCheck == 0 || until < r.nextCheck {
		r.nextCheck = until
	}
}

// updateHolds works out at which versions no resumable stream may begin; mu must be held.
func (b *balancer) updateHolds(now time.Duration) {
	inUse := make(map[serviceVersion]bool)
	for _, t := range b.targets {
		if b.getsRequests(t) {
			inUse[serviceVersion{t.Service, versionOf(&t.Endpoint)}] = true
		}
	}
	b.recorded.update(now, inUse)
}

// endHolds applies the end of holds that are over; mu must be held.
func (b *balancer) endHolds(now time.Duration) {
	if at := b.recorded.nextCheck; at > 0 && now >= at {
		b.syncEndpoints(now)
	}
}

// holdsNewVersion reports whether the request may not begin at the version that its service is rolled out to; mu must be held.
func (b *balancer) holdsNewVersion(c *call) bool {
	if !c.resumable() {
		return false
	}
	version, ok := b.rollouts.NewVersion(c.service.Name)
	return ok && b.recorded.isHeld(c.service.Name, version)
}

// setRecorded applies which versions are on record, and whether the records were read.
func (b *balancer) setRecorded(now time.Duration, onRecord map[serviceVersion]bool, read bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.recorded.onRecord, b.recorded.read = onRecord, read
	b.syncEndpoints(now)
	b.poll(now)
}

// onRecord returns the versions on record; mu must be held.
func (o *origins) onRecord() map[serviceVersion]bool {
	out := make(map[serviceVersion]bool)
	for service, r := range o.history.Records() {
		for _, version := range r.Versions {
			out[serviceVersion{service, version}] = true
		}
	}
	return out
}

// SetVersionsRecord applies the record of the versions at which streams of a service may have begun.
func (s *Server) SetVersionsRecord(service string, r origin.Record) {
	s.changeRecords(func(o *origins) { o.history.SetRecord(s.Now(), service, r) })
}

// NoteVersionsRead records that all records of versions were read.
func (s *Server) NoteVersionsRead() { s.changeRecords(func(o *origins) { o.recordsRead = true }) }

// DropVersionsRecords forgets all records of versions, since the store has come back from an older copy.
func (s *Server) DropVersionsRecords() {
	s.changeRecords(func(o *origins) {
		o.history.DropRecords()
		o.recordsRead = false
	})
}

// changeRecords changes what is known of the records of versions, and applies it.
func (s *Server) changeRecords(change func(o *origins)) {
	s.recordsMu.Lock()
	defer s.recordsMu.Unlock()
	s.origins.mu.Lock()
	change(&s.origins)
	s.origins.tellNewlyMixed()
	onRecord, read := s.origins.onRecord(), s.origins.recordsRead
	s.origins.mu.Unlock()
	s.balance.setRecorded(s.Now(), onRecord, read)
}

// UnrecordedServices returns the services with streams that callers may resume and with versions that are listed and not on record.
func (s *Server) UnrecordedServices() []string {
	resumable := s.resumableServices()
	s.origins.mu.Lock()
	defer s.origins.mu.Unlock()
	return slices.DeleteFunc(s.origins.history.Unrecorded(), func(service string) bool { return !resumable[service] })
}

// WantedRecord returns what the record of a service has to say, and whether the one that is known does.
func (s *Server) WantedRecord(service string) (r origin.Record, current bool) {
	s.origins.mu.Lock()
	defer s.origins.mu.Unlock()
	return s.origins.history.WantedRecord(s.Now(), service)
}

// HasMixedServices reports whether streams of any service may have begun at several versions.
func (s *Server) HasMixedServices() bool {
	services := s.resumableServices()
	s.origins.mu.Lock()
	defer s.origins.mu.Unlock()
	for service := range services {
		if s.origins.history.Mixed(s.Now(), service) {
			return true
		}
	}
	return false
}

// resumableCache holds the services with streams that callers may resume, of one configuration.
type resumableCache struct {
	mu       sync.Mutex
	table    *route.Table
	services map[string]bool
}

// resumableServices returns the services with streams that callers may resume. The result must not be changed.
func (s *Server) resumableServices() map[string]bool {
	src := s.Settings.Current()
	if src == nil {
		return nil
	}
	c := &s.resumable
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.table != src.Table {
		c.table, c.services = src.Table, resumableServicesOf(src.Table)
	}
	return c.services
}

// resumableServicesOf returns the services of a configuration with streams that callers may resume.
func resumableServicesOf(t *route.Table) map[string]bool {
	out := make(map[string]bool)
	for i := range t.Document.Routes {
		r := &t.Document.Routes[i]
		if r.Kind != route.Stream || !r.Resumable {
			continue
		}
		for _, to := range r.Targets {
			out[to.Service] = true
		}
	}
	return out
}

// SetSavesOrigins sets whether this host saves the streams that hosts tell each other, so that they outlast all hosts.
func (s *Server) SetSavesOrigins(on bool) {
	s.origins.mu.Lock()
	defer s.origins.mu.Unlock()
	s.origins.book.SetSaves(on)
}

// TakeUnsavedOrigins returns the streams that are to be saved, each once.
func (s *Server) TakeUnsavedOrigins() origin.Report {
	s.origins.mu.Lock()
	defer s.origins.mu.Unlock()
	return s.origins.book.TakeUnsaved()
}

// ReturnUnsavedOrigins takes streams back that could not be saved.
func (s *Server) ReturnUnsavedOrigins(r *origin.Report) {
	s.origins.mu.Lock()
	defer s.origins.mu.Unlock()
	s.origins.book.ReturnUnsaved(r)
}

// RestoreOrigins remembers streams that were saved.
func (s *Server) RestoreOrigins(r *origin.Report) {
	s.origins.mu.Lock()
	defer s.origins.mu.Unlock()
	s.origins.book.Restore(s.Now(), r)
}
