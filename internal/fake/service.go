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

// ServiceFaults selects the faults that a Service injects; the zero value has none.
type ServiceFaults struct {
	// LoseAnswer is the number of next calls that run but whose answer is lost.
	LoseAnswer int
	// Delay is added to every call, before it runs.
	Delay time.Duration
	// Dead breaks every connection before the call runs.
	Dead bool
}

// Service is a fake plain service that counts the runs of each call.
type Service struct {
	mu     sync.Mutex
	faults ServiceFaults
	runs   map[string]int
	active int
}

// HeaderCall identifies a call to a Service, so that its runs can be counted.
const HeaderCall = "X-Call"

// SetFaults replaces the injected faults.
func (s *Service) SetFaults(f ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Runs returns the number of times that a call ran.
func (s *Service) Runs(call string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[call]
}

// RunStats returns the maximum number of runs of one call and the number of calls
// that ran.
func (s *Service) RunStats() (maxRuns, calls int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range s.runs {
		maxRuns = max(maxRuns, n)
	}
	return maxRuns, len(s.runs)
}

// ServeHTTP runs one call and echoes its method and URI in headers and its body. At
// endpoint.PathLoad it sends a load report instead.
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
		s.endCall()
		panic(http.ErrAbortHandler)
	}
	if s.countRun(r.Header.Get(HeaderCall)) {
		s.endCall()
		panic(http.ErrAbortHandler)
	}
	defer s.endCall()
	w.Header().Set("X-Method", r.Method)
	w.Header().Set("X-Path", r.URL.RequestURI())
	w.WriteHeader(http.StatusCreated)
	_, _ = w.Write(body)
}

// countRun counts a run and reports whether its answer is to be lost.
func (s *Service) countRun(call string) bool {
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

// endCall counts a call as no longer active.
func (s *Service) endCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
}
