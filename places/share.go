// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package places

import (
	"encoding/json"
	"math/rand/v2"
	"time"
)

// MaxWants is the largest number of workspaces and tiers for which a host asks for one endpoint's slots.
const MaxWants = 4

// Want says that requests of a workspace and tier wait at a host.
type Want struct {
	// Workspace is the name of the workspace, and Rank the tier, 0 the highest.
	Workspace string `json:"w,omitempty"`
	Rank      int    `json:"k"`
	// N is the number of waiting requests.
	N int `json:"n"`
	// Weight is the weight of the workspace; 0 means 1.
	Weight float64 `json:"g,omitempty"`
}

// Wants is a list of up to MaxWants wants. It is written as a JSON list. Unlike a slice it can be compared, so that hosts notice cheaply
// whether their owners know the current one.
type Wants struct {
	list [MaxWants]Want
	n    int
}

// NewWants returns a list of the first MaxWants wants.
func NewWants(wants ...Want) Wants {
	var w Wants
	w.n = copy(w.list[:], wants)
	return w
}

// All returns the wants.
func (w *Wants) All() []Want { return w.list[:w.n] }

// IsZero reports whether there are none.
func (w Wants) IsZero() bool { return w.n == 0 }

// MarshalJSON implements json.Marshaler.
func (w Wants) MarshalJSON() ([]byte, error) { return json.Marshal(w.list[:w.n]) }

// UnmarshalJSON implements json.Unmarshaler.
func (w *Wants) UnmarshalJSON(data []byte) error {
	var list []Want
	if err := json.Unmarshal(data, &list); err != nil {
		return err
	}
	*w = NewWants(list...)
	return nil
}

// SameWants reports whether two requests want slots for the same workspaces and tiers, whatever the numbers of waiting requests.
func (r Request) SameWants(o Request) bool {
	if r.Rank != o.Rank || r.Wants.n != o.Wants.n {
		return false
	}
	for i, w := range r.Wants.All() {
		if v := o.Wants.list[i]; w.Workspace != v.Workspace || w.Rank != v.Rank || w.Weight != v.Weight {
			return false
		}
	}
	return true
}

// Allocation is a slot granted to a host for a workspace.
type Allocation struct {
	Host, Workspace string
	Rank            int
}

// flowKey identifies a flow.
type flowKey struct {
	workspace string
	rank      int
}

// flow is a workspace's use of one endpoint in one tier. Flows are served by start-time fair queueing (Goyal, Vin and Cheng,
// "Start-time fair queueing", 1996): a slot goes to the flow with the least start tag, and its tag advances by the time for which the slot
// is used, over its weight. A flow that wants no slot accumulates no more than maxCredit.
type flow struct {
	flowKey
	weight  float64
	tag     float64       // virtual time at which its next use starts, in seconds
	mean    time.Duration // moving average of the time of a request
	granted int64
	passed  int64
}

// shares divides the slots of one endpoint among workspaces. The zero value is empty.
type shares struct {
	flows map[flowKey]*flow
	// virtualTimes are the start tags of the latest grants, by tier.
	virtualTimes [maxRanks]float64
	mean         time.Duration // moving average of the time of all requests
	// gap is the moving average of the time from a grant until the owner learns that it was taken: for about as long a slot is idle
	// between two requests.
	gap time.Duration
}

// maxRanks limits the tiers; lower ones count as the last.
const maxRanks = 8

// Parameters of the division of slots.
const (
	// defaultUse is the time of a request that is charged until one has ended.
	defaultUse = 300 * time.Millisecond
	// useGain is the weight of the latest request in the average time.
	useGain = 0.2
	// maxCredit is how far the tag of a flow may be behind, in seconds of one slot. Hosts ask a few
	// owners at a time, so that a workspace often wants no slot of an endpoint when one becomes free. Without credit, one of two large
	// workspaces got 0.949 of its share at 300 hosts, and 0.957 with it (TestShareOfWorkspaces).
	maxCredit = 1.0
	// maxUses limits the running requests of one host whose workspaces are known, whatever number a message states.
	maxUses = 256
	// maxFlows is the number of flows above which those are dropped that got no more than others.
	maxFlows = 256
)

// flow returns the flow of a want.
func (s *shares) flow(w Want) *flow {
	key := flowKey{w.Workspace, min(max(0, w.Rank), maxRanks-1)}
	f := s.flows[key]
	if f == nil {
		if s.flows == nil || len(s.flows) >= maxFlows {
			s.dropIdle()
		}
		f = &flow{flowKey: key}
		s.flows[key] = f
	}
	f.weight = 1
	if w.Weight > 0 {
		f.weight = w.Weight
	}
	return f
}

// dropIdle drops the flows whose tag is not above the virtual time: a new flow starts there, too.
func (s *shares) dropIdle() {
	kept := make(map[flowKey]*flow)
	for key, f := range s.flows {
		if f.tag > s.virtualTimes[f.rank] {
			kept[key] = f
		}
	}
	if len(kept) >= maxFlows {
		clear(kept)
	}
	s.flows = kept
}

// start returns the tag at which the next use of a flow starts.
func (s *shares) start(f *flow) float64 { return max(f.tag, s.virtualTimes[f.rank]-maxCredit) }

