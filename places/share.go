// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package places

import "time"

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
	granted int64         // as Usage.Granted, since the last TakeUsage
	passed  int64         // as Usage.Passed
}

// shares divides the slots of one endpoint among workspaces. The zero value is empty.
type shares struct {
	flows map[flowKey]*flow
	// virtualTimes are the start tags of the latest grants, by tier.
	virtualTimes [maxRanks]float64
	mean         time.Duration // moving average of the time of all requests
	// takeDelay is the moving average of the time from a grant until the owner learns that it was taken. A slot is idle for about as
	// long between two requests.
	takeDelay time.Duration
}

// maxRanks limits the tiers; lower ones count as the last.
const maxRanks = 8

// Parameters of the division of slots.
const (
	// defaultUse is charged for a slot until a request has ended.
	defaultUse = 300 * time.Millisecond
	// useGain is the weight of the latest request in the average time.
	useGain = 0.2
	// maxCredit is how far the tag of a flow may be behind the virtual time, in seconds of one slot. Hosts ask a few owners at a time, so
	// that a workspace often wants no slot of an endpoint when one becomes free. Without credit, one of two large workspaces got 0.949 of
	// its share at 300 hosts, and 0.957 with it (TestShareOfWorkspaces).
	maxCredit = 1.0
	// maxUses limits the running requests of one host whose workspaces are known, whatever number a message states.
	maxUses = 256
	// minWeight and maxWeight limit weights, as the settings do: beyond them start tags lose all precision.
	minWeight = 0.01
	maxWeight = 1000
	// maxFlows limits the flows of an endpoint; at the limit, those that have received no more than others are dropped.
	maxFlows = 256
)

// flow returns the flow of a want, which is new if there is none.
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
		f.weight = max(minWeight, min(maxWeight, w.Weight))
	}
	return f
}

// dropIdle drops the flows whose tag is not above the virtual time, where a new flow starts as well. If too many remain, all are dropped.
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
