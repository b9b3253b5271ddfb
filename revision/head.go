// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package revision

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/heathkeel/heathkeel/settings"
)

// Keys in the key-value service.
const (
	// KeyHead holds the head record.
	KeyHead = "settings/head"
	// KeyChunk is followed by a chunk's digest.
	KeyChunk = "settings/chunk/"
)

// FleetShard is the number of the chunk that concerns all workspaces.
const FleetShard = -1

// ChunkRef names one chunk of a revision.
type ChunkRef struct {
	// Shard is the shard of top-level workspaces, or FleetShard.
	Shard int `json:"s"`
	// Digest is the chunk's digest.
	Digest string `json:"d"`
}

// Change is an accepted change.
type Change struct {
	// ID is drawn by the writer and finds the change again after a lost answer.
	ID string `json:"id"`
	// Revision is the one that it made.
	Revision uint64 `json:"revision"`
	// Author and Message are the operator's.
	Author  string `json:"author"`
	Message string `json:"message,omitempty"`
	// AtMS is the writer's clock in milliseconds since 1970, for people only.
	AtMS int64 `json:"at_ms"`
	// Paths are the paths changed, at most maxPaths; More counts the rest.
	Paths     []string `json:"paths"`
	MorePaths int      `json:"more,omitempty"`
}

// Retired is a chunk that is no longer named since a revision.
type Retired struct {
	// Digest is the chunk's digest.
	Digest string `json:"d"`
	// Revision is the first that does not name it.
	Revision uint64 `json:"r"`
}

// Head is the record that names a revision.
type Head struct {
	// Revision rises by one with each accepted change.
	Revision uint64 `json:"revision"`
	// Chunks are sorted by shard.
	Chunks []ChunkRef `json:"chunks"`
	// Recent are the last changes, the newest first.
	Recent []Change `json:"recent"`
	// Retired are chunks that may be deleted some revisions later.
	Retired []Retired `json:"retired,omitempty"`
}

// Bounds of a head record.
const (
	// maxRecent is the number of changes remembered.
	maxRecent = 64
	// maxPaths is the number of paths remembered of a change.
	maxPaths = 20
	// keepRetired is the number of revisions for which a retired chunk is kept.
	keepRetired = 16
)

// Digest names content: the first 16 bytes of its SHA-256 in hexadecimal.
func Digest(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:16])
}

// DecodeHead reads a head record.
func DecodeHead(b []byte) (*Head, error) {
	var h Head
	if err := json.Unmarshal(b, &h); err != nil {
		return nil, fmt.Errorf("head record is not readable: %w; restore it from history", err)
	}
	return &h, nil
}

// Find returns the remembered change of an ID.
func (h *Head) Find(id string) (Change, bool) {
	i := slices.IndexFunc(h.Recent, func(c Change) bool { return c.ID == id })
	if i < 0 {
		return Change{}, false
	}
	return h.Recent[i], true
}

// Chunk is a part of a declaration ready to be stored.
type Chunk struct {
	ChunkRef
	// Content is the JSON of its entries.
	Content []byte
}

// Chunks cuts a sorted declaration into its chunks, sorted by shard.
func Chunks(d settings.Declaration) ([]Chunk, error) {
	parts := make(map[int]settings.Declaration)
	for _, e := range d {
		parts[shardOf(e)] = append(parts[shardOf(e)], e)
	}
	out := make([]Chunk, 0, len(parts))
	for s, part := range parts {
		b, err := json.Marshal(part)
		if err != nil {
			return nil, err
		}
		out = append(out, Chunk{ChunkRef{s, Digest(b)}, b})
	}
	slices.SortFunc(out, func(a, b Chunk) int { return a.Shard - b.Shard })
	return out, nil
}

// shardOf returns the chunk's number of an entry.
func shardOf(e settings.Entry) int {
	top := settings.TopLevel(e.Node)
	if top == "" {
		return FleetShard
	}
	return settings.ShardOf(top)
}

// DecodeChunk checks content against its digest and reads it.
func DecodeChunk(digest string, content []byte) (settings.Declaration, error) {
	if Digest(content) != digest {
		return nil, fmt.Errorf("chunk %s is corrupt; fetch it from another peer or apply the declaration again", digest)
	}
	var d settings.Declaration
	if err := json.Unmarshal(content, &d); err != nil {
		return nil, fmt.Errorf("chunk %s is not readable: %w", digest, err)
	}
	return d, nil
}
