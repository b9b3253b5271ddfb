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

// singleKeyStore is a store that holds one key.
type singleKeyStore struct {
	item         feed.Item // revision 0 if there is none
	revision     uint64
	leaseCount   int
	leaseExpired bool // the lease has expired
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

// put stores a value, not necessarily a record, under the key of f.
func (s *singleKeyStore) put(t *testing.T, f quarantine.Fingerprint, record any) {
	t.Helper()
	value, err := json.Marshal(record)
	must.NoError(t, err)
	s.revision++
	s.item = feed.Item{Key: platform.PrefixRecords + f.String(), Value: value, Revision: s.revision}
}

// newTestRecords returns records that use the given store and clock.
func newTestRecords(s recordStore, now *time.Duration) *records {
	return newRecords(s, nil, func() time.Duration { return *now }, logr.Discard())
}

// TestRecordsSwap checks what Swap returns about the stored record, and that an invalid record is
// overwritten.
func TestRecordsSwap(t *testing.T) {
	f := quarantine.Fingerprint{1}
	cases := []struct {
		name     string
		stored   any // nil for none
		trials   int // of the returned record
		revision uint64
		swapped  bool
	}{
		{"no record", nil, 0, 0, true},
		{"valid record", quarantine.Record{Fingerprint: f, Trials: 2}, 2, 1, false},
		{"invalid record", "text", 0, 1, false},
		{"record of another request", quarantine.Record{Fingerprint: quarantine.Fingerprint{2}, Trials: 2}, 0, 1, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s, now := &singleKeyStore{}, time.Duration(0)
			if c.stored != nil {
				s.put(t, f, c.stored)
			}
			recs := newTestRecords(s, &now)
			swapped, stored, revision, err := recs.Swap(t.Context(), &quarantine.Record{Fingerprint: f, Trials: 3}, 0)
			must.NoError(t, err)
			must.EqOp(t, c.swapped, swapped)
			must.EqOp(t, c.trials, stored.Trials)
			must.EqOp(t, c.revision, revision)
			swapped, _, _, err = recs.Swap(t.Context(), &quarantine.Record{Fingerprint: f, Trials: 3}, s.item.Revision)
			must.NoError(t, err)
			must.True(t, swapped)
		})
	}
}

// TestRecordsShareLease checks that records written within leaseReusePeriod share a lease, and that
// a new lease is granted after one has expired.
func TestRecordsShareLease(t *testing.T) {
	s, now := &singleKeyStore{}, time.Duration(0)
	recs := newTestRecords(s, &now)
	write := func() error {
		_, _, _, err := recs.Swap(t.Context(), &quarantine.Record{}, s.item.Revision)
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

// TestRecordsSaveAndRemove checks that a record is written unless the stored one covers it, and
// that only a record written before the answer is removed.
func TestRecordsSaveAndRemove(t *testing.T) {
	f := quarantine.Fingerprint{1}
	held := quarantine.Record{Fingerprint: f, WrittenMS: 1000, UntilMS: 600000, HoldCount: 1, Trials: 3}
	longer, shorter := held, held
	longer.UntilMS, shorter.UntilMS = 2*held.UntilMS, held.UntilMS/2
	cases := []struct {
		name    string
		stored  *quarantine.Record
		until   int64 // of the stored record afterwards
		removed bool  // by an answer at 1,000 ms
	}{
		{"no record", nil, held.UntilMS, true},
		{"longer hold", &longer, longer.UntilMS, true},
		{"shorter hold", &shorter, held.UntilMS, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s, now := &singleKeyStore{}, time.Duration(0)
			if c.stored != nil {
				s.put(t, f, c.stored)
			}
			recs := newTestRecords(s, &now)
			saved, err := recs.save(t.Context(), held)
			must.NoError(t, err)
			must.EqOp(t, c.until, saved.UntilMS)
			stored, err := parseRecord(s.item)
			must.NoError(t, err)
			must.EqOp(t, c.until, stored.UntilMS)
			must.NoError(t, recs.remove(t.Context(), f, 999)) // answered before the record was written
			must.Positive(t, s.item.Revision)
			must.NoError(t, recs.remove(t.Context(), f, 1000))
			must.EqOp(t, c.removed, s.item.Revision == 0)
			must.NoError(t, recs.remove(t.Context(), f, 1000)) // there is no record any more
		})
	}
}

// TestRecordsLeaseOfAnEarlierEra checks that a lease is not used any more once the store has come back from an older copy: it may be gone,
// or another host's.
func TestRecordsLeaseOfAnEarlierEra(t *testing.T) {
	now, era, store := time.Duration(0), uint64(1), &leaseCounter{}
	recs := newRecords(store, func() uint64 { return era }, func() time.Duration { return now }, logr.Discard())
	for _, tc := range []struct{ era, lease uint64 }{{1, 1}, {1, 1}, {2, 2}, {2, 2}, {3, 3}} {
		era = tc.era
		lease, err := recs.leases.current(context.Background())
		must.NoError(t, err)
		must.EqOp(t, tc.lease, lease)
	}
}

// leaseCounter is a store that numbers the leases that it grants.
type leaseCounter struct {
	recordStore
	granted uint64
}

func (s *leaseCounter) Grant(context.Context, time.Duration) (uint64, error) {
	s.granted++
	return s.granted, nil
}
