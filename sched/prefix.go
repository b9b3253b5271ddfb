// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package sched

// holders are endpoints that may hold a block, by index plus one; the first is
// the latest.
type holders [4]uint16

// prefixIndex remembers which endpoints hold which prompt blocks. It is bounded:
// two maps of at most half the blocks each, of which the older is dropped when
// the younger is full, so that evidence that is not renewed decays.
type prefixIndex struct {
	generationSize int
	young, old     map[uint64]holders
}

// maxIndexedBlocks bounds the blocks remembered on a host; at about 40 bytes each it
// is 5 MB.
const maxIndexedBlocks = 1 << 17

// get returns the holders of a block.
func (x *prefixIndex) get(block uint64) (holders, bool) {
	if h, ok := x.young[block]; ok {
		return h, true
	}
	h, ok := x.old[block]
	return h, ok
}

// add notes that an endpoint holds a block.
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

// remove notes that an endpoint evicted a block.
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

// match is how many leading blocks an endpoint holds.
type match struct {
	index  uint16
	blocks int
}

// maxMatches bounds the endpoints that a prompt is matched with.
const maxMatches = 8

// lookup finds endpoints that hold leading blocks. It probes a ladder of
// lengths, the longest first, since who holds a block holds those before it;
// the lengths found are lower bounds.
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

// nextProbe is the next shorter length to probe: one less at first, then an eighth less.
func nextProbe(i int) int { return i - max(1, i/8) }

// hasMatch reports whether an endpoint was matched already.
func hasMatch(ms []match, v uint16) bool {
	for i := range ms {
		if ms[i].index == v {
			return true
		}
	}
	return false
}
