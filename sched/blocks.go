// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package sched

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Sizes of prompts as the scheduler estimates them.
const (
	// BlockTokens is the number of prompt tokens in a cache block.
	BlockTokens = 64
	// TokenBytes is the assumed number of bytes in a token.
	TokenBytes = 4
	// MaxBlocks limits the number of leading prompt blocks that are hashed.
	MaxBlocks = 256
)

// Tokens estimates the number of tokens in a prompt of n bytes, rounded up.
func Tokens(n int) int { return (n + TokenBytes - 1) / TokenBytes }

// Blocks returns the chained hashes of the leading whole blocks of a prompt, at most MaxBlocks.
// Because the hashes are chained, two prompts have the same hash for block i only if they are
// equal up to the end of block i.
func Blocks(prompt string) []uint64 {
	const size = BlockTokens * TokenBytes
	n := min(len(prompt)/size, MaxBlocks)
	if n == 0 {
		return nil
	}
	out := make([]uint64, n)
	var chain [16]byte
	for i := range out {
		binary.LittleEndian.PutUint64(chain[8:], xxhash.Sum64String(prompt[i*size:(i+1)*size]))
		out[i] = xxhash.Sum64(chain[:])
		binary.LittleEndian.PutUint64(chain[:8], out[i])
	}
	return out
}
