// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package simsite

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/heathkeel/heathkeel/internal/site"
)

// Behavior is the way the store treats a call.
type Behavior int

// Behaviors of the store.
const (
	// Normal answers as usual.
	Normal Behavior = iota
	// Refuse answers 429.
	Refuse
	// Hang never answers.
	Hang
	// Stall answers once the behavior has changed.
	Stall
)

// Store is the platform's store, which can refuse the calls of chosen hosts or let them hang.
type Store struct {
	*site.Store

	mu            sync.Mutex
	nextBehaviors map[behaviorKey][]Behavior // for the next calls, consumed in order
	behaviors     map[string]Behavior        // for all calls, by IP address of the host
	calls         map[string]int             // by IP address of the host
	meanDelay     time.Duration              // mean time before a call is taken up
	rand          *rand.Rand                 // source of the delays
}

// behaviorKey identifies the calls of a host for a prefix.
type behaviorKey struct{ ip, prefix string }

// SetNextBehaviors sets the behaviors, in order, for the next calls of a host for a prefix.
func (s *Store) SetNextBehaviors(ip, prefix string, behaviors ...Behavior) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextBehaviors[behaviorKey{ip, prefix}] = behaviors
}

// SetBehavior sets the behavior for all calls of a host from now on.
func (s *Store) SetBehavior(ip string, b Behavior) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behaviors[ip] = b
}

// SetMeanDelay makes the store take up each call from now on after a random delay of 0.5 to 1.5 times
// mean. It refuses none. Equal seeds give the same sequence of delays.
func (s *Store) SetMeanDelay(mean time.Duration, seed uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.meanDelay, s.rand = mean, rand.New(rand.NewPCG(seed, 0))
}

// nextDelay returns the time after which the next call is taken up.
func (s *Store) nextDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.meanDelay == 0 {
		return 0
	}
	return time.Duration((0.5 + s.rand.Float64()) * float64(s.meanDelay))
}

// TotalCalls returns the number of calls of all hosts, answered or not.
func (s *Store) TotalCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, calls := range s.calls {
		n += calls
	}
	return n
}

// takeBehavior counts a call and returns the behavior for it.
func (s *Store) takeBehavior(ip, prefix string) Behavior {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[ip]++
	if b := s.behaviors[ip]; b != Normal {
		return b
	}
	key := behaviorKey{ip, prefix}
	if queue := s.nextBehaviors[key]; len(queue) > 0 {
		s.nextBehaviors[key] = queue[1:]
		return queue[0]
	}
	return Normal
}

// stallCheckInterval is the time between two checks whether a stall is over.
const stallCheckInterval = 10 * time.Millisecond

// behavior returns the behavior for all calls of a host.
func (s *Store) behavior(ip string) Behavior {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.behaviors[ip]
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ip, _, _ := net.SplitHostPort(r.RemoteAddr)
	switch s.takeBehavior(ip, r.URL.Query().Get("PathPrefix")) {
	case Refuse:
		w.WriteHeader(http.StatusTooManyRequests)
	case Hang:
		_, _ = io.Copy(io.Discard, r.Body) // the context is canceled with the connection only once the body is read
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case Stall:
		for s.behavior(ip) == Stall {
			if !wait(r, stallCheckInterval) {
				panic(http.ErrAbortHandler)
			}
		}
		s.Handler().ServeHTTP(w, r)
	default:
		if !wait(r, s.nextDelay()) {
			panic(http.ErrAbortHandler)
		}
		s.Handler().ServeHTTP(w, r)
	}
}

// wait waits for d and reports false if the caller closes the connection meanwhile. The body is read first,
// since only then is the context canceled with the connection, and put back.
func wait(r *http.Request, d time.Duration) bool {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return false
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-r.Context().Done():
		return false
	case <-t.C:
		return true
	}
}
