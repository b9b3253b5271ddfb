// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package edge

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/heathkeel/heathkeel/feed"
	"github.com/heathkeel/heathkeel/origin"
	"github.com/heathkeel/heathkeel/platform"
)

// Parameters of saving where streams began.
const (
	// savedInterval is the time between two writes of the host of the lowest rank: what began in the last of them is lost with all
	// hosts. The host of the next rank saves the same at every otherSavedEach-th of these times, in case the first is without the store.
	savedInterval  = 60 * time.Millisecond
	otherSavedEach = 16
	streamSavers   = 2
	// savedTTL is the time for which a batch stays in the store: its lease is up to leaseReusePeriod old when it is written.
	savedTTL = leaseReusePeriod + origin.Memory
	// savedCallTimeout limits a write, and savedReadTimeout a read, for which a request waits.
	savedCallTimeout = time.Second
	savedReadTimeout = 300 * time.Millisecond
	// savedReadInterval is the time between two reads of all batches.
	savedReadInterval = 2 * time.Second
)

// savedStreams keeps in the store at which versions streams began while a service has several, so that they go on when all hosts were
// killed at once. One batch holds what a host was told since the one before.
type savedStreams struct {
	host   *Host
	leases leaseCache
	batch  int // number of the next batch of this run

	mu     sync.Mutex
	readAt time.Duration // when a read last began, 0 for never
	done   chan struct{} // closed when it has ended
}

// newSavedStreams returns the saved streams of a host.
func newSavedStreams(h *Host) *savedStreams {
	return &savedStreams{host: h, leases: leaseCache{store: h.store, now: h.now, era: h.store.Era, ttl: savedTTL}}
}

// maintain saves streams until ctx ends.
func (s *savedStreams) maintain(ctx context.Context) {
	t := time.NewTicker(savedInterval)
	defer t.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		rank := s.host.agent.Rank()
		s.host.ingress.SetSavesOrigins(rank < streamSavers && s.host.ingress.HasMixedServices())
		if rank > 0 && n%otherSavedEach != 0 {
			continue
		}
		if r := s.host.ingress.TakeUnsavedOrigins(); len(r.Known) > 0 {
			s.save(ctx, &r)
		}
	}
}

// save writes a batch.
func (s *savedStreams) save(ctx context.Context, r *origin.Report) {
	ctx, cancel := context.WithTimeout(ctx, savedCallTimeout)
	defer cancel()
	if err := s.put(ctx, r); err != nil {
		s.host.ingress.ReturnUnsavedOrigins(r)
		s.host.Log.V(1).Info("origins of streams not saved; it is tried again", "cause", err.Error())
	}
}

// put writes a batch under a key of its own.
func (s *savedStreams) put(ctx context.Context, r *origin.Report) error {
	value, err := json.Marshal(r)
	if err != nil {
		return err
	}
	lease, err := s.leases.current(ctx)
	if err != nil {
		return err
	}
	key := fmt.Sprintf("%s%s/%d/%d", platform.PrefixStreams, s.host.Boot.Host, s.host.incarnation, s.batch)
	err = s.host.store.Put(ctx, key, value, lease)
	if errors.Is(err, feed.ErrLeaseExpired) {
		s.leases.drop(lease)
	}
	if err == nil {
		s.batch++
	}
	return err
}

// read reads all batches, unless that was done just now, and waits for the end of a read that is under way.
func (s *savedStreams) read(ctx context.Context) {
	s.mu.Lock()
	now := s.host.now()
	if s.readAt == 0 || now-s.readAt >= savedReadInterval {
		s.readAt, s.done = now, make(chan struct{})
		go s.readAll(s.done)
	}
	done := s.done
	s.mu.Unlock()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// readAll reads all batches and closes done.
func (s *savedStreams) readAll(done chan<- struct{}) {
	defer close(done)
	ctx, cancel := context.WithTimeout(context.Background(), savedReadTimeout)
	defer cancel()
	page, err := s.host.store.Range(ctx, platform.PrefixStreams, false)
	if err != nil {
		s.host.Log.V(1).Info("saved origins of streams not read", "cause", err.Error())
		return
	}
	for _, it := range page.Items {
		var r origin.Report
		if err := json.Unmarshal(it.Value, &r); err != nil {
			s.host.Log.Info("invalid batch of origins in the store is ignored", "key", it.Key, "bytes", len(it.Value), "cause", err.Error())
			continue
		}
		s.host.ingress.RestoreOrigins(&r)
	}
	s.host.Log.Info("saved origins of streams read", "batches", len(page.Items))
}
