// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package simsite

import (
	"io"
	"net"
	"net/http"
	"sync"

	"github.com/heathkeel/heathkeel/internal/site"
)

// Behavior is what the store does with a call.
type Behavior int

// The moods.
const (
	// Normal answers.
	Normal Behavior = iota
	// Refuse answers 429.
	Refuse
	// Hang never answers.
	Hang
)

// Store is the platform's store, which may treat the calls of some hosts badly.
type Store struct {
	*site.Store

	mu    sync.Mutex
	next  map[nextKey][]Behavior // what the next calls below a prefix meet
	moods map[string]Behavior    // by IP number: what all calls meet
	calls map[string]int         // by IP number
}

// nextKey names the calls of a host below a prefix.
type nextKey struct{ ip, prefix string }

// SetNextBehaviors says what the next readings below a prefix by a host meet, in order.
func (s *Store) SetNextBehaviors(ip, prefix string, moods ...Behavior) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next[nextKey{ip, prefix}] = moods
}

// SetBehavior says what all calls of a host meet from now on.
func (s *Store) SetBehavior(ip string, m Behavior) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.moods[ip] = m
}

// TotalCalls counts the calls of all hosts, answered or not.
func (s *Store) TotalCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, calls := range s.calls {
		n += calls
	}
	return n
}

// mood takes what a call meets.
func (s *Store) mood(ip, prefix string) Behavior {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[ip]++
	if m := s.moods[ip]; m != Normal {
		return m
	}
	key := nextKey{ip, prefix}
	if list := s.next[key]; len(list) > 0 {
		s.next[key] = list[1:]
		return list[0]
	}
	return Normal
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ip, _, _ := net.SplitHostPort(r.RemoteAddr)
	switch s.mood(ip, r.URL.Query().Get("PathPrefix")) {
	case Refuse:
		w.WriteHeader(http.StatusTooManyRequests)
	case Hang:
		_, _ = io.Copy(io.Discard, r.Body) // the context ends with the connection only once the body is read
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	default:
		s.Handler().ServeHTTP(w, r)
	}
}
