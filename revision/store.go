// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package revision

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/heathkeel/heathkeel/keyval"
	"github.com/heathkeel/heathkeel/settings"
)

// ConflictError reports that paths were changed by another change in the meantime.
type ConflictError struct {
	// Mine is the change that was refused; Paths are its paths that others changed too.
	Mine  Change
	Paths []string
	// Theirs are the accepted changes that touched these paths, as far as the head still has them.
	Theirs []Change
}

// Error names the refused change and those that it conflicts with.
func (e *ConflictError) Error() string {
	var theirs []string
	for _, c := range e.Theirs {
		theirs = append(theirs, fmt.Sprintf("%s by %s (revision %d)", c.ID, c.Author, c.Revision))
	}
	if len(theirs) == 0 {
		theirs = []string{"an earlier change"}
	}
	return fmt.Sprintf("change %s by %s conflicts with %s at %s; get the tree in force, redo your edit and apply again",
		e.Mine.ID, e.Mine.Author, strings.Join(theirs, ", "), strings.Join(e.Paths, ", "))
}

// Store is the operators' side of the settings in the key-value service.
type Store struct {
	// KV is the key-value service.
	KV keyval.KV
	// RetryDelay is the time before a retry; 0 means 100 ms.
	RetryDelay time.Duration
}

// Load returns the head and the declaration in force. Before the first change the head is empty.
func (s *Store) Load(ctx context.Context) (*Head, settings.Declaration, error) {
	h, _, err := s.head(ctx)
	if err != nil {
		return nil, nil, err
	}
	d, err := s.declaration(ctx, h, allShards)
	return h, d, err
}

// shardFilter selects the shards that are read or written.
type shardFilter func(shard int) bool

// allShards selects all shards.
func allShards(int) bool { return true }

// editedShards selects the shards that edits need: the fleet's and those of the edited workspaces. If
// fleet-wide entries change, it selects all shards, since any workspace may refer to them.
func editedShards(edits []settings.Edit) shardFilter {
	shards := map[int]bool{FleetShard: true}
	for _, e := range edits {
		s := shardOf(settings.Entry{Node: e.Node})
		if s == FleetShard {
			return allShards
		}
		shards[s] = true
	}
	return func(shard int) bool { return shards[shard] }
}

