// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package edge

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/heathkeel/heathkeel/feed"
	"github.com/heathkeel/heathkeel/origin"
	"github.com/heathkeel/heathkeel/platform"
)

// Parameters of the records of the versions at which streams may have begun.
const (
	// versionsInterval is the time between two looks at which records are missing.
	versionsInterval = 25 * time.Millisecond
	// versionsReadInterval is the time between two reads while records are missing or were not read.
	versionsReadInterval = 100 * time.Millisecond
	// versionsReviewInterval is the time between two looks at records that say more than they have to.
	versionsReviewInterval = 10 * time.Second
	// versionsWriters is the number of hosts that write a missing record at once, or soon after the hosts before them in the order of
	// ranks: versionsWriterDelay for each. The others write it after versionsOtherDelay, if it is still missing.
	versionsWriters     = 3
	versionsWriterDelay = 300 * time.Millisecond
	versionsOtherDelay  = 2 * time.Second
	// versionsStart is the time after its start from which a host knows its rank. Before, only seeds write a missing record: when the
	// whole system starts for the first time, all others would.
	versionsStart = time.Second
	// versionsCallTimeout limits a call to the store.
	versionsCallTimeout = time.Second
)

// versionsRecord is the record of a service in the store: the versions at which streams may have begun. Hosts that are all killed at once
// know by it whether the version that they find listed is the only one. It has no lease: its absence would prove nothing.
type versionsRecord struct {
	Versions []string `json:"versions"`
	// Whole says that there were no others, and Era is the era of the store in which that was known. What was written in an era and is
	// missing in the next may have had further versions.
	Whole bool   `json:"whole"`
	Era   uint64 `json:"era"`
}

// versionsStore is the part of the key-value store that the records need.
type versionsStore interface {
	Range(ctx context.Context, prefix string, stale bool) (feed.Page, error)
	Swap(ctx context.Context, key string, value []byte, lease, revision uint64) (bool, feed.Item, error)
	Era() uint64
}

// versionsKeeper keeps the records of the versions at which streams may have begun; used by maintainVersions only.
type versionsKeeper struct {
	host         *Host
	store        versionsStore
	revisions    map[string]uint64 // of the records that are known, by service; 0 where it is not
	read         bool              // all records were read, in this era
	era          uint64
	readAt       time.Duration
	reviewedAt   time.Duration
	missingSince map[string]time.Duration // when a record was first seen to lack a version, by service
}

