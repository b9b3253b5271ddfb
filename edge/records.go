// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package edge

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"

	"github.com/heathkeel/heathkeel/feed"
	"github.com/heathkeel/heathkeel/platform"
	"github.com/heathkeel/heathkeel/quarantine"
)

// Figures of the records' writes.
const (
	// leaseReusePeriod is the time for which a lease serves for further records: with it one call in place of two.
	leaseReusePeriod = time.Minute
	// maxSwapAttempts bounds the writes that are tried for one hold.
	maxSwapAttempts = 3
)

// recordStore is the part of a key-value service that keeps records.
type recordStore interface {
	Grant(ctx context.Context, ttl time.Duration) (uint64, error)
	Swap(ctx context.Context, key string, value []byte, lease, revision uint64) (bool, feed.Item, error)
	Remove(ctx context.Context, key string, revision uint64) (bool, feed.Item, error)
}

// records keeps requests that are on trial or held where they outlast all hosts, under leases, so that what nobody needs any more goes by itself.
type records struct {
	store recordStore
	now   func() time.Duration
	log   logr.Logger

	mu             sync.Mutex
	lease          uint64 // 0 for none
	leaseGrantedAt time.Duration
}

// Swap implements ingress.Records.
func (k *records) Swap(ctx context.Context, r *quarantine.Record, revision uint64) (bool, quarantine.Record, uint64, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return false, quarantine.Record{}, 0, eris.Wrap(err, "record cannot be written")
	}
	lease, err := k.currentLease(ctx)
	if err != nil {
		return false, quarantine.Record{}, 0, err
	}
	key := platform.PrefixRecords + r.Fingerprint.String()
	swapped, it, err := k.store.Swap(ctx, key, value, lease, revision)
	if errors.Is(err, feed.ErrLeaseExpired) {
		k.dropLease(lease)
	}
	if err != nil || swapped || it.Revision == 0 {
		return swapped, quarantine.Record{}, 0, err
	}
	stored, err := parseRecord(it)
	if err != nil {
		// What cannot be read is written over: it grants and refuses nothing.
		k.log.Info("record in the store cannot be read; it is written over", "key", it.Key, "bytes", len(it.Value), "cause", err.Error())
		return false, quarantine.Record{Fingerprint: r.Fingerprint}, it.Revision, nil
	}
	return false, stored, it.Revision, nil
}

// save writes a hold, unless one stands that was written no earlier and ends no earlier. It returns what stands then.
func (k *records) save(ctx context.Context, r quarantine.Record) (quarantine.Record, error) {
	revision := uint64(0)
	for range maxSwapAttempts {
		swapped, stored, storedRevision, err := k.Swap(ctx, &r, revision)
		if err != nil || swapped {
			return r, err
		}
		if storedRevision != 0 && stored.Covers(&r) {
			return stored, nil
		}
		revision = storedRevision
	}
	return r, errContention
}

// remove removes the record of a request that was answered at a Unix time in milliseconds. One that was written later stays: the request came on trial
// again. Only what was read is removed, since the store may do a call long after it was sent.
func (k *records) remove(ctx context.Context, f quarantine.Fingerprint, answeredMS int64) error {
	key, revision := platform.PrefixRecords+f.String(), uint64(0)
	for range maxSwapAttempts {
		removed, it, err := k.store.Remove(ctx, key, revision)
		if err != nil || removed {
			return err
		}
		if r, err := parseRecord(it); it.Revision != 0 && err == nil && r.WrittenMS > answeredMS {
			return nil
		}
		revision = it.Revision
	}
	return errContention
}

// errContention means that others wrote a record each time.
var errContention = eris.New("others write the same record; it is tried again")

// currentLease gives a lease for a record that is written now.
func (k *records) currentLease(ctx context.Context) (uint64, error) {
	k.mu.Lock()
	lease, grantedAt := k.lease, k.leaseGrantedAt
	k.mu.Unlock()
	if lease != 0 && k.now()-grantedAt < leaseReusePeriod {
		return lease, nil
	}
	start := k.now()
	lease, err := k.store.Grant(ctx, quarantine.RecordTTL)
	if err != nil {
		return 0, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lease, k.leaseGrantedAt = lease, start
	return lease, nil
}

// dropLease drops a lease that is over.
func (k *records) dropLease(lease uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.lease == lease {
		k.lease = 0
	}
}

// errWrongKey means that a record does not belong to its key.
var errWrongKey = eris.New("the record is that of another request")

// parseRecord reads a record.
func parseRecord(it feed.Item) (quarantine.Record, error) {
	var r quarantine.Record
	if err := json.Unmarshal(it.Value, &r); err != nil {
		return quarantine.Record{}, err
	}
	if platform.PrefixRecords+r.Fingerprint.String() != it.Key {
		return quarantine.Record{}, errWrongKey
	}
	return r, nil
}
