// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package edge

import (
	"context"
	"errors"
	"time"

	"github.com/heathkeel/heathkeel/feed"
	"github.com/heathkeel/heathkeel/platform"
	"github.com/heathkeel/heathkeel/rollout"
)

// applyOrders puts the operators' orders in force and sends a heartbeat at once, so that the other hosts
// learn of them.
func (h *Host) applyOrders(list []feed.Order) {
	orders, invalid := platform.ParseOrders(list)
	for _, err := range invalid {
		h.Log.Error(err, "order ignored")
	}
	h.Log.Info("orders in force", "evacuated", orders.Evacuated, "rollouts", orders.Rollouts)
	h.ingress.SetEvacuated(orders.Evacuated)
	late := h.now()-time.Duration(h.gaps.resumedAt.Load()) < joinPeriod
	h.ingress.SetRollouts(orders.Rollouts, late)
	h.agent.TriggerHeartbeat()
}

// Parameters for writing the states of roll-outs.
const (
	// rolloutInterval is the time between two looks at the roll-outs.
	rolloutInterval = 250 * time.Millisecond
	// rolloutWriters is the number of hosts, those of the lowest ranks, that write final states.
	rolloutWriters = 3
	// rolloutWriterDelay is the time by which each further one of them waits, so that it writes only if
	// the ones before cannot.
	rolloutWriterDelay = 500 * time.Millisecond
	// rolloutCallTimeout limits a call to the store.
	rolloutCallTimeout = time.Second
)

// rolloutStatuses is what this host knows of the states of roll-outs in the store; used by maintainRollouts
// only.
type rolloutStatuses map[string]*rolloutRecord

// rolloutRecord is what this host knows of the state of a service's roll-out in the store.
type rolloutRecord struct {
	order    uint64        // revision of the order
	era      uint64        // of the store, in which written and revision were known
	written  bool          // a state of this order is known to be in the store
	state    rollout.State // the state in the store, if written
	revision uint64        // the store's revision of that key as far as it is known
	want     rollout.State // the state that this host has come to
	wantedAt time.Duration // when it came to that
}

// rolloutStore is the part of the key-value store that the states need.
type rolloutStore interface {
	Swap(ctx context.Context, key string, value []byte, lease, revision uint64) (bool, feed.Item, error)
}

// maintainRollouts writes the states of roll-outs to the store until ctx ends. The host of the lowest rank
// writes that a roll-out has begun and, before it sends anything to the new version, learns whether another
// host has rolled it back. Each of the first few hosts writes final states; the store decides between them.
func (h *Host) maintainRollouts(ctx context.Context) {
	t := time.NewTicker(rolloutInterval)
	defer t.Stop()
	h.rollouts = make(rolloutStatuses)
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		statuses := h.ingress.RolloutStatuses()
		for i := range statuses {
			h.maintainRollout(ctx, &statuses[i])
		}
		h.rollouts.retain(statuses)
	}
}

// maintainRollout writes the state of one roll-out if it is this host's turn.
func (h *Host) maintainRollout(ctx context.Context, s *rollout.Status) {
	rank := h.readRank()
	rec := h.rollouts.record(h.now(), h.store.Era(), s)
	h.ingress.HoldRollout(s.Service, rank == 0 && !rec.written)
	if !rec.isDue(h.now(), rank) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, rolloutCallTimeout)
	defer cancel()
	if err := rec.write(ctx, h.store, s); err != nil {
		h.Log.V(1).Info("state of a roll-out not written; it is tried again", "service", s.Service, "cause", err.Error())
		return
	}
	if rec.written {
		h.Log.Info("roll-out", "service", s.Service, "version", s.Version, "state", rec.state.String(), "new", s.New, "old", s.Old)
		h.ingress.AdoptRollout(s.Service, s.Revision, rec.state)
	}
}

// record returns the record of a roll-out with the state that this host has come to.
func (m rolloutStatuses) record(now time.Duration, era uint64, s *rollout.Status) *rolloutRecord {
	rec := m[s.Service]
	if rec == nil || rec.order != s.Revision {
		rec = &rolloutRecord{order: s.Revision, era: era, wantedAt: now}
		m[s.Service] = rec
	}
	if rec.era != era {
		rec.era, rec.written, rec.revision = era, false, 0 // the store may have lost it
	}
	if rec.want != s.State {
		rec.want, rec.wantedAt = s.State, now
	}
	return rec
}

// retain drops the records of roll-outs that have ended.
func (m rolloutStatuses) retain(statuses []rollout.Status) {
	for service, rec := range m {
		known := false
		for i := range statuses {
			known = known || (statuses[i].Service == service && statuses[i].Revision == rec.order)
		}
		if !known {
			delete(m, service)
		}
	}
}

// isDue reports whether a host of a rank has to write now.
func (rec *rolloutRecord) isDue(now time.Duration, rank int) bool {
	switch {
	case rec.written && (rec.state != rollout.Running || rec.want == rollout.Running):
		return false
	case rec.want == rollout.Running:
		return rank == 0
	}
	return rank < rolloutWriters && now-rec.wantedAt >= time.Duration(rank)*rolloutWriterDelay
}

// errRolloutContention means that other hosts changed a state before each attempt.
var errRolloutContention = errors.New("other hosts keep writing the state of the roll-out")

// write writes the wanted state unless a final state of the same order is in the store.
func (rec *rolloutRecord) write(ctx context.Context, store rolloutStore, s *rollout.Status) error {
	value := platform.FormatRolloutStatus(s.Version, rec.want)
	for range maxSwapAttempts {
		swapped, it, err := store.Swap(ctx, platform.PrefixRolloutStatus+s.Service, value, 0, rec.revision)
		if err != nil {
			return err
		}
		if swapped {
			rec.written, rec.state = true, rec.want
			return nil
		}
		rec.revision = it.Revision
		if it.Revision <= rec.order {
			continue // the key is gone, or tells of an earlier order
		}
		version, state, err := platform.ParseRolloutStatus(it.Value)
		if err == nil && version == s.Version && (state != rollout.Running || rec.want == rollout.Running) {
			rec.written, rec.state = true, state
			return nil
		}
	}
	return errRolloutContention
}
