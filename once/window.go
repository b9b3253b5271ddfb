// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package once

// DefaultGenerations is the number of generations whose records are kept, the current one included.
const DefaultGenerations = 3

// DefaultMaxRecords bounds the records of one machine; at about 200 bytes each
// it bounds the memory at 26 MB.
const DefaultMaxRecords = 1 << 17

// window holds records by generation. It forgets by its own count only, and
// seals generations instead of forgetting when it is full: an ID of a sealed
// generation that has no record never gets one.
type window[T any] struct {
	keep    int
	max     int
	current Generation
	sealed  Generation
	size    int
	tables  map[Generation]map[string]T
}

// newWindow returns a window at generation 1 with nothing sealed.
func newWindow[T any](keep, limit int) window[T] {
	if keep == 0 {
		keep = DefaultGenerations
	}
	if limit == 0 {
		limit = DefaultMaxRecords
	}
	return window[T]{keep: keep, max: limit, current: 1, tables: make(map[Generation]map[string]T)}
}

// place says where a generation lies in the window.
type place uint8

const (
	placeFuture  place = iota // never given out
	placeOpen                 // may get new records
	placeSealed               // kept, gets no new records
	placeExpired              // forgotten
)

// where returns the place of a generation.
func (w *window[T]) where(g Generation) place {
	switch {
	case g > w.current || g == 0:
		return placeFuture
	case int(w.current-g) >= w.keep:
		return placeExpired
	case g <= w.sealed || w.size >= w.max:
		return placeSealed
	}
	return placeOpen
}

// find returns the record of key, if there is one.
func (w *window[T]) find(g Generation, key string) (T, bool) {
	r, ok := w.tables[g][key]
	return r, ok
}

// put adds or replaces a record; the generation must be open or the key known.
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

// seal closes every generation up to the current one for new records.
func (w *window[T]) seal() { w.sealed = w.current }

// advance starts a generation and forgets what is no longer kept; live tells
// which records must stay although their generation goes, and may be nil.
func (w *window[T]) advance(live func(T) bool) {
	w.current++
	for g, t := range w.tables {
		if w.where(g) != placeExpired {
			continue
		}
		for k, r := range t {
			if live != nil && live(r) {
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
