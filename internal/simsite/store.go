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

// Mood is what the store does with a call.
type Mood int

// The moods.
const (
	// Sound answers.
	Sound Mood = iota
	// Refuse answers 429.
	Refuse
	// Hang never answers.
	Hang
)

// Store is the platform's store, which may treat the calls of some hosts badly.
type Store struct {
	*site.Store

	mu    sync.Mutex
	next  map[nextKey][]Mood // what the next calls below a prefix meet
	moods map[string]Mood    // by IP number: what all calls meet
	calls map[string]int     // by IP number
}

// nextKey names the calls of a host below a prefix.
type nextKey struct{ ip, prefix string }

// Next says what the next readings below a prefix by a host meet, in order.
func (s *Store) Next(ip, prefix string, moods ...Mood) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next[nextKey{ip, prefix}] = moods
}

// Treat says what all calls of a host meet from now on.
func (s *Store) Treat(ip string, m Mood) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.moods[ip] = m
}

// Called counts the calls of all hosts, answered or not.
func (s *Store) Called() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, calls := range s.calls {
		n += calls
	}
	return n
}

// mood takes what a call meets.
func (s *Store) mood(ip, prefix string) Mood {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[ip]++
	if m := s.moods[ip]; m != Sound {
		return m
	}
	key := nextKey{ip, prefix}
	if list := s.next[key]; len(list) > 0 {
		s.next[key] = list[1:]
		return list[0]
	}
	return Sound
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
