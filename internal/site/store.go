// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package site

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

// StoreFault is a fault of the store. The zero value is none.
type StoreFault struct {
	// Status is sent in place of an answer; 0 means none.
	Status int
	// Hang keeps calls waiting for this time and then closes their connections without an answer.
	Hang time.Duration
	// Reset closes connections at once without an answer.
	Reset bool
	// Delay is added before each answer.
	Delay time.Duration
	// LoseAnswer executes transactions and closes their connections without an answer.
	LoseAnswer bool
}

// StoreItem is an item of the store on the wire.
type StoreItem struct {
	// TLSKey is the key and Value the value that was written.
	TLSKey string `json:"TlsKey"`
	Value  []byte `json:",omitempty"`
	// Revision is the revision of the last write and Created that of the first one. Lease is the ID
	// of the lease with whose end the key is removed; 0 means none.
	Revision uint64
	Created  uint64 `json:"made,omitempty"`
	Lease    uint64 `json:"lease,omitempty"`
	// Removed marks the removal of the key.
	Removed bool `json:"gone,omitempty"`
}

// Store is a fake of the platform's store.
type Store struct {
	mu             sync.Mutex
	items          map[string]StoreItem
	history        []StoreItem
	revision       uint64
	oldestRevision uint64
	leases         map[uint64]*storeLease
	changed        chan struct{}
	fault          StoreFault
	calls          int
	era            uint64
}

// currentEra returns the era.
func (s *Store) currentEra() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// storeLease is a lease with its TTL and the time at which it expires.
type storeLease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{items: make(map[string]StoreItem), leases: make(map[uint64]*storeLease), changed: make(chan struct{}), era: 1}
}

// Handler returns a handler for the store's HTTP protocol.
func (s *Store) Handler() http.Handler {
	m := mux.NewRouter()
	m.HandleFunc("/-/kv-key", s.getKey).Methods(http.MethodGet)
	m.HandleFunc("/-/kv-range", s.getRange).Methods(http.MethodGet)
	m.HandleFunc("/-/kv-watch", s.watch).Methods(http.MethodGet)
	m.HandleFunc("/-/kv-txn", s.txn).Methods(http.MethodPost)
	m.HandleFunc("/-/kv-lease", s.grantLease).Methods(http.MethodPost)
	m.HandleFunc("/-/kv-keep/{id}", s.renewLease).Methods(http.MethodPost)
	m.HandleFunc("/-/kv-lease-end/{id}", s.endLease).Methods(http.MethodDelete)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Store-Era", strconv.FormatUint(s.currentEra(), 10))
		if s.applyFault(w, r) {
			m.ServeHTTP(w, r)
		}
	})
}

// applyFault applies the current fault to a call. It returns false if the call has been answered.
func (s *Store) applyFault(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	s.calls++
	f := s.fault
	s.mu.Unlock()
	wait := func(d time.Duration) {
		select {
		case <-r.Context().Done():
		case <-time.After(d):
		}
	}
	switch {
	case f.Reset:
		panic(http.ErrAbortHandler)
	case f.Hang > 0:
		wait(f.Hang)
		panic(http.ErrAbortHandler)
	case f.Status != 0:
		w.WriteHeader(f.Status)
		return false
	}
	wait(f.Delay)
	return true
}

// SetFault sets the fault that applies to all calls from now on.
func (s *Store) SetFault(f StoreFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// DropHistory drops the changes made so far, so that watches from older revisions get 410.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.oldestRevision = nil, s.revision
}

// Put writes a key without a call, as operators and endpoints do.
func (s *Store) Put(key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(StoreItem{TLSKey: key, Value: b})
}

// HasPrefix reports whether a key with the given prefix exists.
func (s *Store) HasPrefix(prefix string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			return true
		}
	}
	return false
}

// CountWrites counts the changes in the history of keys with the given prefix.
func (s *Store) CountWrites(prefix string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, it := range s.history {
		if strings.HasPrefix(it.TLSKey, prefix) {
			n++
		}
	}
	return n
}

// Value returns the value of a key, and false if the key is not there.
func (s *Store) Value(key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[key]
	return it.Value, ok
}

