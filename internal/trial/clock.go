// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package trial

import (
	"container/heap"
	"time"
)

// event is a function to run at a simulated time.
type event struct {
	time time.Duration
	seq  uint64
	run  func()
}

// events is a heap ordered by time and, for equal times, by order of scheduling.
type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	if h[i].time != h[j].time {
		return h[i].time < h[j].time
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

// clock runs events in order of simulated time.
type clock struct {
	now   time.Duration
	queue events
	seq   uint64
}

// after schedules run at d from now.
func (c *clock) after(d time.Duration, run func()) {
	c.seq++
	heap.Push(&c.queue, event{c.now + d, c.seq, run})
}

// every schedules run at each multiple of d from now, without end.
func (c *clock) every(d time.Duration, run func()) {
	c.after(d, func() {
		run()
		c.every(d, run)
	})
}

// run runs the events up to a time, inclusive, and sets the clock to it.
func (c *clock) run(until time.Duration) {
	for len(c.queue) > 0 && c.queue[0].time <= until {
		e := heap.Pop(&c.queue).(event)
		c.now = e.time
		e.run()
	}
	c.now = until
}
