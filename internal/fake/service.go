// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package fake

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/heathkeel/heathkeel/endpoint"
)

// ServiceFaults are the faults of a plain service; the zero value has none.
type ServiceFaults struct {
	// LoseAnswer is the number of coming calls that run and whose answer is lost.
	LoseAnswer int
	// Delay is added to every call, before it runs.
	Delay time.Duration
	// Dead breaks every connection before the call runs.
	Dead bool
}

// Service is a stand-in plain service that counts the runs of each call.
type Service struct {
	mu     sync.Mutex
	faults ServiceFaults
	runs   map[string]int
	active int
}

// HeaderCall names a call at a stand-in service, so that its runs can be counted.
const HeaderCall = "X-Call"

// SetFaults replaces the faults in force.
func (s *Service) SetFaults(f ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Runs returns how often a call was run.
func (s *Service) Runs(call string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[call]
}

// RunStats returns the largest number of runs of one call and the number of calls run.
func (s *Service) RunStats() (most, calls int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range s.runs {
		most = max(most, n)
	}
	return most, len(s.runs)
}

// ServeHTTP runs one call; it answers with method, path and body.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == endpoint.PathLoad {
		s.mu.Lock()
		defer s.mu.Unlock()
		_ = json.NewEncoder(w).Encode(endpoint.Report{Running: s.active})
		return
	}
	body, _ := io.ReadAll(r.Body)
	s.mu.Lock()
	f := s.faults
	s.active++
	s.mu.Unlock()
	time.Sleep(f.Delay)
	if f.Dead {
		s.done()
		panic(http.ErrAbortHandler)
	}
	if s.run(r.Header.Get(HeaderCall)) {
		s.done()
		panic(http.ErrAbortHandler)
	}
	defer s.done()
	w.Header().Set("X-Method", r.Method)
	w.Header().Set("X-Path", r.URL.RequestURI())
	w.WriteHeader(http.StatusCreated)
	_, _ = w.Write(body)
}

// run counts a run and reports whether its answer gets lost.
func (s *Service) run(call string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runs == nil {
		s.runs = make(map[string]int)
	}
	s.runs[call]++
	if s.faults.LoseAnswer == 0 {
		return false
	}
	s.faults.LoseAnswer--
	return true
}

// done counts the end of a call.
func (s *Service) done() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
}
