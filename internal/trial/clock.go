// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package trial

import (
	"container/heap"
	"time"
)

// event is something that happens at a time.
type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

// events is a heap of events by time, then by order of their making.
type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *events) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *events) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// clock runs events in the order of their time.
type clock struct {
	now   time.Duration
	queue events
	seq   uint64
}

// after makes something happen later.
func (c *clock) after(d time.Duration, do func()) {
	c.seq++
	heap.Push(&c.queue, event{c.now + d, c.seq, do})
}

// every makes something happen again and again.
func (c *clock) every(d time.Duration, do func()) {
	c.after(d, func() {
		do()
		c.every(d, do)
	})
}

// run runs events until a time.
func (c *clock) run(until time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= until {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.do()
	}
	c.now = until
}
