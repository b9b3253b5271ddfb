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

// KVFaults selects the faults that a KV injects; the zero value has none.
type KVFaults struct {
	// Down makes every call fail with keyval.ErrUnavailable after Delay.
	Down bool
	// Delay is added to every call.
	Delay time.Duration
	// LoseAnswer is the number of next writes that are applied but return
	// keyval.ErrUnavailable, as if their answer was lost.
	LoseAnswer int
	// SilentWatch makes watches time out without returning a change.
	SilentWatch bool
}

// KV is an in-memory fake of the key-value service.
type KV struct {
	// MaxWriteRate and MaxReadRate are the rate limits in calls per second; 0 is no limit.
	MaxWriteRate, MaxReadRate float64
	// WatchTimeout is the time after which a watch without a change ends; 0 means 30 s.
	WatchTimeout time.Duration

	mu           sync.Mutex
	items        map[string]kvItem
	leases       map[keyval.Lease]*kvLease
	changed      chan struct{}
	lastVersion  uint64
	lastLease    keyval.Lease
	faults       KVFaults
	writeLimiter *rate.Limiter
	readLimiter  *rate.Limiter
	calls        KVCalls
}

// KVCalls counts the calls made to a KV since its start.
type KVCalls struct {
	// Writes counts Swap, Delete, Grant and Renew; Reads counts Get, Keys and Watch.
	Writes, Reads int64
	// RateLimited counts the calls that a rate limit refused.
	RateLimited int64
}

type kvItem struct {
	value   []byte
	version uint64
	lease   keyval.Lease
}

type kvLease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// burstDuration times the rate is the burst of a rate limit.
const burstDuration = time.Second

// SetFaults replaces the injected faults.
func (k *KV) SetFaults(f KVFaults) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.faults = f
	k.notifyWatches()
}

// Calls returns the counts so far.
func (k *KV) Calls() KVCalls {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.calls
}

// Corrupt overwrites a stored value without a new version, as a faulty disk would.
func (k *KV) Corrupt(key string, value []byte) {
	k.mu.Lock()
	defer k.mu.Unlock()
	it := k.items[key]
	it.value = value
	k.items[key] = it
}

// notifyWatches makes waiting watches check their key again; the caller must hold mu.
func (k *KV) notifyWatches() {
	if k.changed != nil {
		close(k.changed)
	}
	k.changed = make(chan struct{})
}

// init makes the maps and rate limiters; the caller must hold mu.
func (k *KV) init() {
	if k.items != nil {
		return
	}
	k.items = make(map[string]kvItem)
	k.leases = make(map[keyval.Lease]*kvLease)
	k.changed = make(chan struct{})
	k.writeLimiter = newLimiter(k.MaxWriteRate)
	k.readLimiter = newLimiter(k.MaxReadRate)
}

// newLimiter returns a limiter of maxRate calls per second, or nil for no limit.
func newLimiter(maxRate float64) *rate.Limiter {
	if maxRate == 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(maxRate), int(maxRate*burstDuration.Seconds()))
}

// beginCall applies rate limits and faults at the start of a call. If it returns
// nil, it has locked mu.
func (k *KV) beginCall(ctx context.Context, write bool) error {
	k.mu.Lock()
	k.init()
	f := k.faults
	lim := k.readLimiter
	if write {
		lim = k.writeLimiter
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
	k.expireLeases()
	return nil
}

// expireLeases removes expired leases and their items; the caller must hold mu.
func (k *KV) expireLeases() {
	now := time.Now()
	for id, l := range k.leases {
		if now.Before(l.expiresAt) {
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

// loseAnswer reports whether the answer of the current write is to be lost; the
// caller must hold mu.
func (k *KV) loseAnswer() bool {
	if k.faults.LoseAnswer == 0 {
		return false
	}
	k.faults.LoseAnswer--
	return true
}

// Get implements keyval.KV.
func (k *KV) Get(ctx context.Context, key string) (keyval.Item, error) {
	if err := k.beginCall(ctx, false); err != nil {
		return keyval.Item{}, err
	}
	defer k.mu.Unlock()
	return k.get(key)
}

// get returns an item; the caller must hold mu.
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
	if err := k.beginCall(ctx, true); err != nil {
		return 0, err
	}
	defer k.mu.Unlock()
	if k.items[key].version != version {
		return 0, keyval.ErrConflict
	}
	if lease != 0 && k.leases[lease] == nil {
		return 0, keyval.ErrLeaseExpired
	}
	k.lastVersion++
	k.items[key] = kvItem{slices.Clone(value), k.lastVersion, lease}
	k.notifyWatches()
	if k.loseAnswer() {
		return 0, keyval.ErrUnavailable
	}
	return k.lastVersion, nil
}

// Delete implements keyval.KV.
func (k *KV) Delete(ctx context.Context, key string, version uint64) error {
	if err := k.beginCall(ctx, true); err != nil {
		return err
	}
	defer k.mu.Unlock()
	if k.items[key].version != version {
		return keyval.ErrConflict
	}
	delete(k.items, key)
	k.notifyWatches()
	if k.loseAnswer() {
		return keyval.ErrUnavailable
	}
	return nil
}

// Keys implements keyval.KV.
func (k *KV) Keys(ctx context.Context, prefix string) ([]string, error) {
	if err := k.beginCall(ctx, false); err != nil {
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
	if err := k.beginCall(ctx, false); err != nil {
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
	if err := k.beginCall(ctx, true); err != nil {
		return 0, err
	}
	defer k.mu.Unlock()
	k.lastLease++
	k.leases[k.lastLease] = &kvLease{ttl, time.Now().Add(ttl)}
	if k.loseAnswer() {
		return 0, keyval.ErrUnavailable
	}
	return k.lastLease, nil
}

// Renew implements keyval.KV.
func (k *KV) Renew(ctx context.Context, lease keyval.Lease) error {
	if err := k.beginCall(ctx, true); err != nil {
		return err
	}
	defer k.mu.Unlock()
	l := k.leases[lease]
	if l == nil {
		return keyval.ErrLeaseExpired
	}
	l.expiresAt = time.Now().Add(l.ttl)
	if k.loseAnswer() {
		return keyval.ErrUnavailable
	}
	return nil
}
