// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package fake

import (
	"container/list"
	"slices"

	"github.com/heathkeel/heathkeel/endpoint"
	"github.com/heathkeel/heathkeel/sched"
)

// Job is a request at a stand-in engine.
type Job struct {
	// ID names it.
	ID string
	// Blocks are the prompt's cache blocks.
	Blocks []uint64
	// PromptTokens and OutputTokens are its lengths.
	PromptTokens, OutputTokens int
	// Priority is 0 for the most urgent.
	Priority int

	// ComputedTokens counts prompt tokens computed, without those found in the cache.
	ComputedTokens int
	// GeneratedTokens counts tokens generated.
	GeneratedTokens int

	left int // prompt tokens still to compute
}

// GeneratedToken is a token that a step generated.
type GeneratedToken struct {
	// Job is the request that it belongs to.
	Job *Job
	// Last is true for the final token.
	Last bool
}

// EngineCore is the pure heart of a stand-in engine: continuous batching with
// priorities and a prefix cache of limited size. One call of Step is one step.
type EngineCore struct {
	// Slots is the number of requests that run at once.
	Slots int
	// PrefillPerStep is the number of prompt tokens computed in a step.
	PrefillPerStep int
	// CacheBlocks is the number of prompt blocks that the cache holds.
	CacheBlocks int

	running, waiting []*Job
	cache            map[uint64]*list.Element
	lru              list.List
	events           []endpoint.CacheEvent
	nextEvent        uint64
	served, failed   int64
	emits            []GeneratedToken
}

// maxEvents bounds the cache events kept for readers.
const maxEvents = 4096

// Add accepts a request.
func (c *EngineCore) Add(j *Job) {
	i, _ := slices.BinarySearchFunc(c.waiting, j.Priority+1, func(w *Job, p int) int { return w.Priority - p })
	c.waiting = slices.Insert(c.waiting, i, j)
}

// Cancel drops a request and reports whether it was there.
func (c *EngineCore) Cancel(id string) bool {
	n := len(c.running) + len(c.waiting)
	gone := func(j *Job) bool { return j.ID == id }
	c.running = slices.DeleteFunc(c.running, gone)
	c.waiting = slices.DeleteFunc(c.waiting, gone)
	return len(c.running)+len(c.waiting) < n
}

// Idle reports whether there is nothing to do.
func (c *EngineCore) Idle() bool { return len(c.running)+len(c.waiting) == 0 }

// Jobs returns all requests in the engine.
func (c *EngineCore) Jobs() []*Job { return append(slices.Clone(c.running), c.waiting...) }

// Clear drops all requests and the cache, as a restart does.
func (c *EngineCore) Clear() {
	c.failed += int64(len(c.running) + len(c.waiting))
	c.running, c.waiting = nil, nil
	c.cache = nil
	c.lru.Init()
}

// Step runs one step; the result is valid until the next.
func (c *EngineCore) Step() []GeneratedToken {
	c.admit()
	budget := c.PrefillPerStep
	c.emits = c.emits[:0]
	for _, j := range c.running {
		if j.left == 0 {
			c.decode(j)
			continue
		}
		n := min(budget, j.left)
		j.left -= n
		j.ComputedTokens += n
		budget -= n
		if j.left == 0 {
			c.remember(j.Blocks)
			c.decode(j)
		}
	}
	c.running = slices.DeleteFunc(c.running, func(j *Job) bool { return j.left == 0 && j.GeneratedTokens >= j.OutputTokens })
	return c.emits
}

// admit moves waiting requests into free slots, the most urgent first.
func (c *EngineCore) admit() {
	for len(c.waiting) > 0 && len(c.running) < c.Slots {
		j := c.waiting[0]
		c.waiting = c.waiting[1:]
		j.left = max(1, j.PromptTokens-c.LookupPrefix(j.Blocks)*sched.BlockTokens)
		i, _ := slices.BinarySearchFunc(c.running, j.Priority+1, func(w *Job, p int) int { return w.Priority - p })
		c.running = slices.Insert(c.running, i, j)
	}
}

// decode generates one token.
func (c *EngineCore) decode(j *Job) {
	j.GeneratedTokens++
	last := j.GeneratedTokens >= j.OutputTokens
	if last {
		c.served++
	}
	c.emits = append(c.emits, GeneratedToken{j, last})
}

// LookupPrefix returns the number of leading blocks in the cache.
func (c *EngineCore) LookupPrefix(blocks []uint64) int {
	for i, b := range blocks {
		e, ok := c.cache[b]
		if !ok {
			return i
		}
		c.lru.MoveToFront(e)
	}
	return len(blocks)
}

// PeekPrefix returns the number of leading blocks in the cache without using them.
func (c *EngineCore) PeekPrefix(blocks []uint64) int {
	for i, b := range blocks {
		if _, ok := c.cache[b]; !ok {
			return i
		}
	}
	return len(blocks)
}

// Import puts blocks into the cache, as if computed here.
func (c *EngineCore) Import(blocks []uint64) { c.remember(blocks) }

// remember puts blocks into the cache and evicts the least recently used.
func (c *EngineCore) remember(blocks []uint64) {
	if c.cache == nil {
		c.cache = make(map[uint64]*list.Element)
	}
	for _, b := range slices.Backward(blocks) {
		if e, ok := c.cache[b]; ok {
			c.lru.MoveToFront(e)
			continue
		}
		c.cache[b] = c.lru.PushFront(b)
		c.event(b, false)
	}
	for c.lru.Len() > c.CacheBlocks {
		e := c.lru.Back()
		b := c.lru.Remove(e).(uint64)
		delete(c.cache, b)
		c.event(b, true)
	}
}

// event notes a cache event.
func (c *EngineCore) event(block uint64, gone bool) {
	c.events = append(c.events, endpoint.CacheEvent{Seq: c.nextEvent, Block: block, Evicted: gone})
	c.nextEvent++
	if len(c.events) > maxEvents {
		c.events = slices.Clone(c.events[len(c.events)-maxEvents/2:])
	}
}

// Events returns the cache events from number after on.
func (c *EngineCore) Events(after uint64) []endpoint.CacheEvent {
	i, _ := slices.BinarySearchFunc(c.events, after, func(e endpoint.CacheEvent, n uint64) int {
		return int(int64(e.Seq) - int64(n))
	})
	return slices.Clone(c.events[i:])
}

// Report returns the engine's account now, without cache events.
func (c *EngineCore) Report() endpoint.Report {
	r := endpoint.Report{
		Running: len(c.running), Waiting: len(c.waiting), Slots: c.Slots,
		PrefillPerStep: c.PrefillPerStep, Served: c.served, Errors: c.failed, NextEvent: c.nextEvent,
	}
	for _, j := range c.running {
		r.PrefillTokens += j.left
	}
	for _, j := range c.waiting {
		r.PrefillTokens += j.PromptTokens
	}
	return r
}
