// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package sched

// holders are endpoints that may hold a block, by index plus one, the latest first.
type holders [4]uint16

// prefixIndex records which endpoints hold which prompt blocks. It is bounded: it has two maps of
// at most half the blocks each. When the younger one is full, the older one is dropped, so that
// entries that are not renewed expire.
type prefixIndex struct {
	generationSize int
	young, old     map[uint64]holders
}

// maxIndexedBlocks limits the blocks in the index of a host; at about 40 bytes each, that is 5 MB.
const maxIndexedBlocks = 1 << 17

// get returns the holders of a block.
func (x *prefixIndex) get(block uint64) (holders, bool) {
	if h, ok := x.young[block]; ok {
		return h, true
	}
	h, ok := x.old[block]
	return h, ok
}

// add records that an endpoint holds a block.
func (x *prefixIndex) add(block uint64, index int) {
	if x.young == nil || len(x.young) >= x.generationSize {
		x.generationSize = maxIndexedBlocks / 2
		x.old = x.young
		x.young = make(map[uint64]holders)
	}
	h, _ := x.get(block)
	v := uint16(index + 1)
	for i := range h {
		if h[i] == v {
			copy(h[1:i+1], h[:i])
			h[0] = v
			x.young[block] = h
			return
		}
	}
	copy(h[1:], h[:len(h)-1])
	h[0] = v
	x.young[block] = h
}

// remove records that an endpoint evicted a block.
func (x *prefixIndex) remove(block uint64, index int) {
	for _, m := range []map[uint64]holders{x.young, x.old} {
		h, ok := m[block]
		if !ok {
			continue
		}
		out := holders{}
		n := 0
		for _, v := range h {
			if v != uint16(index+1) {
				out[n] = v
				n++
			}
		}
		m[block] = out
	}
}

// match is the number of leading blocks that an endpoint holds.
type match struct {
	index  uint16
	blocks int
}

// maxMatches limits the endpoints matched with a prompt.
const maxMatches = 8

// lookup finds endpoints that hold leading blocks. It probes decreasing prefix lengths, since an
// endpoint that holds a block also holds the blocks before it. It skips some lengths, so the
// lengths found are lower bounds.
func (x *prefixIndex) lookup(blocks []uint64, out *[maxMatches]match) int {
	n := 0
	for i := len(blocks); i > 0 && n < maxMatches; i = nextProbe(i) {
		h, ok := x.get(blocks[i-1])
		if !ok {
			continue
		}
		for _, v := range h {
			if v != 0 && n < maxMatches && !hasMatch(out[:n], v) {
				out[n] = match{v, i}
				n++
			}
		}
	}
	return n
}

// nextProbe returns the next shorter length to probe: one less, or an eighth less from 16 blocks
// on.
func nextProbe(i int) int { return i - max(1, i/8) }

// hasMatch reports whether an endpoint was already matched.
func hasMatch(ms []match, v uint16) bool {
	for i := range ms {
		if ms[i].index == v {
			return true
		}
	}
	return false
}