// charge charges a granted slot to a flow, and returns the time charged.
func (s *shares) charge(f *flow) time.Duration {
	use := f.mean
	if use == 0 {
		use = s.mean
	}
	if use == 0 {
		use = defaultUse
	}
	f.tag = s.start(f)
	s.virtualTimes[f.rank] = max(s.virtualTimes[f.rank], f.tag)
	f.tag += use.Seconds() / f.weight
	f.granted++
	return use
}

// settle corrects the charge for a slot by the time for which it was used.
func (s *shares) settle(f *flow, charged, used time.Duration) {
	f.tag += (used - charged).Seconds() / f.weight
}

// observe records the time of a request.
func (s *shares) observe(f *flow, used time.Duration) {
	for _, mean := range []*time.Duration{&f.mean, &s.mean} {
		if *mean == 0 {
			*mean = used
		}
		*mean += time.Duration(useGain * float64(used-*mean))
	}
}

// use is the use of one slot.
type use struct {
	flow    *flow
	charged time.Duration
	since   time.Duration
	granted time.Duration // time of the grant
}

// shareState is the part of a host's state that concerns workspaces.
type shareState struct {
	wants  [MaxWants]*flow
	n      int
	grants []use // granted and not taken
	uses   []use // of the host's running requests, oldest first
}

// setWants sets the flows for which a host wants slots.
func (h *hostState) setWants(s *shares, req *Request) {
	h.n = 0
	if req.Rank < 0 {
		return
	}
	wants := req.Wants.All()
	if len(wants) == 0 {
		wants = []Want{{Rank: req.Rank, N: 1}}
	}
	for _, w := range wants {
		h.wants[h.n] = s.flow(w)
		h.n++
	}
}

// take records that a host has so many more running requests. Grants that were not taken yet are used up, oldest first.
func (h *hostState) take(now time.Duration, s *shares, n int) {
	for range max(0, min(n, maxUses-len(h.uses))) {
		u := use{since: now}
		if len(h.grants) > 0 {
			u = h.grants[0]
			u.since = now
			s.gap += time.Duration(useGain * float64(now-u.granted-s.gap))
			h.grants = append(h.grants[:0], h.grants[1:]...)
		}
		h.uses = append(h.uses, u)
	}
}

// end records that some running requests of a host have ended, the oldest first: which of them ended is not known.
func (h *hostState) end(now time.Duration, s *shares, n int) {
	n = min(max(0, n), len(h.uses))
	for _, u := range h.uses[:n] {
		if u.flow != nil {
			s.settle(u.flow, u.charged, now-u.since)
			s.observe(u.flow, now-u.since)
		}
	}
	h.uses = append(h.uses[:0], h.uses[n:]...)
}

// drop takes back the grants of a host that were not taken.
func (h *hostState) drop(s *shares) {
	for _, u := range h.grants {
		s.settle(u.flow, u.charged, 0)
	}
	h.grants = h.grants[:0]
	h.granted = 0
}

// maxInTransit is the largest share of the slots that is granted beyond them for grants in transit.
const maxInTransit = 1.0

// inTransit returns the number of slots beyond the limit that may be granted because messages take time: a slot counts as used from its
// grant until the message about the end of its request arrives, which for short requests is much longer than it is used. Without this,
// plain endpoints with requests of 20 ms and messages of 4 to 15 ms are used for 0.64 of the time.
func (a *Allocator) inTransit(limit int) int {
	if !a.GrantAhead || a.shares.mean <= 0 {
		return 0
	}
	return int(float64(limit) * min(maxInTransit, a.shares.gap.Seconds()/a.shares.mean.Seconds()))
}

// nextShare returns the host and flow that get the next slot: the highest tier, the flow with the least start tag in it, and a random host
// among those that want a slot for it.
func (a *Allocator) nextShare(now time.Duration, r *rand.Rand) (*hostState, *flow) {
	var host *hostState
	var best *flow
	start, ties := 0.0, 0
	for _, h := range a.order {
		if !h.wantsSlot(now) {
			continue
		}
		for _, f := range h.wants[:h.n] {
			if f == best {
				ties++
				if r.IntN(ties) == 0 {
					host = h
				}
				continue
			}
			if best != nil && f.rank > best.rank {
				continue
			}
			at := a.shares.start(f)
			if best == nil || f.rank < best.rank || at < start || (at == start && f.workspace < best.workspace) {
				host, best, start, ties = h, f, at, 1
			}
		}
	}
	return host, best
}

// notePassed counts the flows of the same tier that want a slot and do not get it, because they have received more than the one that does.
func (a *Allocator) notePassed(now time.Duration, got *flow) {
	for _, h := range a.order {
		if !h.wantsSlot(now) {
			continue
		}
		for _, f := range h.wants[:h.n] {
			if f != got && f.rank == got.rank && f.tag > got.tag {
				f.passed++
			}
		}
	}
}

// Usage is what a workspace got of an endpoint's slots.
type Usage struct {
	// Granted is the number of slots granted to it, and Passed the number of times that one of a host's requests waited for a slot that
	// went to a workspace of the same tier which had received less.
	Granted, Passed int64
}

// TakeUsage adds what workspaces got since the last call.
func (a *Allocator) TakeUsage(add func(workspace string, rank int, u Usage)) {
	for _, f := range a.shares.flows {
		if f.granted > 0 || f.passed > 0 {
			add(f.workspace, f.rank, Usage{f.granted, f.passed})
			f.granted, f.passed = 0, 0
		}
	}
}
