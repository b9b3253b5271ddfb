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

// Figures of the keeping of records.
const (
	// saveInterval is the time between two looks for records that are to be written or removed, and between two tries while the store fails.
	saveInterval = time.Second
	// saveTimeout bounds one of them.
	saveTimeout = time.Second
)

// recordWriter writes the requests on trial and held that no grant has written, and removes the records of requests that this host answered. Hosts that are all killed at once forget
// what they knew, and the requests would crash as many endpoints again. Each is written once, by the host that is first in the order of
// hosts; the next one does so if it has not heard of that for a second.
type recordWriter struct {
	firstSeen map[quarantine.Fingerprint]time.Duration // when a request was first seen not to be kept
	toRemove  map[quarantine.Fingerprint]answerTime    // those whose records are to be removed
}

// answerTime is when a request was answered, on the host's clock and as a Unix time in milliseconds.
type answerTime struct {
	at     time.Duration
	unixMS int64
}

// maintainRecords writes and removes records until ctx ends.
func (h *Host) maintainRecords(ctx context.Context) {
	k := recordWriter{firstSeen: make(map[quarantine.Fingerprint]time.Duration), toRemove: make(map[quarantine.Fingerprint]answerTime)}
	t := time.NewTicker(saveInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		h.removeRecords(ctx, &k)
		h.saveRecords(ctx, &k)
	}
}

// removeRecords removes the records of requests that were answered. One that cannot be removed goes with its lease.
func (h *Host) removeRecords(ctx context.Context, k *recordWriter) {
	for _, c := range h.ingress.RecordsToRemove() {
		k.toRemove[c.Fingerprint] = answerTime{h.now(), time.Now().UnixMilli() - c.AgeMS}
	}
	for f, answered := range k.toRemove {
		cctx, cancel := context.WithTimeout(ctx, saveTimeout)
		err := h.records.remove(cctx, f, answered.unixMS)
		cancel()
		if err != nil && h.now()-answered.at < quarantine.RecordTTL {
			h.Log.V(1).Info("record of an answered request not removed yet", "fingerprint", f.String(), "cause", err.Error())
			continue
		}
		delete(k.toRemove, f)
	}
}

// saveRecords writes the requests that are not kept.
func (h *Host) saveRecords(ctx context.Context, k *recordWriter) {
	unsaved := h.ingress.UnsavedRecords()
	if len(unsaved) == 0 {
		clear(k.firstSeen)
		return
	}
	rank := h.agent.Rank()
	for i := range unsaved {
		if !k.isTurn(h.now(), unsaved[i].Fingerprint, rank) {
			continue
		}
		cctx, cancel := context.WithTimeout(ctx, saveTimeout)
		stored, err := h.records.save(cctx, unsaved[i])
		cancel()
		if err != nil {
			h.Log.V(1).Info("record not written yet", "fingerprint", unsaved[i].Fingerprint.String(), "cause", err.Error())
			continue
		}
		h.ingress.Restore(&stored)
	}
}

// isTurn tells whether it is this host's turn to write a record.
func (k *recordWriter) isTurn(now time.Duration, f quarantine.Fingerprint, rank int) bool {
	firstSeen, known := k.firstSeen[f]
	if !known {
		firstSeen = now
		k.firstSeen[f] = now
	}
	return now-firstSeen >= time.Duration(rank)*saveInterval
}

// applyOwnEntries takes what hosts have written to the store: their entries, and records.
func (h *Host) applyOwnEntries(items []feed.Item) {
	var hosts []feed.Item
	for _, it := range items {
		if strings.HasPrefix(it.Key, platform.PrefixRecords) {
			h.restoreRecord(it)
		} else {
			hosts = append(hosts, it)
		}
	}
	h.applyHostEntries(hosts)
}

// restoreRecord takes a record.
func (h *Host) restoreRecord(it feed.Item) {
	r, err := parseRecord(it)
	if err != nil {
		h.Log.Info("record in the store cannot be read; it is passed over", "key", it.Key, "bytes", len(it.Value), "cause", err.Error())
		return
	}
	h.ingress.Restore(&r)
}

// PathQuarantine is where operators read what a host knows of requests under which endpoints crashed, and, followed by a fingerprint, where they
// release one with DELETE.
const PathQuarantine = "/v1/quarantine"

// serveSuspects answers operators.
func (h *Host) serveSuspects(w http.ResponseWriter, _ *http.Request) {
	h.writeJSON(w, h.ingress.Suspects())
}

// releaseSuspect lets a request run again at all hosts.
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
