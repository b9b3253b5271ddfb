// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package fake

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/heathkeel/heathkeel/keyval"
)

// KVFaults are the faults of the key-value service; the zero value has none.
type KVFaults struct {
	// Down makes every call fail after Delay.
	Down bool
	// Delay is added to every call.
	Delay time.Duration
	// LoseAnswer is the number of coming writes whose answer is lost after the write.
	LoseAnswer int
	// SilentWatch makes watches wait without ever telling of a change.
	SilentWatch bool
}

// KV is a stand-in for the key-value service.
type KV struct {
	// MaxWriteRate and Reads are the limits in calls a second; 0 is no limit.
	MaxWriteRate, MaxReadRate float64
	// WatchTimeout is how long a watch waits; 0 means 30 s.
	WatchTimeout time.Duration

	mu       sync.Mutex
	items    map[string]kvItem
	leases   map[keyval.Lease]*kvLease
	changed  chan struct{}
	version  uint64
	next     keyval.Lease
	faults   KVFaults
	writeLim *rate.Limiter
	readLim  *rate.Limiter
	calls    KVCalls
}

// KVCalls counts the calls made to a KV since its start.
type KVCalls struct {
	// Writes counts Swap, Delete, Grant and Renew; Reads counts Get, Keys and Watch.
	Writes, Reads int64
	// RateLimited counts the calls refused by the limit.
	RateLimited int64
}

type kvItem struct {
	value   []byte
	version uint64
	lease   keyval.Lease
}

type kvLease struct {
	ttl   time.Duration
	until time.Time
}

// burstTime is the time whose calls the limits let through at once.
const burstTime = time.Second

// SetFaults replaces the faults in force.
func (k *KV) SetFaults(f KVFaults) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.faults = f
	k.wake()
}

// Calls returns the counts so far.
func (k *KV) Calls() KVCalls {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.calls
}

// Corrupt overwrites a stored value without a new version, as a broken disk would.
func (k *KV) Corrupt(key string, value []byte) {
	k.mu.Lock()
	defer k.mu.Unlock()
	it := k.items[key]
	it.value = value
	k.items[key] = it
}

// wake tells waiting watches to look again; mu must be held.
func (k *KV) wake() {
	if k.changed != nil {
		close(k.changed)
	}
	k.changed = make(chan struct{})
}

// init makes the maps; mu must be held.
func (k *KV) init() {
	if k.items != nil {
		return
	}
	k.items = make(map[string]kvItem)
	k.leases = make(map[keyval.Lease]*kvLease)
	k.changed = make(chan struct{})
	k.writeLim = limiter(k.MaxWriteRate)
	k.readLim = limiter(k.MaxReadRate)
}

// limiter returns a limiter of n calls a second, or nil for no limit.
func limiter(n float64) *rate.Limiter {
	if n == 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(n), int(n*burstTime.Seconds()))
}

// enter applies faults and limits at the start of a call; on nil mu is held.
func (k *KV) enter(ctx context.Context, write bool) error {
	k.mu.Lock()
	k.init()
	f := k.faults
	lim := k.readLim
	if write {
		lim = k.writeLim
		k.calls.Writes++
	} else {
		k.calls.Reads++
	}
	if lim != nil && !lim.Allow() {
		k.calls.RateLimited++
		k.mu.Unlock()
		return keyval.ErrRateLimited
	}
	if f.Delay > 0 {
		k.mu.Unlock()
		select {
		case <-time.After(f.Delay):
		case <-ctx.Done():
			return keyval.ErrUnavailable
		}
		k.mu.Lock()
	}
	if f.Down || ctx.Err() != nil {
		k.mu.Unlock()
		return keyval.ErrUnavailable
	}
	k.expire()
	return nil
}

// expire drops what hangs on lapsed leases; mu must be held.
func (k *KV) expire() {
	now := time.Now()
	for id, l := range k.leases {
		if now.Before(l.until) {
			continue
		}
		delete(k.leases, id)
		for key, it := range k.items {
			if it.lease == id {
				delete(k.items, key)
			}
		}
	}
}