// maintainVersions keeps the records of the versions at which streams may have begun until ctx ends, and saves the origins of streams.
func (h *Host) maintainVersions(ctx context.Context) {
	k := &versionsKeeper{host: h, store: h.store, revisions: make(map[string]uint64), missingSince: make(map[string]time.Duration)}
	t := time.NewTicker(versionsInterval)
	defer t.Stop()
	for {
		k.step(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// step reads and writes the records that are due.
func (k *versionsKeeper) step(ctx context.Context) {
	h, now := k.host, k.host.now()
	if era := k.store.Era(); era != k.era {
		k.noteEra(era)
	}
	if !k.read {
		k.readAll(ctx)
	}
	missing := h.ingress.UnrecordedServices()
	k.noteMissing(now, missing)
	if !k.read {
		return
	}
	for _, service := range missing {
		if now-k.missingSince[service] >= k.writeDelay(now) {
			k.write(ctx, service)
		}
	}
	if len(missing) > 0 {
		k.readAll(ctx)
	}
	if now >= versionsStart && now-k.reviewedAt >= versionsReviewInterval && h.agent.Rank() == 0 {
		k.reviewedAt = now
		k.review(ctx)
	}
}

// noteEra forgets what was read before the store came back from an older copy.
func (k *versionsKeeper) noteEra(era uint64) {
	if k.era != 0 {
		k.host.ingress.DropVersionsRecords()
	}
	k.era, k.read, k.readAt = era, false, 0
	clear(k.revisions)
}

// noteMissing records since when the records of services lack a version.
func (k *versionsKeeper) noteMissing(now time.Duration, missing []string) {
	since := make(map[string]time.Duration, len(missing))
	for _, service := range missing {
		at, known := k.missingSince[service]
		if !known {
			at = now
		}
		since[service] = at
	}
	k.missingSince = since
}

// writeDelay returns the time after which this host writes a record that lacks a version.
func (k *versionsKeeper) writeDelay(now time.Duration) time.Duration {
	if now < versionsStart {
		if k.host.isSeed() {
			return 0
		}
		return versionsStart
	}
	if rank := k.host.agent.Rank(); rank < versionsWriters {
		return time.Duration(rank) * versionsWriterDelay
	}
	return versionsOtherDelay
}

// readAll reads all records, unless that was done just now.
func (k *versionsKeeper) readAll(ctx context.Context) {
	now := k.host.now()
	if k.readAt > 0 && now-k.readAt < versionsReadInterval {
		return
	}
	k.readAt = now
	ctx, cancel := context.WithTimeout(ctx, versionsCallTimeout)
	defer cancel()
	page, err := k.store.Range(ctx, platform.PrefixVersions, false)
	if err != nil {
		k.host.Log.V(1).Info("records of versions not read; it is tried again", "cause", err.Error())
		return
	}
	if k.era == 0 { // the answer was the first to tell it
		k.era = k.store.Era()
	}
	for _, it := range page.Items {
		k.apply(it)
	}
	first := !k.read
	k.read = k.store.Era() == k.era
	if first && k.read {
		k.host.ingress.NoteVersionsRead()
		k.host.Log.Info("records of versions read", "services", len(page.Items))
	}
}

// apply applies a record.
func (k *versionsKeeper) apply(it feed.Item) {
	service := strings.TrimPrefix(it.Key, platform.PrefixVersions)
	k.revisions[service] = it.Revision
	var r versionsRecord
	if err := json.Unmarshal(it.Value, &r); err != nil {
		k.host.Log.Info("invalid record in the store proves nothing", "key", it.Key, "bytes", len(it.Value), "cause", err.Error())
		return
	}
	k.host.ingress.SetVersionsRecord(service, origin.Record{Versions: r.Versions, Whole: r.Whole && r.Era == k.era})
}

// review rewrites the records that say more, or less surely, than this host knows.
func (k *versionsKeeper) review(ctx context.Context) {
	for service := range k.revisions {
		if _, current := k.host.ingress.WantedRecord(service); !current {
			k.write(ctx, service)
		}
	}
}

// write writes the record of a service, unless another host has changed it: then it is applied, and written at the next step.
func (k *versionsKeeper) write(ctx context.Context, service string) {
	ctx, cancel := context.WithTimeout(ctx, versionsCallTimeout)
	defer cancel()
	want, _ := k.host.ingress.WantedRecord(service)
	key := platform.PrefixVersions + service
	value, err := json.Marshal(versionsRecord{Versions: want.Versions, Whole: want.Whole, Era: k.era})
	if err != nil {
		k.host.Log.Error(err, "cannot encode the record of a service's versions", "service", service)
		return
	}
	swapped, it, err := k.store.Swap(ctx, key, value, 0, k.revisions[service])
	switch {
	case err != nil:
		k.host.Log.V(1).Info("record of a service's versions not written; it is tried again", "service", service, "cause", err.Error())
	case k.store.Era() != k.era: // it is read again
	case swapped:
		k.revisions[service] = 0 // not known; the store tells it if the record is written again
		k.host.ingress.SetVersionsRecord(service, want)
		k.host.Log.Info("versions of a service recorded", "service", service, "versions", want.Versions, "whole", want.Whole)
	case it.Revision == 0:
		k.revisions[service] = 0
	default:
		k.apply(it)
	}
}
