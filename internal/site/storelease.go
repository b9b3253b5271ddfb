// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package site

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"
)

// leaseBody is the body of calls on leases and of their answers.
type leaseBody struct {
	Lease uint64 `json:"lease,omitempty"`
	TTL   int64  `json:"ttl_ms,omitempty"`
}

func (s *Store) grantLease(w http.ResponseWriter, r *http.Request) {
	var b leaseBody
	if json.NewDecoder(r.Body).Decode(&b) != nil || b.TTL <= 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	ttl := time.Duration(b.TTL) * time.Millisecond
	s.leases[s.revision] = &storeLease{ttl, time.Now().Add(ttl)}
	reply(w, http.StatusOK, leaseBody{s.revision, b.TTL})
}

func (s *Store) renewLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(mux.Vars(r)["id"], 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l := s.leases[id]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.expiresAt = time.Now().Add(l.ttl)
	reply(w, http.StatusOK, leaseBody{TTL: l.ttl.Milliseconds()})
}

func (s *Store) endLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(mux.Vars(r)["id"], 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeLease(id)
	reply(w, http.StatusOK, leaseBody{})
}