// head reads the head record and its version.
func (s *Store) head(ctx context.Context) (*Head, uint64, error) {
	it, err := s.KV.Get(ctx, KeyHead)
	if errors.Is(err, keyval.ErrNotFound) {
		return &Head{}, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	h, err := DecodeHead(it.Value)
	return h, it.Version, err
}

// declaration reads the selected chunks of a head.
func (s *Store) declaration(ctx context.Context, h *Head, include shardFilter) (settings.Declaration, error) {
	var d settings.Declaration
	for _, ref := range h.Chunks {
		if !include(ref.Shard) {
			continue
		}
		it, err := s.KV.Get(ctx, KeyChunk+ref.Digest)
		if err != nil {
			return nil, err
		}
		part, err := DecodeChunk(ref.Digest, it.Value)
		if err != nil {
			return nil, err
		}
		d = append(d, part...)
	}
	return d.Sorted(), nil
}

// Apply puts a change in force: it merges edits onto the newest revision. It may be called again with
// the same change ID after any error: a change is applied once, and never over a later edit. Errors
// other than ConflictError and settings.Faults come from the key-value service and are worth a retry.
func (s *Store) Apply(ctx context.Context, c Change, edits []settings.Edit) (Change, error) {
	for {
		done, err := s.attempt(ctx, c, edits)
		if err == nil || !isTemporary(err) {
			return done, err
		}
		pause := s.RetryDelay
		if pause == 0 {
			pause = 100 * time.Millisecond
		}
		select {
		case <-ctx.Done():
			return c, err
		case <-time.After(pause):
		}
	}
}

// isTemporary reports whether an operation that failed with this error may succeed when it is retried.
func isTemporary(err error) bool {
	return errors.Is(err, keyval.ErrConflict) || errors.Is(err, keyval.ErrUnavailable) ||
		errors.Is(err, keyval.ErrRateLimited) || errors.Is(err, keyval.ErrNotFound)
}

// attempt makes one attempt. If the answer to the write of a head is lost, the next attempt reads the
// head again and finds the change by its ID.
func (s *Store) attempt(ctx context.Context, c Change, edits []settings.Edit) (Change, error) {
	h, version, err := s.head(ctx)
	if err != nil {
		return c, err
	}
	if done, ok := h.Find(c.ID); ok {
		return done, nil
	}
	include := editedShards(edits)
	d, err := s.declaration(ctx, h, include)
	if err != nil {
		return c, err
	}
	merged, conflicts := settings.Merge(d, edits)
	if len(conflicts) > 0 {
		return c, &ConflictError{Mine: c, Paths: conflicts, Theirs: changesTouching(h, conflicts)}
	}
	if faults := settings.Check(merged); len(faults) > 0 {
		return c, faults
	}
	c.Revision = h.Revision + 1
	c.Paths, c.MorePaths = limitedPaths(edits)
	return c, s.writeRevision(ctx, h, version, merged, include, c)
}

// changesTouching returns the changes that the head still has and that touched any of the paths.
func changesTouching(h *Head, paths []string) []Change {
	var out []Change
	for _, c := range h.Recent {
		if slices.ContainsFunc(c.Paths, func(p string) bool { return slices.Contains(paths, p) }) {
			out = append(out, c)
		}
	}
	return out
}

// limitedPaths returns the paths of edits that a head keeps, and the number of the others.
func limitedPaths(edits []settings.Edit) ([]string, int) {
	n := min(len(edits), maxPaths)
	paths := make([]string, n)
	for i := range paths {
		paths[i] = edits[i].Path()
	}
	return paths, len(edits) - n
}

// writeRevision stores the new chunks of the selected shards and then the head, and deletes chunks
// that were retired long ago.
func (s *Store) writeRevision(ctx context.Context, h *Head, version uint64, d settings.Declaration, include shardFilter, c Change) error {
	chunks, err := Chunks(d)
	if err != nil {
		return err
	}
	next := &Head{Revision: c.Revision}
	for _, ref := range h.Chunks {
		if !include(ref.Shard) {
			next.Chunks = append(next.Chunks, ref)
		}
	}
	for _, ch := range chunks {
		next.Chunks = append(next.Chunks, ch.ChunkRef)
		if slices.Contains(h.Chunks, ch.ChunkRef) {
			continue
		}
		if err := s.writeChunk(ctx, ch); err != nil {
			return err
		}
	}
	slices.SortFunc(next.Chunks, func(a, b ChunkRef) int { return a.Shard - b.Shard })
	next.Recent = append([]Change{c}, h.Recent[:min(len(h.Recent), maxRecent-1)]...)
	expired := s.retire(ctx, h, next)
	b, err := json.Marshal(next)
	if err != nil {
		return err
	}
	if _, err := s.KV.Swap(ctx, KeyHead, version, b, 0); err != nil {
		return err
	}
	for _, it := range expired {
		// What cannot be deleted now remains as a few kilobytes of garbage.
		_ = s.KV.Delete(ctx, it.Key, it.Version)
	}
	return nil
}

// writeChunk stores a chunk. An existing chunk is written again, so that its version rises and a
// writer that is about to delete it fails.
func (s *Store) writeChunk(ctx context.Context, ch Chunk) error {
	key := KeyChunk + ch.Digest
	_, err := s.KV.Swap(ctx, key, 0, ch.Content, 0)
	if !errors.Is(err, keyval.ErrConflict) {
		return err
	}
	it, err := s.KV.Get(ctx, key)
	if err != nil {
		return err
	}
	_, err = s.KV.Swap(ctx, key, it.Version, ch.Content, 0)
	return err
}

// retire lists in next the chunks that next no longer names. It returns the chunks that were retired
// long enough ago to be deleted, with their versions as they are before the head that forgets them is
// written.
func (s *Store) retire(ctx context.Context, h, next *Head) []keyval.Item {
	named := func(digest string) bool {
		return slices.ContainsFunc(next.Chunks, func(r ChunkRef) bool { return r.Digest == digest })
	}
	var expired []keyval.Item
	for _, r := range h.Retired {
		switch {
		case named(r.Digest):
		case next.Revision-r.Revision < retiredRevisions:
			next.Retired = append(next.Retired, r)
		default:
			if it, err := s.KV.Get(ctx, KeyChunk+r.Digest); err == nil {
				expired = append(expired, it)
			}
		}
	}
	for _, ref := range h.Chunks {
		if !named(ref.Digest) {
			next.Retired = append(next.Retired, Retired{ref.Digest, next.Revision})
		}
	}
	return expired
}
