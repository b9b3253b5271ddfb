// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package revision

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"

	"github.com/heathkeel/heathkeel/keyval"
	"github.com/heathkeel/heathkeel/settings"
)

// ErrIncomplete means that a revision could not be read completely; the one in force stays.
var ErrIncomplete = eris.New("revision is not completely available; retrying")

// Peer reads settings from another host.
type Peer interface {
	// Head returns the head record in force at an address.
	Head(ctx context.Context, address string) ([]byte, error)
	// Chunk returns the content of a chunk held at an address.
	Chunk(ctx context.Context, address, digest string) ([]byte, error)
}

// Defaults of a Follower.
const (
	// DefaultReadInterval is the time between a relay's reads of the head, in addition to its watch.
	DefaultReadInterval = 3 * time.Second
	// maxReadRate bounds the reads of the head by all hosts that are not relays together, in reads per
	// second: the time between the reads of each host grows with the number of hosts.
	maxReadRate = 10
	// retryDelay is the time before a failed read is retried.
	retryDelay = 500 * time.Millisecond
)

// Follower holds the settings in force on one host. Set the exported fields, then call Run.
type Follower struct {
	// KV is the key-value service.
	KV keyval.KV
	// Peers reads from other hosts; nil means that there are none.
	Peers Peer
	// Relay reports whether this host watches the head now; nil means always.
	Relay func() bool
	// HostCount returns the number of hosts; nil means 1.
	HostCount func() int
	// OnSnapshot is called with each revision put in force; it may be nil.
	OnSnapshot func(*settings.Snapshot)
	// Log receives changes of state.
	Log logr.Logger

	snapshot    atomic.Pointer[settings.Snapshot]
	highestSeen atomic.Uint64

	mu      sync.Mutex
	head    *Head
	rawHead []byte
	chunks  map[string][]byte
	counts  Counts
}

// Counts count what a Follower did since its start.
type Counts struct {
	// Reads and Watches are calls to the key-value service.
	Reads, Watches int64
	// FromPeers and FromKV are revisions put in force, by where their head came from.
	FromPeers, FromKV int64
	// Bytes is the size of the content received.
	Bytes int64
	// Refused counts revisions that were incomplete or unreadable.
	Refused int64
}

// Snapshot returns the settings in force, or nil before the first.
func (f *Follower) Snapshot() *settings.Snapshot { return f.snapshot.Load() }

// Revision returns the revision in force, or 0.
func (f *Follower) Revision() uint64 {
	if s := f.snapshot.Load(); s != nil {
		return s.Revision
	}
	return 0
}

// HighestSeen returns the highest revision that this host learned of; while it is above Revision, the
// host is behind.
func (f *Follower) HighestSeen() uint64 { return max(f.highestSeen.Load(), f.Revision()) }

// Counts returns the counts so far.
func (f *Follower) Counts() Counts {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counts
}

// Head returns the head record in force, to be served to peers, or nil.
func (f *Follower) Head() []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rawHead
}

// Chunk returns the content of a chunk in force, or nil.
func (f *Follower) Chunk(digest string) []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.chunks[digest]
}

// Run follows the head in the key-value service until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	version := uint64(0)
	for ctx.Err() == nil {
		v, err := f.follow(ctx, version)
		if err == nil {
			version = max(version, v)
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryDelay):
		}
	}
}

// follow waits for a new head, by a watch or by a pause and a read. A watch without changes is ended
// after DefaultReadInterval, so that a read finds what the watch missed.
func (f *Follower) follow(ctx context.Context, version uint64) (uint64, error) {
	if f.Relay != nil && !f.Relay() && version != 0 {
		select {
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-time.After(f.readInterval()):
		}
		return f.read(ctx)
	}
	if version == 0 {
		return f.read(ctx)
	}
	watchCtx, cancel := context.WithTimeout(ctx, DefaultReadInterval)
	defer cancel()
	f.count(func(c *Counts) { c.Watches++ })
	it, err := f.KV.Watch(watchCtx, KeyHead, version)
	if err != nil {
		return f.read(ctx)
	}
	return it.Version, f.apply(ctx, it.Value, f.fromKV, false)
}

// readInterval is the time between reads of the head on a host that is not a relay.
func (f *Follower) readInterval() time.Duration {
	n := 1
	if f.HostCount != nil {
		n = f.HostCount()
	}
	return max(DefaultReadInterval, time.Duration(n)*time.Second/maxReadRate)
}

// read reads the head once.
func (f *Follower) read(ctx context.Context) (uint64, error) {
	f.count(func(c *Counts) { c.Reads++ })
	it, err := f.KV.Get(ctx, KeyHead)
	if errors.Is(err, keyval.ErrNotFound) {
		return 0, err
	}
	if err != nil {
		return 0, err
	}
	return it.Version, f.apply(ctx, it.Value, f.fromKV, false)
}

// count updates the counts.
func (f *Follower) count(change func(*Counts)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.counts)
}

