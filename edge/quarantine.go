// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package edge

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"github.com/heathkeel/heathkeel/feed"
	"github.com/heathkeel/heathkeel/platform"
	"github.com/heathkeel/heathkeel/quarantine"
)

// Parameters for maintaining records.
const (
	// saveInterval is the time between two checks for records to write or to remove, and between
	// two attempts while the store fails.
	saveInterval = time.Second
	// saveTimeout limits the time for writing or removing one record.
	saveTimeout = time.Second
)

// recordWriter writes the records of requests on trial or held that no grant has written, and
// removes the records of requests that this host answered. Without records, hosts that are all
// killed at once would lose their evidence, and the requests would crash as many endpoints again. A
// record is written once, by the host with the lowest rank. The next host writes it if it has not
// learned of that write within a second.
type recordWriter struct {
	firstSeen map[quarantine.Fingerprint]time.Duration // when a request was first seen without a record
	toRemove  map[quarantine.Fingerprint]answerTime    // requests whose records have to be removed
}

// answerTime is when a request was answered, on the host's clock and as a Unix time in
// milliseconds.
type answerTime struct {
	at     time.Duration
	unixMS int64
}

// maintainRecords writes and removes records until ctx ends.
func (h *Host) maintainRecords(ctx context.Context) {
	w := recordWriter{firstSeen: make(map[quarantine.Fingerprint]time.Duration), toRemove: make(map[quarantine.Fingerprint]answerTime)}
	t := time.NewTicker(saveInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		h.removeRecords(ctx, &w)
		h.saveRecords(ctx, &w)
	}
}

// removeRecords removes the records of answered requests. A record that cannot be removed expires
// with its lease.
func (h *Host) removeRecords(ctx context.Context, w *recordWriter) {
	for _, c := range h.ingress.RecordsToRemove() {
		w.toRemove[c.Fingerprint] = answerTime{h.now(), time.Now().UnixMilli() - c.AgeMS}
	}
	for f, answered := range w.toRemove {
		cctx, cancel := context.WithTimeout(ctx, saveTimeout)
		err := h.records.remove(cctx, f, answered.unixMS)
		cancel()
		if err != nil && h.now()-answered.at < quarantine.RecordTTL {
			h.Log.V(1).Info("cannot remove the record of an answered request yet; it is retried", "fingerprint", f.String(), "cause", err.Error())
			continue
		}
		delete(w.toRemove, f)
	}
}

// saveRecords writes the records that are missing in the store or due to be rewritten.
func (h *Host) saveRecords(ctx context.Context, w *recordWriter) {
	unsaved := h.ingress.UnsavedRecords()
	if len(unsaved) == 0 {
		clear(w.firstSeen)
		return
	}
	rank := h.agent.Rank()
	for i := range unsaved {
		if !w.isTurn(h.now(), unsaved[i].Fingerprint, rank) {
			continue
		}
		cctx, cancel := context.WithTimeout(ctx, saveTimeout)
		stored, err := h.records.save(cctx, unsaved[i])
		cancel()
		if err != nil {
			h.Log.V(1).Info("cannot write a record yet; it is retried", "fingerprint", unsaved[i].Fingerprint.String(), "cause", err.Error())
			continue
		}
		h.ingress.Restore(&stored)
	}
}

// isTurn reports whether this host has to write a record now. A host waits for saveInterval per
// rank, so that hosts with lower ranks write first.
func (w *recordWriter) isTurn(now time.Duration, f quarantine.Fingerprint, rank int) bool {
	firstSeen, known := w.firstSeen[f]
	if !known {
		firstSeen = now
		w.firstSeen[f] = now
	}
	return now-firstSeen >= time.Duration(rank)*saveInterval
}

// applyOwnEntries applies the entries that hosts have written to the store: host entries and
// records of requests. The records of versions are read apart: these reads may be old.
func (h *Host) applyOwnEntries(items []feed.Item) {
	var hosts []feed.Item
	for _, it := range items {
		switch {
		case strings.HasPrefix(it.Key, platform.PrefixRecords):
			h.restoreRecord(it)
		case strings.HasPrefix(it.Key, platform.PrefixVersions): // read by versionsKeeper
		default:
			hosts = append(hosts, it)
		}
	}
	h.applyHostEntries(hosts)
}

// restoreRecord applies a record from the store.
func (h *Host) restoreRecord(it feed.Item) {
	r, err := parseRecord(it)
	if err != nil {
		h.Log.Info("invalid record in the store is ignored", "key", it.Key, "bytes", len(it.Value), "cause", err.Error())
		return
	}
	h.ingress.Restore(&r)
}

// PathQuarantine is the path at which operators read what a host knows of requests under which
// endpoints crashed. Followed by a fingerprint, it is the path at which DELETE releases one
// request.
const PathQuarantine = "/v1/quarantine"

// serveSuspects answers operators with the suspected requests.
func (h *Host) serveSuspects(w http.ResponseWriter, _ *http.Request) {
	h.writeJSON(w, h.ingress.Suspects())
}

// releaseSuspect releases a request, so that it may run again at all hosts.
func (h *Host) releaseSuspect(w http.ResponseWriter, r *http.Request) {
	var f quarantine.Fingerprint
	if err := f.UnmarshalText([]byte(mux.Vars(r)["fingerprint"])); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !h.ingress.Release(f) {
		http.Error(w, "nothing is known of a request with this fingerprint; see hkctl quarantine list", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
