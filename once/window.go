// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package once

// DefaultGenerations is the default number of generations whose records are
// kept, including the current one.
const DefaultGenerations = 3

// DefaultMaxRecords is the default limit on the records of one owner or
// witness. At about 200 bytes per record it limits the memory to 26 MB.
const DefaultMaxRecords = 1 << 17

// window holds records by generation. Records expire only by its own count of
// generations. A full window does not evict records but seals generations: an
// ID of a sealed generation that has no record never gets one.
type window[T any] struct {
	maxGenerations int
	maxRecords     int
	current        Generation
	sealed         Generation
	size           int
	tables         map[Generation]map[string]T
}

// newWindow returns an empty window whose current generation is 1, with no
// generation sealed.
func newWindow[T any](maxGenerations, maxRecords int) window[T] {
	if maxGenerations == 0 {
		maxGenerations = DefaultGenerations
	}
	if maxRecords == 0 {
		maxRecords = DefaultMaxRecords
	}
	return window[T]{maxGenerations: maxGenerations, maxRecords: maxRecords, current: 1, tables: make(map[Generation]map[string]T)}
}

// generationState is the state of a generation in a window.
type generationState uint8

const (
	generationFuture  generationState = iota // not issued yet
	generationOpen                           // accepts new records
	generationSealed                         // kept, accepts no new records
	generationExpired                        // no longer kept
)

// stateOf returns the state of a generation. All kept generations count as
// sealed while the window is full.
func (w *window[T]) stateOf(g Generation) generationState {
	switch {
	case g > w.current || g == 0:
		return generationFuture
	case int(w.current-g) >= w.maxGenerations:
		return generationExpired
	case g <= w.sealed || w.size >= w.maxRecords:
		return generationSealed
	}
	return generationOpen
}

// find returns the record of key in generation g, if there is one.
func (w *window[T]) find(g Generation, key string) (T, bool) {
	r, ok := w.tables[g][key]
	return r, ok
}

// put adds or replaces a record. The generation must be open, or the key must
// already have a record.
func (w *window[T]) put(g Generation, key string, r T) {
	t := w.tables[g]
	if t == nil {
		t = make(map[string]T)
		w.tables[g] = t
	}
	if _, ok := t[key]; !ok {
		w.size++
	}
	t[key] = r
}

// seal closes all generations up to and including the current one for new records.
func (w *window[T]) seal() { w.sealed = w.current }

// advance starts a new generation and deletes the records of expired
// generations. mustKeep selects records that are kept although their generation
// expired; it may be nil.
func (w *window[T]) advance(mustKeep func(T) bool) {
	w.current++
	for g, t := range w.tables {
		if w.stateOf(g) != generationExpired {
			continue
		}
		for k, r := range t {
			if mustKeep != nil && mustKeep(r) {
				continue
			}
			delete(t, k)
			w.size--
		}
		if len(t) == 0 {
			delete(w.tables, g)
		}
	}
}
