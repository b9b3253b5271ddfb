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
	// keepEvery is the time between two looks for records that are to be written or removed, and between two tries while the store fails.
	keepEvery = time.Second
	// keepTimeout bounds one of them.
	keepTimeout = time.Second
)

// keeper writes the requests on trial and held that no grant has written, and removes the records of requests that this host answered. Hosts that are all killed at once forget
// what they knew, and the requests would crash as many endpoints again. Each is written once, by the host that is first in the order of
// hosts; the next one does so if it has not heard of that for a second.
type keeper struct {
	since map[quarantine.Fingerprint]time.Duration // when a request was first seen not to be kept
	freed map[quarantine.Fingerprint]answer        // those whose records are to be removed
}

// answer is when a request was answered, on the host's clock and as a Unix time in milliseconds.
type answer struct {
	at     time.Duration
	unixMS int64
}

// keepRecords writes and removes records until ctx ends.
func (h *Host) keepRecords(ctx context.Context) {
	k := keeper{since: make(map[quarantine.Fingerprint]time.Duration), freed: make(map[quarantine.Fingerprint]answer)}
	t := time.NewTicker(keepEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		h.removeFreed(ctx, &k)
		h.keepSuspects(ctx, &k)
	}
}

// removeFreed removes the records of requests that were answered. One that cannot be removed goes with its lease.
func (h *Host) removeFreed(ctx context.Context, k *keeper) {
	for _, c := range h.ingress.RecordsToRemove() {
		k.freed[c.Fingerprint] = answer{h.now(), time.Now().UnixMilli() - c.AgeMS}
	}
	for f, answered := range k.freed {
		cctx, cancel := context.WithTimeout(ctx, keepTimeout)
		err := h.records.remove(cctx, f, answered.unixMS)
		cancel()
		if err != nil && h.now()-answered.at < quarantine.RecordTTL {
			h.Log.V(1).Info("record of an answered request not removed yet", "fingerprint", f.String(), "cause", err.Error())
			continue
		}
		delete(k.freed, f)
	}
}

// keepSuspects writes the requests that are not kept.
func (h *Host) keepSuspects(ctx context.Context, k *keeper) {
	unkept := h.ingress.UnsavedRecords()
	if len(unkept) == 0 {
		clear(k.since)
		return
	}
	order := h.agent.Rank()
	for i := range unkept {
		if !k.due(h.now(), unkept[i].Fingerprint, order) {
			continue
		}
		cctx, cancel := context.WithTimeout(ctx, keepTimeout)
		stands, err := h.records.keep(cctx, unkept[i])
		cancel()
		if err != nil {
			h.Log.V(1).Info("record not written yet", "fingerprint", unkept[i].Fingerprint.String(), "cause", err.Error())
			continue
		}
		h.ingress.Restore(&stands)
	}
}

// due tells whether it is this host's turn to write a record.
func (k *keeper) due(now time.Duration, f quarantine.Fingerprint, order int) bool {
	first, known := k.since[f]
	if !known {
		first = now
		k.since[f] = now
	}
	return now-first >= time.Duration(order)*keepEvery
}

// foundOwn takes what hosts have written to the store: their entries, and records.
func (h *Host) foundOwn(items []feed.Item) {
	var hosts []feed.Item
	for _, it := range items {
		if strings.HasPrefix(it.Key, platform.PrefixRecords) {
			h.foundRecord(it)
		} else {
			hosts = append(hosts, it)
		}
	}
	h.foundHosts(hosts)
}

// foundRecord takes a record.
func (h *Host) foundRecord(it feed.Item) {
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

// showSuspects answers operators.
func (h *Host) showSuspects(w http.ResponseWriter, _ *http.Request) {
	h.answer(w, h.ingress.Suspects())
}

// release lets a request run again at all hosts.
func (h *Host) release(w http.ResponseWriter, r *http.Request) {
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
