// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package site

import (
	"bytes"
	"maps"
	"slices"
	"strings"
)

// StoreCopy is the state of a store at one moment.
type StoreCopy struct {
	items    map[string]StoreItem
	history  []StoreItem
	revision uint64
	oldest   uint64
	leases   map[uint64]*storeLease
}

// Copy returns a copy of the state.
func (s *Store) Copy() *StoreCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &StoreCopy{items: maps.Clone(s.items), history: slices.Clone(s.history), revision: s.revision, oldest: s.oldestRevision, leases: make(map[uint64]*storeLease)}
	for id, l := range s.leases {
		lease := *l
		c.leases[id] = &lease
	}
	return c
}

// GoBack puts the state of a copy in place of the present one, and begins the next era. Revisions that were given since are given out
// again. Watches that wait are cut. What stands below the given prefixes now is written again, as operators and endpoints do.
func (s *Store) GoBack(c *StoreCopy, rewritten ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := s.items
	s.items, s.history, s.revision, s.oldestRevision, s.leases = maps.Clone(c.items), slices.Clone(c.history), c.revision, c.oldest, c.leases
	s.era++
	s.rewrite(newest, rewritten)
	close(s.changed)
	s.changed = make(chan struct{})
}

// rewrite makes the items below prefixes what they were; mu must be held.
func (s *Store) rewrite(items map[string]StoreItem, prefixes []string) {
	below := func(key string) bool {
		return slices.ContainsFunc(prefixes, func(p string) bool { return strings.HasPrefix(key, p) })
	}
	for key, it := range items {
		if below(key) && !bytes.Equal(s.items[key].Value, it.Value) {
			s.write(StoreItem{TLSKey: key, Value: it.Value})
		}
	}
	for key := range s.items {
		if _, stood := items[key]; below(key) && !stood {
			s.write(StoreItem{TLSKey: key, Removed: true})
		}
	}
}
