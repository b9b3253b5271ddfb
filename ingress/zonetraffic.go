// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import (
	"cmp"
	"slices"

	"github.com/heathkeel/heathkeel/sched"
)

// trafficKey identifies the requests that are counted together.
type trafficKey struct {
	to     string
	reason sched.CrossReason
}

// ZoneTraffic counts what this host sent to another zone for one reason.
type ZoneTraffic struct {
	// From and To are the zones, and Reason is why the requests were sent: "fixed", "share" or
	// "no_endpoint".
	From   string            `json:"from"`
	To     string            `json:"to"`
	Reason sched.CrossReason `json:"reason"`
	// Requests counts sends, and Bytes the bodies of requests and responses of sends that ended the
	// request.
	Requests int64 `json:"requests"`
	Bytes    int64 `json:"bytes"`
}

// noteDispatch counts a send to another zone.
func (z *zones) noteDispatch(r *sched.Request, zone string) {
	if r.CrossReason() != sched.CrossNone {
		z.trafficOf(r, zone).Requests++
	}
}

// trafficOf returns the counters of a request that was sent to another zone.
func (z *zones) trafficOf(r *sched.Request, zone string) *ZoneTraffic {
	key := trafficKey{zone, r.CrossReason()}
	t := z.traffic[key]
	if t == nil {
		t = &ZoneTraffic{From: z.own, To: zone, Reason: key.reason}
		z.traffic[key] = t
	}
	return t
}

// CrossZoneTraffic returns what this host sent to other zones, by pair of zones and reason.
func (s *Server) CrossZoneTraffic() []ZoneTraffic {
	s.balance.mu.Lock()
	defer s.balance.mu.Unlock()
	out := make([]ZoneTraffic, 0, len(s.balance.zones.traffic))
	for _, t := range s.balance.zones.traffic {
		out = append(out, *t)
	}
	slices.SortFunc(out, func(a, b ZoneTraffic) int { return cmp.Or(cmp.Compare(a.To, b.To), cmp.Compare(a.Reason, b.Reason)) })
	return out
}
