// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package feed

import (
	"slices"
	"strings"
)

// Evacuations are the availability zones whose endpoints get no requests, by order of the operators.
type Evacuations struct {
	// Zones are the names of the zones, sorted.
	Zones []string `json:"zones,omitempty"`
	// Revision is a revision of the store at which exactly these zones were evacuated: that of the newest
	// order or cancellation that is known, or 0 if there is none.
	Revision uint64 `json:"revision,omitempty"`
}

// with returns the evacuations after an order or a cancellation.
func (e Evacuations) with(zone string, canceled bool, revision uint64) Evacuations {
	zones := slices.DeleteFunc(slices.Clone(e.Zones), func(z string) bool { return z == zone })
	if !canceled {
		zones = append(zones, zone)
		slices.Sort(zones)
	}
	return Evacuations{zones, revision}
}

// Evacuations returns the evacuations in force.
func (s *Settings) Evacuations() Evacuations {
	if e := s.evacuations.Load(); e != nil {
		return *e
	}
	return Evacuations{}
}

// OfferEvacuations puts a peer's evacuations in force unless those in force are equally new or newer.
func (s *Settings) OfferEvacuations(e Evacuations) {
	s.evacuationsMu.Lock()
	defer s.evacuationsMu.Unlock()
	if e.Revision > s.Evacuations().Revision {
		s.setEvacuations(e)
	}
}

// readEvacuations puts in force what a read of all keys at a revision of the store shows. A cancellation
// removes the key and with it the revision of the cancellation, so that the revision of the read stands
// for it.
func (s *Settings) readEvacuations(items []Item, revision uint64) {
	s.evacuationsMu.Lock()
	defer s.evacuationsMu.Unlock()
	old := s.Evacuations()
	if revision < old.Revision {
		return // a peer has reported a newer order in the meantime
	}
	next := Evacuations{Revision: old.Revision}
	for _, it := range items {
		if zone, ok := s.evacuatedZone(it); ok {
			next = next.with(zone, false, max(next.Revision, it.Revision))
		}
	}
	for _, zone := range old.Zones {
		if !slices.Contains(next.Zones, zone) {
			next.Revision = max(next.Revision, revision)
		}
	}
	s.setEvacuations(next)
}

// applyEvacuationChanges puts the orders and cancellations among changes, which are in order, in force.
func (s *Settings) applyEvacuationChanges(changes []Item) {
	s.evacuationsMu.Lock()
	defer s.evacuationsMu.Unlock()
	next := s.Evacuations()
	for _, it := range changes {
		if it.Revision <= next.Revision {
			continue // a peer has reported it in the meantime
		}
		if zone, ok := s.evacuatedZone(it); ok {
			next = next.with(zone, it.Deleted, it.Revision)
		}
	}
	s.setEvacuations(next)
}

// evacuatedZone returns the zone that an item orders to evacuate, or whose evacuation it cancels, and
// false if it is no valid order.
func (s *Settings) evacuatedZone(it Item) (zone string, ok bool) {
	if s.EvacuationPrefix == "" || !strings.HasPrefix(it.Key, s.EvacuationPrefix) {
		return "", false
	}
	zone = strings.TrimPrefix(it.Key, s.EvacuationPrefix)
	if it.Deleted {
		return zone, true
	}
	if err := s.CheckEvacuation(zone, it.Value); err != nil {
		s.refusedCount.Add(1)
		s.Log.Error(err, "evacuation refused", "key", it.Key, "revision", it.Revision)
		return "", false
	}
	return zone, true
}

// setEvacuations puts evacuations in force; evacuationsMu must be held.
func (s *Settings) setEvacuations(e Evacuations) {
	old := s.Evacuations()
	s.evacuations.Store(&e)
	if slices.Equal(old.Zones, e.Zones) {
		return
	}
	s.Log.Info("evacuations in force", "zones", e.Zones, "before", old.Zones, "revision", e.Revision)
	s.OnEvacuate(e.Zones)
}

// newestRevision returns the revision that identifies the settings in force: that of the newest write of
// the configuration or change of the evacuations, or 0 if there is no configuration.
func (s *Settings) newestRevision() uint64 {
	c := s.current.Load()
	if c == nil {
		return 0
	}
	return max(c.Revision, s.Evacuations().Revision)
}
