// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package feed

import (
	"context"
	"strings"
	"sync"
	"time"
)

// memoryStore is a store in memory; its fields may be changed under mu.
type memoryStore struct {
	mu          sync.Mutex
	items       map[string]Item
	log         []Item
	revision    uint64
	down        bool          // calls fail after failDelay
	failDelay   time.Duration // how long calls take to fail
	answerDelay time.Duration // by how much each answer is delayed
	compactNext bool          // the next watch finds its history compacted
	// compactedTo is the revision up to which the history is compacted.
	compactedTo uint64
	cutWatches  bool          // watches end at once
	readDelay   time.Duration // by how much the answers to watches are read late
	calls       int
}

func newMemoryStore() *memoryStore { return &memoryStore{items: make(map[string]Item)} }

func (m *memoryStore) put(key, value string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.revision++
	it := Item{Key: key, Value: []byte(value), Revision: m.revision}
	m.items[key] = it
	m.log = append(m.log, it)
}

func (m *memoryStore) remove(key string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.revision++
	delete(m.items, key)
	m.log = append(m.log, Item{Key: key, Revision: m.revision, Deleted: true})
}

func (m *memoryStore) locked(f func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f()
}

// beginCall counts a call and fails it while the store is down.
func (m *memoryStore) beginCall(ctx context.Context) error {
	m.mu.Lock()
	m.calls++
	down, failDelay, answerDelay := m.down, m.failDelay, m.answerDelay
	m.mu.Unlock()
	if !down {
		sleep(ctx, answerDelay)
		return ctx.Err()
	}
	sleep(ctx, failDelay)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return errDown
}

func (m *memoryStore) Range(ctx context.Context, prefix string, _ bool) (Page, error) {
	if err := m.beginCall(ctx); err != nil {
		return Page{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	p := Page{Revision: m.revision}
	for k, it := range m.items {
		if strings.HasPrefix(k, prefix) {
			p.Items = append(p.Items, it)
		}
	}
	return p, nil
}

func (m *memoryStore) Watch(ctx context.Context, prefix string, since uint64, wait time.Duration) (Page, error) {
	if err := m.beginCall(ctx); err != nil {
		return Page{}, err
	}
	for end := time.Now().Add(wait); ; {
		m.mu.Lock()
		if m.compactNext || since < m.compactedTo {
			m.compactNext = false
			m.mu.Unlock()
			return Page{}, ErrCompacted
		}
		p := Page{Revision: m.revision}
		for _, it := range m.log {
			if it.Revision > since && strings.HasPrefix(it.Key, prefix) {
				p.Items = append(p.Items, it)
			}
		}
		cut, readDelay := m.cutWatches, m.readDelay
		m.mu.Unlock()
		if len(p.Items) > 0 || cut || !time.Now().Before(end) {
			sleep(ctx, readDelay)
			return p, ctx.Err()
		}
		sleep(ctx, 10*time.Millisecond)
		if ctx.Err() != nil {
			return Page{}, ctx.Err()
		}
	}
}

func (m *memoryStore) Grant(context.Context, time.Duration) (uint64, error) { return 1, nil }
func (m *memoryStore) Renew(context.Context, uint64) error                  { return nil }
func (m *memoryStore) Put(context.Context, string, []byte, uint64) error    { return nil }
