// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package fake

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/heathkeel/heathkeel/keyval"
)

// HostList is a fake of the list of hosts and endpoints, which lags behind changes.
type HostList struct {
	// Lag is the delay after which the list shows a change.
	Lag time.Duration

	mu      sync.Mutex
	changes map[string][]listChange
}

// listChange is the state of an entry from a time on; a nil entry is removed.
type listChange struct {
	visibleAt time.Time
	entry     *keyval.ListEntry
}

// Put adds or changes an entry; the list shows it after Lag.
func (l *HostList) Put(e keyval.ListEntry) { l.recordChange(e.Name, &e) }

// Remove removes an entry; the list shows it until Lag has passed.
func (l *HostList) Remove(name string) { l.recordChange(name, nil) }

// recordChange adds a state that an entry takes after Lag.
func (l *HostList) recordChange(name string, e *keyval.ListEntry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.changes == nil {
		l.changes = make(map[string][]listChange)
	}
	l.changes[name] = append(l.changes[name], listChange{time.Now().Add(l.Lag), e})
}

// List implements keyval.HostList.
func (l *HostList) List(context.Context) ([]keyval.ListEntry, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	var out []keyval.ListEntry
	for _, changes := range l.changes {
		var current *keyval.ListEntry
		for _, c := range changes {
			if !c.visibleAt.After(now) {
				current = c.entry
			}
		}
		if current != nil {
			out = append(out, *current)
		}
	}
	slices.SortFunc(out, func(a, b keyval.ListEntry) int { return strings.Compare(a.Name, b.Name) })
	return out, nil
}

// WeightFaults selects the faults that a WeightStore injects; the zero value has none.
type WeightFaults struct {
	// Refuse makes every Describe and Load fail; Corrupt makes Load return a wrong digest.
	Refuse, Corrupt bool
	// Slowdown multiplies the duration of a load; 0 means 1.
	Slowdown float64
}

// WeightStore is a fake of the weight store.
type WeightStore struct {
	// MaxLoadRate is the rate limit in loads per second; 0 is no limit.
	MaxLoadRate float64
	// LoadTime is the duration of one load.
	LoadTime time.Duration

	mu      sync.Mutex
	limiter *rate.Limiter
	faults  WeightFaults
	loads   int
}

// SetFaults replaces the injected faults.
func (s *WeightStore) SetFaults(f WeightFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Loads returns the number of calls of Load.
func (s *WeightStore) Loads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loads
}

// Describe implements keyval.WeightStore.
func (s *WeightStore) Describe(_ context.Context, model, version string) (keyval.Weights, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Refuse {
		return keyval.Weights{}, keyval.ErrUnavailable
	}
	return keyval.Weights{Bytes: 1 << 30, Digest: weightsDigest(model, version)}, nil
}

// Load loads weights as an engine does and returns the digest of their content.
func (s *WeightStore) Load(ctx context.Context, model, version string) (string, error) {
	s.mu.Lock()
	if s.limiter == nil {
		s.limiter = newLimiter(s.MaxLoadRate)
	}
	lim, f := s.limiter, s.faults
	s.loads++
	s.mu.Unlock()
	if f.Refuse || (lim != nil && !lim.Allow()) {
		return "", keyval.ErrRateLimited
	}
	d := s.LoadTime
	if f.Slowdown > 0 {
		d = time.Duration(float64(d) * f.Slowdown)
	}
	select {
	case <-time.After(d):
	case <-ctx.Done():
		return "", ctx.Err()
	}
	if f.Corrupt {
		return "corrupt", nil
	}
	return weightsDigest(model, version), nil
}

// weightsDigest returns the digest of stored weights.
func weightsDigest(model, version string) string { return fmt.Sprintf("%s@%s", model, version) }