// lost reports whether the answer of this write gets lost; mu must be held.
func (k *KV) lost() bool {
	if k.faults.LoseAnswer == 0 {
		return false
	}
	k.faults.LoseAnswer--
	return true
}

// Get implements keyval.KV.
func (k *KV) Get(ctx context.Context, key string) (keyval.Item, error) {
	if err := k.enter(ctx, false); err != nil {
		return keyval.Item{}, err
	}
	defer k.mu.Unlock()
	return k.get(key)
}

// get returns an item; mu must be held.
func (k *KV) get(key string) (keyval.Item, error) {
	it, ok := k.items[key]
	if !ok {
		return keyval.Item{}, keyval.ErrNotFound
	}
	return keyval.Item{Key: key, Value: slices.Clone(it.value), Version: it.version}, nil
}

// Swap implements keyval.KV.
func (k *KV) Swap(ctx context.Context, key string, version uint64, value []byte, lease keyval.Lease) (uint64, error) {
	if len(value) > keyval.MaxValueSize {
		return 0, keyval.ErrTooLarge
	}
	if err := k.enter(ctx, true); err != nil {
		return 0, err
	}
	defer k.mu.Unlock()
	if k.items[key].version != version {
		return 0, keyval.ErrConflict
	}
	if lease != 0 && k.leases[lease] == nil {
		return 0, keyval.ErrLeaseExpired
	}
	k.version++
	k.items[key] = kvItem{slices.Clone(value), k.version, lease}
	k.wake()
	if k.lost() {
		return 0, keyval.ErrUnavailable
	}
	return k.version, nil
}

// Delete implements keyval.KV.
func (k *KV) Delete(ctx context.Context, key string, version uint64) error {
	if err := k.enter(ctx, true); err != nil {
		return err
	}
	defer k.mu.Unlock()
	if k.items[key].version != version {
		return keyval.ErrConflict
	}
	delete(k.items, key)
	k.wake()
	if k.lost() {
		return keyval.ErrUnavailable
	}
	return nil
}

// Keys implements keyval.KV.
func (k *KV) Keys(ctx context.Context, prefix string) ([]string, error) {
	if err := k.enter(ctx, false); err != nil {
		return nil, err
	}
	defer k.mu.Unlock()
	var keys []string
	for key := range k.items {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys, nil
}

// Watch implements keyval.KV.
func (k *KV) Watch(ctx context.Context, key string, after uint64) (keyval.Item, error) {
	if err := k.enter(ctx, false); err != nil {
		return keyval.Item{}, err
	}
	wait := k.WatchTimeout
	if wait == 0 {
		wait = 30 * time.Second
	}
	timeout := time.After(wait)
	for {
		it, err := k.get(key)
		silent, down := k.faults.SilentWatch, k.faults.Down
		changed := k.changed
		k.mu.Unlock()
		if down {
			return keyval.Item{}, keyval.ErrUnavailable
		}
		if err == nil && it.Version > after && !silent {
			return it, nil
		}
		select {
		case <-changed:
		case <-timeout:
			return keyval.Item{}, keyval.ErrNotFound
		case <-ctx.Done():
			return keyval.Item{}, keyval.ErrUnavailable
		}
		k.mu.Lock()
	}
}

// Grant implements keyval.KV.
func (k *KV) Grant(ctx context.Context, ttl time.Duration) (keyval.Lease, error) {
	if err := k.enter(ctx, true); err != nil {
		return 0, err
	}
	defer k.mu.Unlock()
	k.next++
	k.leases[k.next] = &kvLease{ttl, time.Now().Add(ttl)}
	if k.lost() {
		return 0, keyval.ErrUnavailable
	}
	return k.next, nil
}

// Renew implements keyval.KV.
func (k *KV) Renew(ctx context.Context, lease keyval.Lease) error {
	if err := k.enter(ctx, true); err != nil {
		return err
	}
	defer k.mu.Unlock()
	l := k.leases[lease]
	if l == nil {
		return keyval.ErrLeaseExpired
	}
	l.until = time.Now().Add(l.ttl)
	if k.lost() {
		return keyval.ErrUnavailable
	}
	return nil
}