// Remove removes a key.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(StoreItem{TLSKey: key, Removed: true})
}

// write makes one change. The caller must hold mu.
func (s *Store) write(it StoreItem) {
	s.revision++
	it.Revision = s.revision
	it.Created = s.revision
	if old, ok := s.items[it.TLSKey]; ok {
		it.Created = old.Created
	}
	if it.Removed {
		delete(s.items, it.TLSKey)
	} else {
		s.items[it.TLSKey] = it
	}
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire removes expired leases. The caller must hold mu.
func (s *Store) expire() {
	for id, l := range s.leases {
		if time.Now().After(l.expiresAt) {
			s.removeLease(id)
		}
	}
}

// removeLease removes a lease and its keys. The caller must hold mu.
func (s *Store) removeLease(id uint64) {
	delete(s.leases, id)
	for k, it := range s.items {
		if it.Lease == id {
			s.write(StoreItem{TLSKey: k, Removed: true})
		}
	}
}

// storeAnswer is the answer to a read or a watch, and to a transaction whose condition failed.
type storeAnswer struct {
	Items  []StoreItem `json:",omitempty"`
	More   bool        `json:"more"`
	At     uint64      `json:"at"`
	Events []StoreItem `json:"events,omitempty"`
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *Store) getKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	it, ok := s.items[r.URL.Query().Get("TlsKey")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, struct {
		StoreItem
		At uint64 `json:"at"`
	}{it, s.revision})
}

// maxPageItems limits the items of an answer to a range read.
const maxPageItems = 500

func (s *Store) getRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	q := r.URL.Query()
	a := storeAnswer{At: s.revision}
	keys := make([]string, 0, len(s.items))
	for k := range s.items {
		if strings.HasPrefix(k, q.Get("PathPrefix")) && k > q.Get("SinceRev") {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	for _, k := range keys[:min(maxPageItems, len(keys))] {
		a.Items = append(a.Items, s.items[k])
	}
	a.More = len(keys) > maxPageItems
	reply(w, http.StatusOK, a)
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, _ := strconv.ParseUint(q.Get("SinceRev"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("WaitMs"))
	timeout := time.After(time.Duration(ms) * time.Millisecond)
	era := s.currentEra()
	for timedOut := false; ; {
		s.mu.Lock()
		s.expire()
		if s.era != era {
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if since < s.oldestRevision || since > s.revision {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		a := storeAnswer{At: s.revision}
		for _, it := range s.history {
			if it.Revision > since && strings.HasPrefix(it.TLSKey, q.Get("PathPrefix")) {
				a.Events = append(a.Events, it)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(a.Events) > 0 || timedOut {
			reply(w, http.StatusOK, a)
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		case <-timeout:
			timedOut = true
		}
	}
}

// txnBody is the body of a transaction.
type txnBody struct {
	ExpectedRev []struct {
		TLSKey   string `json:"TlsKey"`
		Revision uint64
	}
	Put []struct {
		TLSKey string `json:"TlsKey"`
		Value  []byte
		Lease  uint64 `json:"lease"`
	} `json:"put"`
	Remove []string
}

func (s *Store) txn(w http.ResponseWriter, r *http.Request) {
	var b txnBody
	if json.NewDecoder(r.Body).Decode(&b) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	for _, e := range b.ExpectedRev {
		if s.items[e.TLSKey].Revision != e.Revision {
			a := storeAnswer{At: s.revision}
			if it, ok := s.items[e.TLSKey]; ok {
				a.Items = append(a.Items, it)
			}
			reply(w, http.StatusPreconditionFailed, a)
			return
		}
	}
	for _, p := range b.Put {
		if strings.HasPrefix(p.TLSKey, "op/") || strings.HasPrefix(p.TLSKey, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, p := range b.Put {
		s.write(StoreItem{TLSKey: p.TLSKey, Value: p.Value, Lease: p.Lease})
	}
	for _, k := range b.Remove {
		s.write(StoreItem{TLSKey: k, Removed: true})
	}
	if s.fault.LoseAnswer {
		panic(http.ErrAbortHandler)
	}
	reply(w, http.StatusOK, struct{ Revision uint64 }{s.revision})
}
