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

// Parameters for writing which services have several versions.
const (
	// versionsInterval is the time between two checks whether a record has to be written.
	versionsInterval = time.Second
	// versionsWriters is the number of hosts, those of the lowest ranks, that write records, so that the loss of some does not matter
	// and the calls do not grow with the fleet.
	versionsWriters = 3
	// versionsAhead is the time from now until which a record says that streams may have begun at several versions. A record is
	// written again when less than origin.Memory of it is left.
	versionsAhead = 2 * origin.Memory
	// versionsCallTimeout limits a call to the store.
	versionsCallTimeout = time.Second
)

// versionsRecord says that streams of a service may have begun at several versions until a time. Without it hosts that are all killed
// at once, after the last endpoint of a version has left, would take the other version for the only one.
type versionsRecord struct {
	// MixedUntilMS is that time, as a Unix time in milliseconds.
	MixedUntilMS int64 `json:"mixed_until_ms"`
}

// versionsWriter is what this host has written.
type versionsWriter struct {
	lease uint64
	era   uint64                   // of the store, in which it was written
	until map[string]time.Duration // by service
}

// noteEra forgets what was written before the store came back from an older copy.
func (w *versionsWriter) noteEra(era uint64) {
	if era != w.era {
		w.era, w.lease = era, 0
		clear(w.until)
	}
}

// maintainVersions writes records of the services with several versions until ctx ends.
func (h *Host) maintainVersions(ctx context.Context) {
	w := versionsWriter{until: make(map[string]time.Duration)}
	t := time.NewTicker(versionsInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		services := h.ingress.MixedServices()
		if len(services) == 0 || h.agent.Rank() >= versionsWriters {
			continue
		}
		w.noteEra(h.store.Era())
		for _, service := range services {
			if w.until[service]-h.now() < origin.Memory {
				h.writeVersions(ctx, &w, service)
			}
		}
	}
}

// writeVersions writes the record of a service.
func (h *Host) writeVersions(ctx context.Context, w *versionsWriter, service string) {
	ctx, cancel := context.WithTimeout(ctx, versionsCallTimeout)
	defer cancel()
	until := h.now() + versionsAhead
	value, err := json.Marshal(versionsRecord{MixedUntilMS: time.Now().Add(versionsAhead).UnixMilli()})
	if err == nil && w.lease == 0 {
		w.lease, err = h.store.Grant(ctx, versionsAhead)
	} else if err == nil {
		err = h.store.Renew(ctx, w.lease)
	}
	if err == nil {
		err = h.store.Put(ctx, platform.PrefixVersions+service, value, w.lease)
	}
	if err != nil {
		w.lease = 0 // it may have expired
		h.Log.V(1).Info("record of a service with several versions not written; it is tried again", "service", service, "cause", err.Error())
		return
	}
	w.until[service] = until
	h.Log.Info("service has several versions", "service", service)
}

// applyVersions applies the record of a service.
func (h *Host) applyVersions(it feed.Item) {
	var r versionsRecord
	if err := json.Unmarshal(it.Value, &r); err != nil {
		h.Log.Info("invalid record in the store is ignored", "key", it.Key, "bytes", len(it.Value), "cause", err.Error())
		return
	}
	left := time.Duration(r.MixedUntilMS-time.Now().UnixMilli()) * time.Millisecond
	h.ingress.NoteMixed(strings.TrimPrefix(it.Key, platform.PrefixVersions), h.now()+min(left, versionsAhead))
}
