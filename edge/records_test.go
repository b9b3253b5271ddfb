// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package edge

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/feed"
	"github.com/heathkeel/heathkeel/platform"
	"github.com/heathkeel/heathkeel/quarantine"
)

// singleKeyStore is a store of one key.
type singleKeyStore struct {
	item         feed.Item // revision 0 for none
	revision     uint64
	leaseCount   int
	leaseExpired bool // leases are over
}

func (s *singleKeyStore) Grant(context.Context, time.Duration) (uint64, error) {
	s.leaseCount++
	s.leaseExpired = false
	return uint64(s.leaseCount), nil
}

func (s *singleKeyStore) Swap(_ context.Context, key string, value []byte, _, revision uint64) (bool, feed.Item, error) {
	if s.leaseExpired {
		return false, feed.Item{}, feed.ErrLeaseExpired
	}
	if revision != s.item.Revision {
		return false, s.item, nil
	}
	s.revision++
	s.item = feed.Item{Key: key, Value: value, Revision: s.revision}
	return true, feed.Item{}, nil
}

func (s *singleKeyStore) Remove(_ context.Context, _ string, revision uint64) (bool, feed.Item, error) {
	if revision != s.item.Revision {
		return false, s.item, nil
	}
	s.item = feed.Item{}
	return true, feed.Item{}, nil
}

// put writes a record, or bytes that are none.
func (s *singleKeyStore) put(t *testing.T, f quarantine.Fingerprint, record any) {
	t.Helper()
	value, err := json.Marshal(record)
	must.NoError(t, err)
	s.revision++
	s.item = feed.Item{Key: platform.PrefixRecords + f.String(), Value: value, Revision: s.revision}
}

// newRecords keeps records in a store, at a time that the test sets.
func newRecords(s recordStore, now *time.Duration) *records {
	return &records{store: s, now: func() time.Duration { return *now }, log: logr.Discard()}
}

// TestRecordsSwap checks what a host learns of the record that stands, and that one which cannot be read is written over.
func TestRecordsSwap(t *testing.T) {
	f := quarantine.Fingerprint{1}
	cases := []struct {
		name   string
		stands any // nil for nothing
		trials int // of what is told
		at     uint64
		swaps  bool
	}{
		{"nothing", nil, 0, 0, true},
		{"a record", quarantine.Record{Fingerprint: f, Trials: 2}, 2, 1, false},
		{"what is no record", "text", 0, 1, false},
		{"that of another request", quarantine.Record{Fingerprint: quarantine.Fingerprint{2}, Trials: 2}, 0, 1, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s, now := &singleKeyStore{}, time.Duration(0)
			if c.stands != nil {
				s.put(t, f, c.stands)
			}
			k := newRecords(s, &now)
			swapped, stands, at, err := k.Swap(t.Context(), &quarantine.Record{Fingerprint: f, Trials: 3}, 0)
			must.NoError(t, err)
			must.EqOp(t, c.swaps, swapped)
			must.EqOp(t, c.trials, stands.Trials)
			must.EqOp(t, c.at, at)
			swapped, _, _, err = k.Swap(t.Context(), &quarantine.Record{Fingerprint: f, Trials: 3}, s.item.Revision)
			must.NoError(t, err)
			must.True(t, swapped)
		})
	}
}

// TestRecordsShareLease checks that records of a while share a lease, and that one which is over is followed by another.
func TestRecordsShareLease(t *testing.T) {
	s, now := &singleKeyStore{}, time.Duration(0)
	k := newRecords(s, &now)
	write := func() error {
		_, _, _, err := k.Swap(t.Context(), &quarantine.Record{}, s.item.Revision)
		return err
	}
	must.NoError(t, write())
	now += leaseReusePeriod - 1
	must.NoError(t, write())
	must.EqOp(t, 1, s.leaseCount)
	now++
	must.NoError(t, write())
	must.EqOp(t, 2, s.leaseCount)
	s.leaseExpired = true
	must.ErrorIs(t, write(), feed.ErrLeaseExpired)
	must.NoError(t, write())
	must.EqOp(t, 3, s.leaseCount)
}

// TestRecordsSaveAndRemove checks that a hold is written unless one stands that says as much, and that only what was written before the answer is removed.
func TestRecordsSaveAndRemove(t *testing.T) {
	f := quarantine.Fingerprint{1}
	held := quarantine.Record{Fingerprint: f, WrittenMS: 1000, UntilMS: 600000, HoldCount: 1, Trials: 3}
	more, less := held, held
	more.UntilMS, less.UntilMS = 2*held.UntilMS, held.UntilMS/2
	cases := []struct {
		name    string
		stands  *quarantine.Record
		until   int64 // of what stands then
		removed bool  // by an answer at 1,000 ms
	}{
		{"nothing stands", nil, held.UntilMS, true},
		{"a longer one", &more, more.UntilMS, true},
		{"a shorter one", &less, held.UntilMS, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s, now := &singleKeyStore{}, time.Duration(0)
			if c.stands != nil {
				s.put(t, f, c.stands)
			}
			k := newRecords(s, &now)
			r, err := k.save(t.Context(), held)
			must.NoError(t, err)
			must.EqOp(t, c.until, r.UntilMS)
			stands, err := parseRecord(s.item)
			must.NoError(t, err)
			must.EqOp(t, c.until, stands.UntilMS)
			must.NoError(t, k.remove(t.Context(), f, 999)) // answered before it was written
			must.Positive(t, s.item.Revision)
			must.NoError(t, k.remove(t.Context(), f, 1000))
			must.EqOp(t, c.removed, s.item.Revision == 0)
			must.NoError(t, k.remove(t.Context(), f, 1000)) // nothing is there
		})
	}
}
