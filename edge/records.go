// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package edge

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"

	"github.com/heathkeel/heathkeel/feed"
	"github.com/heathkeel/heathkeel/platform"
	"github.com/heathkeel/heathkeel/quarantine"
)

// maxSwapAttempts limits the attempts to write or remove one record.
const maxSwapAttempts = 3

// recordStore is the part of the key-value store that records need.
type recordStore interface {
	leaseGranter
	Swap(ctx context.Context, key string, value []byte, lease, revision uint64) (bool, feed.Item, error)
	Remove(ctx context.Context, key string, revision uint64) (bool, feed.Item, error)
}

// records stores the records of requests that are on trial or held, so that they outlast all hosts.
// They are written under leases, so that records that are no longer needed expire.
type records struct {
	store  recordStore
	leases leaseCache
	log    logr.Logger
}

// newRecords returns the records in a store. era returns the era of the store; nil means that it has one only.
func newRecords(store recordStore, era func() uint64, now func() time.Duration, log logr.Logger) *records {
	return &records{store: store, leases: leaseCache{store: store, now: now, era: era, ttl: quarantine.RecordTTL}, log: log}
}

// Swap implements ingress.Records.
func (recs *records) Swap(ctx context.Context, r *quarantine.Record, revision uint64) (bool, quarantine.Record, uint64, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return false, quarantine.Record{}, 0, eris.Wrap(err, "cannot encode the record")
	}
	lease, err := recs.leases.current(ctx)
	if err != nil {
		return false, quarantine.Record{}, 0, err
	}
	key := platform.PrefixRecords + r.Fingerprint.String()
	swapped, it, err := recs.store.Swap(ctx, key, value, lease, revision)
	if errors.Is(err, feed.ErrLeaseExpired) {
		recs.leases.drop(lease)
	}
	if err != nil || swapped || it.Revision == 0 {
		return swapped, quarantine.Record{}, 0, err
	}
	stored, err := parseRecord(it)
	if err != nil {
		// An invalid record is overwritten: it grants and refuses nothing.
		recs.log.Info("invalid record in the store is overwritten", "key", it.Key, "bytes", len(it.Value), "cause", err.Error())
		return false, quarantine.Record{Fingerprint: r.Fingerprint}, it.Revision, nil
	}
	return false, stored, it.Revision, nil
}

// save writes a record unless the stored one covers it. It returns the record that is in the store
// afterwards.
func (recs *records) save(ctx context.Context, r quarantine.Record) (quarantine.Record, error) {
	revision := uint64(0)
	for range maxSwapAttempts {
		swapped, stored, storedRevision, err := recs.Swap(ctx, &r, revision)
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

// remove removes the record of a request that was answered at a Unix time in milliseconds. A record
// written after that stays, since the request is on trial again. Only the revision that was read is
// removed, because the store may execute a call long after it was sent.
func (recs *records) remove(ctx context.Context, f quarantine.Fingerprint, answeredMS int64) error {
	key, revision := platform.PrefixRecords+f.String(), uint64(0)
	for range maxSwapAttempts {
		removed, it, err := recs.store.Remove(ctx, key, revision)
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

// errContention means that other hosts changed the record before each of maxSwapAttempts attempts.
var errContention = eris.New("other hosts keep writing the same record; the write or removal is retried")

// errWrongKey means that a record does not belong to its key.
var errWrongKey = eris.New("the record belongs to another request than its key")

// parseRecord decodes a record from the store.
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
