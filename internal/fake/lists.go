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

// HostList is a stand-in for the lagging list of hosts and endpoints.
type HostList struct {
	// Lag is the time after which a change shows.
	Lag time.Duration

	mu      sync.Mutex
	entries map[string][]listChange
}

// listChange is a state that an entry takes at a time; nil means gone.
type listChange struct {
	at    time.Time
	entry *keyval.ListEntry
}

// Put adds or changes an entry; the list shows it after Lag.
func (l *HostList) Put(e keyval.ListEntry) { l.change(e.Name, &e) }

// Remove takes an entry away; the list shows it after Lag.
func (l *HostList) Remove(name string) { l.change(name, nil) }

// change notes a coming state of an entry.
func (l *HostList) change(name string, e *keyval.ListEntry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.entries == nil {
		l.entries = make(map[string][]listChange)
	}
	l.entries[name] = append(l.entries[name], listChange{time.Now().Add(l.Lag), e})
}

// List implements keyval.HostList.
func (l *HostList) List(context.Context) ([]keyval.ListEntry, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	var out []keyval.ListEntry
	for _, changes := range l.entries {
		var cur *keyval.ListEntry
		for _, c := range changes {
			if !c.at.After(now) {
				cur = c.entry
			}
		}
		if cur != nil {
			out = append(out, *cur)
		}
	}
	slices.SortFunc(out, func(a, b keyval.ListEntry) int { return strings.Compare(a.Name, b.Name) })
	return out, nil
}

// WeightFaults are the faults of the weight store; the zero value has none.
type WeightFaults struct {
	// Refuse makes every load fail; Corrupt makes the content differ from its digest.
	Refuse, Corrupt bool
	// Slowdown multiplies the time of a load; 0 means 1.
	Slowdown float64
}

// WeightStore is a stand-in for the weight store.
type WeightStore struct {
	// MaxLoadRate is the limit in loads a second, 0 for none.
	MaxLoadRate float64
	// LoadTime is how long one load takes.
	LoadTime time.Duration

	mu     sync.Mutex
	lim    *rate.Limiter
	faults WeightFaults
	loads  int
}

// SetFaults replaces the faults in force.
func (s *WeightStore) SetFaults(f WeightFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Loads returns the number of loads begun.
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
	return keyval.Weights{Bytes: 1 << 30, Digest: digestOf(model, version)}, nil
}

// Load fetches weights as an endpoint would and returns the digest of what came.
func (s *WeightStore) Load(ctx context.Context, model, version string) (string, error) {
	s.mu.Lock()
	if s.lim == nil {
		s.lim = limiter(s.MaxLoadRate)
	}
	lim, f := s.lim, s.faults
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
	return digestOf(model, version), nil
}

// digestOf is the digest of stored weights.
func digestOf(model, version string) string { return fmt.Sprintf("%s@%s", model, version) }
