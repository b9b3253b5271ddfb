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

// ErrIncomplete means that a revision could not be had whole; the one in force stays.
var ErrIncomplete = eris.New("revision not available whole; it is tried again")

// Peer reads settings from another host.
type Peer interface {
	// Head returns the head record in force at an address.
	Head(ctx context.Context, address string) ([]byte, error)
	// Chunk returns the content of a chunk held at an address.
	Chunk(ctx context.Context, address, digest string) ([]byte, error)
}

// Defaults of a Follower.
const (
	// DefaultReadInterval is the time between a relay's reads of the head, beside its watch.
	DefaultReadInterval = 3 * time.Second
	// checkRate bounds the reads of the head by all hosts that are no relays, in
	// reads a second: each waits for its share of the fleet.
	checkRate = 10
	// retryPause is the time before a failed read is tried again.
	retryPause = 500 * time.Millisecond
)

// Follower holds the settings in force on one host. Set the exported fields,
// then call Run.
type Follower struct {
	// KV is the key-value service.
	KV keyval.KV
	// Peers reads from other hosts; nil means that there are none.
	Peers Peer
	// Relay says whether this host watches the head now; nil means always.
	Relay func() bool
	// HostCount gives the number of hosts; nil means 1.
	HostCount func() int
	// OnSnapshot is told of each revision taken; nil means nobody.
	OnSnapshot func(*settings.Snapshot)
	// Log takes changes of state.
	Log logr.Logger

	snapshot atomic.Pointer[settings.Snapshot]
	seen     atomic.Uint64

	mu     sync.Mutex
	head   *Head
	raw    []byte
	chunks map[string][]byte
	counts Counts
}

// Counts are what a Follower did since its start.
type Counts struct {
	// Reads and Watches are calls to the key-value service.
	Reads, Watches int64
	// FromPeers and FromKV are revisions taken.
	FromPeers, FromKV int64
	// Bytes is the content received.
	Bytes int64
	// Refused counts revisions that were not whole.
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

// HighestSeen returns the highest revision heard of; above Revision the host is behind.
func (f *Follower) HighestSeen() uint64 { return max(f.seen.Load(), f.Revision()) }

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
	return f.raw
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
		case <-time.After(retryPause):
		}
	}
}

// follow waits for the head by a watch or by a pause and a read. A watch that
// stays silent is cut short, so that a read finds what it missed.
func (f *Follower) follow(ctx context.Context, version uint64) (uint64, error) {
	if f.Relay != nil && !f.Relay() && version != 0 {
		select {
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-time.After(f.share()):
		}
		return f.read(ctx)
	}
	if version == 0 {
		return f.read(ctx)
	}
	wctx, cancel := context.WithTimeout(ctx, DefaultReadInterval)
	defer cancel()
	f.count(func(c *Counts) { c.Watches++ })
	it, err := f.KV.Watch(wctx, KeyHead, version)
	if err != nil {
		return f.read(ctx)
	}
	return it.Version, f.take(ctx, it.Value, f.fromKV, false)
}

// share is the time between reads of a host that is no relay.
func (f *Follower) share() time.Duration {
	n := 1
	if f.HostCount != nil {
		n = f.HostCount()
	}
	return max(DefaultReadInterval, time.Duration(n)*time.Second/checkRate)
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
	return it.Version, f.take(ctx, it.Value, f.fromKV, false)
}

// count changes the counts.
func (f *Follower) count(change func(*Counts)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.counts)
}

// Pull takes a higher revision from a peer that has it; a lower or equal one changes nothing.
func (f *Follower) Pull(ctx context.Context, revision uint64, address string) error {
	for {
		seen := f.seen.Load()
		if revision <= seen || f.seen.CompareAndSwap(seen, revision) {
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
	get := func(ctx context.Context, digest string) ([]byte, error) {
		b, err := f.Peers.Chunk(ctx, address, digest)
		if err == nil && Digest(b) == digest {
			return b, nil
		}
		return f.fromKV(ctx, digest)
	}
	return f.take(ctx, raw, get, true)
}

// fromKV reads a chunk from the key-value service.
func (f *Follower) fromKV(ctx context.Context, digest string) ([]byte, error) {
	f.count(func(c *Counts) { c.Reads++ })
	it, err := f.KV.Get(ctx, KeyChunk+digest)
	return it.Value, err
}

// getChunk reads the content of a chunk from somewhere.
type getChunk func(ctx context.Context, digest string) ([]byte, error)

// take puts a revision in force if it is higher and can be had whole.
func (f *Follower) take(ctx context.Context, raw []byte, get getChunk, peer bool) error {
	h, err := DecodeHead(raw)
	if err != nil {
		f.count(func(c *Counts) { c.Refused++ })
		return err
	}
	if h.Revision <= f.Revision() {
		return nil
	}
	chunks, fetched, err := f.collect(ctx, h, get)
	if err != nil {
		f.count(func(c *Counts) { c.Refused++ })
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	// Another revision may have come meanwhile; only a higher one replaces it.
	if h.Revision <= f.Revision() {
		return nil
	}
	snap, err := f.build(h, chunks)
	if err != nil {
		f.counts.Refused++
		return err
	}
	f.head, f.raw, f.chunks = h, raw, chunks
	f.counts.Bytes += int64(len(raw) + fetched)
	if peer {
		f.counts.FromPeers++
	} else {
		f.counts.FromKV++
	}
	f.snapshot.Store(snap)
	f.Log.Info("settings in force", "revision", h.Revision, "from_peer", peer)
	if f.OnSnapshot != nil {
		f.OnSnapshot(snap)
	}
	return nil
}

// collect gathers the chunks of a head, reusing those in force, and returns the
// bytes that had to be fetched.
func (f *Follower) collect(ctx context.Context, h *Head, get getChunk) (map[string][]byte, int, error) {
	out := make(map[string][]byte, len(h.Chunks))
	fetched := 0
	for _, ref := range h.Chunks {
		if b := f.Chunk(ref.Digest); b != nil {
			out[ref.Digest] = b
			continue
		}
		b, err := get(ctx, ref.Digest)
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

// build makes the snapshot of a head, from the one in force where only some
// shards changed; mu must be held.
func (f *Follower) build(h *Head, chunks map[string][]byte) (*settings.Snapshot, error) {
	old := make(map[int]string)
	if f.head != nil {
		for _, r := range f.head.Chunks {
			old[r.Shard] = r.Digest
		}
	}
	var changed []settings.ShardEntries
	fleet := f.head == nil
	for _, r := range h.Chunks {
		if old[r.Shard] != r.Digest {
			d, err := decode(chunks[r.Digest])
			if err != nil {
				return nil, err
			}
			changed = append(changed, settings.ShardEntries{Shard: r.Shard, Entries: d})
			fleet = fleet || r.Shard == FleetShard
		}
		delete(old, r.Shard)
	}
	for s := range old {
		changed = append(changed, settings.ShardEntries{Shard: s})
		fleet = fleet || s == FleetShard
	}
	if !fleet {
		return f.Snapshot().WithShards(h.Revision, changed), nil
	}
	var all settings.Declaration
	for _, r := range h.Chunks {
		d, err := decode(chunks[r.Digest])
		if err != nil {
			return nil, err
		}
		all = append(all, d...)
	}
	return settings.NewSnapshot(h.Revision, all.Sorted()), nil
}

// decode reads the entries of a chunk whose digest was checked.
func decode(b []byte) (settings.Declaration, error) {
	var d settings.Declaration
	return d, json.Unmarshal(b, &d)
}
