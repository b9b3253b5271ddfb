// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package sched

import (
	"cmp"
	"container/heap"
	"container/list"
	"slices"

	"github.com/heathkeel/heathkeel/places"
)

// flow holds the waiting requests of one workspace in one tier of one pool. Within it, services
// take turns by their own virtual time, so that long contracts of a workspace do not delay its
// one-line lookups.
type flow struct {
	workspace   string
	weight      float64
	virtualTime float64
	services    []*serviceQueue
	waiting     int
	cost        float64 // of the waiting requests
	heapIndex   int
}

// serviceQueue holds the waiting requests of one service, in order of arrival.
type serviceQueue struct {
	name        string
	virtualTime float64
	queue       list.List
}

// tierQueue orders the flows of one tier by start-time fair queueing [Goyal, Vin and Cheng,
// "Start-time fair queueing", 1996]: the flow with the least virtual time is served first, and its
// virtual time advances by cost/weight.
type tierQueue struct {
	flows       map[string]*flow
	active      flowHeap
	virtualTime float64
	waiting     int
	cost        float64 // of the waiting requests
	weight      float64 // of the flows with waiting requests
	// arrival holds all waiting requests in order of arrival.
	arrival   list.List
	positions map[*Request]position
	fifo      bool
}

// position holds a request's elements in the lists.
type position struct {
	arrival, service *list.Element
	queue            *serviceQueue
}

// flowHeap is a heap of the flows that have waiting requests.
type flowHeap []*flow

func (h flowHeap) Len() int           { return len(h) }
func (h flowHeap) Less(i, j int) bool { return h[i].virtualTime < h[j].virtualTime }
func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.heapIndex = len(*h)
	*h = append(*h, f)
}

// Pop implements heap.Interface.
func (h *flowHeap) Pop() any {
	old := *h
	f := old[len(old)-1]
	*h = old[:len(old)-1]
	return f
}

// maxIdleFlows is the number of flows at which those without waiting requests are dropped.
const maxIdleFlows = 10000

// push adds a waiting request.
func (q *tierQueue) push(r *Request) {
	if q.flows == nil {
		q.flows = make(map[string]*flow)
		q.positions = make(map[*Request]position)
	}
	f := q.flows[r.Settings.Workspace]
	if f == nil {
		if len(q.flows) >= maxIdleFlows {
			q.dropIdle()
		}
		f = &flow{workspace: r.Settings.Workspace}
		q.flows[r.Settings.Workspace] = f
	}
	if f.waiting == 0 {
		f.weight = r.Settings.Weight
		q.weight += f.weight
		f.virtualTime = max(f.virtualTime, q.virtualTime)
		heap.Push(&q.active, f)
	}
	sq := f.service(r.Settings.Service)
	q.positions[r] = position{q.arrival.PushBack(r), sq.queue.PushBack(r), sq}
	f.waiting++
	q.waiting++
	f.cost += r.cost
	q.cost += r.cost
	r.flow = f
}

// dropIdle removes the flows without waiting requests.
func (q *tierQueue) dropIdle() {
	for name, f := range q.flows {
		if f.waiting == 0 {
			delete(q.flows, name)
		}
	}
}

// service returns the queue of a service. A new or idle queue starts at the least virtual time of
// the others.
func (f *flow) service(name string) *serviceQueue {
	minVirtual := 0.0
	for i, sq := range f.services {
		if sq.name == name {
			if sq.queue.Len() == 0 {
				sq.virtualTime = max(sq.virtualTime, f.minVirtualTime())
			}
			return sq
		}
		if i == 0 || sq.virtualTime < minVirtual {
			minVirtual = sq.virtualTime
		}
	}
	sq := &serviceQueue{name: name, virtualTime: minVirtual}
	f.services = append(f.services, sq)
	return sq
}

// minVirtualTime returns the least virtual time of the services with waiting requests.
func (f *flow) minVirtualTime() float64 {
	minVirtual, found := 0.0, false
	for _, sq := range f.services {
		if sq.queue.Len() > 0 && (!found || sq.virtualTime < minVirtual) {
			minVirtual, found = sq.virtualTime, true
		}
	}
	return minVirtual
}

// next returns the flow's next request.
func (f *flow) next() *Request {
	var best *serviceQueue
	for _, sq := range f.services {
		if sq.queue.Len() > 0 && (best == nil || sq.virtualTime < best.virtualTime) {
			best = sq
		}
	}
	return best.queue.Front().Value.(*Request)
}

// head returns the next request of the tier, or nil.
func (q *tierQueue) head() *Request {
	switch {
	case q.waiting == 0:
		return nil
	case q.fifo:
		return q.arrival.Front().Value.(*Request)
	}
	return q.active[0].next()
}

// newest returns the request that arrived last, or nil.
func (q *tierQueue) newest() *Request {
	if q.waiting == 0 {
		return nil
	}
	return q.arrival.Back().Value.(*Request)
}

// remove removes a request without charging its flow.
func (q *tierQueue) remove(r *Request) {
	at := q.positions[r]
	delete(q.positions, r)
	q.arrival.Remove(at.arrival)
	at.queue.queue.Remove(at.service)
	f := r.flow
	f.waiting--
	q.waiting--
	f.cost -= r.cost
	q.cost -= r.cost
	if f.waiting == 0 {
		f.cost = 0
		q.weight -= f.weight
		heap.Remove(&q.active, f.heapIndex)
	}
	if q.waiting == 0 {
		q.cost, q.weight = 0, 0 // clears rounding errors
	}
}

// wants appends the flows with waiting requests as wants of a tier, those that are served first, up
// to places.MaxWants in all.
func (q *tierQueue) wants(rank int, out []places.Want) []places.Want {
	first := len(out)
	for len(out) < places.MaxWants && len(out)-first < len(q.active) {
		var best *flow
		for _, f := range q.active {
			listed := slices.ContainsFunc(out[first:], func(w places.Want) bool { return w.Workspace == f.workspace })
			if !listed && (best == nil || f.virtualTime < best.virtualTime) {
				best = f
			}
		}
		w := places.Want{Workspace: best.workspace, Rank: rank, N: best.waiting}
		if best.weight != 1 {
			w.Weight = best.weight
		}
		out = append(out, w)
	}
	slices.SortFunc(out[first:], func(a, b places.Want) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return out
}

// costBefore estimates the cost served before a request of a workspace that arrives now: the
// waiting cost of its own flow, increased by the other flows' share of the time, and at most the
// cost of all waiting requests.
func (q *tierQueue) costBefore(workspace string, weight float64) float64 {
	f := q.flows[workspace]
	if q.waiting == 0 || q.fifo {
		return q.cost
	}
	own, others := 0.0, q.weight
	if f != nil && f.waiting > 0 {
		own, others = f.cost, q.weight-f.weight
	}
	return min(q.cost, own*(1+others/weight))
}

// charge charges a dispatched request to its flow and service.
func (q *tierQueue) charge(r *Request) {
	f := r.flow
	if f == nil {
		return
	}
	q.virtualTime = max(q.virtualTime, f.virtualTime)
	f.virtualTime += r.cost / f.weight
	f.service(r.Settings.Service).virtualTime += r.cost
	if f.waiting > 0 {
		heap.Fix(&q.active, f.heapIndex)
	}
}