// Pull takes a higher revision from a peer that has it; a lower or equal one changes nothing.
func (f *Follower) Pull(ctx context.Context, revision uint64, address string) error {
	for {
		highest := f.highestSeen.Load()
		if revision <= highest || f.highestSeen.CompareAndSwap(highest, revision) {
			break
		}
	}
	if revision <= f.Revision() || f.Peers == nil {
		return nil
	}
	raw, err := f.Peers.Head(ctx, address)
	if err != nil {
		return err
	}
	fetch := func(ctx context.Context, digest string) ([]byte, error) {
		b, err := f.Peers.Chunk(ctx, address, digest)
		if err == nil && Digest(b) == digest {
			return b, nil
		}
		return f.fromKV(ctx, digest)
	}
	return f.apply(ctx, raw, fetch, true)
}

// fromKV reads a chunk from the key-value service.
func (f *Follower) fromKV(ctx context.Context, digest string) ([]byte, error) {
	f.count(func(c *Counts) { c.Reads++ })
	it, err := f.KV.Get(ctx, KeyChunk+digest)
	return it.Value, err
}

// chunkFetcher reads the content of a chunk, from a peer or from the key-value service.
type chunkFetcher func(ctx context.Context, digest string) ([]byte, error)

// apply puts a revision in force if it is higher than the present one and can be read completely.
func (f *Follower) apply(ctx context.Context, raw []byte, fetch chunkFetcher, fromPeer bool) error {
	h, err := DecodeHead(raw)
	if err != nil {
		f.count(func(c *Counts) { c.Refused++ })
		return err
	}
	if h.Revision <= f.Revision() {
		return nil
	}
	chunks, fetched, err := f.collect(ctx, h, fetch)
	if err != nil {
		f.count(func(c *Counts) { c.Refused++ })
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	// Another revision may have been put in force in the meantime; only a higher one replaces it.
	if h.Revision <= f.Revision() {
		return nil
	}
	snap, err := f.buildSnapshot(h, chunks)
	if err != nil {
		f.counts.Refused++
		return err
	}
	f.head, f.rawHead, f.chunks = h, raw, chunks
	f.counts.Bytes += int64(len(raw) + fetched)
	if fromPeer {
		f.counts.FromPeers++
	} else {
		f.counts.FromKV++
	}
	f.snapshot.Store(snap)
	f.Log.Info("settings in force", "revision", h.Revision, "from_peer", fromPeer)
	if f.OnSnapshot != nil {
		f.OnSnapshot(snap)
	}
	return nil
}

// collect gathers the chunks of a head, reuses those in force, and returns the number of bytes that it
// had to fetch.
func (f *Follower) collect(ctx context.Context, h *Head, fetch chunkFetcher) (map[string][]byte, int, error) {
	out := make(map[string][]byte, len(h.Chunks))
	fetched := 0
	for _, ref := range h.Chunks {
		if b := f.Chunk(ref.Digest); b != nil {
			out[ref.Digest] = b
			continue
		}
		b, err := fetch(ctx, ref.Digest)
		if err != nil {
			return nil, 0, err
		}
		if Digest(b) != ref.Digest {
			return nil, 0, ErrIncomplete
		}
		fetched += len(b)
		out[ref.Digest] = b
	}
	return out, fetched, nil
}

// buildSnapshot makes the snapshot of a head. If no fleet-wide entries changed, it starts from the
// snapshot in force and replaces only the changed shards; mu must be held.
func (f *Follower) buildSnapshot(h *Head, chunks map[string][]byte) (*settings.Snapshot, error) {
	old := make(map[int]string)
	if f.head != nil {
		for _, r := range f.head.Chunks {
			old[r.Shard] = r.Digest
		}
	}
	var changed []settings.ShardEntries
	rebuild := f.head == nil
	for _, r := range h.Chunks {
		if old[r.Shard] != r.Digest {
			d, err := decodeEntries(chunks[r.Digest])
			if err != nil {
				return nil, err
			}
			changed = append(changed, settings.ShardEntries{Shard: r.Shard, Entries: d})
			rebuild = rebuild || r.Shard == FleetShard
		}
		delete(old, r.Shard)
	}
	for s := range old {
		changed = append(changed, settings.ShardEntries{Shard: s})
		rebuild = rebuild || s == FleetShard
	}
	if !rebuild {
		return f.Snapshot().WithShards(h.Revision, changed), nil
	}
	var all settings.Declaration
	for _, r := range h.Chunks {
		d, err := decodeEntries(chunks[r.Digest])
		if err != nil {
			return nil, err
		}
		all = append(all, d...)
	}
	return settings.NewSnapshot(h.Revision, all.Sorted()), nil
}

// decodeEntries reads the entries of a chunk whose digest was checked.
func decodeEntries(b []byte) (settings.Declaration, error) {
	var d settings.Declaration
	return d, json.Unmarshal(b, &d)
}
