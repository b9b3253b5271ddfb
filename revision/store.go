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

// ConflictError says that paths were changed by somebody else in the meantime.
type ConflictError struct {
	// Mine is the change that was refused and Paths what it shares with others.
	Mine  Change
	Paths []string
	// Theirs are the accepted changes that touched these paths, if remembered.
	Theirs []Change
}

// Error names both changes.
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
	// RetryDelay is the time before a retry, 0 for 100 ms.
	RetryDelay time.Duration
}

// Load returns the head and the declaration in force; with none yet, an empty head.
func (s *Store) Load(ctx context.Context) (*Head, settings.Declaration, error) {
	h, _, err := s.head(ctx)
	if err != nil {
		return nil, nil, err
	}
	d, err := s.declaration(ctx, h, everything)
	return h, d, err
}

// part tells which shards are read or written.
type part func(shard int) bool

// everything is all shards.
func everything(int) bool { return true }

// touched is the part that edits need: the fleet's chunk and those of the
// workspaces edited, or everything if the fleet's own entries change, since any
// workspace may refer to them.
func touched(edits []settings.Edit) part {
	shards := map[int]bool{FleetShard: true}
	for _, e := range edits {
		s := shardOf(settings.Entry{Node: e.Node})
		if s == FleetShard {
			return everything
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

// declaration reads the chunks of a part of a head.
func (s *Store) declaration(ctx context.Context, h *Head, in part) (settings.Declaration, error) {
	var d settings.Declaration
	for _, ref := range h.Chunks {
		if !in(ref.Shard) {
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

// Apply makes a change in force: edits are merged onto the newest revision. It
// may be called again with the same change ID after any error: a change is
// applied once, and never over a later edit. Errors other than ConflictError and
// settings.Faults are of the key-value service and worth a retry.
func (s *Store) Apply(ctx context.Context, c Change, edits []settings.Edit) (Change, error) {
	for {
		done, err := s.try(ctx, c, edits)
		if err == nil || !again(err) {
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

// again reports whether an error may pass by itself.
func again(err error) bool {
	return errors.Is(err, keyval.ErrConflict) || errors.Is(err, keyval.ErrUnavailable) ||
		errors.Is(err, keyval.ErrRateLimited) || errors.Is(err, keyval.ErrNotFound)
}

// try makes one attempt. A head whose write gave no answer is read again by the
// next attempt, which finds the change by its ID.
func (s *Store) try(ctx context.Context, c Change, edits []settings.Edit) (Change, error) {
	h, version, err := s.head(ctx)
	if err != nil {
		return c, err
	}
	if done, ok := h.Find(c.ID); ok {
		return done, nil
	}
	in := touched(edits)
	d, err := s.declaration(ctx, h, in)
	if err != nil {
		return c, err
	}
	merged, conflicts := settings.Merge(d, edits)
	if len(conflicts) > 0 {
		return c, &ConflictError{Mine: c, Paths: conflicts, Theirs: touching(h, conflicts)}
	}
	if faults := settings.Check(merged); len(faults) > 0 {
		return c, faults
	}
	c.Revision = h.Revision + 1
	c.Paths, c.MorePaths = pathsOf(edits)
	return c, s.write(ctx, h, version, merged, in, c)
}

// touching returns the remembered changes that touched any of the paths.
func touching(h *Head, paths []string) []Change {
	var out []Change
	for _, c := range h.Recent {
		if slices.ContainsFunc(c.Paths, func(p string) bool { return slices.Contains(paths, p) }) {
			out = append(out, c)
		}
	}
	return out
}

// pathsOf returns the paths of edits as they are remembered.
func pathsOf(edits []settings.Edit) ([]string, int) {
	n := min(len(edits), maxPaths)
	paths := make([]string, n)
	for i := range paths {
		paths[i] = edits[i].Path()
	}
	return paths, len(edits) - n
}

// write stores the new chunks of a part and then the head, and deletes chunks
// long retired.
func (s *Store) write(ctx context.Context, h *Head, version uint64, d settings.Declaration, in part, c Change) error {
	chunks, err := Chunks(d)
	if err != nil {
		return err
	}
	next := &Head{Revision: c.Revision}
	for _, ref := range h.Chunks {
		if !in(ref.Shard) {
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
	dead := s.retire(ctx, h, next)
	b, err := json.Marshal(next)
	if err != nil {
		return err
	}
	if _, err := s.KV.Swap(ctx, KeyHead, version, b, 0); err != nil {
		return err
	}
	for _, it := range dead {
		// What cannot be deleted now stays as litter of a few kilobytes.
		_ = s.KV.Delete(ctx, it.Key, it.Version)
	}
	return nil
}

// writeChunk stores a chunk. One that exists is written again, so that its
// version rises and a writer that is about to delete it fails.
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

// retire notes in next which chunks it no longer names, and returns those
// retired long enough ago to be deleted, with the versions they have now:
// before the head that forgets them is written.
func (s *Store) retire(ctx context.Context, h, next *Head) []keyval.Item {
	named := func(digest string) bool {
		return slices.ContainsFunc(next.Chunks, func(r ChunkRef) bool { return r.Digest == digest })
	}
	var dead []keyval.Item
	for _, r := range h.Retired {
		switch {
		case named(r.Digest):
		case next.Revision-r.Revision < keepRetired:
			next.Retired = append(next.Retired, r)
		default:
			if it, err := s.KV.Get(ctx, KeyChunk+r.Digest); err == nil {
				dead = append(dead, it)
			}
		}
	}
	for _, ref := range h.Chunks {
		if !named(ref.Digest) {
			next.Retired = append(next.Retired, Retired{ref.Digest, next.Revision})
		}
	}
	return dead
}
