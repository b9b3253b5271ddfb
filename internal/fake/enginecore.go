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

// Job is a request in a fake engine.
type Job struct {
	// ID identifies the request.
	ID string
	// Blocks are the hashes of the prompt's cache blocks.
	Blocks []uint64
	// PromptTokens and OutputTokens are the lengths of the prompt and the answer.
	PromptTokens, OutputTokens int
	// Priority orders requests; 0 is the most urgent.
	Priority int

	// ComputedTokens counts the prompt tokens computed, without those found in the cache.
	ComputedTokens int
	// GeneratedTokens counts the tokens generated so far.
	GeneratedTokens int

	remaining int // prompt tokens still to compute
}

// GeneratedToken is a token that a step generated.
type GeneratedToken struct {
	// Job is the request that the token belongs to.
	Job *Job
	// Last is true for the last token of the answer.
	Last bool
}

// EngineCore is the batching of a fake engine, without I/O and clock: continuous
// batching with priorities and a prefix cache of limited size. Each call of Step
// is one step.
type EngineCore struct {
	// Slots is the maximum number of requests that run at once.
	Slots int
	// PrefillPerStep is the maximum number of prompt tokens computed in a step.
	PrefillPerStep int
	// CacheBlocks is the number of prompt blocks that the cache can hold.
	CacheBlocks int

	running, waiting []*Job
	cache            map[uint64]*list.Element
	lru              list.List
	events           []endpoint.CacheEvent
	nextEvent        uint64
	served, failed   int64
	generated        []GeneratedToken
}

// maxEvents is the maximum number of cache events kept for Events.
const maxEvents = 4096

// Add appends a request to the queue of its priority.
func (c *EngineCore) Add(j *Job) {
	i, _ := slices.BinarySearchFunc(c.waiting, j.Priority+1, func(w *Job, p int) int { return w.Priority - p })
	c.waiting = slices.Insert(c.waiting, i, j)
}

// Cancel drops a request and reports whether it was running or waiting.
func (c *EngineCore) Cancel(id string) bool {
	n := len(c.running) + len(c.waiting)
	matches := func(j *Job) bool { return j.ID == id }
	c.running = slices.DeleteFunc(c.running, matches)
	c.waiting = slices.DeleteFunc(c.waiting, matches)
	return len(c.running)+len(c.waiting) < n
}

// Idle reports whether no request is running or waiting.
func (c *EngineCore) Idle() bool { return len(c.running)+len(c.waiting) == 0 }

// Jobs returns the running and then the waiting requests.
func (c *EngineCore) Jobs() []*Job { return append(slices.Clone(c.running), c.waiting...) }

// Clear drops all requests and the cache, as a restart does. The dropped requests
// count as failed.
func (c *EngineCore) Clear() {
	c.failed += int64(len(c.running) + len(c.waiting))
	c.running, c.waiting = nil, nil
	c.cache = nil
	c.lru.Init()
}

// Step runs one step and returns the tokens that it generated; the slice is valid
// until the next call.
func (c *EngineCore) Step() []GeneratedToken {
	c.admit()
	budget := c.PrefillPerStep
	c.generated = c.generated[:0]
	for _, j := range c.running {
		if j.remaining == 0 {
			c.decode(j)
			continue
		}
		n := min(budget, j.remaining)
		j.remaining -= n
		j.ComputedTokens += n
		budget -= n
		if j.remaining == 0 {
			c.insertBlocks(j.Blocks)
			c.decode(j)
		}
	}
	c.running = slices.DeleteFunc(c.running, func(j *Job) bool { return j.remaining == 0 && j.GeneratedTokens >= j.OutputTokens })
	return c.generated
}

// admit moves waiting requests into free slots, the most urgent first.
func (c *EngineCore) admit() {
	for len(c.waiting) > 0 && len(c.running) < c.Slots {
		j := c.waiting[0]
		c.waiting = c.waiting[1:]
		j.remaining = max(1, j.PromptTokens-c.LookupPrefix(j.Blocks)*sched.BlockTokens)
		i, _ := slices.BinarySearchFunc(c.running, j.Priority+1, func(w *Job, p int) int { return w.Priority - p })
		c.running = slices.Insert(c.running, i, j)
	}
}

// decode generates one token of a request.
func (c *EngineCore) decode(j *Job) {
	j.GeneratedTokens++
	last := j.GeneratedTokens >= j.OutputTokens
	if last {
		c.served++
	}
	c.generated = append(c.generated, GeneratedToken{j, last})
}

// LookupPrefix returns the number of leading blocks in the cache and marks them as
// recently used.
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

// PeekPrefix returns the number of leading blocks in the cache without marking them
// as used.
func (c *EngineCore) PeekPrefix(blocks []uint64) int {
	for i, b := range blocks {
		if _, ok := c.cache[b]; !ok {
			return i
		}
	}
	return len(blocks)
}

// Import inserts blocks into the cache, as if they had been computed here.
func (c *EngineCore) Import(blocks []uint64) { c.insertBlocks(blocks) }

// insertBlocks inserts blocks into the cache and evicts the least recently used ones.
func (c *EngineCore) insertBlocks(blocks []uint64) {
	if c.cache == nil {
		c.cache = make(map[uint64]*list.Element)
	}
	for _, b := range slices.Backward(blocks) {
		if e, ok := c.cache[b]; ok {
			c.lru.MoveToFront(e)
			continue
		}
		c.cache[b] = c.lru.PushFront(b)
		c.addEvent(b, false)
	}
	for c.lru.Len() > c.CacheBlocks {
		e := c.lru.Back()
		b := c.lru.Remove(e).(uint64)
		delete(c.cache, b)
		c.addEvent(b, true)
	}
}

// addEvent appends a cache event and drops the oldest ones above maxEvents.
func (c *EngineCore) addEvent(block uint64, evicted bool) {
	c.events = append(c.events, endpoint.CacheEvent{Seq: c.nextEvent, Block: block, Evicted: evicted})
	c.nextEvent++
	if len(c.events) > maxEvents {
		c.events = slices.Clone(c.events[len(c.events)-maxEvents/2:])
	}
}

// Events returns the cache events whose sequence number is at least after.
func (c *EngineCore) Events(after uint64) []endpoint.CacheEvent {
	i, _ := slices.BinarySearchFunc(c.events, after, func(e endpoint.CacheEvent, n uint64) int {
		return int(int64(e.Seq) - int64(n))
	})
	return slices.Clone(c.events[i:])
}

// Report returns a current report without cache events.
func (c *EngineCore) Report() endpoint.Report {
	r := endpoint.Report{
		Running: len(c.running), Waiting: len(c.waiting), Slots: c.Slots,
		PrefillPerStep: c.PrefillPerStep, Served: c.served, Errors: c.failed, NextEvent: c.nextEvent,
	}
	for _, j := range c.running {
		r.PrefillTokens += j.remaining
	}
	for _, j := range c.waiting {
		r.PrefillTokens += j.PromptTokens
	}
	return r
}
